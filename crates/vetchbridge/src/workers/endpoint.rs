//! One worker: what discovery reports of it, and whether it may be written to.

use super::client::WorkerClient;
use hyper::http::uri::Authority;
use std::sync::Mutex;
use tokio::sync::watch;
use vetchbridge_scheduling::{EndpointState, Micros, Outcome, WorkerId};

/// A worker as the endpoint list describes it.
#[derive(Clone, Copy, Debug)]
pub struct WorkerEndpoint<'a> {
    /// Its id in the decision module.
    pub worker_id: WorkerId,
    /// Its name.
    pub name: &'a str,
    /// Host and port.
    pub address: &'a str,
    /// Its state.
    pub state: EndpointState,
    /// When its process last started; 0 if that was long ago.
    pub started_at: Micros,
}

/// One process that runs jobs, and the connections to it.
pub(super) struct Worker {
    pub(super) name: String,
    pub(super) address: Authority,
    pub(super) client: Mutex<WorkerClient>,
    /// When its process last started, by another machine's wall clock.
    started_at: Micros,
    pub(super) availability: watch::Sender<Availability>,
}

impl Worker {
    /// The worker of an endpoint, at its parsed address.
    pub(super) fn new(endpoint: &WorkerEndpoint<'_>, address: Authority, client: WorkerClient) -> Worker {
        Worker {
            name: endpoint.name.to_string(),
            address,
            client: Mutex::new(client),
            started_at: endpoint.started_at,
            availability: watch::Sender::new(Availability::Ready),
        }
    }

    /// Whether an endpoint describes this same process.
    ///
    /// Start times are compared for equality only, since the clock that they were read from may have been stepped. One of a
    /// worker that takes no jobs may come from an older list.
    pub(super) fn is_same_process(&self, endpoint: &WorkerEndpoint<'_>, address: &Authority) -> bool {
        let same_start = self.started_at == endpoint.started_at
            || endpoint.started_at == 0
            || endpoint.state != EndpointState::Ready;
        self.address == *address && same_start
    }
}

/// Whether a worker may still be written to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Availability {
    /// It may be written to.
    Ready,
    /// It is draining or was removed.
    Draining,
    /// Another process has taken over its name, so that decisions made for this one are void.
    Replaced,
}

impl Availability {
    /// The availability of a worker in this state.
    pub(super) fn of(state: EndpointState) -> Availability {
        if state == EndpointState::Ready {
            Availability::Ready
        } else {
            Availability::Draining
        }
    }

    /// The outcome of an attempt of which no byte has been written; `None` while one may be written.
    pub(super) fn outcome_if_unwritten(self) -> Option<Outcome> {
        match self {
            Availability::Ready => None,
            Availability::Draining => Some(Outcome::ConnectFailed),
            Availability::Replaced => Some(Outcome::NotSent),
        }
    }
}

/// Resolves once a worker may not be written to any more, with the outcome of an attempt of which no byte has been written.
pub(super) async fn wait_until_unavailable(availability: &mut watch::Receiver<Availability>) -> Outcome {
    // The sender lives as long as the worker, which the caller owns a reference to.
    match availability.wait_for(|now| *now != Availability::Ready).await {
        Ok(now) => now.outcome_if_unwritten().unwrap_or(Outcome::ConnectFailed),
        Err(_) => Outcome::ConnectFailed,
    }
}
