//! One HTTP connection from a scheduler: reads jobs and cancellations, and answers them or misbehaves as scripted.

use super::execution::JobFuture;
use super::job::{expires_in, request_id, JobRequest};
use super::script::JobBehavior;
use super::state::WorkerState;
use crate::runs::AttemptArrival;
use crate::wire::{Message, Wire};
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::sync::Arc;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::timeout;

/// The header line of an answer to a job that was not run.
const NEVER_RAN: &str = "x-never-ran: 1\r\n";

/// Whether a connection stays open after an exchange; `None` closes it.
pub(super) type KeepAlive = Option<()>;

/// One connection from a scheduler; reset if its worker is killed.
pub(super) struct Connection {
    /// The worker.
    pub(super) worker: Arc<WorkerState>,
    scheduler: SocketAddr,
    /// The connection's end; absent once it was reset.
    pub(super) wire: Option<Wire>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.worker.lock().killed {
            self.reset();
        }
    }
}

impl Connection {
    /// A connection that was accepted.
    pub(super) fn new(worker: Arc<WorkerState>, scheduler: SocketAddr, wire: Wire) -> Connection {
        Connection { worker, scheduler, wire: Some(wire) }
    }

    /// Serves requests until the connection ends. Jobs that are accepted go to `job_starts`.
    pub(super) async fn run(&mut self, job_starts: &UnboundedSender<JobFuture>) {
        while self.exchange(job_starts).await.is_some() {}
    }

    /// Resets the connection.
    pub(super) fn reset(&mut self) {
        if let Some(wire) = self.wire.take() {
            wire.reset();
        }
    }

    /// Writes a complete answer; `headers` are lines with their ends.
    pub(super) async fn answer(&mut self, status: u16, headers: &str, body: &str) -> KeepAlive {
        self.wire.as_mut()?.answer(status, headers, body).await.ok()
    }

    /// Sends nothing until the scheduler has closed the connection.
    pub(super) async fn stay_silent(&mut self) -> KeepAlive {
        self.wire.as_mut()?.wait_for_close().await;
        None
    }

    /// Reads one request and answers it.
    async fn exchange(&mut self, job_starts: &UnboundedSender<JobFuture>) -> KeepAlive {
        let wire = self.wire.as_mut()?;
        let (head, length) = timeout(self.worker.spec.idle_timeout, wire.read_head()).await.ok()??;
        match head.method() {
            "DELETE" => self.cancel(head.target()).await,
            "GET" => {
                wire.read_body(length).await?;
                self.probe(head.target()).await
            }
            _ => self.job(head, length, job_starts).await,
        }
    }

    async fn cancel(&mut self, target: &str) -> KeepAlive {
        let id = target.strip_prefix("/jobs/").and_then(|id| u64::from_str_radix(id, 16).ok());
        if let Some(id) = id {
            self.worker.cancel(id);
        }
        self.answer(200, "", "").await
    }

    async fn job(
        &mut self,
        head: Message,
        length: usize,
        job_starts: &UnboundedSender<JobFuture>,
    ) -> KeepAlive {
        let behavior = self.worker.lock().script.next_job();
        if behavior == JobBehavior::ResetInBody {
            self.reset();
            return None;
        }
        let message = Message { body: self.wire.as_mut()?.read_body(length).await?, ..head };
        let id = match request_id(&message) {
            Some(Ok(id)) => id,
            Some(Err(_)) => return self.answer(400, "", "").await,
            None => return self.answer(404, "", "").await,
        };
        self.worker.runs.record_attempt(AttemptArrival {
            id,
            worker: self.worker.spec.name.clone(),
            at: self.worker.elapsed(),
            expires_in: expires_in(&message),
        });
        if let ControlFlow::Break(keep_alive) = self.misbehave(&behavior).await {
            return keep_alive;
        }
        if !self.worker.has_capacity() {
            return self.end_attempt(503, true).await;
        }
        let job = JobRequest::read(id, self.scheduler, &message, self.worker.spec.work);
        self.accept(job, behavior, job_starts).await
    }

    /// Carries out what a script has in place of accepting the job, if it has such.
    async fn misbehave(&mut self, behavior: &JobBehavior) -> ControlFlow<KeepAlive> {
        match *behavior {
            JobBehavior::Answer { status, never_ran } => {
                ControlFlow::Break(self.end_attempt(status, never_ran).await)
            }
            JobBehavior::NoResponse => ControlFlow::Break(self.stay_silent().await),
            JobBehavior::ResetBeforeAnswer => {
                self.reset();
                ControlFlow::Break(None)
            }
            JobBehavior::HalfAnswer => {
                if let Some(wire) = &mut self.wire {
                    // The connection is closed whether the write succeeded or not.
                    let _ = wire.write("HTTP/1.1 202 Acc").await;
                }
                ControlFlow::Break(None)
            }
            _ => ControlFlow::Continue(()),
        }
    }

    /// Answers with a status that ends the attempt.
    async fn end_attempt(&mut self, status: u16, never_ran: bool) -> KeepAlive {
        let never_ran = if never_ran { NEVER_RAN } else { "" };
        let headers = format!("{never_ran}{}", self.worker.load_header());
        self.answer(status, &headers, "").await
    }

    /// Answers 202 and starts the job, in the scripted order.
    async fn accept(
        &mut self,
        job: JobRequest,
        behavior: JobBehavior,
        job_starts: &UnboundedSender<JobFuture>,
    ) -> KeepAlive {
        match behavior {
            JobBehavior::CallbackBeforeAnswer => {
                self.worker.clone().job(job, JobBehavior::Serve).await;
                return self.answer(202, "", "").await;
            }
            JobBehavior::ByteByByte => {
                let answer = "HTTP/1.1 202 X\r\ncontent-length: 0\r\n\r\n";
                self.wire.as_mut()?.write_byte_by_byte(answer).await.ok()?;
            }
            _ => self.answer(202, "", "").await?,
        }
        job_starts.send(self.worker.clone().job(job, behavior)).ok()
    }
}
