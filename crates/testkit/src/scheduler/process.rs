//! The child processes: signals to one of them, and the registry of all that run.

use rustix::process::{kill_process, Pid, Signal};
use std::collections::BTreeSet;
use std::os::unix::process::ExitStatusExt;
use std::process::ExitStatus;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::process::Child;
use tokio::time::timeout;
use vetchbridge_testbed::Port;

/// How long a scheduler may take to exit after SIGTERM; it closes what is still open after 3.3 s.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(6);

/// Every child that runs, for an exit that can't wait for destructors.
static CHILDREN: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

fn children() -> MutexGuard<'static, BTreeSet<u32>> {
    CHILDREN.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Kills every child at once; the program is about to exit.
pub fn kill_all() {
    for pid in children().iter() {
        send_signal(*pid, Signal::KILL);
    }
}

fn send_signal(pid: u32, signal: Signal) {
    if let Some(pid) = Pid::from_raw(pid as i32) {
        // A process that has exited meanwhile needs no signal.
        let _ = kill_process(pid, signal);
    }
}

/// A running child and the port of its admin interface. Registered from its creation until it is dropped.
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

    /// Its id; `None` once it has exited and been waited for.
    pub(super) fn pid(&self) -> Option<u32> {
        self.child.id()
    }

    /// Sends it a signal, unless it has exited.
    pub(super) fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid() {
            send_signal(pid, signal);
        }
    }

    /// How it exited, if it has.
    pub(super) fn try_exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Kills it by SIGKILL.
    pub(super) async fn kill(&mut self) {
        // Fails only if it has exited already.
        let _ = self.child.kill().await;
    }

    /// Has it shut down gracefully, and kills it if that takes too long.
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
