//! The benchmark of the daemon. It measures a scheduler whose workers finish each job at once, by a closed
//! loop of requests, and compares it with the plain relay under the same load. The targets (the relay and
//! several variants of the daemon) are measured in turn within one run, because only the ratio between them
//! is comparable: the other figures depend on the machine.

use crate::deployment::Deployment;
use crate::plan::Plan;
use crate::report::new_table;
use crate::scheduler::{cpu_time, find_daemon, resident_memory_kib, LaunchOptions, Scheduler};
use crate::{io_failure, relay, Failure};
use serde::Serialize;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::time::Duration;
use tokio::process::{Child, Command};
use tokio::time::{interval, Instant};
use vetchbridge::config::units::HumanDuration;
use vetchbridge_testbed::arrivals::LoadSpec;
use vetchbridge_testbed::client::{Clients, JobRecord, LoadRecord, Outcome};
use vetchbridge_testbed::{wire::HttpConnection, AbortOnDrop, Port};

/// A way to run the daemon that the benchmark measures: a name and the log options.
struct Variant {
    name: &'static str,
    arguments: &'static [&'static str],
}

/// The variants of the daemon that the benchmark measures.
const VARIANTS: [Variant; 4] = [
    Variant { name: "daemon, no log", arguments: &["--log-filter", "off"] },
    Variant { name: "daemon, text at info", arguments: &["--log-filter", "info"] },
    Variant { name: "daemon, JSON at info", arguments: &["--log-filter", "info", "--log-format", "json"] },
    Variant { name: "daemon, JSON at debug", arguments: &["--log-filter", "debug", "--log-format", "json"] },
];
/// The number of slots of each worker, and of places in its queue: more than any load of a benchmark needs.
const UNLIMITED_JOBS: usize = 1 << 16;
/// The smallest share of a turn's jobs, in percent, that must be served; otherwise the benchmark fails.
const MIN_SERVED_PERCENT: usize = 99;
/// The interval between two attempts to connect to the relay while the relay starts.
const RELAY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The number of attempts to connect to the relay before its start counts as failed.
const RELAY_POLLS: usize = 500;

/// The figures of one target (the relay or a variant of the daemon): rates and processor times are medians
/// over the rounds.
#[derive(Debug, Serialize)]
pub struct Figures {
    /// The name of the target, as the table shows it.
    pub name: String,
    /// Jobs that the target served per second.
    pub per_second: f64,
    /// Processor time of the target's process per served job, in microseconds.
    pub cpu_us: f64,
    /// Processor time per served job of the target's process (the measured program: the relay or a variant of
    /// the daemon), divided by the processor time per served job of the relay (the plain HTTP relay without
    /// scheduling that the benchmark compares the daemon with).
    pub ratio: f64,
    /// Resident memory of the target's process before the benchmark's load, in KiB.
    pub idle_kib: u64,
    /// Resident memory of the target's process after the benchmark's load, in KiB.
    pub loaded_kib: u64,
}

/// The result of a benchmark: the relay compared with the variants of the daemon.
#[derive(Debug, Serialize)]
pub struct Comparison {
    /// The figures of the relay, then those of each variant of the daemon.
    pub figures: Vec<Figures>,
    /// The number of connections to a target that were kept busy during its turn.
    pub connections: usize,
    /// The number of rounds; each round measures one turn of each target.
    pub rounds: usize,
}

impl Comparison {
    /// Returns the figures as a table for people.
    pub fn text(&self) -> String {
        let mut table = new_table();
        let header = ["", "requests/s", "CPU us/request", "ratio to relay", "idle KiB", "loaded KiB"];
        table.set_header(header.to_vec());
        for figures in &self.figures {
            table.add_row(vec![
                figures.name.clone(),
                format!("{:.0}", figures.per_second),
                format!("{:.1}", figures.cpu_us),
                format!("{:.2}", figures.ratio),
                figures.idle_kib.to_string(),
                figures.loaded_kib.to_string(),
            ]);
        }
        format!("{table}\n{} connections, medians of {} rounds\n", self.connections, self.rounds)
    }
}

