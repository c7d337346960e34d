//! One worker: its description in the endpoint list, and whether requests may be written to it.

use super::client::WorkerClient;
use hyper::http::uri::Authority;
use std::sync::Mutex;
use tokio::sync::watch;
use vetchbridge_scheduling::{EndpointState, Micros, Outcome, WorkerId};

/// A worker as the endpoint list describes it.
#[derive(Clone, Copy, Debug)]
pub struct WorkerEndpoint<'a> {
    /// The worker's id in the decision module.
    pub worker_id: WorkerId,
    /// The worker's name.
    pub name: &'a str,
    /// The worker's host and port.
    pub address: &'a str,
    /// The worker's state in the endpoint list: whether the worker accepts jobs, is draining or was removed.
    pub state: EndpointState,
    /// When the worker's process last started, in microseconds of Unix time; 0 if the start time is unknown
    /// or long ago.
    pub started_at: Micros,
}

/// One worker process, and the connections to it.
pub(super) struct Worker {
    pub(super) name: String,
    pub(super) address: Authority,
    pub(super) client: Mutex<WorkerClient>,
    /// When the worker's process started, in microseconds of Unix time, read from the wall clock of another
    /// machine; 0 if that is unknown or long ago.
    started_at: Micros,
    pub(super) availability: watch::Sender<Availability>,
}

impl Worker {
    /// Creates a worker from an entry of the endpoint list and the parsed address of that entry.
    pub(super) fn new(endpoint: &WorkerEndpoint<'_>, address: Authority, client: WorkerClient) -> Worker {
        Worker {
            name: endpoint.name.to_string(),
            address,
            client: Mutex::new(client),
            started_at: endpoint.started_at,
            availability: watch::Sender::new(Availability::Ready),
        }
    }

    /// Whether an entry of the endpoint list describes this worker process rather than a newer process with
    /// the worker's name.
    ///
    /// Start times are compared for equality only, since the wall clock that they were read from may have
    /// been stepped. The start time of an entry whose state is not ready is ignored, since such an entry may
    /// come from an older endpoint list.
    pub(super) fn is_same_process(&self, endpoint: &WorkerEndpoint<'_>, address: &Authority) -> bool {
        let same_start = self.started_at == endpoint.started_at
            || endpoint.started_at == 0
            || endpoint.state != EndpointState::Ready;
        self.address == *address && same_start
    }
}

/// Whether requests may still be written to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Availability {
    /// Requests may be written to the worker.
    Ready,
    /// The worker is draining or was removed.
    Draining,
    /// Another process has taken over the worker's name, so that decisions made for this process are void.
    Replaced,
}

impl Availability {
    /// Returns the availability of a worker that has this state in the endpoint list.
    pub(super) fn from_state(state: EndpointState) -> Availability {
        if state == EndpointState::Ready {
            Availability::Ready
        } else {
            Availability::Draining
        }
    }

    /// Returns the outcome of an attempt at the worker if no byte of the attempt has been written to the
    /// worker; `None` while the worker is ready.
    pub(super) fn outcome_if_unwritten(self) -> Option<Outcome> {
        match self {
            Availability::Ready => None,
            Availability::Draining => Some(Outcome::ConnectFailed),
            Availability::Replaced => Some(Outcome::NotSent),
        }
    }
}

/// Resolves when requests may no longer be written to a worker. Returns the outcome of an attempt of which no
/// byte has been written to the worker.
pub(super) async fn wait_until_unavailable(availability: &mut watch::Receiver<Availability>) -> Outcome {
    // The sender is a part of the worker, to which the caller holds a reference, so the wait cannot fail.
    match availability.wait_for(|current| *current != Availability::Ready).await {
        Ok(current) => current.outcome_if_unwritten().unwrap_or(Outcome::ConnectFailed),
        Err(_) => Outcome::ConnectFailed,
    }
}
