//! The daemon's command line: subcommands, flags, exit codes and output. Other modules do the work of the
//! subcommands.

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
  vetchbridge config default > vetchbridge.toml   print a commented example file
  vetchbridge check vetchbridge.toml              print its values, or all of its faults
  vetchbridge serve --config vetchbridge.toml     run the daemon in the foreground
  BALANCER_CONFIG=/run/config.json vetchbridge    run the daemon with the platform's document

Exit codes:
  0  success           2  invalid input; nothing was started
  1  internal error    3  system error, such as an address that is in use";

/// Job scheduler: chooses a worker for each job by consistent hashing, sends the job to the worker and
/// answers the client exactly once.
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
    /// Run the scheduler daemon (the default without a subcommand)
    #[command(
        after_help = "Example:\n  vetchbridge serve --config vetchbridge.toml --listen 127.0.0.1:9000"
    )]
    Serve(Serve),
    /// Check configuration files: print each value with its origin, or all faults
    #[command(
        after_help = "Example:\n  vetchbridge check deploy/lima-callao.toml\n\nExits with code 2 if any file has a fault."
    )]
    Check {
        /// Print the result as JSON
        #[arg(long)]
        json: bool,
        /// Configuration files to check, in TOML or in the platform's JSON format
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Print an example of the configuration file, or its JSON Schema
    Config {
        #[command(subcommand)]
        subject: ConfigCommand,
    },
    /// Print the completion script for a shell
    #[command(after_help = "Example:\n  vetchbridge completions bash > /etc/bash_completion.d/vetchbridge")]
    Completions {
        /// Shell to print the script for
        shell: clap_complete::Shell,
    },
}

#[derive(Debug, Subcommand)]
enum ConfigCommand {
    /// Print an example file with every key, its meaning, and its default or an example value
    Default,
    /// Print the JSON Schema of the configuration file, for use in editors
    Schema,
}

#[derive(Debug, Default, Args)]
struct Serve {
    /// Configuration file. If the environment variable `BALANCER_CONFIG` is set, the document that it names
    /// is used instead, and only the log settings of this file apply
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// Name of this scheduler
    #[arg(long)]
    name: Option<String>,
    /// Address on which the scheduler accepts clients and the callbacks of workers
    #[arg(long, value_name = "ADDRESS")]
    listen: Option<SocketAddr>,
    /// Address of the discovery service
    #[arg(long, value_name = "ADDRESS")]
    discovery: Option<SocketAddr>,
    /// Format of log lines
    #[arg(long, value_enum, value_name = "FORMAT")]
    log_format: Option<LogFormat>,
    /// Which events are logged, in the syntax of `RUST_LOG`, such as `info`
    #[arg(long, value_name = "FILTER")]
    log_filter: Option<String>,
}

/// Exit code if the configuration or a flag is invalid and nothing was started.
const EXIT_BAD_INPUT: u8 = 2;
/// Exit code after a system error, such as an address that is in use.
const EXIT_SYSTEM: u8 = 3;

/// Runs the program and returns its exit code.
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

/// Prints a text to standard output. Ignores the error if the reader has closed the pipe.
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
        Err(error) => return report_system_error(&error),
    };
    match runtime.block_on(serve::run(config, flags, logs, signals)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report_system_error(&error),
    }
}

fn report_system_error(error: &dyn Display) -> ExitCode {
    tracing::error!(%error, "daemon.failed");
    ExitCode::from(EXIT_SYSTEM)
}

/// Installs the signal handlers and creates the runtime. Without the handlers, a signal that arrives while
/// the configuration is read would terminate the process.
fn prepare_runtime() -> io::Result<(Runtime, SignalHandlers)> {
    let signals = retry_blocking("signals", SignalHandlers::install)?;
    // The daemon has one processor core, so the runtime has a single thread, and no lock is ever contended.
    let runtime = retry_blocking("runtime", || runtime::Builder::new_current_thread().enable_all().build())?;
    Ok((runtime, signals))
}

/// Prints the configuration values of each file or, if the file is invalid, all errors in the file.
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

/// Formats the configuration values of a file, one per line, each with its origin.
fn values_table(file: &str, values: &[EffectiveValue]) -> String {
    let text = |value: &EffectiveValue| format!("{} = {}", value.key, value.value);
    let width = values.iter().map(|value| text(value).chars().count()).max().unwrap_or(0).min(60);
    let lines = values.iter().map(|value| format!("{:width$}  # {}\n", text(value), value.from));
    format!("# {file} holds\n{}", lines.collect::<String>())
}
