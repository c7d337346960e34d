//! Runs instances of the decision module (the scheduling crate) under a simulator: reads the messages of the
//! simulator's text protocol from standard input, and writes the replies to standard output.

#![deny(missing_docs)]

mod host;
mod wire;

use host::Host;
use std::io::{self, BufReader, Write};
use std::process::ExitCode;
use wire::{Reader, WireError};

/// Size of the buffer for standard input, in bytes.
const INPUT_BUFFER_BYTES: usize = 1 << 20;

/// An error that stops the adapter before the end of the simulator's messages.
#[derive(Debug, thiserror::Error)]
enum AdapterError {
    /// A message from the simulator on standard input is malformed or out of order, or standard input can't
    /// be read.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// The replies to the simulator can't be written to standard output.
    #[error(transparent)]
    Output(#[from] io::Error),
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("vetchbridge-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), AdapterError> {
    let mut reader = Reader::new(BufReader::with_capacity(INPUT_BUFFER_BYTES, io::stdin().lock()));
    let mut stdout = io::stdout().lock();
    let mut host = Host::default();
    while let Some(message) = reader.next_message()? {
        if let Some(reply) = host.handle(message).map_err(|error| reader.error(error))? {
            stdout.write_all(reply)?;
            stdout.flush()?;
        }
    }
    host.finish().map_err(|error| reader.error(error))?;
    Ok(())
}
