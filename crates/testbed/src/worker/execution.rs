//! The execution of a job: from the queue through a slot to its last callback.

use super::callbacks::{Delivery, JobUpdate};
use super::job::{JobPlace, JobRequest};
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

/// The work of a job is done in steps of at most this time, since the worker's speed may change meanwhile.
const WORK_STEP: Duration = Duration::from_millis(50);
/// The longest step in seconds, for a worker that is nearly stopped; a longer one might not be representable.
const MAX_STEP: f64 = 3600.0;
/// Remaining work, in seconds, that counts as none: less than the clock resolves would never be done.
const WORK_EPSILON: f64 = 1e-6;
/// A callback that is not valid JSON.
const INVALID_CALLBACK: &str = "{\"id\":";

/// A job that was accepted, to its last callback.
pub(super) type JobFuture = BoxFuture<'static, ()>;

/// Why an execution ended before the job was done.
enum EarlyEnd {
    /// Without another callback.
    Unreported,
    /// With this callback.
    Reported(JobUpdate),
}

impl WorkerState {
    /// Enters a job in the queue; the future runs it. Its callbacks go out in order and never delay the run.
    pub(super) fn job(self: Arc<Self>, job: JobRequest, behavior: JobBehavior) -> JobFuture {
        let place = JobPlace::enqueue(self.clone(), job.id);
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
            tokio::join!(self.run_job(place, &job, &behavior, updates), reporting);
        })
    }

    /// Runs a job and hands its callbacks to `updates`.
    async fn run_job(
        &self,
        place: JobPlace,
        job: &JobRequest,
        behavior: &JobBehavior,
        updates: UnboundedSender<JobUpdate>,
    ) {
        if *behavior == JobBehavior::InvalidCallback {
            self.callbacks.deliver(job.scheduler, INVALID_CALLBACK.to_string(), Delivery::Retried).await;
        }
        let execution =
            Execution { worker: self, job, behavior, updates: &updates, cancelled: place.cancelled() };
        let last = match execution.run(place).await {
            Ok(update) | Err(EarlyEnd::Reported(update)) => update,
            Err(EarlyEnd::Unreported) => return,
        };
        let repeats = if let JobBehavior::RepeatCallback(times) = behavior { *times } else { 1 };
        for _ in 0..repeats {
            // The receiver lives until this sender is dropped.
            let _ = updates.send(last.clone());
        }
    }

    /// The last callback of a job whose run has finished.
    fn done(&self, number: usize) -> JobUpdate {
        JobUpdate::Done { result: run_result(self.runs.id_of(number), number) }
    }
}

/// One job in execution.
struct Execution<'a> {
    worker: &'a WorkerState,
    job: &'a JobRequest,
    behavior: &'a JobBehavior,
    updates: &'a UnboundedSender<JobUpdate>,
    cancelled: watch::Receiver<bool>,
}

impl Execution<'_> {
    /// From the queue to the end of the run; the last callback.
    async fn run(mut self, mut place: JobPlace) -> Result<JobUpdate, EarlyEnd> {
        match self.behavior {
            JobBehavior::NoCallback => return Err(EarlyEnd::Unreported),
            JobBehavior::ReturnUnstarted => return Err(EarlyEnd::Reported(JobUpdate::Returned)),
            _ => {}
        }
        let slots = self.wait_for_slots().await?;
        place.begin();
        let run = self.job.run(&self.worker.spec.name, self.worker.elapsed());
        match self.worker.runs.start(run, self.worker.spec.deduplication_window) {
            Admission::Run(number) => {
                place.set_run(number);
                self.run_in_slots(number).await
            }
            Admission::Finished(first) => Ok(self.worker.done(first)),
            Admission::Running(first) => {
                drop(slots);
                self.worker.record_load();
                match self.worker.runs.wait_for_end(first).await {
                    RunEnd::Finished => Ok(self.worker.done(first)),
                    _ => Err(EarlyEnd::Reported(JobUpdate::Failed)),
                }
            }
        }
    }

    /// Waits in the queue until the job has its slots, is cancelled, or the worker drains.
    async fn wait_for_slots(&mut self) -> Result<SlotPermit, EarlyEnd> {
        let mut draining = self.worker.draining.subscribe();
        tokio::select! {
            biased;
            _ = self.cancelled.wait_for(|cancelled| *cancelled) => Err(EarlyEnd::Unreported),
            _ = draining.wait_for(|draining| *draining) => Err(EarlyEnd::Reported(JobUpdate::Returned)),
            slots = self.worker.slots.acquire(self.job.slots) => slots.ok_or(EarlyEnd::Unreported),
        }
    }

    /// The run itself, in slots that the caller has taken.
    async fn run_in_slots(&mut self, number: usize) -> Result<JobUpdate, EarlyEnd> {
        if self.worker.spec.reports_start {
            self.update(JobUpdate::Started)?;
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
        Ok(worker.done(number))
    }

    /// Does the job's work and reports progress.
    async fn work(&mut self, number: usize) -> Result<(), EarlyEnd> {
        let (worker, progress) = (self.worker, self.worker.spec.progress_interval);
        let total = self.job.work.as_secs_f64();
        let mut remaining = total;
        let mut since_report = Duration::ZERO;
        while remaining > WORK_EPSILON {
            let step = WORK_STEP.min(Duration::from_secs_f64((remaining / worker.rate()).min(MAX_STEP)));
            self.unless_cancelled(number, sleep(step)).await?;
            remaining -= step.as_secs_f64() * worker.rate();
            since_report += step;
            if !progress.is_zero() && since_report >= progress && remaining > WORK_EPSILON {
                since_report = Duration::ZERO;
                self.update(JobUpdate::Running { share: 1.0 - remaining / total })?;
            }
        }
        Ok(())
    }

    /// Awaits one part of a run; a worker that stops running jobs abandons it when the job is cancelled.
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

    /// Hands over a callback.
    fn update(&self, update: JobUpdate) -> Result<(), EarlyEnd> {
        self.updates.send(update).map_err(|_| EarlyEnd::Unreported)
    }
}
