//! Runs a scheduler as a child process: the daemon's binary with a configuration and a log file.
//!
//! [`Scheduler`] owns the child process and kills it when dropped. The kit learns the scheduler's state only
//! from the scheduler's admin interface.

mod admin;
mod process;
mod usage;

pub use process::kill_all;
pub use usage::{cpu_time, resident_memory_kib};

use crate::{io_failure, Failure};
use process::Process;
use rustix::process::Signal;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;
use tokio::process::Command;
use vetchbridge_testbed::Port;

/// The environment variable by which the kit tells the daemon the address of its admin interface.
const ADMIN_ADDRESS_VARIABLE: &str = "BALANCER_ADMIN";
/// The number of lines of a scheduler's log that an error message about the scheduler's exit contains.
const LOG_TAIL_LINES: usize = 3;

/// The options with which a scheduler's process is started, in addition to its configuration.
#[derive(Clone, Debug, Default)]
pub struct LaunchOptions {
    /// Command-line arguments of the daemon in addition to those that name its configuration.
    pub arguments: Vec<String>,
    /// Environment variables of the process, which inherits none from the kit.
    pub environment: Vec<(String, String)>,
}

/// How the predecessor process of an upgrade ends once the successor process is ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PredecessorEnd {
    /// The predecessor process shuts down gracefully.
    Graceful,
    /// The predecessor process is killed by SIGKILL, which loses all of its requests.
    Killed,
}

/// A scheduler of a deployment, whose process may be running or not.
pub struct Scheduler {
    binary: PathBuf,
    config: PathBuf,
    log: PathBuf,
    address: SocketAddr,
    options: LaunchOptions,
    process: Option<Process>,
}

/// Returns the path of the daemon's binary: the given path, or the path beside the kit's executable.
pub fn find_daemon(given: Option<&Path>) -> Result<PathBuf, Failure> {
    let path = match given {
        Some(path) => path.to_path_buf(),
        None => std::env::current_exe()
            .map_err(io_failure("path of the kit's executable"))?
            .with_file_name("vetchbridge"),
    };
    if path.is_file() {
        return Ok(path);
    }
    let remedy = "build it with `make build`, or specify it with --daemon FILE";
    Err(Failure::System(format!("{}: the daemon's binary was not found; {remedy}", path.display())))
}

impl Scheduler {
    /// Starts a scheduler's process, which logs to a file beside its configuration.
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

    /// Starts a new process of the scheduler after the old process has exited, at the same address. The new
    /// process appends to the log file.
    pub fn restart(&mut self) -> Result<(), Failure> {
        self.process = Some(self.launch()?);
        Ok(())
    }

    fn launch(&self) -> Result<Process, Failure> {
        let admin = Port::reserve().map_err(io_failure("a port for the admin interface"))?;
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.map_err(io_failure("a scheduler's log"))?;
        let mut command = Command::new(&self.binary);
        command.arg("serve").arg("--config").arg(&self.config).args(&self.options.arguments);
        // The child process gets a process group of its own, so that Ctrl-C reaches only the kit.
        command
            .env_clear()
            .envs(self.options.environment.iter().map(|(name, value)| (name, value)))
            .env(ADMIN_ADDRESS_VARIABLE, admin.address().to_string())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .process_group(0);
        let child = command.kill_on_drop(true).spawn();
        let child = child.map_err(|error| Failure::System(format!("{}: {error}", self.binary.display())))?;
        Ok(Process::new(child, admin))
    }

    /// Starts a successor process of the scheduler and, once the successor process is ready, ends the
    /// predecessor process as `predecessor_end` states.
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
                    Err(Failure::CheckFailed(format!("the predecessor did not exit cleanly: {status:?}")))
                }
            },
        }
    }

    /// Drains the scheduler, waits for `drained_for` once the scheduler is drained, and resumes the
    /// scheduler.
    pub async fn drain(&mut self, drained_for: Duration) -> Result<(), Failure> {
        let Some(admin) = self.admin_address() else { return Ok(()) };
        admin::wait_for_answer(admin, "quiesce", |answer| answer.starts_with("ok")).await?;
        admin::wait_for_answer(admin, "health", |answer| answer == "ok drained").await?;
        tokio::time::sleep(drained_for).await;
        admin::wait_for_answer(admin, "resume", |answer| answer == "ok serving").await
    }

    /// Sends SIGHUP to the scheduler's process, which makes the scheduler reload its configuration.
    pub fn reload(&self) {
        if let Some(process) = &self.process {
            process.signal(Signal::HUP);
        }
    }

    /// Returns the path of the scheduler's configuration file.
    pub fn config_path(&self) -> &Path {
        &self.config
    }

    /// Returns the address at which clients reach the scheduler.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address of the scheduler's admin interface, or `None` if the scheduler has no process.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.process.as_ref().map(|process| process.admin.address())
    }

    /// Returns the path of the scheduler's log file.
    pub fn log_path(&self) -> &Path {
        &self.log
    }

    /// Returns the process id of the scheduler, or `None` if the scheduler does not run.
    pub fn pid(&self) -> Option<u32> {
        self.process.as_ref().and_then(Process::pid)
    }

    /// Returns the exit status of the scheduler's process if the process has exited on its own.
    pub fn try_exit_status(&mut self) -> Option<ExitStatus> {
        self.process.as_mut()?.try_exit_status()
    }

    /// Kills the scheduler's process by SIGKILL.
    pub async fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            process.kill().await;
        }
    }

    /// Shuts the scheduler down gracefully and returns the exit status of its process; `None` if the
    /// scheduler had no process.
    pub async fn shut_down(&mut self) -> Option<ExitStatus> {
        self.process.take()?.shut_down().await
    }

    /// Returns the last lines of the scheduler's log, for an error message about the scheduler's exit.
    pub fn log_tail(&self) -> String {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(LOG_TAIL_LINES)..].join("\n")
    }
}
