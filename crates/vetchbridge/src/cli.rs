//! The daemon's command line. Owns its words, its exit codes and what it prints; everything it does is done elsewhere.

use crate::config::{self, file, Config, Effective, Flags};
use crate::logs::{LogFormat, Logs};
use crate::net::retry_blocking;
use crate::serve;
use crate::signals::CaughtSignals;
use clap::{Args, CommandFactory, Parser, Subcommand};
use serde_json::Value;
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
        what: What,
    },
    /// Print completions for a shell
    #[command(after_help = "Example:\n  vetchbridge completions bash > /etc/bash_completion.d/vetchbridge")]
    Completions {
        /// The shell
        shell: clap_complete::Shell,
    },
}

#[derive(Debug, Subcommand)]
enum What {
    /// A file with every key, its meaning and its default
    Default,
    /// The JSON Schema of the format, for editors
    Schema,
}

#[derive(Debug, Default, Args)]
struct Serve {
    /// Configuration file; what BALANCER_CONFIG names wins over it
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
    /// What is logged, as in RUST_LOG
    #[arg(long, value_name = "FILTER")]
    log_filter: Option<String>,
}

/// Bad input; nothing was started.
const BAD_INPUT: u8 = 2;
/// The machine could not do it.
const MACHINE: u8 = 3;

/// The whole program.
pub fn main() -> ExitCode {
    let cli = Cli::parse();
    match cli.command {
        None => start(cli.serve),
        Some(Command::Serve(serve)) => start(serve),
        Some(Command::Check { json, files }) => check(&files, json),
        Some(Command::Config { what: What::Default }) => print(&default_file()),
        Some(Command::Config { what: What::Schema }) => print(&format!("{:#}\n", file::schema())),
        Some(Command::Completions { shell }) => {
            let mut text = Vec::new();
            clap_complete::generate(shell, &mut Cli::command(), "vetchbridge", &mut text);
            print(&String::from_utf8_lossy(&text))
        }
    }
}

/// Prints to standard output; a reader that has gone is no fault.
fn print(text: &str) -> ExitCode {
    match io::stdout().write_all(text.as_bytes()) {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => ExitCode::from(MACHINE),
        _ => ExitCode::SUCCESS,
    }
}

fn start(serve: Serve) -> ExitCode {
    let Serve { config, name, listen, discovery, log_format, log_filter } = serve;
    let flags = Flags { config, name, listen, discovery, log_format, log_filter };
    let prepared = prepare_runtime();
    let read = config::load(&flags);
    let (format, filter) = match &read {
        Ok(Config { log, .. }) => (log.format, log.filter.to_string()),
        Err(_) => (log_format.unwrap_or_default(), crate::logs::DEFAULT_FILTER.to_string()),
    };
    let logs = match Logs::start(format, &filter) {
        Ok(logs) => logs,
        Err(error) => {
            eprintln!("vetchbridge: log filter: {error}");
            return ExitCode::from(BAD_INPUT);
        }
    };
    let config = match read {
        Ok(config) => config,
        Err(error) => {
            error.0.iter().for_each(|fault| tracing::error!("configuration: {fault}"));
            return ExitCode::from(BAD_INPUT);
        }
    };
    let ended = match prepared {
        Ok((runtime, signals)) => runtime.block_on(serve::run(config, flags, logs, signals)),
        Err(error) => Err(error.into()),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(%error, "daemon.failed");
            ExitCode::from(MACHINE)
        }
    }
}

/// The runtime, with the signals caught before it. Uncaught, one that comes while the configuration is read would end the
/// process.
fn prepare_runtime() -> io::Result<(Runtime, CaughtSignals)> {
    let signals = retry_blocking("signals", CaughtSignals::catch)?;
    // One core is all there is: one thread, and no locks ever waited for.
    let runtime = retry_blocking("runtime", || runtime::Builder::new_current_thread().enable_all().build())?;
    Ok((runtime, signals))
}

fn check(files: &[PathBuf], json: bool) -> ExitCode {
    let (mut code, mut reports) = (ExitCode::SUCCESS, Vec::new());
    for path in files {
        let read = config::read_file(path);
        match (&read, json) {
            (Ok(read), true) => {
                reports.push(serde_json::json!({"file": path, "faults": [], "values": read.effective}));
            }
            (Err(error), true) => reports.push(serde_json::json!({"file": path, "faults": error.0})),
            (Ok(read), false) => drop(print(&table(&path.to_string_lossy(), &read.effective))),
            (Err(error), false) => eprintln!("{error}"),
        }
        if read.is_err() {
            code = ExitCode::from(BAD_INPUT);
        }
    }
    if json {
        print(&format!("{:#}\n", Value::Array(reports)));
    }
    code
}

fn table(file: &str, values: &[Effective]) -> String {
    let text = |value: &Effective| format!("{} = {}", value.key, value.value);
    let width = values.iter().map(|value| text(value).chars().count()).max().unwrap_or(0).min(60);
    let lines = values.iter().map(|value| format!("{:width$}  # {}\n", text(value), value.from));
    format!("# {file} holds\n{}", lines.collect::<String>())
}

/// Every key with its meaning, in a comment above it. Keys without a default are commented out.
fn default_file() -> String {
    let schema = file::schema();
    let values = serde_json::to_value(file::example()).unwrap_or_default();
    let mut text = format!("# {}\n", schema["description"].as_str().unwrap_or_default());
    let mut tables = String::new();
    let empty = serde_json::Map::new();
    let comment =
        |schema: &Value| schema["description"].as_str().map(|d| d.replace('\n', " ")).unwrap_or_default();
    let line = |name: &str, schema: &Value, value: Option<&Value>| {
        let example = match schema["format"].as_str() {
            Some("span") => "\"1s\"",
            Some("address") => "\"127.0.0.1:8500\"",
            Some("seed") => "\"8c1f30d27a5be964\"",
            _ => match schema["type"].as_str() {
                Some("string") => "\"\"",
                Some("integer" | "number") => "0",
                Some("boolean") => "false",
                Some("array") => "[]",
                _ => "\"\"",
            },
        };
        match value {
            Some(value) => format!("# {}\n{name} = {value}\n", comment(schema)),
            None => format!("# {}\n#{name} = {example}\n", comment(schema)),
        }
    };
    for (name, schema) in schema["properties"].as_object().unwrap_or(&empty) {
        let entry = &schema["items"];
        if let Some(keys) = entry["properties"].as_object() {
            let example = values[name].get(0);
            // A list without an entry of its own is shown, but commented out.
            let (hash, example) = (if example.is_some() { "" } else { "#" }, example.unwrap_or(&Value::Null));
            tables.push_str(&format!("\n# {}\n{hash}[[{name}]]\n", comment(schema)));
            keys.iter().for_each(|(key, schema)| tables.push_str(&line(key, schema, example.get(key))));
        } else if let Some(keys) = schema["properties"].as_object() {
            tables.push_str(&format!("\n# {}\n[{name}]\n", comment(schema)));
            keys.iter().for_each(|(key, schema)| tables.push_str(&line(key, schema, values[name].get(key))));
        } else {
            text.push_str(&format!("\n{}", line(name, schema, values.get(name))));
        }
    }
    text + &tables
}
