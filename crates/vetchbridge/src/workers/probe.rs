//! One health check of a worker (a probe), from the opening of its connection to its outcome.

use super::endpoint::{wait_until_unavailable, Availability};
use super::exchange::{Exchange, ExchangeError};
use super::group::UpstreamGroup;
use super::message::{WorkerRequest, WorkerResponse};
use super::permission::SendPermission;
use crate::memory::{MemoryOwner, MemoryReservation};
use bytes::Bytes;
use hyper::StatusCode;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;
use vetchbridge_scheduling::{LoadReport, Outcome, WorkerId};

/// How long a probe of a worker may take, including the time to connect. A worker rejects a probe that has
/// been queued for 500 ms; the timeout is longer, so that the rejection is read and the connection can be
/// reused.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);

/// A worker's response to a probe, and the whole body of the response; the body is `None` if the connection
/// failed before the end of the body.
type ProbeResponse = (WorkerResponse, Option<Bytes>);

impl UpstreamGroup {
    /// Probes a worker over the connection pool that attempts at the worker use too. Returns the probe's
    /// outcome, and the worker's load report on the response to the probe.
    ///
    /// The probe ends within `PROBE_TIMEOUT`. Nothing is sent if the worker is draining, or if the maximum
    /// number of probes is already in flight.
    pub async fn probe(&self, worker_id: WorkerId) -> (Outcome, Option<LoadReport>) {
        let Ok(_permit) = self.probe_permits.try_acquire() else { return (Outcome::NotSent, None) };
        let Some(worker) = self.worker(worker_id) else { return (Outcome::ConnectFailed, None) };
        let mut availability = worker.availability.subscribe();
        if let Some(outcome) = availability.borrow_and_update().outcome_if_unwritten() {
            return (outcome, None);
        }
        let deadline = Instant::now() + PROBE_TIMEOUT;
        let permission = SendPermission::while_available(availability.clone())
            .while_list_is_current(self.list_expiry.clone());
        let exchange = worker.exchange(&WorkerRequest::Probe, permission);
        self.evict_idle_connections();
        let mut memory = self.memory.reservation(MemoryOwner::WorkerResponses);
        match read_response(exchange, availability, deadline, &mut memory).await {
            Ok(response) => self.probe_result(response),
            Err(outcome) => (outcome, None),
        }
    }

    /// Returns the outcome and the load report of a probe to which the worker responded.
    fn probe_result(&self, (response, body): ProbeResponse) -> (Outcome, Option<LoadReport>) {
        let Some(body) = body else { return (Outcome::Reset, None) };
        let outcome = match response.status {
            StatusCode::OK => Outcome::Ok,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Outcome::Rejected,
            _ => return (Outcome::Error, None),
        };
        let body = Some(&*body).filter(|body| !body.is_empty());
        (outcome, self.load_report_settings().report_from_probe(body.or_else(|| response.load_report())))
    }
}

/// Reads the worker's response to a probe. The error is the outcome of a probe to which the worker did not
/// respond.
async fn read_response(
    exchange: Exchange,
    mut availability: watch::Receiver<Availability>,
    deadline: Instant,
    memory: &mut MemoryReservation,
) -> Result<ProbeResponse, Outcome> {
    let Exchange { progress, response } = exchange;
    let timeout = tokio::time::sleep_until(deadline);
    let response = async {
        let mut response = response.await?;
        let body = response.read_body(memory).await;
        Ok((response, body))
    };
    tokio::pin!(timeout, response);
    let mut unwritten = true;
    loop {
        tokio::select! {
            biased;
            outcome = wait_until_unavailable(&mut availability), if unwritten => {
                unwritten = false;
                if !progress.first_byte_written() {
                    return Err(outcome);
                }
            }
            response = &mut response => {
                return response.map_err(|error| match error {
                    ExchangeError::RequestIncomplete => Outcome::ConnectFailed,
                    ExchangeError::ResponseMissing => Outcome::Reset,
                });
            }
            () = &mut timeout => {
                return Err(if progress.is_connected() { Outcome::Timeout } else { Outcome::ConnectFailed });
            }
        }
    }
}
