//! Faults of workers in a soak test: crashes, drains, slowdowns, rejected jobs, and responses of a faulty or
//! overloaded program.

use super::super::fault::FaultKind;
use super::{track, FaultInjector};
use crate::{io_failure, Failure};
use futures_util::future::join_all;
use rand::RngExt;
use std::time::Duration;
use tokio::time::{sleep, sleep_until, Instant};
use vetchbridge_testbed::worker::{JobBehavior, Worker};

/// How long discovery publishes a worker as draining: long enough for schedulers to learn of the drain
/// despite an outage of discovery.
const DRAIN_TIME: Duration = Duration::from_secs(13);

/// The faulty ways in which a worker may handle one attempt.
const MISBEHAVIOR: [JobBehavior; 15] = [
    JobBehavior::Answer { status: 500, never_ran: false },
    JobBehavior::Answer { status: 503, never_ran: true },
    JobBehavior::Answer { status: 429, never_ran: false },
    JobBehavior::NoResponse,
    JobBehavior::ResetInBody,
    JobBehavior::ResetBeforeAnswer,
    JobBehavior::HalfAnswer,
    JobBehavior::NoCallback,
    JobBehavior::Lose,
    JobBehavior::Fail,
    JobBehavior::ReturnUnstarted,
    JobBehavior::CallbackBeforeAnswer,
    JobBehavior::RepeatCallback(3),
    JobBehavior::InvalidCallback,
    JobBehavior::ByteByByte,
];

impl FaultInjector<'_> {
    /// Crashes and restarts workers, one at a time. For about half of the crashes, the worker's jobs are
    /// reported as lost and discovery removes the worker from the endpoint list.
    pub(super) async fn crash_workers(&self, workers: &[Worker]) -> Result<(), Failure> {
        let mut schedule = self.schedule(track::WORKER_CRASHES, &[FaultKind::WorkerCrash]);
        while let Some(kind) = schedule.next().await {
            let (worker, is_published) = (schedule.choose(workers), schedule.random.random_bool(0.5));
            let started = Instant::now();
            worker.kill(is_published).await;
            if is_published {
                self.discovery.remove(worker);
            }
            sleep(schedule.duration(0.2, 3.0)).await;
            worker.restart().map_err(io_failure("a worker"))?;
            self.discovery.list_as_up(worker);
            self.log.record(kind, &worker.spec().name, started);
        }
        Ok(())
    }

    /// Publishes half of the given workers as draining repeatedly, each worker on a track of its own.
    pub(super) async fn drain_workers(&self, workers: &[Worker]) -> Result<(), Failure> {
        let half = workers.iter().take(workers.len().div_ceil(2)).enumerate();
        join_all(half.map(|(index, worker)| self.drain_worker(index as u64, worker))).await;
        Ok(())
    }

    async fn drain_worker(&self, index: u64, worker: &Worker) {
        let mut schedule = self.schedule(track::FIRST_WORKER_DRAINS + index, &[FaultKind::WorkerDrain]);
        while let Some(kind) = schedule.next().await {
            let started = Instant::now();
            self.discovery.list_as_draining(worker);
            // The worker keeps accepting attempts, so that attempts that schedulers send too late are
            // recorded.
            sleep_until((started + DRAIN_TIME).min(self.until)).await;
            self.log.record(kind, &worker.spec().name, started);
            self.discovery.list_as_up(worker);
            sleep(schedule.duration(2.0, 5.0)).await;
        }
    }

    /// Slows workers down, makes them reject all jobs, and makes them mishandle attempts, for one worker at a
    /// time.
    pub(super) async fn inject_worker_faults(&self, workers: &[Worker]) -> Result<(), Failure> {
        let kinds = [FaultKind::WorkerMisbehavior, FaultKind::WorkerSlowdown, FaultKind::WorkerRefusal];
        let mut schedule = self.schedule(track::WORKER_MISBEHAVIOR, &kinds);
        while let Some(kind) = schedule.next().await {
            let (worker, started) = (schedule.choose(workers), Instant::now());
            match kind {
                FaultKind::WorkerSlowdown => {
                    worker.set_slowdown(schedule.random.random_range(2.0..20.0));
                    sleep(schedule.duration(0.5, 3.0)).await;
                    worker.set_slowdown(1.0);
                }
                FaultKind::WorkerRefusal => {
                    worker.reject_jobs(true);
                    sleep(schedule.duration(0.2, 1.5)).await;
                    worker.reject_jobs(false);
                }
                _ => {
                    let count = schedule.random.random_range(1..8);
                    let behaviors: Vec<JobBehavior> =
                        (0..count).map(|_| schedule.choose(&MISBEHAVIOR).clone()).collect();
                    worker.script_jobs(behaviors);
                    sleep(schedule.duration(0.2, 1.0)).await;
                }
            }
            self.log.record(kind, &worker.spec().name, started);
        }
        Ok(())
    }
}
