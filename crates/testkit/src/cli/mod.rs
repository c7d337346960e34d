//! The kit's command line: its commands, one a file, and its exit codes.

mod bench;
mod demo;
mod load;
mod options;
mod output;
mod plan;
mod soak;
mod up;

use crate::{relay, Failure};
use bench::BenchCommand;
use clap::{CommandFactory, Parser, Subcommand};
use clap_complete::Shell;
use demo::DemoCommand;
use load::LoadCommand;
use plan::PlanCommand;
use soak::SoakCommand;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use tokio::runtime::{Builder, Runtime};
use up::UpCommand;

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

#[derive(Debug, Subcommand)]
enum Command {
    /// Start a platform and its schedulers, and keep them until Ctrl-C
    #[command(after_help = "Example:\n  vetchbridge-testkit up plan.toml --logs logs")]
    Up(UpCommand),
    /// Send a load to given addresses and report the answers
    #[command(after_help = "\
Examples:
  vetchbridge-testkit load --to 127.0.0.1:8080 --to 127.0.0.1:8081 --rate 200 --for 30s
  vetchbridge-testkit load --to 127.0.0.1:8080 --connections 64 --for 10s     a closed loop instead")]
    Load(LoadCommand),
    /// Start a platform, send it its load, and compare the clients' answers with the workers' runs
    #[command(after_help = "Example:\n  vetchbridge-testkit demo --for 60s --kill 2 --logs logs")]
    Demo(DemoCommand),
    /// Inject overlapping faults into real schedulers whose system calls fail, and check their invariants
    #[command(after_help = "\
Examples:
  vetchbridge-testkit soak --seed 7 --for 60s
  vetchbridge-testkit soak --seed 7 --for 10s --schedulers 6 --logs logs     shorter and smaller, with what it leaves

The last line counts troubles, overlaps, faults and violations; exit code 0 only if every invariant held and, from 30 s on,
every kind of trouble and of fault has happened.")]
    Soak(SoakCommand),
    /// Measure the daemon's processor time a request beside a bare relay's, in turns
    #[command(after_help = "Example:\n  vetchbridge-testkit bench --connections 32 --turn 3s --rounds 5")]
    Bench(BenchCommand),
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
        command: PlanCommand,
    },
    /// Print completions for a shell
    Completions {
        /// The shell
        shell: Shell,
    },
}

/// Runs the program.
pub fn main() -> ExitCode {
    let command = Cli::parse().command;
    let result = match runtime(&command) {
        Ok(runtime) => runtime.block_on(run(command)),
        Err(error) => Err(Failure::Machine(error.to_string())),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("{failure}");
            ExitCode::from(failure.code())
        }
    }
}

/// One thread for the relay, as the daemon has; a thread for each processor for everything else.
fn runtime(command: &Command) -> io::Result<Runtime> {
    let mut builder = match command {
        Command::Relay { .. } => Builder::new_current_thread(),
        _ => Builder::new_multi_thread(),
    };
    builder.enable_all().build()
}

async fn run(command: Command) -> Result<(), Failure> {
    match command {
        Command::Up(command) => command.run().await,
        Command::Load(command) => command.run().await,
        Command::Demo(command) => command.run().await,
        Command::Soak(command) => command.run().await,
        Command::Bench(command) => command.run().await,
        Command::Relay { listen, to } => relay::serve(listen, to).await,
        Command::Plan { command } => command.run(),
        Command::Completions { shell } => print_completions(shell),
    }
}

fn print_completions(shell: Shell) -> Result<(), Failure> {
    let mut text = Vec::new();
    clap_complete::generate(shell, &mut Cli::command(), "vetchbridge-testkit", &mut text);
    output::print(&String::from_utf8_lossy(&text))
}
