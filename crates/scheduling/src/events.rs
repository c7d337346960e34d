//! The events that a scheduler handles ([`Event`]) and the types that they carry.

use crate::ids::{
    AttemptNo, CellId, ClassId, MachineTypeId, Micros, RequestId, TenantId, TimerToken, WorkerId, ZoneId,
};
use crate::settings::Settings;

/// State of a worker in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// The worker accepts new jobs.
    #[default]
    Ready,
    /// The worker completes its jobs; no new job may be sent.
    Draining,
    /// The worker was removed from the deployment.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// The worker that the entry describes.
    pub worker: WorkerId,
    /// The worker's zone.
    pub zone: ZoneId,
    /// The worker's machine type.
    pub machine_type: MachineTypeId,
    /// The worker's cell.
    pub cell: CellId,
    /// The worker's state.
    pub state: EndpointState,
    /// The worker's size relative to other workers; has no unit.
    pub weight: f64,
    /// When the worker's process last started, by another machine's wall clock; 0 if long ago.
    pub started_at: Micros,
}

/// How the entries of an [`Event::Endpoints`] relate to the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// The entries that have changed.
    Changes,
    /// The complete list; a worker that is missing from the list was removed.
    Snapshot,
    /// The complete list as this scheduler stored it, possibly long ago.
    Restored,
    /// The complete list as the predecessor handed it over a moment ago.
    HandedOver,
    /// A subscription or fetch failed. The entries are those that arrived before the failure; the rest of the
    /// list stays as it was.
    Failed,
    /// The current list, with zones and machine types numbered by new settings; not a response of discovery.
    Renumbered,
}

impl EndpointUpdate {
    /// Whether a worker that is missing from the entries was removed.
    #[must_use]
    pub fn is_complete(self) -> bool {
        matches!(self, EndpointUpdate::Snapshot | EndpointUpdate::Restored | EndpointUpdate::HandedOver)
    }

    /// Whether the scheduler has to poll discovery after this update.
    #[must_use]
    pub fn needs_poll(self) -> bool {
        matches!(self, EndpointUpdate::Restored | EndpointUpdate::HandedOver | EndpointUpdate::Failed)
    }

    /// Whether the update came from discovery, as a response or as a pushed change.
    #[must_use]
    pub fn is_response(self) -> bool {
        matches!(self, EndpointUpdate::Snapshot | EndpointUpdate::Changes)
    }
}

/// A request from a client.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The request's id.
    pub id: RequestId,
    /// The request's class.
    pub class: ClassId,
    /// The tenant that the request belongs to.
    pub tenant: TenantId,
    /// Affinity key: requests with equal keys go to the same worker where possible.
    pub key: Option<String>,
    /// When the client stops waiting for an answer.
    pub deadline: Micros,
    /// Expected running time of the job at standard speed; `None` if the client gave no estimate.
    pub expected_work: Option<Micros>,
    /// Number of slots that the job occupies at a worker.
    pub slots: f64,
    /// Whether the client has marked the request as a retry.
    pub retry: bool,
}

/// A worker's load report. A value is `None` if the worker did not send the value or the value was out of
/// range.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Number of free slots.
    pub free_slots: Option<f64>,
    /// Number of requests in flight.
    pub in_flight: Option<f64>,
    /// Number of queued requests.
    pub queued: Option<f64>,
    /// Recent service time without queueing, in milliseconds.
    pub service_ms: Option<f64>,
    /// Busy fraction of the worker's cores.
    pub utilisation: Option<f64>,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request was served, and the answer went to the client.
    Ok,
    /// The worker returned an error; the job may have run.
    Error,
    /// The worker rejected the attempt without starting the job.
    Rejected,
    /// The worker did not reply in time; the job may have run or may still be running.
    Timeout,
    /// No connection was established; the job never ran.
    ConnectFailed,
    /// The connection broke; the job may have run.
    Reset,
    /// The worker did not acknowledge the job in time; the job may have run.
    NoResponse,
    /// The worker found the request invalid, as any other worker would; the job never ran.
    Invalid,
    /// The attempt was cancelled; the job may have run.
    Cancelled,
    /// The attempt was not sent: the request was complete, past its deadline or out of attempts.
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
    /// This fraction of the job is done.
    Fraction(f64),
}

/// An event that a scheduler handles.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list has changed, or could not be fetched.
    Endpoints {
        /// How the entries relate to the endpoint list.
        update: EndpointUpdate,
        /// The entries.
        endpoints: Vec<Endpoint>,
    },
    /// A client's request has arrived; the request gets exactly one final answer.
    Request(Request),
    /// An attempt has ended. This event comes exactly once for each [`Action::Send`](crate::Action::Send).
    AttemptFinished {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
        /// The worker.
        worker: WorkerId,
        /// How the attempt ended.
        outcome: Outcome,
        /// Time since the attempt was sent.
        latency: Micros,
        /// Whether the request is complete and needs no further answer.
        request_closed: bool,
        /// The worker's load report, if the worker sent one.
        load: Option<LoadReport>,
    },
    /// A streamed answer has started; the client gets the answer of this attempt.
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
        /// The progress.
        progress: JobProgress,
    },
    /// The client has disconnected; its request needs no answer any more.
    ClientDisconnected(RequestId),
    /// A timer has expired.
    Timer(TimerToken),
    /// The scheduler shuts down: every pending request gets its final answer now.
    ShuttingDown,
    /// The result of one [`Action::Probe`](crate::Action::Probe).
    Probed {
        /// The worker.
        worker: WorkerId,
        /// How the health check ended.
        outcome: Outcome,
        /// Time since the health check was sent.
        latency: Micros,
        /// The worker's load report, if the worker sent one.
        load: Option<LoadReport>,
    },
    /// New settings, in effect from now on. Pending requests keep their class, which may be missing from the
    /// new settings or have another index there. The new settings have passed [`Settings::check`].
    Settings(Box<Settings>),
    /// A message from another scheduler.
    PeerMessage {
        /// Index of the scheduler that sent the message.
        from: u32,
        /// The encoded message.
        data: Vec<u8>,
    },
}
