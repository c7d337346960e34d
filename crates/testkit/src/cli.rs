//! The kit's command line. Owns its words, its exit codes and what is printed.

use crate::deployment::Deployment;
use crate::plan::{self, Plan};
use crate::report::{Report, WorkerSide};
use crate::runner::{self, Interrupt, Progress, Trouble};
use crate::soak::{self, SoakSpec};
use crate::{bench, relay, Failure};
use clap::{Args, CommandFactory, Parser, Subcommand};
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tokio::time::Instant;
use vetchbridge::config::units::Span;
use vetchbridge_testbed::client::Clients;

const EXAMPLES: &str = "\
Examples:
  vetchbridge-testkit demo                                   a whole platform under load for 20 s, and what came of it
  vetchbridge-testkit demo --kill 2                          the same while two schedulers are killed
  vetchbridge-testkit demo --upgrade 2 --drain 1             the same while two are replaced and one is drained
  vetchbridge-testkit demo scans                             the same on a second deployment, whose workers are probed
  vetchbridge-testkit plan default > plan.toml               the plan of that platform, to change
  vetchbridge-testkit up plan.toml                           the platform alone, until Ctrl-C
  vetchbridge-testkit load --to 127.0.0.1:8080 --rate 100    a load on addresses of yours
  vetchbridge-testkit bench                                  the daemon's cost beside a bare relay's

Exit codes:
  0  held                         2  bad input: nothing was started
  1  a rule or goal was missed    3  the machine could not do it
  130  ended at once by a second Ctrl-C";

/// The kit that ships with the daemon: stand-in platform, load, demonstration, measurements.
#[derive(Debug, Parser)]
#[command(name = "vetchbridge-testkit", version, after_help = EXAMPLES)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Args)]
struct Staging {
    /// The daemon's binary; the one beside this program where it is absent
    #[arg(long, value_name = "FILE")]
    daemon: Option<PathBuf>,
    /// Keep the schedulers' configurations and logs in this folder
    #[arg(long, value_name = "FOLDER")]
    logs: Option<PathBuf>,
    /// What the schedulers log, as in `RUST_LOG`
    #[arg(long, value_name = "FILTER")]
    log_filter: Option<String>,
}

