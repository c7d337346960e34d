//! The execution of a job at a stand-in worker: waiting for slots, the run itself, and the callbacks to the
//! scheduler.

use super::callbacks::{Delivery, JobUpdate};
use super::job::{JobEntry, JobRequest};
use super::script::JobBehavior;
use super::state::WorkerState;
use crate::queue::SlotPermit;
use crate::runs::{run_result, Admission, RunEnd};
use futures_util::future::BoxFuture;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::watch;
use tokio::time::sleep;

/// The longest step in which a worker does the work of a job. Each step uses the worker's current speed,
/// which may change while the job runs.
const WORK_STEP: Duration = Duration::from_millis(50);
/// Upper limit on the computed time that the remaining work of a job takes, in seconds. At a speed close to
/// zero, that time might not be representable as a `Duration`.
const MAX_STEP_SECONDS: f64 = 3600.0;
/// Remaining work of a job, in seconds, at or below which the job counts as finished. A step shorter than the
/// resolution of the clock would never complete the rest of the work.
const WORK_EPSILON: f64 = 1e-6;
/// The body of a callback that a scripted worker sends although the body is not valid JSON.
const INVALID_CALLBACK: &str = "{\"id\":";

/// The execution of an accepted job, up to its last callback.
pub(super) type JobFuture = BoxFuture<'static, ()>;

/// How an execution ended before the worker finished the job.
enum EarlyEnd {
    /// The worker sends no further callback for the job.
    Unreported,
    /// The worker sends this callback as the last one for the job.
    Reported(JobUpdate),
}

impl WorkerState {
    /// Adds a job to the queue for slots and returns the future that executes the job. The job's callbacks
    /// are sent in order and never delay its run.
    pub(super) fn execute(self: Arc<Self>, job: JobRequest, behavior: JobBehavior) -> JobFuture {
        let entry = JobEntry::enqueue(self.clone(), job.id);
        Box::pin(async move {
            let (updates, sent) = unbounded_channel();
            let (id, scheduler) = (job.id, job.scheduler);
            let delivery =
                if behavior == JobBehavior::ByteByByte { Delivery::ByteByByte } else { Delivery::Retried };
            let reporting = async {
                let mut sent: UnboundedReceiver<JobUpdate> = sent;
                while let Some(update) = sent.recv().await {
                    self.report(scheduler, id, &update, delivery).await;
                }
            };
            tokio::join!(self.run_job(entry, &job, &behavior, updates), reporting);
        })
    }

    /// Runs a job and sends each change of its state to the channel `updates`, from which the callbacks are
    /// sent.
    async fn run_job(
        &self,
        entry: JobEntry,
        job: &JobRequest,
        behavior: &JobBehavior,
        updates: UnboundedSender<JobUpdate>,
    ) {
        if *behavior == JobBehavior::InvalidCallback {
            self.callbacks.deliver(job.scheduler, INVALID_CALLBACK.to_string(), Delivery::Retried).await;
        }
        let execution =
            Execution { worker: self, job, behavior, updates: &updates, cancelled: entry.cancelled() };
        let last = match execution.run(entry).await {
            Ok(update) | Err(EarlyEnd::Reported(update)) => update,
            Err(EarlyEnd::Unreported) => return,
        };
        let repeats = if let JobBehavior::RepeatCallback(times) = behavior { *times } else { 1 };
        for _ in 0..repeats {
            // The receiver exists until all senders are dropped, so sending cannot fail.
            let _ = updates.send(last.clone());
        }
    }

    /// Returns the last callback of a job; `number` is the finished run from which the job gets its result.
    fn done_update(&self, number: usize) -> JobUpdate {
        JobUpdate::Done { result: run_result(self.runs.id_of(number), number) }
    }
}

/// One job that a worker executes.
struct Execution<'a> {
    worker: &'a WorkerState,
    job: &'a JobRequest,
    behavior: &'a JobBehavior,
    updates: &'a UnboundedSender<JobUpdate>,
    cancelled: watch::Receiver<bool>,
}

