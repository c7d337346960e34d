//! The time limits of a client connection, by its phase.

use super::state::Phase;
use std::time::Duration;

/// How long a request may take to arrive. The time of the first request counts from the client's connect, and
/// the time of a later request from its first byte. Slower clients must be disconnected within 3 s.
pub(super) const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long a response may take to be sent. A client that does not read the response must not occupy a
/// descriptor for longer.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a response counts as pending after its sending began, when the process waits for pending
/// responses before it exits.
pub(super) const RESPONSE_SEND_TIME: Duration = Duration::from_millis(250);
/// How long input is read and dropped after the last response. Closing with unread input would reset the
/// connection and lose the response. The time is short enough that the last responses of a process arrive
/// before SIGKILL.
pub(super) const LINGER_TIMEOUT: Duration = Duration::from_millis(300);

impl Phase {
    /// Returns how long a connection may stay in this phase; `None` without a limit.
    pub(super) fn time_limit(self) -> Option<Duration> {
        match self {
            Phase::New | Phase::ReceivingRequest => Some(REQUEST_TIMEOUT),
            Phase::SendingResponse => Some(RESPONSE_TIMEOUT),
            Phase::AwaitingResponse | Phase::Idle | Phase::Lingering => None,
        }
    }
}
