//! Faults of discovery: outages, and changes that are published late.

use super::super::fault::FaultKind;
use super::{track, FaultInjector};
use crate::Failure;
use std::time::Duration;
use tokio::time::{sleep, Instant};
use vetchbridge_testbed::discovery::Health;

/// By how much discovery publishes changes late during [`FaultKind::DiscoveryDelay`].
pub(in crate::soak) const PUBLICATION_DELAY: Duration = Duration::from_millis(800);

impl FaultInjector<'_> {
    pub(super) async fn disturb_discovery(&self) -> Result<(), Failure> {
        let kinds = [
            FaultKind::DiscoveryError,
            FaultKind::DiscoveryReset,
            FaultKind::DiscoveryTimeout,
            FaultKind::DiscoveryTruncation,
            FaultKind::DiscoveryDelay,
        ];
        let mut schedule = self.schedule(track::DISCOVERY, &kinds);
        while let Some(kind) = schedule.next().await {
            let (lasts, started) = (schedule.duration(0.3, 3.0), Instant::now());
            match kind {
                FaultKind::DiscoveryError => self.discovery.fail_for(Health::Failing, lasts).await,
                FaultKind::DiscoveryReset => self.discovery.fail_for(Health::Resetting, lasts).await,
                FaultKind::DiscoveryTimeout => self.discovery.fail_for(Health::Unresponsive, lasts).await,
                FaultKind::DiscoveryTruncation => self.discovery.fail_for(Health::Truncating, lasts).await,
                _ => {
                    self.discovery.set_update_delay(PUBLICATION_DELAY);
                    sleep(lasts).await;
                    self.discovery.set_update_delay(Duration::ZERO);
                }
            }
            self.log.record(kind, "", started);
            sleep(schedule.duration(0.5, 4.0)).await;
        }
        Ok(())
    }
}
