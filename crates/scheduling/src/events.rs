//! The events that a scheduler handles ([`Event`]) and the types of the data in an event.

use crate::ids::{
    AttemptNo, CellId, ClassId, MachineTypeId, Micros, RequestId, TenantId, TimerToken, WorkerId, ZoneId,
};
use crate::settings::Settings;

/// State of a worker in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// The worker accepts new jobs from schedulers.
    #[default]
    Ready,
    /// The worker completes the jobs that it has. Schedulers may send no new job to the worker.
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
    /// The worker's size relative to other workers, without a unit.
    pub weight: f64,
    /// When the worker's process last started, in microseconds by another machine's wall clock; 0 if the
    /// process started long ago.
    pub started_at: Micros,
}

/// Where the entries of an [`Event::Endpoints`] come from, and which part of the endpoint list they are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// The entries of the endpoint list that have changed; the workers in all other entries stay as they
    /// were.
    Changes,
    /// The complete endpoint list from discovery; a worker that is missing from the list was removed.
    Snapshot,
    /// The complete endpoint list as this scheduler stored the list before a restart, possibly long ago.
    Restored,
    /// The complete endpoint list as the predecessor process handed the list over a moment ago, during an
    /// upgrade.
    HandedOver,
    /// A subscription at discovery or a fetch from discovery failed. The entries are those that arrived
    /// before the failure; the rest of the endpoint list stays as it was.
    Failed,
    /// Entries of a response of discovery whose end has not arrived yet; the rest of the endpoint list stays
    /// as it was. The update is no response: the end of the response follows as another update, if it arrives.
    Partial,
    /// The endpoint list that the scheduler already has, with zones and machine types numbered by new
    /// settings. The update is not a response of discovery.
    Renumbered,
}

impl EndpointUpdate {
    /// Whether an update of this kind contains the complete endpoint list, so that a worker that is missing
    /// from the entries was removed.
    #[must_use]
    pub fn is_complete(self) -> bool {
        matches!(self, EndpointUpdate::Snapshot | EndpointUpdate::Restored | EndpointUpdate::HandedOver)
    }

    /// Whether the scheduler has to poll discovery after an update of the endpoint list of this kind.
    #[must_use]
    pub fn needs_poll(self) -> bool {
        matches!(self, EndpointUpdate::Restored | EndpointUpdate::HandedOver | EndpointUpdate::Failed)
    }

    /// Whether an update of the endpoint list of this kind came from discovery, as a response to a poll or as
    /// a pushed change.
    #[must_use]
    pub fn is_response(self) -> bool {
        matches!(self, EndpointUpdate::Snapshot | EndpointUpdate::Changes)
    }
}

/// Whether the endpoint list may be used to send requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListAge {
    /// The endpoint list may be used.
    #[default]
    Current,
    /// Discovery can be reached, but its latest response is so old that workers may have begun to drain long
    /// ago. Requests wait for a newer response.
    Outdated,
}

/// A request from a client.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Identifies the request in events and actions.
    pub id: RequestId,
    /// The request's class.
    pub class: ClassId,
    /// The tenant to whose quota the request counts.
    pub tenant: TenantId,
    /// Affinity key: requests with equal keys go to the same worker where possible.
    pub key: Option<String>,
    /// When the client stops waiting for the final answer, in microseconds of the scheduler's clock.
    pub deadline: Micros,
    /// Expected running time of the job on a worker of standard speed, in microseconds; `None` if the client
    /// gave no estimate.
    pub expected_work: Option<Micros>,
    /// Number of slots that the job occupies at a worker.
    pub slots: f64,
    /// Whether the client has marked the request as a retry.
    pub retry: bool,
}

