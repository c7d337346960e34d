//! Faults of discovery in a soak test: outages, and delayed publication of changes to the endpoint list.

use super::super::fault::FaultKind;
use super::{track, FaultInjector};
use crate::Failure;
use std::time::Duration;
use tokio::time::{sleep, Instant};
use vetchbridge_testbed::discovery::ResponseMode;

/// By how much discovery delays changes to the endpoint list during a [`FaultKind::DiscoveryDelay`].
pub(in crate::soak) const PUBLICATION_DELAY: Duration = Duration::from_millis(800);

impl FaultInjector<'_> {
    pub(super) async fn inject_discovery_faults(&self) -> Result<(), Failure> {
        let kinds = [
            FaultKind::DiscoveryError,
            FaultKind::DiscoveryReset,
            FaultKind::DiscoveryTimeout,
            FaultKind::DiscoveryTruncation,
            FaultKind::DiscoveryDelay,
        ];
        let mut schedule = self.schedule(track::DISCOVERY, &kinds);
        while let Some(kind) = schedule.next().await {
            let (duration, started) = (schedule.duration(0.3, 3.0), Instant::now());
            match kind {
                FaultKind::DiscoveryError => self.discovery.fail(ResponseMode::Error, duration).await,
                FaultKind::DiscoveryReset => self.discovery.fail(ResponseMode::Reset, duration).await,
                FaultKind::DiscoveryTimeout => self.discovery.fail(ResponseMode::Silent, duration).await,
                FaultKind::DiscoveryTruncation => self.discovery.fail(ResponseMode::Truncate, duration).await,
                _ => {
                    self.discovery.set_update_delay(PUBLICATION_DELAY);
                    sleep(duration).await;
                    self.discovery.set_update_delay(Duration::ZERO);
                }
            }
            self.log.record(kind, "", started);
            sleep(schedule.duration(0.5, 4.0)).await;
        }
        Ok(())
    }
}
