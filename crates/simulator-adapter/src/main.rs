//! Hosts instances of the policy on the simulator's wire: standard input to standard output.
//!
//! Each instance owns its policy and nothing else; no decision is made here.

mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::process::ExitCode;
use vetchbridge_scheduling::interface::{Action, SettingsError};
use vetchbridge_scheduling::scheduler::Scheduler;
use wire::{print_actions, Message, Reader, WireError};

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("vetchbridge-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Box<dyn std::error::Error>> {
    let mut reader = Reader::new(BufReader::with_capacity(1 << 20, io::stdin().lock()));
    let mut stdout = io::stdout().lock();
    let mut instances: BTreeMap<u32, Scheduler> = BTreeMap::new();
    let mut actions: Vec<Action> = Vec::new();
    let mut reply: Vec<u8> = Vec::new();
    let mut now: Option<u64> = None;
    let mut current: Option<u32> = None;
    while let Some(message) = reader.next_message()? {
        let line = reader.line();
        let wrong =
            |field: &str, reason: &str| WireError { line, field: field.into(), reason: reason.into() };
        if let Message::Begin(time) = message {
            if now.is_some() {
                return Err(wrong("begin_batch", "inside a batch").into());
            }
            now = Some(time);
            current = None;
            reply.clear();
            continue;
        }
        let Some(clock) = now else {
            return Err(wrong("begin_batch", "missing before this line").into());
        };
        match message {
            Message::Begin(_) => {}
            Message::Commit => {
                reply.extend_from_slice(b"end\n");
                stdout.write_all(&reply)?;
                stdout.flush()?;
                now = None;
            }
            Message::Instance(who) => current = Some(who),
            Message::Open { seed, settings } => {
                let who = current.ok_or_else(|| wrong("instance", "missing before this line"))?;
                let scheduler = Scheduler::new(*settings, seed)
                    .map_err(|e: SettingsError| wrong("setup", &e.to_string()))?;
                instances.insert(who, scheduler);
            }
            Message::Down => {
                let who = current.ok_or_else(|| wrong("instance", "missing before this line"))?;
                instances.remove(&who).ok_or_else(|| wrong("instance", "never opened"))?;
            }
            Message::Event(event) => {
                let who = current.ok_or_else(|| wrong("instance", "missing before this line"))?;
                let scheduler = instances.get_mut(&who).ok_or_else(|| wrong("instance", "never opened"))?;
                actions.clear();
                scheduler.handle(clock, event, &mut actions);
                if !actions.is_empty() {
                    print_actions(&mut reply, who, &actions)?;
                }
            }
        }
    }
    if now.is_some() {
        let error =
            WireError { line: reader.line(), field: "commit".into(), reason: "input ends in a batch".into() };
        return Err(error.into());
    }
    Ok(())
}
