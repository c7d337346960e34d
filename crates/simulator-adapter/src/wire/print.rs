//! Prints the actions of a scheduler as lines of the simulator's text protocol.

use super::base64;
use super::worker_address::WorkerAddress;
use std::io::{self, Write};
use vetchbridge_scheduling::{Action, Micros, Recipient, RequestId, WorkerId};

/// Appends to `out`, the reply to the current batch of messages, the actions of one instance of the decision
/// module: a line that names the instance, and one line for each action.
pub(crate) fn print_actions(out: &mut Vec<u8>, instance: u32, actions: &[Action]) -> io::Result<()> {
    writeln!(out, "from who={instance}")?;
    actions.iter().try_for_each(|action| print_action(out, action))
}

fn print_action(out: &mut Vec<u8>, action: &Action) -> io::Result<()> {
    match action {
        Action::Send { request, worker, timeout } => print_send(out, *request, *worker, *timeout),
        Action::Cancel { request, attempt } => {
            writeln!(out, "recall req={:016x} leg={}", request.0, attempt.0)
        }
        Action::Reject { request, retry_after } => print_reject(out, *request, *retry_after),
        Action::Fail { request } => writeln!(out, "surrender req={:016x}", request.0),
        Action::Probe(worker) => writeln!(out, "inspect runner={}", WorkerAddress(*worker)),
        Action::CloseIdle(worker) => writeln!(out, "release runner={}", WorkerAddress(*worker)),
        Action::Subscribe(on) => writeln!(out, "keep_informed want={}", u8::from(*on)),
        Action::FetchEndpoints => writeln!(out, "resolve"),
        Action::SetTimer { at, token } => writeln!(out, "wake_at moment={at} token={}", token.0),
        Action::SendPeerMessage { to, data } => print_peer_message(out, *to, data),
        Action::Log(text) => writeln!(out, "write_log words={}", text.replace(['\n', '\r'], " ")),
    }
}

fn print_send(
    out: &mut Vec<u8>,
    request: RequestId,
    worker: WorkerId,
    timeout: Option<Micros>,
) -> io::Result<()> {
    write!(out, "call_out req={:016x}", request.0)?;
    if let Some(timeout) = timeout {
        write!(out, " patience={timeout}")?;
    }
    writeln!(out, " runner={}", WorkerAddress(worker))
}

fn print_reject(out: &mut Vec<u8>, request: RequestId, retry_after: Micros) -> io::Result<()> {
    write!(out, "bounce req={:016x}", request.0)?;
    if retry_after > 0 {
        write!(out, " wait={retry_after}")?;
    }
    writeln!(out)
}

fn print_peer_message(out: &mut Vec<u8>, to: Recipient, data: &[u8]) -> io::Result<()> {
    match to {
        Recipient::One(peer) => write!(out, "tell recipient={peer}")?,
        Recipient::All => write!(out, "tell recipient=all")?,
    }
    writeln!(out, " body={}", base64::encode(data))
}