/// A worker's load report. Each field is `None` if the worker did not send the field's value or if the value
/// was out of range.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Number of the worker's free slots.
    pub free_slots: Option<f64>,
    /// Number of requests in flight at the worker, from all schedulers.
    pub in_flight: Option<f64>,
    /// Number of requests in the worker's queue.
    pub queued: Option<f64>,
    /// Recent time that the worker took to serve a request, without the time in the queue, in milliseconds.
    pub service_ms: Option<f64>,
    /// Fraction of the worker's cores that are busy.
    pub utilisation: Option<f64>,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The worker served the request, and the worker's response went to the client as the final answer.
    Ok,
    /// The worker responded with an error; the job may have run.
    Error,
    /// The worker rejected the attempt without starting the job, in its response to the attempt.
    Rejected,
    /// The worker accepted the attempt and returned the job later without having started it. The worker
    /// repeats this report until the scheduler acknowledges the report, and the report names the request, but
    /// not the attempt.
    Returned,
    /// The worker did not respond in time; the job may have run or may still be running.
    Timeout,
    /// No connection to the worker was established; the job never ran.
    ConnectFailed,
    /// The connection to the worker broke; the job may have run.
    Reset,
    /// The worker did not acknowledge the job in time; the job may have run.
    NoResponse,
    /// The worker found the request invalid, as any other worker would; the job never ran.
    Invalid,
    /// The scheduler cancelled the attempt; the job may have run.
    Cancelled,
    /// The attempt was not sent to the worker, because the request already had its final answer, its client
    /// had disconnected, or the request was past its deadline or had used up its attempts.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the worker never ran the job.
    #[must_use]
    pub fn never_ran(self) -> bool {
        match self {
            Outcome::Rejected
            | Outcome::Returned
            | Outcome::ConnectFailed
            | Outcome::Invalid
            | Outcome::NotSent => true,
            Outcome::Ok
            | Outcome::Error
            | Outcome::Timeout
            | Outcome::Reset
            | Outcome::NoResponse
            | Outcome::Cancelled => false,
        }
    }
}

/// A worker's report about the progress of a job that the worker runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum JobProgress {
    /// The worker has started the job.
    Started,
    /// The worker has completed this fraction of the job, from 0 to 1.
    Fraction(f64),
}

/// An event that a scheduler handles.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list has changed, or the list could not be fetched from discovery.
    Endpoints {
        /// Where the entries of the endpoint list come from, and which part of the endpoint list they are.
        update: EndpointUpdate,
        /// The entries of the endpoint list that the update contains.
        endpoints: Vec<Endpoint>,
    },
    /// The endpoint list has become too old to be used, or may be used again.
    ListAge(ListAge),
    /// A client's request has arrived. The scheduler gives the request exactly one final answer.
    Request(Request),
    /// An attempt has ended. This event comes exactly once for each [`Action::Send`](crate::Action::Send).
    AttemptFinished {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The attempt that has ended.
        attempt: AttemptNo,
        /// The worker that the attempt was sent to.
        worker: WorkerId,
        /// How the attempt ended.
        outcome: Outcome,
        /// Time from sending the attempt to its end, in microseconds.
        latency: Micros,
        /// Whether the request already has its final answer or its client has disconnected, so that the
        /// scheduler must give the request no final answer.
        request_closed: bool,
        /// The worker's load report, if the worker sent one.
        load: Option<LoadReport>,
    },
    /// The streamed response of a worker has started. The client gets the response to this attempt as the
    /// final answer.
    StreamStarted {
        /// The request whose response has started.
        request: RequestId,
        /// The attempt whose response has started.
        attempt: AttemptNo,
    },
    /// A worker has reported progress of a running attempt.
    JobProgress {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The attempt that makes progress.
        attempt: AttemptNo,
        /// What the worker reported about the attempt.
        progress: JobProgress,
    },
    /// The client of this request has disconnected, so the request needs no final answer any more.
    ClientDisconnected(RequestId),
    /// A timer that the scheduler set with [`Action::SetTimer`](crate::Action::SetTimer) has expired.
    Timer(TimerToken),
    /// The scheduler shuts down and gives every pending request its final answer at once.
    ShuttingDown,
    /// The result of one [`Action::Probe`](crate::Action::Probe).
    Probed {
        /// The worker that the health check was sent to.
        worker: WorkerId,
        /// How the health check ended.
        outcome: Outcome,
        /// Time from sending the health check to its end, in microseconds.
        latency: Micros,
        /// The worker's load report, if the worker sent one.
        load: Option<LoadReport>,
    },
    /// New settings that replace the scheduler's settings. Pending requests keep their class, even if the
    /// class is missing from the new settings or has another index in them. The new settings have passed
    /// [`Settings::check`].
    Settings(Box<Settings>),
    /// A message from another scheduler.
    PeerMessage {
        /// Index of the scheduler that sent the message.
        from: u32,
        /// The bytes received from the other scheduler, not yet checked. A valid message was encoded by
        /// [`PeerMessage::encode`](crate::PeerMessage::encode).
        data: Vec<u8>,
    },
}
