//! The time limits of a client connection in each of its phases.

use super::state::Phase;
use std::time::Duration;

/// How long a request may take to arrive completely. The time for the first request on a connection counts
/// from the client's connect, and the time for a later request from its first byte. Slower clients must be
/// disconnected within 3 s.
pub(super) const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long a response may take to be sent to the client. A client that does not read the response must not
/// occupy a descriptor for longer.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a response counts as pending after the start of its sending. A process that is about to exit
/// waits for pending responses first.
pub(super) const RESPONSE_SEND_TIME: Duration = Duration::from_millis(250);
/// How long input from the client is read and dropped after the last response on a connection. Closing the
/// connection with unread input would reset the connection and lose the response. The time is short enough
/// that the last responses of a process that shuts down arrive before SIGKILL.
pub(super) const LINGER_TIMEOUT: Duration = Duration::from_millis(300);

impl Phase {
    /// Returns how long a connection may stay in this phase; `None` if the phase has no time limit.
    pub(super) fn time_limit(self) -> Option<Duration> {
        match self {
            Phase::New | Phase::ReceivingRequest => Some(REQUEST_TIMEOUT),
            Phase::SendingResponse => Some(RESPONSE_TIMEOUT),
            Phase::AwaitingResponse | Phase::Idle | Phase::Lingering => None,
        }
    }
}
