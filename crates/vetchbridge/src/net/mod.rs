//! Provides sockets that handle transient failures of system calls. System calls that are interrupted or that
//! transfer fewer bytes than requested are continued; system calls that fail for a temporary lack of
//! resources are retried. Also collects the bodies of HTTP messages.

mod body;
mod connector;
mod response_limit;
mod retry;
mod stream;
mod turn;

pub(crate) use body::{collect, discard, BodyReadError};
pub(crate) use connector::Connector;
pub(crate) use response_limit::ResponseLimit;
pub(crate) use retry::{retry, retry_blocking};
pub(crate) use stream::RetryingStream;

/// Maximum length in bytes of the head of a response from a worker or from discovery. The HTTP client's read
/// buffer is limited to this length.
pub(crate) const MAX_RESPONSE_HEAD_BYTES: usize = 8 * 1024;
