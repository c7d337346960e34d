//! Injects faults into the platform of a soak test, on several tracks at once. A track injects one fault at a
//! time and cycles through its own kinds of faults in an order drawn from the seed. Thus every kind happens,
//! and faults of different tracks overlap.

mod clients;
mod discovery;
mod schedule;
mod schedulers;
mod workers;

use super::fault::{FaultKind, FaultLog};
use super::faulty_clients::FaultyClients;
use crate::scheduler::Scheduler;
use crate::Failure;
use schedule::FaultSchedule;
use std::net::SocketAddr;
use tokio::time::Instant;
use vetchbridge_testbed::discovery::Discovery;
use vetchbridge_testbed::worker::Worker;

pub(super) use discovery::PUBLICATION_DELAY;

/// The numbers of the tracks, which give each track a random sequence of its own. For several tracks of one
/// kind, the constant `FIRST_...` is the number of the first; the index of a track is added to it.
mod track {
    pub(super) const FIRST_SCHEDULERS: u64 = 1;
    pub(super) const WORKER_CRASHES: u64 = 10;
    pub(super) const FIRST_WORKER_DRAINS: u64 = 20;
    pub(super) const WORKER_MISBEHAVIOR: u64 = 30;
    pub(super) const DISCOVERY: u64 = 40;
    pub(super) const FIRST_CLIENTS: u64 = 50;
}

/// The number of tracks that inject faults into schedulers. Each of these tracks has its own share of the
/// schedulers.
const SCHEDULER_TRACKS: usize = 3;

/// The parts of the deployment, and the parameters, that all tracks of a soak test share.
pub(super) struct FaultInjector<'a> {
    pub(super) seed: u64,
    pub(super) until: Instant,
    pub(super) workers: &'a [Worker],
    pub(super) discovery: &'a Discovery,
    pub(super) log: &'a FaultLog,
}

impl FaultInjector<'_> {
    /// Runs all tracks until the load ends; a track that is injecting a fault at that time finishes it.
    pub(super) async fn run(
        &self,
        schedulers: &mut [Scheduler],
        addresses: &[SocketAddr],
        clients: &FaultyClients,
    ) -> Result<(), Failure> {
        let per_track = schedulers.len().div_ceil(SCHEDULER_TRACKS).max(1);
        let scheduler_tracks = schedulers.chunks_mut(per_track).enumerate();
        let scheduler_tracks = scheduler_tracks
            .map(|(track, chunk)| self.inject_scheduler_faults(track, track * per_track, chunk));
        let (crashing, others) = self.workers.split_at(self.workers.len() / 3);
        let (draining, misbehaving) = others.split_at(others.len() / 2);
        tokio::try_join!(
            futures_util::future::try_join_all(scheduler_tracks),
            self.crash_workers(crashing),
            self.drain_workers(draining),
            self.inject_worker_faults(misbehaving),
            self.inject_discovery_faults(),
            self.inject_client_faults(0, addresses, clients),
            self.inject_client_faults(1, addresses, clients),
        )?;
        Ok(())
    }

    fn schedule(&self, track: u64, kinds: &[FaultKind]) -> FaultSchedule {
        FaultSchedule::new(self.seed, track, kinds, self.until)
    }
}
