//! Provides sockets that handle transient failures of system calls. System calls that are interrupted or that
//! transfer fewer bytes than requested are continued; system calls that fail for a temporary lack of
//! resources are retried. Also collects the bodies of HTTP messages.

mod body;
mod connector;
mod retry;
mod stream;
mod turn;

pub(crate) use body::{collect, BodyBuffer, BodyReadError};
pub(crate) use connector::Connector;
pub(crate) use retry::{retry, retry_blocking};
pub(crate) use stream::RetryingStream;
