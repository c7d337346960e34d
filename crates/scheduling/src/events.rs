//! What happens to a scheduler: [`Event`], and what events carry.

use crate::ids::{
    AttemptNo, CellId, ClassId, KindId, Micros, RequestId, TenantId, TimerToken, WorkerId, ZoneId,
};
use crate::settings::Settings;

/// State of a listed worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes work.
    #[default]
    Ready,
    /// Completing its work; send nothing new.
    Draining,
    /// Removed.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// The worker.
    pub worker: WorkerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its machine type.
    pub kind: KindId,
    /// Its cell.
    pub cell: CellId,
    /// Its state.
    pub state: EndpointState,
    /// Its size relative to other workers; no unit.
    pub weight: f64,
    /// When its process last started; 0 for long past.
    pub started_at: Micros,
}

/// What the entries of an endpoint list event are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Only the changes.
    Changes,
    /// The complete list; a worker that is not in it was removed.
    Snapshot,
    /// The complete list as this scheduler stored it, perhaps long ago.
    Restored,
    /// The complete list as the predecessor had it a moment ago.
    HandedOver,
    /// A subscription or fetch failed. The list stands, but for entries that arrived before the failure.
    Failed,
    /// The present list with the numbers of settings that have just changed; not a response of discovery.
    Renumbered,
}

impl EndpointUpdate {
    /// Whether a worker that is not among the entries was removed.
    #[must_use]
    pub fn is_complete(self) -> bool {
        matches!(self, EndpointUpdate::Snapshot | EndpointUpdate::Restored | EndpointUpdate::HandedOver)
    }

    /// Whether discovery is to be polled after this update.
    #[must_use]
    pub fn needs_poll(self) -> bool {
        matches!(self, EndpointUpdate::Restored | EndpointUpdate::HandedOver | EndpointUpdate::Failed)
    }

    /// Whether discovery has answered a call with it, or pushed it.
    #[must_use]
    pub fn is_response(self) -> bool {
        matches!(self, EndpointUpdate::Snapshot | EndpointUpdate::Changes)
    }
}

/// A request taken from a client.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// Affinity key: requests with one key go to the same worker where possible.
    pub key: Option<String>,
    /// When the client stops waiting for an answer.
    pub deadline: Micros,
    /// Expected work at standard speed, if the client gave it.
    pub expected_work: Option<Micros>,
    /// Slots that the job takes.
    pub slots: f64,
    /// A retry by the client, where clients mark it.
    pub retry: bool,
}

/// A worker's load report; absent values were not sent or were out of range.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Free slots.
    pub free_slots: Option<f64>,
    /// Requests in flight.
    pub in_flight: Option<f64>,
    /// Requests queued.
    pub queued: Option<f64>,
    /// Recent service time without waiting, milliseconds.
    pub service_ms: Option<f64>,
    /// Busy fraction of its cores.
    pub utilisation: Option<f64>,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served; the answer went to the client.
    Ok,
    /// The worker returned an error; it may have run.
    Error,
    /// Rejected by the worker without being started.
    Rejected,
    /// No reply in time; it may have run or be running.
    Timeout,
    /// No connection was made; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// The worker did not acknowledge the job in time; it may have run.
    NoResponse,
    /// The worker found the request itself invalid, as any other would; it never ran.
    Invalid,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent: the request was over, out of time or out of attempts.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the job never ran.
    #[must_use]
    pub fn never_ran(self) -> bool {
        match self {
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::Invalid | Outcome::NotSent => true,
            Outcome::Ok
            | Outcome::Error
            | Outcome::Timeout
            | Outcome::Reset
            | Outcome::NoResponse
            | Outcome::Cancelled => false,
        }
    }
}

/// Progress of a running attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum JobProgress {
    /// The job has started.
    Started,
    /// This fraction of it is done.
    Fraction(f64),
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list changed, or could not be fetched.
    Endpoints {
        /// What the entries are.
        update: EndpointUpdate,
        /// The entries.
        endpoints: Vec<Endpoint>,
    },
    /// A client's request arrived; it gets exactly one final answer.
    Request(Request),
    /// An attempt ended; comes exactly once for each [`Action::Send`](crate::Action::Send).
    AttemptFinished {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
        /// The worker.
        worker: WorkerId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        latency: Micros,
        /// The request is complete and needs no answer any more.
        closed: bool,
        /// The worker's load report, if one came along.
        load: Option<LoadReport>,
    },
    /// A streamed answer has started; this attempt is the one that the client gets.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Progress of a running attempt.
    JobProgress {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
        /// How far it is.
        progress: JobProgress,
    },
    /// The client disconnected; the request needs no answer any more.
    ClientDisconnected(RequestId),
    /// A timer expired.
    Timer(TimerToken),
    /// The scheduler is shutting down: every pending request gets its final answer now.
    ShuttingDown,
    /// The result of one [`Action::Probe`](crate::Action::Probe).
    Probed {
        /// The worker.
        worker: WorkerId,
        /// How the health check ended.
        outcome: Outcome,
        /// Time since it was sent.
        latency: Micros,
        /// The worker's load report, if one came along.
        load: Option<LoadReport>,
    },
    /// New settings, in effect from now on. Pending requests keep their class, which may be missing from the
    /// new settings or have another number there. They have passed [`Settings::check`].
    Settings(Box<Settings>),
    /// A message from another scheduler.
    PeerMessage {
        /// Its number.
        from: u32,
        /// The bytes.
        data: Vec<u8>,
    },
}
