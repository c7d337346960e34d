//! One HTTP connection from a scheduler to a stand-in worker: reads requests for jobs, cancellations and
//! probes, and responds or misbehaves as scripted.

use super::execution::JobFuture;
use super::job::{expires_in, request_id, JobRequest};
use super::script::JobBehavior;
use super::state::WorkerState;
use crate::runs::AttemptArrival;
use crate::wire::{HttpConnection, Message};
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::sync::Arc;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::timeout;

/// The header line by which a response states that the job never ran.
const NEVER_RAN: &str = "x-never-ran: 1\r\n";

/// Whether a connection stays open after a request: `Some(())` means that it stays open, `None` that it ends.
pub(super) type KeepAlive = Option<()>;

/// One connection from a scheduler. If the worker has been killed, dropping this value resets the connection.
pub(super) struct Connection {
    /// The worker that serves the connection.
    pub(super) worker: Arc<WorkerState>,
    scheduler: SocketAddr,
    /// The worker's end of the connection; `None` once the worker has reset the connection.
    pub(super) http: Option<HttpConnection>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.worker.lock().killed {
            self.reset();
        }
    }
}

impl Connection {
    /// Creates the state of a connection that the worker has accepted from `scheduler`.
    pub(super) fn new(worker: Arc<WorkerState>, scheduler: SocketAddr, http: HttpConnection) -> Connection {
        Connection { worker, scheduler, http: Some(http) }
    }

    /// Serves requests until the connection ends. Sends the future that executes each accepted job to
    /// `job_starts`.
    pub(super) async fn run(&mut self, job_starts: &UnboundedSender<JobFuture>) {
        while self.serve_request(job_starts).await.is_some() {}
    }

    /// Resets the connection to the scheduler.
    pub(super) fn reset(&mut self) {
        if let Some(http) = self.http.take() {
            http.reset();
        }
    }

    /// Writes a complete response; each line in `headers` ends with `\r\n`.
    pub(super) async fn answer(&mut self, status: u16, headers: &str, body: &str) -> KeepAlive {
        self.http.as_mut()?.answer(status, headers, body).await.ok()
    }

    /// Sends no bytes until the scheduler closes the connection; then ends the connection.
    pub(super) async fn stay_silent(&mut self) -> KeepAlive {
        self.http.as_mut()?.wait_for_close().await;
        None
    }

    /// Reads one request from the scheduler and responds to it.
    async fn serve_request(&mut self, job_starts: &UnboundedSender<JobFuture>) -> KeepAlive {
        let http = self.http.as_mut()?;
        let (head, length) = timeout(self.worker.spec.idle_timeout, http.read_head()).await.ok()??;
        match head.method() {
            "DELETE" => self.serve_cancellation(head.target()).await,
            "GET" => {
                http.read_body(length).await?;
                self.serve_probe(head.target()).await
            }
            _ => self.serve_job(head, length, job_starts).await,
        }
    }

    /// Cancels the job that the path of the request names, if the worker has this job, and responds with 200.
    async fn serve_cancellation(&mut self, target: &str) -> KeepAlive {
        let id = target.strip_prefix("/jobs/").and_then(|id| u64::from_str_radix(id, 16).ok());
        if let Some(id) = id {
            self.worker.cancel(id);
        }
        self.answer(200, "", "").await
    }

    /// Reads the body of a job's request, then accepts or rejects the job, or misbehaves as scripted.
    async fn serve_job(
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
        let message = Message { body: self.http.as_mut()?.read_body(length).await?, ..head };
        let id = match request_id(&message) {
            Some(Ok(id)) => id,
            Some(Err(_)) => return self.answer(400, "", "").await,
            None => return self.answer(404, "", "").await,
        };
        let arrived = self.worker.elapsed();
        self.worker.runs.record_attempt(AttemptArrival {
            id,
            worker: self.worker.spec.name.clone(),
            at: arrived,
            expires_in: expires_in(&message),
        });
        if let ControlFlow::Break(keep_alive) = self.misbehave(&behavior).await {
            return keep_alive;
        }
        if !self.worker.has_capacity() {
            return self.end_attempt(503, true).await;
        }
        let job = JobRequest::read(id, arrived, self.scheduler, &message, self.worker.spec.work);
        self.accept(job, behavior, job_starts).await
    }

    /// Carries out a scripted behavior that does not accept the job. Returns `Continue` if the behavior lets
    /// the worker accept the job.
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
                if let Some(http) = &mut self.http {
                    // A failed write needs no handling: the connection closes whether or not the write
                    // succeeds.
                    let _ = http.write("HTTP/1.1 202 Acc").await;
                }
                ControlFlow::Break(None)
            }
            _ => ControlFlow::Continue(()),
        }
    }

    /// Responds to a job's request with the HTTP status `status`, which ends the attempt; if `never_ran` is
    /// set, the response states that the job never ran.
    async fn end_attempt(&mut self, status: u16, never_ran: bool) -> KeepAlive {
        let never_ran = if never_ran { NEVER_RAN } else { "" };
        let headers = format!("{never_ran}{}", self.worker.load_header());
        self.answer(status, &headers, "").await
    }

    /// Responds to a job's request with status 202 and executes the job, in the order and manner that the
    /// scripted behavior states.
    async fn accept(
        &mut self,
        job: JobRequest,
        behavior: JobBehavior,
        job_starts: &UnboundedSender<JobFuture>,
    ) -> KeepAlive {
        match behavior {
            JobBehavior::CallbackBeforeAnswer => {
                self.worker.clone().execute(job, JobBehavior::Serve).await;
                return self.answer(202, "", "").await;
            }
            JobBehavior::ByteByByte => {
                let answer = "HTTP/1.1 202 X\r\ncontent-length: 0\r\n\r\n";
                self.http.as_mut()?.write_byte_by_byte(answer).await.ok()?;
            }
            _ => self.answer(202, "", "").await?,
        }
        job_starts.send(self.worker.clone().execute(job, behavior)).ok()
    }
}
