//! What the daemon costs: a closed loop against one scheduler whose workers finish at once, and against the bare relay,
//! in turns within one run. Owns the turns and the figures; the ratio is what counts, the figures depend on the machine.

use crate::deployment::Deployment;
use crate::plan::Plan;
use crate::scheduler::{cpu_time, resident_memory_kib, LaunchOptions, Scheduler};
use crate::{machine, relay, Failure};
use comfy_table::{presets, Table};
use serde::Serialize;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::time::Duration;
use tokio::process::{Child, Command};
use tokio::time::{interval, Instant};
use vetchbridge_testbed::client::{Clients, Outcome};
use vetchbridge_testbed::{Owned, Port};

/// How the daemon is run in each of its turns.
const VARIANTS: [(&str, &[&str]); 4] = [
    ("daemon, no log", &["--log-filter", "off"]),
    ("daemon, text at info", &["--log-filter", "info"]),
    ("daemon, JSON at info", &["--log-filter", "info", "--log-format", "json"]),
    ("daemon, JSON at debug", &["--log-filter", "debug", "--log-format", "json"]),
];

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
    /// The relay first.
    pub figures: Vec<Figures>,
    /// Connections that were kept busy.
    pub connections: usize,
    /// Turns of each contender.
    pub rounds: usize,
}

impl Comparison {
    /// As a table.
    pub fn text(&self) -> String {
        let mut table = Table::new();
        table.load_style(presets::UTF8_BORDERS_ONLY);
        table.set_header(vec![
            "",
            "requests/s",
            "CPU us/request",
            "of the relay's",
            "idle KiB",
            "loaded KiB",
        ]);
        for one in &self.figures {
            table.add_row(vec![
                one.name.clone(),
                format!("{:.0}", one.per_second),
                format!("{:.1}", one.cpu_us),
                format!("{:.2}", one.ratio),
                one.idle_kib.to_string(),
                one.loaded_kib.to_string(),
            ]);
        }
        format!("{table}\n{} connections, medians of {} rounds, in turns\n", self.connections, self.rounds)
    }
}

struct Contender {
    name: String,
    address: SocketAddr,
    pid: u32,
    idle_kib: u64,
    turns: Vec<(f64, f64)>,
}

