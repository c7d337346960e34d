//! The daemon's command line: its subcommands and flags, its exit codes and what it prints. Everything that it starts is
//! done elsewhere.

mod default_file;

use crate::config::{self, file, Config, EffectiveValue, Flags};
use crate::logs::{LogFormat, Logs};
use crate::net::retry_blocking;
use crate::serve;
use crate::signals::SignalHandlers;
use clap::{Args, CommandFactory, Parser, Subcommand};
use default_file::default_file;
use serde_json::Value;
use std::fmt::Display;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::runtime::{self, Runtime};

const EXAMPLES: &str = "\
Examples:
  vetchbridge config default > vetchbridge.toml   a commented file to begin with
  vetchbridge check vetchbridge.toml              what it says, or everything that is wrong with it
  vetchbridge serve --config vetchbridge.toml     the daemon, in the foreground
  BALANCER_CONFIG=/run/config.json vetchbridge    the daemon, as a platform starts it

Exit codes:
  0  it ended as it was told to    2  bad input: nothing was started
  1  it broke                      3  the machine could not do it (an address is taken, say)";

/// A scheduler for jobs: pushes each to a worker, chosen by a consistent ring, and answers its client exactly once.
#[derive(Debug, Parser)]
#[command(name = "vetchbridge", version, after_help = EXAMPLES, args_conflicts_with_subcommands = true)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    serve: Serve,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run the daemon (what happens without a subcommand, too)
    #[command(
        after_help = "Example:\n  vetchbridge serve --config vetchbridge.toml --listen 127.0.0.1:9000"
    )]
    Serve(Serve),
    /// Read configurations: print the values in force with where each came from, or every fault
    #[command(
        after_help = "Example:\n  vetchbridge check deploy/*.toml\n\nExits with 2 if any file has a fault."
    )]
    Check {
        /// Print JSON
        #[arg(long)]
        json: bool,
        /// Files of our format (TOML) or of the platform's (JSON)
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Print what configurations look like
    Config {
        #[command(subcommand)]
        subject: ConfigCommand,
    },
    /// Print completions for a shell
    #[command(after_help = "Example:\n  vetchbridge completions bash > /etc/bash_completion.d/vetchbridge")]
    Completions {
        /// The shell
        shell: clap_complete::Shell,
    },
}

#[derive(Debug, Subcommand)]
enum ConfigCommand {
    /// A file with every key, its meaning and its default
    Default,
    /// The JSON Schema of the format, for editors
    Schema,
}

#[derive(Debug, Default, Args)]
struct Serve {
    /// Configuration file; what `BALANCER_CONFIG` names wins over it
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// This scheduler's name
    #[arg(long)]
    name: Option<String>,
    /// Where clients and callbacks connect
    #[arg(long, value_name = "ADDRESS")]
    listen: Option<SocketAddr>,
    /// Discovery's address
    #[arg(long, value_name = "ADDRESS")]
    discovery: Option<SocketAddr>,
    /// How log lines look
    #[arg(long, value_enum, value_name = "FORMAT")]
    log_format: Option<LogFormat>,
    /// What is logged, as in `RUST_LOG`
    #[arg(long, value_name = "FILTER")]
    log_filter: Option<String>,
}

/// Exit code where the input is invalid and nothing was started.
const EXIT_BAD_INPUT: u8 = 2;
/// Exit code where the system lacks something, such as a free address.
const EXIT_SYSTEM: u8 = 3;

/// Runs the program.
pub fn main() -> ExitCode {
    let cli = Cli::parse();
    match cli.command {
        None => start(cli.serve),
        Some(Command::Serve(serve)) => start(serve),
        Some(Command::Check { json, files }) => check(&files, json),
        Some(Command::Config { subject: ConfigCommand::Default }) => print(&default_file()),
        Some(Command::Config { subject: ConfigCommand::Schema }) => print(&format!("{:#}\n", file::schema())),
        Some(Command::Completions { shell }) => {
            let mut text = Vec::new();
            clap_complete::generate(shell, &mut Cli::command(), "vetchbridge", &mut text);
            print(&String::from_utf8_lossy(&text))
        }
    }
}

/// Prints to standard output; that its reader has closed it is no error.
fn print(text: &str) -> ExitCode {
    match io::stdout().write_all(text.as_bytes()) {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => ExitCode::from(EXIT_SYSTEM),
        _ => ExitCode::SUCCESS,
    }
}

fn start(serve: Serve) -> ExitCode {
    let Serve { config, name, listen, discovery, log_format, log_filter } = serve;
    let flags = Flags { config, name, listen, discovery, log_format, log_filter };
    let prepared = prepare_runtime();
    let loaded = config::load(&flags);
    let (format, filter) = match &loaded {
        Ok(Config { log, .. }) => (log.format, log.filter.to_string()),
        Err(_) => (log_format.unwrap_or_default(), crate::logs::DEFAULT_FILTER.to_string()),
    };
    let logs = match Logs::start(format, &filter) {
        Ok(logs) => logs,
        Err(error) => {
            eprintln!("vetchbridge: log filter: {error}");
            return ExitCode::from(EXIT_BAD_INPUT);
        }
    };
    let config = match loaded {
        Ok(config) => config,
        Err(error) => {
            error.0.iter().for_each(|fault| tracing::error!("configuration: {fault}"));
            return ExitCode::from(EXIT_BAD_INPUT);
        }
    };
    let (runtime, signals) = match prepared {
        Ok(prepared) => prepared,
        Err(error) => return failed(&error),
    };
    match runtime.block_on(serve::run(config, flags, logs, signals)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => failed(&error),
    }
}

fn failed(error: &dyn Display) -> ExitCode {
    tracing::error!(%error, "daemon.failed");
    ExitCode::from(EXIT_SYSTEM)
}

/// The runtime, with the signal handlers installed before it. Without them, a signal that arrives while the configuration
/// is read would end the process.
fn prepare_runtime() -> io::Result<(Runtime, SignalHandlers)> {
    let signals = retry_blocking("signals", SignalHandlers::install)?;
    // The daemon has one core: with one thread no lock is ever contended.
    let runtime = retry_blocking("runtime", || runtime::Builder::new_current_thread().enable_all().build())?;
    Ok((runtime, signals))
}

/// Prints the values of each file, or everything that is wrong with it.
fn check(files: &[PathBuf], json: bool) -> ExitCode {
    let mut code = ExitCode::SUCCESS;
    let mut reports = Vec::new();
    for path in files {
        let read = config::read_file(path);
        match (&read, json) {
            (Ok(read), true) => {
                reports.push(serde_json::json!({"file": path, "faults": [], "values": read.effective}));
            }
            (Err(error), true) => reports.push(serde_json::json!({"file": path, "faults": error.0})),
            (Ok(read), false) => drop(print(&values_table(&path.to_string_lossy(), &read.effective))),
            (Err(error), false) => eprintln!("{error}"),
        }
        if read.is_err() {
            code = ExitCode::from(EXIT_BAD_INPUT);
        }
    }
    if json {
        print(&format!("{:#}\n", Value::Array(reports)));
    }
    code
}

/// The values in force as lines of text, each with its origin.
fn values_table(file: &str, values: &[EffectiveValue]) -> String {
    let text = |value: &EffectiveValue| format!("{} = {}", value.key, value.value);
    let width = values.iter().map(|value| text(value).chars().count()).max().unwrap_or(0).min(60);
    let lines = values.iter().map(|value| format!("{:width$}  # {}\n", text(value), value.from));
    format!("# {file} holds\n{}", lines.collect::<String>())
}
