//! The testing kit's command line: one file for each command, and the exit codes.

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
  vetchbridge-testkit demo                                   run a local deployment under load
  vetchbridge-testkit demo --kill 2                          also kill two schedulers
  vetchbridge-testkit demo --upgrade 2 --drain 1             upgrade two schedulers and drain one
  vetchbridge-testkit demo scans                             use the plan `scans`
  vetchbridge-testkit plan default > plan.toml               write the default plan to a file
  vetchbridge-testkit up plan.toml                           start a deployment without load
  vetchbridge-testkit load --to 127.0.0.1:8080 --rate 100    send load to an address
  vetchbridge-testkit bench                                  compare the daemon with a plain relay

Exit codes:
  0  success
  1  a check failed or a goal was not reached
  2  invalid input; nothing was started
  3  the machine or its setup prevented the command from completing
  130  exited immediately after a second Ctrl-C";

/// Testing kit for the daemon: runs local deployments, sends load, injects faults and measures
#[derive(Debug, Parser)]
#[command(name = "vetchbridge-testkit", version, after_help = EXAMPLES)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Start a deployment with simulated workers, and keep it running until Ctrl-C
    #[command(after_help = "Example:\n  vetchbridge-testkit up plan.toml --logs logs")]
    Up(UpCommand),
    /// Send a load to given addresses and report the answers
    #[command(after_help = "\
Examples:
  vetchbridge-testkit load --to 127.0.0.1:8080 --to 127.0.0.1:8081 --rate 200 --for 30s
  vetchbridge-testkit load --to 127.0.0.1:8080 --connections 64 --for 10s     use a closed loop")]
    Load(LoadCommand),
    /// Start a deployment, send it load, and check that each job was answered exactly once
    #[command(after_help = "Example:\n  vetchbridge-testkit demo --for 60s --kill 2 --logs logs")]
    Demo(DemoCommand),
    /// Inject overlapping faults into real schedulers whose system calls fail, and check invariants
    #[command(after_help = "\
Examples:
  vetchbridge-testkit soak --seed 7 --for 60s
  vetchbridge-testkit soak --seed 7 --for 10s --schedulers 6 --logs logs     smaller, with logs

The last line contains the totals. The exit code is 0 only if no invariant was violated and, in a
test of at least 30 s, every kind of platform fault and of system call fault happened.")]
    Soak(SoakCommand),
    /// Measure the daemon's processor time per request and compare it with a plain relay's
    #[command(after_help = "Example:\n  vetchbridge-testkit bench --connections 32 --turn 3s --rounds 5")]
    Bench(BenchCommand),
    /// Forward every request to one address; `bench` runs this relay for comparison
    Relay {
        /// The address to listen on
        #[arg(long, value_name = "ADDRESS")]
        listen: SocketAddr,
        /// The address to forward requests to
        #[arg(long, value_name = "ADDRESS")]
        to: SocketAddr,
    },
    /// Print and check plans, the descriptions of deployments
    Plan {
        #[command(subcommand)]
        command: PlanCommand,
    },
    /// Print a completion script for a shell
    Completions {
        /// The shell to print completions for
        shell: Shell,
    },
}

/// Parses the command line, runs the command and returns its exit code.
pub fn main() -> ExitCode {
    let command = Cli::parse().command;
    let result = match runtime(&command) {
        Ok(runtime) => runtime.block_on(run(command)),
        Err(error) => Err(Failure::System(error.to_string())),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("{failure}");
            ExitCode::from(failure.code())
        }
    }
}

/// Returns the asynchronous runtime of a command: with one thread for the relay, as in the daemon, and with
/// one thread per processor for other commands.
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