/// Measures the relay and each variant of the daemon, in turn, for a number of rounds; `turn` is how long
/// each measurement lasts.
pub async fn compare(
    plan: &Plan,
    daemon: Option<&Path>,
    connections: usize,
    turn: Duration,
    rounds: usize,
) -> Result<Comparison, Failure> {
    let plan = bench_plan(plan);
    let mut deployment = Deployment::start(&plan, daemon, None, &[]).await?;
    restart_as_variants(&mut deployment, &find_daemon(daemon)?).await?;
    let relay = Relay::start()?;
    deployment.wait_until_ready().await?;
    relay.wait_until_ready().await?;

    let mut targets = vec![Target::new("relay", relay.address, relay.process.id())?];
    for (variant, scheduler) in VARIANTS.iter().zip(&deployment.schedulers) {
        targets.push(Target::new(variant.name, scheduler.address(), scheduler.pid())?);
    }
    // The first round warms the targets up and is not measured.
    for round in 0..=rounds {
        eprintln!("round {round} of {rounds}{}", if round == 0 { " (warm-up)" } else { "" });
        for target in &mut targets {
            let measured = target.run_turn(&plan, round, connections, turn).await?;
            if round > 0 {
                target.turns.push(measured);
            }
        }
    }
    let relay_cpu_us = targets[0].median_cpu_us();
    let figures = targets.iter().map(|target| target.figures(relay_cpu_us)).collect();
    Ok(Comparison { figures, connections, rounds })
}

/// Returns the plan changed for the benchmark: one scheduler for each variant, jobs without work, and workers
/// that never reject a job.
fn bench_plan(plan: &Plan) -> Plan {
    let mut plan = plan.clone();
    plan.schedulers.count = VARIANTS.len();
    for class in &mut plan.load.classes {
        class.work = HumanDuration(0);
    }
    for workers in &mut plan.workers {
        workers.slots = UNLIMITED_JOBS;
        workers.queue = UNLIMITED_JOBS;
    }
    plan
}

/// Restarts each scheduler at the same address with the same configuration, but with the arguments of its
/// variant.
async fn restart_as_variants(deployment: &mut Deployment, binary: &Path) -> Result<(), Failure> {
    let directory = deployment.directory().to_path_buf();
    for (number, variant) in VARIANTS.iter().enumerate() {
        let scheduler = &mut deployment.schedulers[number];
        scheduler.shut_down().await;
        let arguments = variant.arguments.iter().map(ToString::to_string).collect();
        let options = LaunchOptions { arguments, ..LaunchOptions::default() };
        let config = directory.join(Plan::file_name(number));
        *scheduler = Scheduler::start(binary, &config, scheduler.address(), options)?;
    }
    Ok(())
}

/// The plain relay as a child process, and the stand-in worker to which the relay forwards requests.
struct Relay {
    process: Child,
    address: SocketAddr,
    _worker: AbortOnDrop,
    _ports: [Port; 2],
}

impl Relay {
    fn start() -> Result<Relay, Failure> {
        let worker_port = Port::reserve().map_err(io_failure("a port for the relay's worker"))?;
        let listener = worker_port.listen().map_err(io_failure("the relay's worker"))?;
        let worker = AbortOnDrop::spawn(relay::answer_at_once(listener));
        let port = Port::reserve().map_err(io_failure("a port for the relay"))?;
        let address = port.address();
        let binary = std::env::current_exe().map_err(io_failure("path of the kit's executable"))?;
        let (listen, to) = (address.to_string(), worker_port.address().to_string());
        let mut command = Command::new(binary);
        command.args(["relay", "--listen", &listen, "--to", &to]);
        command.stdin(Stdio::null()).stdout(Stdio::null()).process_group(0).kill_on_drop(true);
        let process = command.spawn().map_err(io_failure("the relay"))?;
        Ok(Relay { process, address, _worker: worker, _ports: [worker_port, port] })
    }

