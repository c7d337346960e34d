//! The daemon's cost: a closed loop against one scheduler whose workers finish at once, and against the bare relay, in turns
//! within one run. The ratio between them is what counts; the other figures depend on the machine.

use crate::deployment::Deployment;
use crate::plan::Plan;
use crate::report::new_table;
use crate::scheduler::{cpu_time, find_daemon, resident_memory_kib, LaunchOptions, Scheduler};
use crate::{machine, relay, Failure};
use serde::Serialize;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::time::Duration;
use tokio::process::{Child, Command};
use tokio::time::{interval, Instant};
use vetchbridge::config::units::HumanDuration;
use vetchbridge_testbed::client::{Clients, JobRecord, LoadRecord, Outcome};
use vetchbridge_testbed::{wire::Wire, Owned, Port};

/// A way to run the daemon.
struct Variant {
    name: &'static str,
    arguments: &'static [&'static str],
}

/// The ways in which the daemon is measured.
const VARIANTS: [Variant; 4] = [
    Variant { name: "daemon, no log", arguments: &["--log-filter", "off"] },
    Variant { name: "daemon, text at info", arguments: &["--log-filter", "info"] },
    Variant { name: "daemon, JSON at info", arguments: &["--log-filter", "info", "--log-format", "json"] },
    Variant { name: "daemon, JSON at debug", arguments: &["--log-filter", "debug", "--log-format", "json"] },
];
/// Slots and queue places of a worker: more than any load of a bench takes.
const UNLIMITED_JOBS: usize = 1 << 16;
/// The least share of jobs, in percent, that must be served for a turn to count.
const MIN_SERVED_PERCENT: usize = 99;
/// Between two attempts to connect to the relay while it starts.
const RELAY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Attempts to connect to the relay until its start has failed.
const RELAY_POLLS: usize = 500;

/// One contender's figures; medians over the rounds.
#[derive(Debug, Serialize)]
pub struct Figures {
    /// Its name.
    pub name: String,
    /// Requests a second.
    pub per_second: f64,
    /// Processor time a request, in microseconds.
    pub cpu_us: f64,
    /// That over the relay's.
    pub ratio: f64,
    /// Resident memory before the load, in KiB.
    pub idle_kib: u64,
    /// Resident memory after it, in KiB.
    pub loaded_kib: u64,
}

/// What was measured.
#[derive(Debug, Serialize)]
pub struct Comparison {
    /// The relay's figures, then those of each variant of the daemon.
    pub figures: Vec<Figures>,
    /// Connections that were busy.
    pub connections: usize,
    /// Turns of each contender.
    pub rounds: usize,
}

impl Comparison {
    /// As a table.
    pub fn text(&self) -> String {
        let mut table = new_table();
        let header = ["", "requests/s", "CPU us/request", "of the relay's", "idle KiB", "loaded KiB"];
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
        format!("{table}\n{} connections, medians of {} rounds, in turns\n", self.connections, self.rounds)
    }
}

/// Measures the relay and each variant of the daemon in turns.
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

    let mut contenders = vec![Contender::new("relay", relay.address, relay.process.id())?];
    for (variant, scheduler) in VARIANTS.iter().zip(&deployment.schedulers) {
        contenders.push(Contender::new(variant.name, scheduler.address(), scheduler.pid())?);
    }
    // The first round warms up and does not count.
    for round in 0..=rounds {
        eprintln!("round {round} of {rounds}{}", if round == 0 { ", which warms up" } else { "" });
        for contender in &mut contenders {
            let measured = contender.take_turn(&plan, connections, turn).await?;
            if round > 0 {
                contender.turns.push(measured);
            }
        }
    }
    let relay_cpu_us = contenders[0].median_cpu_us();
    let figures = contenders.iter().map(|contender| contender.figures(relay_cpu_us)).collect();
    Ok(Comparison { figures, connections, rounds })
}

/// The plan with a scheduler for each variant, jobs that need no work, and workers that never reject one.
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