/// Plays the turns.
pub async fn compare(
    plan: &Plan,
    daemon: Option<&Path>,
    connections: usize,
    turn: Duration,
    rounds: usize,
) -> Result<Comparison, Failure> {
    let mut plan = plan.clone();
    plan.schedulers.count = VARIANTS.len();
    for class in &mut plan.load.class {
        class.work = vetchbridge::config::units::Span(0);
    }
    for workers in &mut plan.workers {
        (workers.slots, workers.queue) = (1 << 16, 1 << 16);
    }
    let binary = crate::scheduler::find_daemon(daemon)?;
    let mut deployment = Deployment::start(&plan, daemon, None, &[]).await?;
    // Each scheduler again, with the words of its variant; its file and address stay.
    let folder = deployment.directory().to_path_buf();
    for (number, (_, arguments)) in VARIANTS.iter().enumerate() {
        let address = deployment.schedulers[number].address();
        deployment.schedulers[number].shut_down().await;
        let arguments = arguments.iter().map(ToString::to_string).collect();
        let launch = LaunchOptions { arguments, ..LaunchOptions::default() };
        let config = folder.join(Plan::file_name(number));
        deployment.schedulers[number] = Scheduler::start(&binary, &config, address, launch)?;
    }
    let port = Port::reserve().map_err(machine("a port for the relay's worker"))?;
    let _worker = Owned::spawn(relay::answer_at_once(port.listen().map_err(machine("the relay's worker"))?));
    let listen = Port::reserve().map_err(machine("a port for the relay"))?;
    let relay = start_relay(listen.address(), port.address())?;
    deployment.wait_until_ready().await?;
    await_ready(listen.address()).await?;

    let pid = |pid: Option<u32>| pid.ok_or_else(|| Failure::Machine("a process ended early".to_string()));
    let mut contenders = vec![("relay".to_string(), listen.address(), pid(relay.id())?)];
    for ((name, _), scheduler) in VARIANTS.iter().zip(&deployment.schedulers) {
        contenders.push((name.to_string(), scheduler.address(), pid(scheduler.pid())?));
    }
    let mut contenders: Vec<Contender> = contenders
        .into_iter()
        .map(|(name, address, pid)| Contender {
            name,
            address,
            pid,
            idle_kib: resident_memory_kib(pid).unwrap_or_default(),
            turns: Vec::new(),
        })
        .collect();
    // The first round warms up and does not count.
    for round in 0..=rounds {
        eprintln!("round {round} of {rounds}{}", if round == 0 { ", which warms up" } else { "" });
        for contender in &mut contenders {
            let figures = take_turn(&plan, contender, connections, turn).await?;
            if round > 0 {
                contender.turns.push(figures);
            }
        }
    }
    let median = |mut values: Vec<f64>| {
        values.sort_by(f64::total_cmp);
        values[values.len() / 2]
    };
    let relay_cpu = median(contenders[0].turns.iter().map(|turn| turn.1).collect());
    let figures = contenders.into_iter().map(|one| {
        let cpu_us = median(one.turns.iter().map(|turn| turn.1).collect());
        Figures {
            name: one.name,
            per_second: median(one.turns.iter().map(|turn| turn.0).collect()),
            cpu_us,
            ratio: cpu_us / relay_cpu,
            idle_kib: one.idle_kib,
            loaded_kib: resident_memory_kib(one.pid).unwrap_or_default(),
        }
    });
    Ok(Comparison { figures: figures.collect(), connections, rounds })
}

async fn take_turn(
    plan: &Plan,
    contender: &Contender,
    connections: usize,
    turn: Duration,
) -> Result<(f64, f64), Failure> {
    let clients = Clients::new(plan.load_spec(), vec![contender.address]);
    let clients = clients.map_err(|error| Failure::BadInput(error.to_string()))?;
    let gone = || Failure::Machine(format!("{} ended early", contender.name));
    let (began, before) = (Instant::now(), cpu_time(contender.pid).ok_or_else(gone)?);
    let record =
        clients.closed(connections, turn).await.map_err(|error| Failure::BadInput(error.to_string()))?;
    let (took, used) = (began.elapsed(), cpu_time(contender.pid).ok_or_else(gone)?.saturating_sub(before));
    let served = record.jobs.iter().filter(|job| job.served()).count();
    if served * 100 < record.jobs.len() * 99 {
        let other =
            record.jobs.iter().flat_map(|job| &job.tries).find(|t| !matches!(t.outcome, Outcome::Served(_)));
        let text =
            format!("{}: only {served} of {} were served: {other:?}", contender.name, record.jobs.len());
        return Err(Failure::Missed(text));
    }
    let served = served.max(1) as f64;
    Ok((served / took.as_secs_f64(), used.as_secs_f64() * 1e6 / served))
}

fn start_relay(listen: SocketAddr, to: SocketAddr) -> Result<Child, Failure> {
    let binary = std::env::current_exe().map_err(machine("the kit's own path"))?;
    let mut command = Command::new(binary);
    command.args(["relay", "--listen", &listen.to_string(), "--to", &to.to_string()]);
    command.stdin(Stdio::null()).stdout(Stdio::null()).process_group(0).kill_on_drop(true);
    command.spawn().map_err(machine("the relay"))
}

async fn await_ready(address: SocketAddr) -> Result<(), Failure> {
    let mut every = interval(Duration::from_millis(20));
    for _ in 0..500 {
        every.tick().await;
        if vetchbridge_testbed::wire::Wire::dial(address).await.is_ok() {
            return Ok(());
        }
    }
    Err(Failure::Machine("the relay did not come up".to_string()))
}
