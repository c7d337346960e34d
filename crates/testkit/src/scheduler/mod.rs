//! A scheduler as a child process: the daemon's own binary, its configuration and its log.
//!
//! Owns the child; dropping it kills the child. The state of a scheduler is known from its admin interface alone.

mod admin;
mod process;
mod usage;

pub use process::kill_all;
pub use usage::{cpu_time, resident_memory_kib};

use crate::{machine, Failure};
use process::Process;
use rustix::process::Signal;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;
use tokio::process::Command;
use vetchbridge_testbed::Port;

/// The environment variable with the address of the daemon's admin interface.
const ADMIN_ADDRESS_VARIABLE: &str = "BALANCER_ADMIN";
/// Lines of a log that a message about an exit repeats.
const LOG_TAIL_LINES: usize = 3;

/// What a scheduler is started with beside its configuration.
#[derive(Clone, Debug, Default)]
pub struct LaunchOptions {
    /// Further arguments of its command line.
    pub arguments: Vec<String>,
    /// Its environment.
    pub environment: Vec<(String, String)>,
}

/// How the predecessor ends in an upgrade, once its successor is ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PredecessorEnd {
    /// By a graceful shutdown.
    Graceful,
    /// By SIGKILL, which loses all requests that it has.
    Killed,
}

/// A scheduler's process, or the means to start one.
pub struct Scheduler {
    binary: PathBuf,
    config: PathBuf,
    log: PathBuf,
    address: SocketAddr,
    options: LaunchOptions,
    process: Option<Process>,
}

/// The daemon's binary: the given one, or the one beside the kit's own.
pub fn find_daemon(given: Option<&Path>) -> Result<PathBuf, Failure> {
    let path = match given {
        Some(path) => path.to_path_buf(),
        None => std::env::current_exe().map_err(machine("the kit's own path"))?.with_file_name("vetchbridge"),
    };
    if path.is_file() {
        return Ok(path);
    }
    let remedy = "build it with `make build`, or name it with --daemon FILE";
    Err(Failure::Machine(format!("{}: there is no daemon here; {remedy}", path.display())))
}

impl Scheduler {
    /// Starts a scheduler; its log goes to a file beside its configuration.
    pub fn start(
        binary: &Path,
        config: &Path,
        address: SocketAddr,
        options: LaunchOptions,
    ) -> Result<Scheduler, Failure> {
        let mut scheduler = Scheduler {
            binary: binary.to_path_buf(),
            config: config.to_path_buf(),
            log: config.with_extension("log"),
            address,
            options,
            process: None,
        };
        scheduler.restart()?;
        Ok(scheduler)
    }

    /// Starts it again after its exit, at its address; the log is continued.
    pub fn restart(&mut self) -> Result<(), Failure> {
        self.process = Some(self.launch()?);
        Ok(())
    }

    fn launch(&self) -> Result<Process, Failure> {
        let admin = Port::reserve().map_err(machine("a port for the admin interface"))?;
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.map_err(machine("a scheduler's log"))?;
        let mut command = Command::new(&self.binary);
        command.arg("serve").arg("--config").arg(&self.config).args(&self.options.arguments);
        // A process group of its own, so that Ctrl-C reaches the kit alone.
        command
            .env_clear()
            .envs(self.options.environment.iter().map(|(name, value)| (name, value)))
            .env(ADMIN_ADDRESS_VARIABLE, admin.address().to_string())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .process_group(0);
        let child = command.kill_on_drop(true).spawn();
        let child = child.map_err(|error| Failure::Machine(format!("{}: {error}", self.binary.display())))?;
        Ok(Process::new(child, admin))
    }

    /// Starts a successor and, once it is ready, ends the predecessor.
    pub async fn upgrade(&mut self, predecessor_end: PredecessorEnd) -> Result<(), Failure> {
        let successor = self.launch()?;
        let admin = successor.admin.address();
        admin::wait_for_answer(admin, "health", |answer| answer.starts_with("ok")).await?;
        let Some(mut predecessor) = self.process.replace(successor) else { return Ok(()) };
        match predecessor_end {
            PredecessorEnd::Killed => {
                predecessor.kill().await;
                Ok(())
            }
            PredecessorEnd::Graceful => match predecessor.shut_down().await {
                Some(status) if status.success() => Ok(()),
                status => {
                    Err(Failure::Missed(format!("the predecessor did not shut down cleanly: {status:?}")))
                }
            },
        }
    }

    /// Drains it, leaves it drained for a while, and has it serve clients again.
    pub async fn drain(&mut self, drained_for: Duration) -> Result<(), Failure> {
        let Some(admin) = self.admin_address() else { return Ok(()) };
        admin::wait_for_answer(admin, "quiesce", |answer| answer.starts_with("ok")).await?;
        admin::wait_for_answer(admin, "health", |answer| answer == "ok drained").await?;
        tokio::time::sleep(drained_for).await;
        admin::wait_for_answer(admin, "resume", |answer| answer == "ok serving").await
    }

    /// Has it reload its configuration.
    pub fn reload(&self) {
        if let Some(process) = &self.process {
            process.signal(Signal::HUP);
        }
    }

    /// The path of its configuration.
    pub fn config_path(&self) -> &Path {
        &self.config
    }

    /// Where clients reach it.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The address of its admin interface, while it runs.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.process.as_ref().map(|process| process.admin.address())
    }

    /// The path of its log.
    pub fn log_path(&self) -> &Path {
        &self.log
    }

    /// The id of its process, while it runs.
    pub fn pid(&self) -> Option<u32> {
        self.process.as_ref().and_then(Process::pid)
    }

    /// How it exited, if it has exited by itself.
    pub fn try_exit_status(&mut self) -> Option<ExitStatus> {
        self.process.as_mut()?.try_exit_status()
    }

    /// Kills it by SIGKILL.
    pub async fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            process.kill().await;
        }
    }

    /// Shuts it down gracefully and returns how it exited; `None` if it did not run.
    pub async fn shut_down(&mut self) -> Option<ExitStatus> {
        self.process.take()?.shut_down().await
    }

    /// The last lines of its log, for a message about its exit.
    pub fn log_tail(&self) -> String {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(LOG_TAIL_LINES)..].join("\n")
    }
}
