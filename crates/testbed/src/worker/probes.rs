//! Probes of a worker's load or health, answered or misbehaved at as scripted.

use super::connection::{Connection, KeepAlive};
use super::script::ProbeBehavior;
use super::state::WorkerState;
use std::ops::ControlFlow;
use std::time::Duration;
use tokio::time::sleep;

/// The lowest rate at which the work of a probe is done.
const MIN_PROBE_RATE: f64 = 1e-6;
/// The longest that the work of a probe takes.
const MAX_PROBE_TIME: Duration = Duration::from_secs(1);

/// The subject of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeTarget {
    /// A load report.
    Stats,
    /// Whether the worker is alive.
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
    /// Answers one probe.
    pub(super) async fn probe(&mut self, target: &str) -> KeepAlive {
        let target = ProbeTarget::parse(target).filter(|_| self.worker.spec.probes.is_some());
        let Some(target) = target else { return self.answer(404, "", "").await };
        self.worker.runs.record_probe();
        let behavior = self.worker.lock().script.next_probe();
        if let ControlFlow::Break(keep_alive) = self.misbehave_at_probe(behavior).await {
            return keep_alive;
        }
        let wire = self.wire.as_mut()?;
        let served = tokio::select! {
            served = self.worker.serve_probe() => served,
            // A scheduler that cancels the probe also removes it from the queue.
            () = wire.wait_for_close() => return None,
        };
        if !served {
            return self.answer(503, "", "").await;
        }
        let body = self.worker.probe_body(target);
        self.answer(200, "", &body).await
    }

    /// Carries out what a script has before or in place of a probe's answer.
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
    /// Does the work of a probe; whether the probe was accepted.
    async fn serve_probe(&self) -> bool {
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

    /// The body of a probe's answer; empty where there is nothing to report.
    fn probe_body(&self, target: ProbeTarget) -> String {
        match (target, &self.spec.stats) {
            (ProbeTarget::Stats, Some(stats)) => stats.json(&self.reported_load()).to_string(),
            _ => String::new(),
        }
    }
}