impl Staging {
    fn extra(&self) -> Vec<String> {
        let filter = self.log_filter.iter().flat_map(|filter| ["--log-filter".to_string(), filter.clone()]);
        filter.collect()
    }
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Start a platform and its schedulers, and keep them until Ctrl-C
    #[command(after_help = "Example:\n  vetchbridge-testkit up plan.toml --logs logs")]
    Up {
        /// The plan: a file, or the name of a built-in one; `demo` where it is absent
        plan: Option<PathBuf>,
        #[command(flatten)]
        staging: Staging,
    },
    /// Send a load to given addresses and tell what came back
    #[command(after_help = "\
Examples:
  vetchbridge-testkit load --to 127.0.0.1:8080 --to 127.0.0.1:8081 --rate 200 --for 30s
  vetchbridge-testkit load --to 127.0.0.1:8080 --connections 64 --for 10s     a closed loop instead")]
    Load {
        /// Where to; several are taken in turn
        #[arg(long, required = true, value_name = "ADDRESS")]
        to: Vec<SocketAddr>,
        /// Jobs a second, as an open loop; the plan's where it is absent
        #[arg(long, conflicts_with = "connections")]
        rate: Option<f64>,
        /// Keep so many connections busy instead
        #[arg(long)]
        connections: Option<usize>,
        /// For how long; the plan's where it is absent
        #[arg(long = "for", value_name = "SPAN")]
        duration: Option<Span>,
        /// Classes and their jobs come from this plan
        #[arg(long, value_name = "FILE")]
        plan: Option<PathBuf>,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Start a platform, send it its load, and hold what clients heard against what workers ran
    #[command(after_help = "Example:\n  vetchbridge-testkit demo --for 60s --kill 2 --logs logs")]
    Demo {
        /// The plan: a file, or the name of a built-in one (demo, scans); `demo` where it is absent
        plan: Option<PathBuf>,
        /// Kill so many schedulers by SIGKILL along the load; each is back after 2 s
        #[arg(long, default_value_t = 0)]
        kill: usize,
        /// Replace so many schedulers by a process that takes over, which no client may notice
        #[arg(long, default_value_t = 0)]
        upgrade: usize,
        /// Drain so many schedulers, each for 2 s
        #[arg(long, default_value_t = 0)]
        drain: usize,
        /// End each replaced process by SIGKILL: what is lost then is to show in the account
        #[arg(long, requires = "upgrade")]
        careless: bool,
        /// For how long; the plan's where it is absent
        #[arg(long = "for", value_name = "SPAN")]
        duration: Option<Span>,
        /// Jobs a second; the plan's where it is absent
        #[arg(long)]
        rate: Option<f64>,
        /// Print JSON
        #[arg(long)]
        json: bool,
        #[command(flatten)]
        staging: Staging,
    },
    /// Play troubles that overlap against real schedulers whose system calls fail, and hold them to their promises
    #[command(after_help = "\
Examples:
  vetchbridge-testkit soak --seed 7 --for 60s
  vetchbridge-testkit soak --seed 7 --for 10s --schedulers 6 --logs logs     shorter and smaller, with what it leaves

The last line counts troubles, overlaps, faults and violations; exit code 0 only if every promise was kept and, from 30 s on,
every kind of trouble and of fault has happened.")]
    Soak {
        /// Draws troubles and faults
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// For how long
        #[arg(long = "for", default_value = "30s", value_name = "SPAN")]
        duration: Span,
        /// How many schedulers; 24 where it is absent
        #[arg(long, value_parser = clap::value_parser!(u64).range(3..=48))]
        schedulers: Option<u64>,
        #[command(flatten)]
        staging: Staging,
    },
    /// Measure the daemon's processor time a request beside a bare relay's, in turns
    #[command(after_help = "Example:\n  vetchbridge-testkit bench --connections 32 --turn 3s --rounds 5")]
    Bench {
        /// Connections to keep busy
        #[arg(long, default_value_t = 32)]
        connections: usize,
        /// How long a turn takes
        #[arg(long, default_value = "3s", value_name = "SPAN")]
        turn: Span,
        /// Turns of each
        #[arg(long, default_value_t = 5)]
        rounds: usize,
        /// The daemon's binary; the one beside this program where it is absent
        #[arg(long, value_name = "FILE")]
        daemon: Option<PathBuf>,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Pass every request on to one address, deciding nothing: what `bench` compares with
    Relay {
        /// Where clients connect
        #[arg(long, value_name = "ADDRESS")]
        listen: SocketAddr,
        /// Where requests go
        #[arg(long, value_name = "ADDRESS")]
        to: SocketAddr,
    },
    /// Print what plans look like
    Plan {
        #[command(subcommand)]
        what: What,
    },
    /// Print completions for a shell
    Completions {
        /// The shell
        shell: clap_complete::Shell,
    },
}

#[derive(Debug, Subcommand)]
enum What {
    /// The plan of the demonstration
    Default,
    /// A built-in plan by its name: demo, or scans
    Show {
        /// Its name
        name: String,
    },
    /// The JSON Schema of the format, for editors
    Schema,
    /// Read plans and tell every fault
    Check {
        /// The plans
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
}

/// The whole program.
pub fn main() -> ExitCode {
    let cli = Cli::parse();
    let runtime = match cli.command {
        // One thread, as the daemon has.
        Command::Relay { .. } => tokio::runtime::Builder::new_current_thread().enable_all().build(),
        _ => tokio::runtime::Builder::new_multi_thread().enable_all().build(),
    };
    let done = match runtime {
        Ok(runtime) => runtime.block_on(run(cli.command)),
        Err(error) => Err(Failure::Machine(error.to_string())),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("{failure}");
            ExitCode::from(failure.code())
        }
    }
}

async fn run(command: Command) -> Result<(), Failure> {
    match command {
        Command::Up { plan, staging } => up(&Plan::read(plan.as_deref())?, &staging).await,
        Command::Load { to, rate, connections, duration, plan, json } => {
            let mut plan = Plan::read(plan.as_deref())?;
            override_load(&mut plan, rate, duration)?;
            load(&plan, to, connections, json).await
        }
        Command::Demo { plan, kill, upgrade, drain, careless, duration, rate, json, staging } => {
            let mut plan = Plan::read(plan.as_deref())?;
            override_load(&mut plan, rate, duration)?;
            let replaced = if careless { Trouble::CarelessUpgrade } else { Trouble::Upgrade };
            let troubles = [(Trouble::Drain, drain), (replaced, upgrade), (Trouble::Kill, kill)];
            let troubles: Vec<Trouble> = troubles
                .into_iter()
                .flat_map(|(trouble, times)| std::iter::repeat_n(trouble, times))
                .collect();
            demo(&plan, &troubles, json, &staging).await
        }
        Command::Soak { seed, duration, schedulers, staging } => {
            let schedulers = schedulers.map(|count| count as usize);
            soak(SoakSpec { seed, duration: duration.duration(), schedulers }, &staging).await
        }
        Command::Bench { connections, turn, rounds, daemon, json } => {
            if connections == 0 || rounds == 0 {
                return Err(Failure::BadInput("--connections and --rounds must be at least 1".to_string()));
            }
            descriptors(connections as u64 * 8 + 256)?;
            let plan = Plan::read(None)?;
            let found =
                bench::compare(&plan, daemon.as_deref(), connections, turn.duration(), rounds).await?;
            print(&if json { to_json(&found)? } else { found.text() })
        }
        Command::Relay { listen, to } => relay::serve(listen, to).await,
        Command::Plan { what: What::Default } => print(plan::DEMO),
        Command::Plan { what: What::Show { name } } => {
            let known = plan::BUILT_IN.iter().find(|(known, _)| *known == name);
            let names = plan::BUILT_IN.map(|(known, _)| known).join(", ");
            let missing = || Failure::BadInput(format!("{name}: no plan of this name; one of {names}"));
            print(known.ok_or_else(missing)?.1)
        }
        Command::Plan { what: What::Schema } => print(&to_json(&plan::schema())?),
        Command::Plan { what: What::Check { files } } => {
            let faults = files.iter().filter_map(|file| Plan::read(Some(file)).err());
            let faults: Vec<String> = faults.map(|failure| failure.to_string()).collect();
            if faults.is_empty() {
                return print("held\n");
            }
            Err(Failure::BadInput(faults.join("\n")))
        }
        Command::Completions { shell } => {
            let mut text = Vec::new();
            clap_complete::generate(shell, &mut Cli::command(), "vetchbridge-testkit", &mut text);
            print(&String::from_utf8_lossy(&text))
        }
    }
}

/// A reader that has gone is no fault.
fn print(text: &str) -> Result<(), Failure> {
    match io::stdout().write_all(text.as_bytes()) {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => Err(Failure::Machine(error.to_string())),
        _ => Ok(()),
    }
}

fn to_json(value: &impl serde::Serialize) -> Result<String, Failure> {
    let text = serde_json::to_string_pretty(value).map_err(|error| Failure::Machine(error.to_string()))?;
    Ok(text + "\n")
}

fn override_load(plan: &mut Plan, rate: Option<f64>, duration: Option<Span>) -> Result<(), Failure> {
    if let Some(rate) = rate {
        if !(rate > 0.0 && rate <= 1e6) {
            return Err(Failure::BadInput(format!(
                "--rate {rate}: from just above 0 to 1000000 jobs a second"
            )));
        }
        plan.load.rate = rate;
    }
    plan.load.duration = duration.unwrap_or(plan.load.duration);
    Ok(())
}

/// Raises the limit on descriptors as far as it goes, and says so if that is not enough.
fn descriptors(wanted: u64) -> Result<(), Failure> {
    let limit = getrlimit(Resource::Nofile);
    if limit.current.is_some_and(|current| current < wanted) {
        // What can't be raised is found out by the check below.
        let _ = setrlimit(Resource::Nofile, Rlimit { current: limit.maximum, maximum: limit.maximum });
    }
    match getrlimit(Resource::Nofile).current {
        Some(current) if current < wanted => Err(Failure::Machine(format!(
            "{wanted} descriptors are needed and the limit is {current}: raise it (ulimit -n) or ask for less"
        ))),
        _ => Ok(()),
    }
}

async fn up(plan: &Plan, staging: &Staging) -> Result<(), Failure> {
    let interrupt = Interrupt::listen()?;
    let extra = staging.extra();
    let setting = Deployment::start(plan, staging.daemon.as_deref(), staging.logs.as_deref(), &extra);
    let mut deployment = interrupt.unless_asked(setting).await?;
    let mut text = format!("front       {}\n", deployment.front.address());
    for (number, scheduler) in deployment.schedulers.iter().enumerate() {
        let (address, log) = (scheduler.address(), scheduler.log_path().display());
        let door =
            scheduler.admin_address().map(|address| format!("  operators {address}")).unwrap_or_default();
        text.push_str(&format!("scheduler {number} {address}{door}  log {log}\n"));
    }
    for worker in &deployment.workers {
        let (spec, addresses) = (worker.spec(), worker.addresses());
        let first = addresses.first().map(ToString::to_string).unwrap_or_default();
        text.push_str(&format!("worker      {first}  {} {} {}\n", spec.name, spec.zone, spec.kind));
    }
    text.push_str(&format!(
        "\nvetchbridge-testkit load --to {}   sends it jobs; Ctrl-C ends\n",
        deployment.front.address()
    ));
    print(&text)?;
    let mut every = tokio::time::interval(Duration::from_millis(500));
    loop {
        tokio::select! {
            () = interrupt.asked() => break,
            _ = every.tick() => deployment.check_running()?,
        }
    }
    ended_well(&deployment.shut_down().await)
}

fn ended_well(failures: &[String]) -> Result<(), Failure> {
    if failures.is_empty() {
        return Ok(());
    }
    Err(Failure::Missed(failures.join("\n")))
}

/// Descriptors of a soak test: listeners of each worker for each scheduler, crowds, the load and what is in flight.
const SOAK_DESCRIPTORS: u64 = 8192;

async fn soak(spec: SoakSpec, staging: &Staging) -> Result<(), Failure> {
    descriptors(SOAK_DESCRIPTORS)?;
    let filter = staging.log_filter.as_deref().unwrap_or("info");
    let report = soak::run(spec, staging.daemon.as_deref(), staging.logs.as_deref(), filter).await?;
    print(&report.text())?;
    if report.passed() {
        return Ok(());
    }
    Err(Failure::Missed("not every promise was kept, or not everything happened".to_string()))
}

async fn load(
    plan: &Plan,
    to: Vec<SocketAddr>,
    connections: Option<usize>,
    json: bool,
) -> Result<(), Failure> {
    // An open loop holds as many connections as jobs are out; a second's worth is a fair guess at the least.
    descriptors(connections.map_or(plan.load.rate.ceil() as u64, |connections| connections as u64) + 64)?;
    let clients = Clients::new(plan.load_spec(), to).map_err(|error| Failure::BadInput(error.to_string()))?;
    let (interrupt, duration) = (Interrupt::listen()?, plan.load.duration.duration());
    let record = match connections {
        Some(0) => return Err(Failure::BadInput("--connections 0: at least 1".to_string())),
        Some(connections) => {
            interrupt.unless_asked(async { Ok(clients.closed(connections, duration).await) }).await?
        }
        None => {
            let mut progress = Progress::new(duration);
            clients.run(Instant::now(), duration, interrupt.subscribe(), |at| progress.show(at)).await
        }
    };
    let record = record.map_err(|error| Failure::BadInput(error.to_string()))?;
    let report = Report::of(&plan.load_spec(), &record, None, &[]);
    finish(&report, json, &[])
}

async fn demo(plan: &Plan, troubles: &[Trouble], json: bool, staging: &Staging) -> Result<(), Failure> {
    descriptors((plan.load.rate * 4.0).ceil() as u64 + 64 * plan.worker_specs().len() as u64)?;
    let interrupt = Interrupt::listen()?;
    let extra = staging.extra();
    let setting = Deployment::start(plan, staging.daemon.as_deref(), staging.logs.as_deref(), &extra);
    let mut deployment = interrupt.unless_asked(setting).await?;
    let clients = Clients::new(plan.load_spec(), vec![deployment.front.address()]);
    let clients = clients.map_err(|error| Failure::BadInput(error.to_string()))?;
    let ran = runner::run(
        &mut deployment,
        clients,
        plan.load.duration.duration(),
        troubles,
        &plan.trouble,
        &interrupt,
    )
    .await;
    let (record, outages) = ran?;
    let workers = WorkerSide {
        runs: deployment.runs.all(),
        counts: deployment.runs.counts(),
        probes: plan.probes.as_ref().map(|_| deployment.runs.probes()),
    };
    let failures = deployment.shut_down().await;
    let report = Report::of(&plan.load_spec(), &record, Some(&workers), &outages);
    finish(&report, json, &failures)
}

fn finish(report: &Report, json: bool, failures: &[String]) -> Result<(), Failure> {
    print(&if json { to_json(report)? } else { report.text() })?;
    if !report.violations.is_empty() {
        return Err(Failure::Missed(format!("{} rules were broken", report.violations.len())));
    }
    if report.answers.served == 0 && report.jobs > 0 {
        return Err(Failure::Missed("nothing was served".to_string()));
    }
    if let Some(fault) = report.machine_fault() {
        return Err(Failure::Machine(fault));
    }
    ended_well(failures)
}
