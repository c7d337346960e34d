//! A client of the schedulers' admin interface. Each connection carries one command, and one line of answer.

use crate::Failure;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

/// How long a scheduler may take to reach a state that the kit waits for: ready after its start, or drained.
const STATE_TIMEOUT: Duration = Duration::from_secs(6);
/// How long the scheduler's answer to one command may take.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// The interval between two commands while the kit waits for a state.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Sends a command to a scheduler's admin interface repeatedly until `is_wanted` accepts the answer; fails
/// after [`STATE_TIMEOUT`].
pub(super) async fn wait_for_answer(
    address: SocketAddr,
    command: &str,
    is_wanted: impl Fn(&str) -> bool,
) -> Result<(), Failure> {
    let started = Instant::now();
    loop {
        let answer = match timeout(ANSWER_TIMEOUT, send_command(address, command)).await {
            Ok(Ok(answer)) if is_wanted(answer.trim_end()) => return Ok(()),
            Ok(Ok(answer)) => answer.trim_end().to_string(),
            Ok(Err(error)) => error.to_string(),
            Err(_) => "nothing".to_string(),
        };
        if started.elapsed() > STATE_TIMEOUT {
            return Err(Failure::CheckFailed(format!(
                "{command}: the admin interface did not give the expected answer in time; last answer: {answer:?}"
            )));
        }
        sleep(POLL_INTERVAL).await;
    }
}

async fn send_command(address: SocketAddr, command: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(format!("{command}\n").as_bytes()).await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    Ok(answer)
}
