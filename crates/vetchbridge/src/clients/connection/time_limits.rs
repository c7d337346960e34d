//! Time limits of a connection, by what it is doing.

use super::state::Phase;
use std::time::Duration;

/// How long a request may take to arrive, from connecting or from its first byte on a connection that is kept alive.
/// Slower clients must be disconnected within 3 s.
pub(super) const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long a response may take to be sent; a client that does not read it must not keep its descriptor.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a response counts as being sent when the process waits for pending responses before it exits.
pub(super) const RESPONSE_SEND_TIME: Duration = Duration::from_millis(250);
/// How long input is read and dropped after the last response; closing with unread input would reset the connection and
/// lose the response. Short enough for the last responses before SIGKILL.
pub(super) const LINGER_TIMEOUT: Duration = Duration::from_millis(300);

impl Phase {
    /// How long a connection may stay in this phase.
    pub(super) fn time_limit(self) -> Option<Duration> {
        match self {
            Phase::New | Phase::ReceivingRequest => Some(REQUEST_TIMEOUT),
            Phase::SendingResponse => Some(RESPONSE_TIMEOUT),
            Phase::AwaitingResponse | Phase::Idle | Phase::Lingering => None,
        }
    }
}
