//! A scheduler as a child process: the daemon's own binary, its file and its log.
//!
//! Owns the child; dropping it kills the child. Of what it does it knows what the operators' door says, and no more.

use crate::{machine, Failure};
use rustix::process::{kill_process, Pid, Signal};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout, Instant};
use vetchbridge_testbed::Port;

/// How long a successor may take until it can serve, and a drain until it is over.
const SERVES_WITHIN: Duration = Duration::from_secs(6);
/// How long an answer at the operators' door may take.
const ANSWERS_WITHIN: Duration = Duration::from_secs(1);
/// Between two questions at that door.
const ASK_EVERY: Duration = Duration::from_millis(20);
/// How long one may take to end after SIGTERM; it gives up what is open after 3.3 s.
const END_WITHIN: Duration = Duration::from_secs(6);

/// Every child that runs now, for an end that cannot wait for destructors.
static CHILDREN: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

fn children() -> MutexGuard<'static, BTreeSet<u32>> {
    CHILDREN.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Kills every child at once; the program is about to end.
pub fn kill_all() {
    for pid in children().iter().filter_map(|pid| Pid::from_raw(*pid as i32)) {
        let _ = kill_process(pid, Signal::KILL);
    }
}

/// A child that runs, its place among all of them, and its operators' door.
struct Running {
    child: Child,
    pid: u32,
    admin: Port,
}

impl Drop for Running {
    fn drop(&mut self) {
        children().remove(&self.pid);
    }
}

impl Running {
    /// Asks at the operators' door until the answer is one that was wanted.
    async fn says(&self, call: &str, wanted: impl Fn(&str) -> bool) -> Result<(), Failure> {
        let asked = Instant::now();
        loop {
            let answer = timeout(ANSWERS_WITHIN, async {
                let mut stream = TcpStream::connect(self.admin.address()).await?;
                stream.write_all(format!("{call}\n").as_bytes()).await?;
                let mut answer = String::new();
                stream.read_to_string(&mut answer).await?;
                std::io::Result::Ok(answer)
            });
            let answer = match answer.await {
                Ok(Ok(answer)) if wanted(answer.trim_end()) => return Ok(()),
                Ok(Ok(answer)) => answer.trim_end().to_string(),
                Ok(Err(error)) => error.to_string(),
                Err(_) => "nothing".to_string(),
            };
            if asked.elapsed() > SERVES_WITHIN {
                return Err(Failure::Missed(format!("{call}: the operators' door says {answer:?}")));
            }
            sleep(ASK_EVERY).await;
        }
    }

    async fn end(&mut self) -> Option<ExitStatus> {
        if let Some(pid) = self.child.id().and_then(|id| Pid::from_raw(id as i32)) {
            let _ = kill_process(pid, Signal::TERM);
        }
        if let Ok(status) = timeout(END_WITHIN, self.child.wait()).await {
            return status.ok();
        }
        let _ = self.child.kill().await;
        Some(ExitStatus::from_raw(9))
    }
}

/// See the head of this file.
pub struct Scheduler {
    binary: PathBuf,
    config: PathBuf,
    log: PathBuf,
    address: SocketAddr,
    extra: Vec<String>,
    environment: Vec<(String, String)>,
    running: Option<Running>,
}

/// What a scheduler's process is started with beside its configuration.
#[derive(Clone, Debug, Default)]
pub struct Launch {
    /// Further words of its command line.
    pub extra: Vec<String>,
    /// Its environment.
    pub environment: Vec<(String, String)>,
}

