//! Sockets as the rest of the daemon uses them: system calls that are interrupted or transfer fewer bytes than requested
//! are continued here, and calls that fail for a passing lack of resources are retried.

mod connector;
mod retry;
mod stream;

pub(crate) use connector::Connector;
pub(crate) use retry::{retry, retry_blocking};
pub(crate) use stream::RetryingStream;
