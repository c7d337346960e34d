//! Sockets that handle transient failures of system calls. Interrupted calls and calls that transfer fewer
//! bytes than requested are continued; calls that fail for a temporary lack of resources are retried.

mod connector;
mod retry;
mod stream;

pub(crate) use connector::Connector;
pub(crate) use retry::{retry, retry_blocking};
pub(crate) use stream::RetryingStream;
