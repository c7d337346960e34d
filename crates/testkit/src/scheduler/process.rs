//! The schedulers' child processes: signals to a child process, and the registry of all running child
//! processes.

use rustix::process::{kill_process, Pid, Signal};
use std::collections::BTreeSet;
use std::os::unix::process::ExitStatusExt;
use std::process::ExitStatus;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::process::Child;
use tokio::time::timeout;
use vetchbridge_testbed::Port;

/// How long a scheduler's process may take to exit after SIGTERM before the kit kills it. The daemon closes
/// client connections that are still open after 3.3 s.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(6);

/// The process ids of all running child processes, so that the kit can kill them in an exit that can't wait
/// for destructors.
static CHILDREN: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

fn children() -> MutexGuard<'static, BTreeSet<u32>> {
    CHILDREN.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Kills every child process by SIGKILL; called just before the kit exits without running destructors.
pub fn kill_all() {
    for pid in children().iter() {
        send_signal(*pid, Signal::KILL);
    }
}

fn send_signal(pid: u32, signal: Signal) {
    if let Some(pid) = Pid::from_raw(pid as i32) {
        // Sending fails if the process has exited in the meantime; such a process needs no signal.
        let _ = kill_process(pid, signal);
    }
}

/// A scheduler's child process, and the reserved port of its admin interface. The child process is in the
/// registry until this value is dropped.
pub(super) struct Process {
    child: Child,
    registered_pid: u32,
    pub(super) admin: Port,
}

impl Process {
    pub(super) fn new(child: Child, admin: Port) -> Process {
        let registered_pid = child.id().unwrap_or_default();
        children().insert(registered_pid);
        Process { child, registered_pid, admin }
    }

    /// Returns the process id; `None` once the process has exited and its exit status has been collected.
    pub(super) fn pid(&self) -> Option<u32> {
        self.child.id()
    }

    /// Sends a signal to the process, unless the process has exited.
    pub(super) fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid() {
            send_signal(pid, signal);
        }
    }

    /// Returns the exit status if the process has exited.
    pub(super) fn try_exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Kills the process by SIGKILL and waits for its exit.
    pub(super) async fn kill(&mut self) {
        // `Child::kill` fails only if the process has already exited.
        let _ = self.child.kill().await;
    }

    /// Shuts the process down gracefully by SIGTERM, or kills it after [`SHUTDOWN_TIMEOUT`]. Returns the exit
    /// status.
    pub(super) async fn shut_down(&mut self) -> Option<ExitStatus> {
        self.signal(Signal::TERM);
        if let Ok(status) = timeout(SHUTDOWN_TIMEOUT, self.child.wait()).await {
            return status.ok();
        }
        self.kill().await;
        Some(ExitStatus::from_raw(Signal::KILL.as_raw()))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        children().remove(&self.registered_pid);
    }
}
