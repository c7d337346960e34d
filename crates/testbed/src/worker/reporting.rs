//! Sends a stand-in worker's callbacks, with a load report if the worker's configuration asks for one.

use super::callbacks::{Callback, Delivery, JobUpdate};
use super::state::WorkerState;
use std::net::SocketAddr;

impl WorkerState {
    /// Sends a callback that reports one change of a job's state to a scheduler; `id` is the request id of
    /// the job.
    pub(super) async fn report(
        &self,
        scheduler: SocketAddr,
        id: u64,
        update: &JobUpdate,
        delivery: Delivery,
    ) {
        let stats = self.stats_in_answers().filter(|_| update.carries_load());
        let load = stats.map(|stats| stats.json(&self.reported_load()));
        let callback = Callback { id, worker: &self.spec.name, update, load };
        self.callbacks.deliver(scheduler, callback.body(), delivery).await;
    }
}
