//! Probes, by which a scheduler asks a stand-in worker for its load or whether it is alive. The worker
//! responds, or misbehaves as scripted.

use super::connection::{Connection, KeepAlive};
use super::script::ProbeBehavior;
use super::state::WorkerState;
use std::ops::ControlFlow;
use std::time::Duration;
use tokio::time::sleep;

/// The lowest speed at which the work of a probe is done, in seconds of work at speed 1 per second.
const MIN_PROBE_RATE: f64 = 1e-6;
/// The longest time that the work of one probe takes.
const MAX_PROBE_TIME: Duration = Duration::from_secs(1);

/// The resource that a scheduler requests by a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeTarget {
    /// The worker's load report.
    Stats,
    /// The information that the worker is alive.
    Liveness,
}

impl ProbeTarget {
    fn parse(target: &str) -> Option<ProbeTarget> {
        match target {
            "/stats" => Some(ProbeTarget::Stats),
            "/health/live" => Some(ProbeTarget::Liveness),
            _ => None,
        }
    }
}

impl Connection {
    /// Responds to one probe of a scheduler, or misbehaves as scripted.
    pub(super) async fn serve_probe(&mut self, target: &str) -> KeepAlive {
        let target = ProbeTarget::parse(target).filter(|_| self.worker.spec.probes.is_some());
        let Some(target) = target else { return self.answer(404, "", "").await };
        self.worker.runs.record_probe();
        let behavior = self.worker.lock().script.next_probe();
        if let ControlFlow::Break(keep_alive) = self.misbehave_at_probe(behavior).await {
            return keep_alive;
        }
        let http = self.http.as_mut()?;
        let served = tokio::select! {
            served = self.worker.do_probe_work() => served,
            // The scheduler cancelled the probe by closing the connection. Dropping the other future removes
            // the probe from the slot queue.
            () = http.wait_for_close() => return None,
        };
        if !served {
            return self.answer(503, "", "").await;
        }
        let body = self.worker.probe_body(target);
        self.answer(200, "", &body).await
    }

    /// Carries out a scripted behavior that delays or replaces the response to a probe. Returns `Continue` if
    /// the worker is to respond to the probe.
    async fn misbehave_at_probe(&mut self, behavior: ProbeBehavior) -> ControlFlow<KeepAlive> {
        match behavior {
            ProbeBehavior::Answer => {}
            ProbeBehavior::Delay(delay) => sleep(delay).await,
            ProbeBehavior::NoResponse => return ControlFlow::Break(self.stay_silent().await),
            ProbeBehavior::Reject => return ControlFlow::Break(self.answer(503, "", "").await),
            ProbeBehavior::Reset => {
                self.reset();
                return ControlFlow::Break(None);
            }
        }
        ControlFlow::Continue(())
    }
}

impl WorkerState {
    /// Waits for the time that a probe's work takes, and for a slot if probes take one. Returns whether the
    /// worker accepted the probe.
    async fn do_probe_work(&self) -> bool {
        let Some(probe) = self.spec.probes else { return false };
        if probe.deep && !self.has_capacity() {
            return false;
        }
        let slot = if probe.deep { self.slots.acquire(1).await } else { None };
        if slot.is_some() {
            self.record_load();
        }
        if !probe.work.is_zero() {
            let time = probe.work.div_f64(self.rate().max(MIN_PROBE_RATE));
            sleep(time.min(MAX_PROBE_TIME)).await;
        }
        if slot.is_some() {
            drop(slot);
            self.record_load();
        }
        true
    }

    /// Returns the body of the response to a probe: the load report, or an empty string for a liveness probe
    /// or a worker without load reports.
    fn probe_body(&self, target: ProbeTarget) -> String {
        match (target, &self.spec.stats) {
            (ProbeTarget::Stats, Some(stats)) => stats.json(&self.reported_load()).to_string(),
            _ => String::new(),
        }
    }
}
