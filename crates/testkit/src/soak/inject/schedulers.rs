//! Faults of schedulers: restarts, upgrades, drains, reloads and crashes.

use super::super::fault::FaultKind;
use super::schedule::FaultSchedule;
use super::{track, FaultInjector};
use crate::runner::RESTART_DELAY;
use crate::scheduler::{PredecessorEnd, Scheduler};
use crate::{machine, Failure};
use rand::RngExt;
use tokio::time::{sleep, Instant};

impl FaultInjector<'_> {
    /// One track over some of the schedulers; `first` is the number of the first of them.
    pub(super) async fn disturb_schedulers(
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
        // One track alone, so that no two schedulers crash at once.
        if index == 0 {
            kinds.push(FaultKind::SchedulerCrash);
        }
        let mut schedule = self.schedule(track::FIRST_SCHEDULERS + index as u64, &kinds);
        while let Some(kind) = schedule.next().await {
            let index = schedule.random.random_range(0..schedulers.len());
            let (number, started) = (first + index, Instant::now());
            self.disturb_scheduler(kind, number, &mut schedulers[index], &mut schedule).await?;
            self.log.record(kind, &number.to_string(), started);
        }
        Ok(())
    }

    async fn disturb_scheduler(
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

    /// Moves a scheduler's discovery to another address, which the scheduler learns from its configuration.
    fn move_discovery(&self, scheduler: &Scheduler, number: usize) -> Result<(), Failure> {
        let old = self.discovery.address(number).to_string();
        let new = self.discovery.move_to_new_port(number).map_err(machine("another address of discovery"))?;
        let path = scheduler.config_path();
        let text = std::fs::read_to_string(path).map_err(machine("a scheduler's configuration"))?;
        let fresh = path.with_extension("fresh");
        std::fs::write(&fresh, text.replace(&old, &new.to_string())).map_err(machine("a configuration"))?;
        std::fs::rename(&fresh, path).map_err(machine("a configuration"))?;
        scheduler.reload();
        Ok(())
    }
}

async fn restart(number: usize, scheduler: &mut Scheduler) -> Result<(), Failure> {
    let ended = scheduler.shut_down().await;
    if !ended.is_some_and(|status| status.success()) {
        return Err(Failure::Missed(format!(
            "scheduler {number} did not shut down cleanly: {ended:?}\n{}",
            scheduler.log_tail()
        )));
    }
    scheduler.restart()
}
