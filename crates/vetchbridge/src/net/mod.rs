//! Sockets as the rest of the daemon uses them: system calls that were interrupted or moved fewer bytes than asked go on
//! here, and what the machine can't give for a moment is asked for again.

mod connector;
mod retry;
mod stream;

pub(crate) use connector::Connector;
pub(crate) use retry::{retry_blocking, retry_for};
pub(crate) use stream::RetryingStream;