/// Starts each scheduler again with the arguments of its variant; its configuration and address stay.
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

/// The bare relay as a process of its own, with its worker.
struct Relay {
    process: Child,
    address: SocketAddr,
    _worker: Owned,
    _ports: [Port; 2],
}

impl Relay {
    fn start() -> Result<Relay, Failure> {
        let worker_port = Port::reserve().map_err(machine("a port for the relay's worker"))?;
        let listener = worker_port.listen().map_err(machine("the relay's worker"))?;
        let worker = Owned::spawn(relay::answer_at_once(listener));
        let port = Port::reserve().map_err(machine("a port for the relay"))?;
        let address = port.address();
        let binary = std::env::current_exe().map_err(machine("the kit's own path"))?;
        let (listen, to) = (address.to_string(), worker_port.address().to_string());
        let mut command = Command::new(binary);
        command.args(["relay", "--listen", &listen, "--to", &to]);
        command.stdin(Stdio::null()).stdout(Stdio::null()).process_group(0).kill_on_drop(true);
        let process = command.spawn().map_err(machine("the relay"))?;
        Ok(Relay { process, address, _worker: worker, _ports: [worker_port, port] })
    }

    async fn wait_until_ready(&self) -> Result<(), Failure> {
        let mut poll = interval(RELAY_POLL_INTERVAL);
        for _ in 0..RELAY_POLLS {
            poll.tick().await;
            if Wire::dial(self.address).await.is_ok() {
                return Ok(());
            }
        }
        Err(Failure::Machine("the relay did not come up".to_string()))
    }
}

/// What was measured in one turn of a contender.
struct Turn {
    per_second: f64,
    cpu_us: f64,
}

/// The relay or a variant of the daemon, and its turns.
struct Contender {
    name: &'static str,
    address: SocketAddr,
    pid: u32,
    idle_kib: u64,
    turns: Vec<Turn>,
}

impl Contender {
    fn new(name: &'static str, address: SocketAddr, pid: Option<u32>) -> Result<Contender, Failure> {
        let pid = pid.ok_or_else(|| Failure::Machine("a process ended early".to_string()))?;
        let idle_kib = resident_memory_kib(pid).unwrap_or_default();
        Ok(Contender { name, address, pid, idle_kib, turns: Vec::new() })
    }

    async fn take_turn(&self, plan: &Plan, connections: usize, turn: Duration) -> Result<Turn, Failure> {
        let clients = Clients::new(plan.load_spec(), vec![self.address]);
        let clients = clients.map_err(|error| Failure::BadInput(error.to_string()))?;
        let (started, cpu_before) = (Instant::now(), self.cpu_time()?);
        let load = clients.run_closed_loop(connections, turn).await;
        let load = load.map_err(|error| Failure::BadInput(error.to_string()))?;
        let (elapsed, used) = (started.elapsed(), self.cpu_time()?.saturating_sub(cpu_before));
        let served = self.count_served(&load)?.max(1) as f64;
        Ok(Turn { per_second: served / elapsed.as_secs_f64(), cpu_us: used.as_secs_f64() * 1e6 / served })
    }

    fn cpu_time(&self) -> Result<Duration, Failure> {
        cpu_time(self.pid).ok_or_else(|| Failure::Machine(format!("{} ended early", self.name)))
    }

    /// The jobs that were served; fails if these were too few.
    fn count_served(&self, load: &LoadRecord) -> Result<usize, Failure> {
        let (served, jobs) = (load.jobs.iter().filter(|job| job.served()).count(), load.jobs.len());
        if served * 100 >= jobs * MIN_SERVED_PERCENT {
            return Ok(served);
        }
        let mut requests = load.jobs.iter().flat_map(|job: &JobRecord| &job.attempts);
        let other = requests.find(|request| !matches!(request.outcome, Outcome::Served(_)));
        Err(Failure::Missed(format!("{}: only {served} of {jobs} were served: {other:?}", self.name)))
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

/// The upper median of values, of which there is at least one.
fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}
