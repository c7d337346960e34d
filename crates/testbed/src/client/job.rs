//! One job of a client, from its first attempt to its last.

use super::exchange::{exchange, AttemptRequest, Response};
use super::record::{Attempt, JobRecord, Outcome};
use super::retry::{attempt_id, honors_retry_after, may_retry};
use super::Clients;
use crate::arrivals::{Arrival, Idempotency};
use std::time::Duration;
use tokio::time::{sleep, timeout, Instant};

/// Time after the client's deadline for which a client still waits for the response to an attempt.
const RESPONSE_GRACE: Duration = Duration::from_millis(100);

/// A job that a client has begun to send.
pub(super) struct Job {
    clients: Clients,
    load_start: Instant,
    deadline: Instant,
    idempotency: Idempotency,
    record: JobRecord,
}

impl Job {
    /// Creates a job without attempts; the load to which the job belongs started at `load_start`.
    pub(super) fn new(clients: Clients, load_start: Instant, arrival: Arrival) -> Job {
        let class = &clients.spec.classes[arrival.class];
        let idempotency = class.idempotency;
        let deadline = load_start + arrival.at + class.deadline;
        let key = matches!(idempotency, Idempotency::Keyed(_))
            .then(|| format!("{:016x}{:04x}", arrival.id_seed, arrival.job));
        let record = JobRecord { arrival, key, attempts: Vec::new() };
        Job { clients, load_start, deadline, idempotency, record }
    }

    /// Sends attempts until the job is served, may not be retried, or its deadline has passed.
    pub(super) async fn run(mut self) -> JobRecord {
        for number in 0..=self.clients.spec.max_retries {
            let remaining = self.remaining();
            if remaining.is_zero() {
                break;
            }
            let Some(delay) = self.attempt(number, remaining).await else { break };
            sleep(delay).await;
        }
        self.record
    }

    /// Returns the time until the job's deadline; zero after the deadline.
    fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Sends one attempt and records its outcome. `remaining` is the time until the job's deadline. Returns
    /// the time to wait before the next attempt, or `None` if the job is not retried.
    async fn attempt(&mut self, number: u32, remaining: Duration) -> Option<Duration> {
        let id = attempt_id(self.record.arrival.id_seed, number);
        let request = AttemptRequest { target: self.clients.next_target(), id, number };
        let sent = self.load_start.elapsed();
        let mut resent = None;
        let response = self.send(&request, remaining, &mut resent);
        let response = timeout(remaining + RESPONSE_GRACE, response).await;
        let Response { outcome, retry_after } = response.unwrap_or_else(|_| Outcome::Unanswered.into());
        let will_retry = self.allows_retry(&outcome, sent) && number < self.clients.spec.max_retries;
        self.record.attempts.push(Attempt { id, sent, resent, ended: self.load_start.elapsed(), outcome });
        will_retry.then(|| self.retry_delay(id, retry_after))
    }

    /// Sends the request of an attempt. If the connection breaks, sends the request once more on a new
    /// connection, because the scheduler may have closed an idle connection without reading the request.
    /// `resent` is set to the time of the second sending.
    async fn send(
        &self,
        request: &AttemptRequest,
        remaining: Duration,
        resent: &mut Option<Duration>,
    ) -> Response {
        let spec = &self.clients.spec;
        let first = exchange(&self.clients.pooled, request.build(spec, &self.record, remaining)).await;
        if !matches!(first.outcome, Outcome::Broken(_)) {
            return first;
        }
        *resent = Some(self.load_start.elapsed());
        exchange(&self.clients.unpooled, request.build(spec, &self.record, self.remaining())).await
    }

    /// Whether the outcome of an attempt allows a retry of the job; `sent` is when the attempt was sent,
    /// counted from the start of the load.
    fn allows_retry(&self, outcome: &Outcome, sent: Duration) -> bool {
        let first_sent = self.record.attempts.first().map_or(sent, |first| first.sent);
        let until_retry =
            self.load_start.elapsed().saturating_sub(first_sent) + self.clients.spec.retry_delay;
        may_retry(self.idempotency, outcome, until_retry)
    }

    /// Returns the time to wait before the next attempt; `id` is the rejected or failed attempt's request id,
    /// and `retry_after` the time in the `Retry-After` of its response.
    fn retry_delay(&self, id: u64, retry_after: Option<Duration>) -> Duration {
        let spec = &self.clients.spec;
        let honored = retry_after.filter(|_| honors_retry_after(id, spec.retry_after_share));
        honored.unwrap_or(spec.retry_delay)
    }
}