    async fn wait_until_ready(&self) -> Result<(), Failure> {
        let mut poll = interval(RELAY_POLL_INTERVAL);
        for _ in 0..RELAY_POLLS {
            poll.tick().await;
            if HttpConnection::connect(self.address).await.is_ok() {
                return Ok(());
            }
        }
        Err(Failure::System("the relay did not start in time".to_string()))
    }
}

/// The figures of one turn: the time in which the benchmark sends load to one target.
struct Turn {
    per_second: f64,
    cpu_us: f64,
}

/// A target of the benchmark (the relay or a variant of the daemon), and its measured turns.
struct Target {
    name: &'static str,
    address: SocketAddr,
    pid: u32,
    idle_kib: u64,
    turns: Vec<Turn>,
}

impl Target {
    fn new(name: &'static str, address: SocketAddr, pid: Option<u32>) -> Result<Target, Failure> {
        let pid = pid.ok_or_else(|| Failure::System("a measured process exited early".to_string()))?;
        let idle_kib = resident_memory_kib(pid).unwrap_or_default();
        Ok(Target { name, address, pid, idle_kib, turns: Vec::new() })
    }

    /// Measures one turn. Each round has a seed of its own, since clients use a new id for each request.
    async fn run_turn(
        &self,
        plan: &Plan,
        round: usize,
        connections: usize,
        duration: Duration,
    ) -> Result<Turn, Failure> {
        let spec = plan.load_spec();
        let seed = spec.seed.wrapping_add(round as u64);
        let clients = Clients::new(LoadSpec { seed, ..spec }, vec![self.address]);
        let clients = clients.map_err(|error| Failure::BadInput(error.to_string()))?;
        let (started, cpu_before) = (Instant::now(), self.cpu_time()?);
        let load = clients.run_closed_loop(connections, duration).await;
        let load = load.map_err(|error| Failure::BadInput(error.to_string()))?;
        let (elapsed, used) = (started.elapsed(), self.cpu_time()?.saturating_sub(cpu_before));
        let served = self.count_served(&load)?.max(1) as f64;
        Ok(Turn { per_second: served / elapsed.as_secs_f64(), cpu_us: used.as_secs_f64() * 1e6 / served })
    }

    fn cpu_time(&self) -> Result<Duration, Failure> {
        cpu_time(self.pid).ok_or_else(|| Failure::System(format!("{} exited early", self.name)))
    }

    /// Returns the number of served jobs of a turn; fails if fewer than [`MIN_SERVED_PERCENT`] percent were
    /// served.
    fn count_served(&self, load: &LoadRecord) -> Result<usize, Failure> {
        let (served, jobs) = (load.jobs.iter().filter(|job| job.served()).count(), load.jobs.len());
        if served * 100 >= jobs * MIN_SERVED_PERCENT {
            return Ok(served);
        }
        let mut requests = load.jobs.iter().flat_map(|job: &JobRecord| &job.attempts);
        let other = requests.find(|request| !matches!(request.outcome, Outcome::Served(_)));
        Err(Failure::CheckFailed(format!(
            "{}: only {served} of {jobs} jobs were served; the first other outcome: {other:?}",
            self.name
        )))
    }

    fn median_cpu_us(&self) -> f64 {
        median(self.turns.iter().map(|turn| turn.cpu_us))
    }

    fn figures(&self, relay_cpu_us: f64) -> Figures {
        let cpu_us = self.median_cpu_us();
        Figures {
            name: self.name.to_string(),
            per_second: median(self.turns.iter().map(|turn| turn.per_second)),
            cpu_us,
            ratio: cpu_us / relay_cpu_us,
            idle_kib: self.idle_kib,
            loaded_kib: resident_memory_kib(self.pid).unwrap_or_default(),
        }
    }
}

/// Returns the median of `values`, or the greater of the two middle values. `values` must not be empty.
fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}