/// The daemon's binary: the one named, or the one beside the kit's own.
pub fn binary(named: Option<&Path>) -> Result<PathBuf, Failure> {
    let path = match named {
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
    /// Starts one; its log goes to a file beside its configuration.
    pub fn start(
        binary: &Path,
        config: &Path,
        address: SocketAddr,
        launch: Launch,
    ) -> Result<Scheduler, Failure> {
        let mut scheduler = Scheduler {
            binary: binary.to_path_buf(),
            config: config.to_path_buf(),
            log: config.with_extension("log"),
            address,
            extra: launch.extra,
            environment: launch.environment,
            running: None,
        };
        scheduler.restart()?;
        Ok(scheduler)
    }

    /// Starts it again after its end, at its address; the log goes on.
    pub fn restart(&mut self) -> Result<(), Failure> {
        self.running = Some(self.launch()?);
        Ok(())
    }

    fn launch(&self) -> Result<Running, Failure> {
        let admin = Port::reserve().map_err(machine("a port for operators"))?;
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.map_err(machine("a scheduler's log"))?;
        let mut command = Command::new(&self.binary);
        command.arg("serve").arg("--config").arg(&self.config).args(&self.extra);
        // Its own group: a Ctrl-C is the kit's to pass on.
        command
            .env_clear()
            .envs(self.environment.iter().map(|(name, value)| (name, value)))
            .env("BALANCER_ADMIN", admin.address().to_string())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .process_group(0);
        let child = command.kill_on_drop(true).spawn();
        let child = child.map_err(|error| Failure::Machine(format!("{}: {error}", self.binary.display())))?;
        let pid = child.id().unwrap_or_default();
        children().insert(pid);
        Ok(Running { child, pid, admin })
    }

    /// Starts the next process beside the one that runs and, once it can serve, ends the old one: gracefully, or, if
    /// `careless`, by SIGKILL with all that it had taken.
    pub async fn upgrade(&mut self, careless: bool) -> Result<(), Failure> {
        let next = self.launch()?;
        next.says("health", |answer| answer.starts_with("ok")).await?;
        let Some(mut old) = self.running.replace(next) else { return Ok(()) };
        if careless {
            let _ = old.child.kill().await;
            return Ok(());
        }
        match old.end().await {
            Some(status) if status.success() => Ok(()),
            status => Err(Failure::Missed(format!("the process that was replaced ended badly: {status:?}"))),
        }
    }

    /// Sends its clients away, lets it stand drained for a while, and takes clients again.
    pub async fn drain(&mut self, stands: Duration) -> Result<(), Failure> {
        let Some(running) = &self.running else { return Ok(()) };
        running.says("quiesce", |answer| answer.starts_with("ok")).await?;
        running.says("health", |answer| answer == "ok drained").await?;
        tokio::time::sleep(stands).await;
        running.says("resume", |answer| answer == "ok serving").await
    }

    /// Has it read its configuration again.
    pub fn hang_up(&self) {
        if let Some(pid) = self.pid().and_then(|pid| Pid::from_raw(pid as i32)) {
            let _ = kill_process(pid, Signal::HUP);
        }
    }

    /// Its configuration.
    pub fn config(&self) -> &Path {
        &self.config
    }

    /// Its address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its operators' door, while it runs.
    pub fn admin(&self) -> Option<SocketAddr> {
        self.running.as_ref().map(|running| running.admin.address())
    }

    /// Its log.
    pub fn log(&self) -> &Path {
        &self.log
    }

    /// Its process, while it runs.
    pub fn pid(&self) -> Option<u32> {
        self.running.as_ref().and_then(|running| running.child.id())
    }

    /// How it ended, if it has ended unasked.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.running.as_mut()?.child.try_wait().ok().flatten()
    }

    /// Kills it at once, as a power cut would.
    pub async fn kill(&mut self) {
        if let Some(mut running) = self.running.take() {
            let _ = running.child.kill().await;
        }
    }

    /// Ends it gracefully; says how it ended.
    pub async fn end(&mut self) -> Option<ExitStatus> {
        self.running.take()?.end().await
    }

    /// The last lines of its log, for a message about its end.
    pub fn last_words(&self) -> String {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(3)..].join("\n")
    }
}

/// Processor time that a process's main thread has used; the daemon has no other.
pub fn cpu_time(pid: u32) -> Option<Duration> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/schedstat")).ok()?;
    text.split(' ').next()?.parse().ok().map(Duration::from_nanos)
}

/// Its resident memory in KiB.
pub fn memory_kib(pid: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