impl Execution<'_> {
    /// Waits for slots and runs the job, or carries out the scripted behavior instead. Returns the job's last
    /// callback.
    async fn run(mut self, mut entry: JobEntry) -> Result<JobUpdate, EarlyEnd> {
        match self.behavior {
            JobBehavior::NoCallback => return Err(EarlyEnd::Unreported),
            JobBehavior::ReturnUnstarted => return Err(EarlyEnd::Reported(JobUpdate::Returned)),
            _ => {}
        }
        let slots = self.wait_for_slots().await?;
        entry.move_to_running();
        let run = self.job.run_entry(&self.worker.spec.name, self.worker.elapsed());
        match self.worker.runs.start(run, self.worker.spec.deduplication_window) {
            Admission::Run(number) => {
                entry.set_run(number);
                self.run_in_slots(number).await
            }
            Admission::Finished(first) => Ok(self.worker.done_update(first)),
            Admission::Running(first) => {
                drop(slots);
                self.worker.record_load();
                match self.worker.runs.wait_for_end(first).await {
                    RunEnd::Finished => Ok(self.worker.done_update(first)),
                    _ => Err(EarlyEnd::Reported(JobUpdate::Failed)),
                }
            }
        }
    }

    /// Waits until the job has its slots. Fails if the job is cancelled or the worker starts to drain before
    /// that.
    async fn wait_for_slots(&mut self) -> Result<SlotPermit, EarlyEnd> {
        let mut draining = self.worker.draining.subscribe();
        tokio::select! {
            biased;
            _ = self.cancelled.wait_for(|cancelled| *cancelled) => Err(EarlyEnd::Unreported),
            _ = draining.wait_for(|draining| *draining) => Err(EarlyEnd::Reported(JobUpdate::Returned)),
            slots = self.worker.slots.acquire(self.job.slots) => slots.ok_or(EarlyEnd::Unreported),
        }
    }

    /// Runs the job in slots that the caller has acquired; `number` is the run's number in the record.
    async fn run_in_slots(&mut self, number: usize) -> Result<JobUpdate, EarlyEnd> {
        if self.worker.spec.reports_start {
            self.send_update(JobUpdate::Started)?;
        }
        match self.behavior {
            JobBehavior::Lose => return Err(EarlyEnd::Reported(JobUpdate::Lost)),
            JobBehavior::Fail => {
                self.worker.runs.end(number, RunEnd::Failed);
                return Err(EarlyEnd::Reported(JobUpdate::Failed));
            }
            _ => {}
        }
        let worker = self.worker;
        self.unless_cancelled(number, worker.cache.load(&self.job.object)).await?;
        self.work(number).await?;
        worker.runs.end(number, RunEnd::Finished);
        Ok(worker.done_update(number))
    }

    /// Waits for the time that the job's work takes at the worker's speed, and reports progress to the
    /// scheduler.
    async fn work(&mut self, number: usize) -> Result<(), EarlyEnd> {
        let (worker, progress) = (self.worker, self.worker.spec.progress_interval);
        let total = self.job.work.as_secs_f64();
        let mut remaining = total;
        let mut since_report = Duration::ZERO;
        while remaining > WORK_EPSILON {
            let step =
                WORK_STEP.min(Duration::from_secs_f64((remaining / worker.rate()).min(MAX_STEP_SECONDS)));
            self.unless_cancelled(number, sleep(step)).await?;
            remaining -= step.as_secs_f64() * worker.rate();
            since_report += step;
            if !progress.is_zero() && since_report >= progress && remaining > WORK_EPSILON {
                since_report = Duration::ZERO;
                self.send_update(JobUpdate::Running { share: 1.0 - remaining / total })?;
            }
        }
        Ok(())
    }

    /// Awaits `part`, one part of a run. If the job is cancelled meanwhile and the worker's configuration
    /// lets a cancellation stop running jobs, the run ends.
    async fn unless_cancelled(
        &mut self,
        number: usize,
        part: impl Future<Output = ()>,
    ) -> Result<(), EarlyEnd> {
        tokio::select! {
            () = part => Ok(()),
            _ = self.cancelled.wait_for(|cancelled| *cancelled), if self.worker.spec.cancels_running_jobs => {
                self.worker.runs.end(number, RunEnd::Cancelled);
                Err(EarlyEnd::Unreported)
            }
        }
    }

    /// Queues a callback that reports a change of the job's state.
    fn send_update(&self, update: JobUpdate) -> Result<(), EarlyEnd> {
        self.updates.send(update).map_err(|_| EarlyEnd::Unreported)
    }
}
