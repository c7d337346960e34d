//! Faults of schedulers in a soak test: restarts, upgrades, drains, reloads, moves of discovery, and crashes.

use super::super::fault::FaultKind;
use super::schedule::FaultSchedule;
use super::{track, FaultInjector};
use crate::runner::RESTART_DELAY;
use crate::scheduler::{PredecessorEnd, Scheduler};
use crate::{io_failure, Failure};
use rand::RngExt;
use tokio::time::{sleep, Instant};

impl FaultInjector<'_> {
    /// Runs the track with this `index`, which injects faults into its share of the schedulers. `first` is
    /// the number of the first scheduler in `schedulers`.
    pub(super) async fn inject_scheduler_faults(
        &self,
        index: usize,
        first: usize,
        schedulers: &mut [Scheduler],
    ) -> Result<(), Failure> {
        let mut kinds = vec![
            FaultKind::SchedulerRestart,
            FaultKind::SchedulerUpgrade,
            FaultKind::SchedulerDrain,
            FaultKind::SchedulerReload,
            FaultKind::DiscoveryMove,
        ];
        // Only the first track crashes schedulers, so that no two schedulers are down after a crash at the
        // same time.
        if index == 0 {
            kinds.push(FaultKind::SchedulerCrash);
        }
        let mut schedule = self.schedule(track::FIRST_SCHEDULERS + index as u64, &kinds);
        while let Some(kind) = schedule.next().await {
            let index = schedule.random.random_range(0..schedulers.len());
            let (number, started) = (first + index, Instant::now());
            self.inject_scheduler_fault(kind, number, &mut schedulers[index], &mut schedule).await?;
            self.log.record(kind, &number.to_string(), started);
        }
        Ok(())
    }

    async fn inject_scheduler_fault(
        &self,
        kind: FaultKind,
        number: usize,
        scheduler: &mut Scheduler,
        schedule: &mut FaultSchedule,
    ) -> Result<(), Failure> {
        match kind {
            FaultKind::SchedulerRestart => restart(number, scheduler).await?,
            FaultKind::SchedulerUpgrade => scheduler.upgrade(PredecessorEnd::Graceful).await?,
            FaultKind::SchedulerDrain => scheduler.drain(schedule.duration(0.1, 1.0)).await?,
            FaultKind::SchedulerReload => {
                for _ in 0..schedule.random.random_range(1..4) {
                    scheduler.reload();
                    sleep(schedule.duration(0.0, 0.3)).await;
                }
            }
            FaultKind::DiscoveryMove => self.move_discovery(scheduler, number)?,
            _ => {
                scheduler.kill().await;
                sleep(RESTART_DELAY).await;
                scheduler.restart()?;
            }
        }
        Ok(())
    }

    /// Moves discovery to another address for one scheduler, writes this address to the scheduler's
    /// configuration file, and makes the scheduler reload the file.
    fn move_discovery(&self, scheduler: &Scheduler, number: usize) -> Result<(), Failure> {
        let old = self.discovery.address(number).to_string();
        let new =
            self.discovery.move_to_new_port(number).map_err(io_failure("a new address of discovery"))?;
        let path = scheduler.config_path();
        let text = std::fs::read_to_string(path).map_err(io_failure("a scheduler's configuration"))?;
        let new_file = path.with_extension("fresh");
        std::fs::write(&new_file, text.replace(&old, &new.to_string()))
            .map_err(io_failure("a configuration"))?;
        std::fs::rename(&new_file, path).map_err(io_failure("a configuration"))?;
        scheduler.reload();
        Ok(())
    }
}

async fn restart(number: usize, scheduler: &mut Scheduler) -> Result<(), Failure> {
    let status = scheduler.shut_down().await;
    if !status.is_some_and(|status| status.success()) {
        return Err(Failure::CheckFailed(format!(
            "scheduler {number} did not shut down cleanly: {status:?}\n{}",
            scheduler.log_tail()
        )));
    }
    scheduler.restart()
}
