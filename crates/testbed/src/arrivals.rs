//! The load: which job arrives when. Pure and seeded, with a random stream of its own for each concern, so that one
//! more draw in one never moves another.

use rand::{Rng, RngExt};
use rand_distr::{Distribution, Exp, LogNormal, Zipf};
use rand_pcg::Pcg64;
use std::time::Duration;

/// What repeating a job of a class does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may run any number of times.
    Idempotent,
    /// Workers drop a repeat within this time.
    Keyed(Duration),
    /// It must never run twice.
    NonIdempotent,
}

/// One class of jobs as clients send them.
#[derive(Clone, Debug)]
pub struct ClassLoad {
    /// Its name, the first part of the path.
    pub name: String,
    /// Its share of the jobs, against the others' shares.
    pub share: f64,
    /// The worth of a job answered in time.
    pub priority_weight: f64,
    /// The mean of its work.
    pub work: Duration,
    /// How widely work varies: the sigma of a log-normal distribution.
    pub spread: f64,
    /// An answer is in time within this ...
    pub latency_objective: Duration,
    /// ... and so many times its work.
    pub objective_per_work: f64,
    /// When a client gives up.
    pub deadline: Duration,
    /// What a repeat does.
    pub idempotency: Idempotency,
    /// How many objects jobs are about.
    pub objects: u64,
    /// How unevenly they are asked for: the exponent of a Zipf distribution.
    pub zipf: f64,
    /// Slots that a job takes at a worker.
    pub slots: usize,
}

/// One tenant as clients send for it.
#[derive(Clone, Debug)]
pub struct TenantLoad {
    /// Its name.
    pub name: String,
    /// Its share of the jobs, against the others' shares.
    pub share: f64,
}

/// A load: an open loop of independent arrivals.
#[derive(Clone, Debug)]
pub struct LoadSpec {
    /// The seed of every draw.
    pub seed: u64,
    /// Jobs a second.
    pub rate: f64,
    /// The classes.
    pub classes: Vec<ClassLoad>,
    /// The tenants; jobs are nobody's where there are none.
    pub tenants: Vec<TenantLoad>,
    /// How far hints are off the work: the sigma of a log-normal factor; no hints if absent.
    pub hints: Option<f64>,
    /// The share of refused clients that wait as long as they are told.
    pub heeds: f64,
    /// A client that comes back says so.
    pub marks_retries: bool,
    /// How often a client comes back after a refusal or a failure.
    pub retries: u32,
    /// How long it waits where nothing else is said.
    pub pause: Duration,
}

/// A load that can't be drawn.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {reason}")]
pub struct LoadError {
    /// The field at fault.
    pub key: String,
    /// What is wrong with it.
    pub reason: String,
}

/// One job as it arrives.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When, from the start.
    pub at: Duration,
    /// Its number, from 0.
    pub job: u64,
    /// Its class, as an index.
    pub class: usize,
    /// What it is about.
    pub object: String,
    /// Its work at speed 1.
    pub work: Duration,
    /// Its tenant, as an index.
    pub tenant: Option<usize>,
    /// What its client takes its work to be.
    pub hint: Option<Duration>,
    /// Whence its ids are drawn.
    pub salt: u64,
}

struct ClassDraw {
    upto: f64,
    work: LogNormal<f64>,
    object: Zipf<f64>,
}

/// Draws arrivals without end.
pub struct Arrivals {
    gap: Exp<f64>,
    classes: Vec<ClassDraw>,
    names: Vec<String>,
    tenants: Vec<f64>,
    hints: Option<LogNormal<f64>>,
    time: Duration,
    job: u64,
    streams: [Pcg64; 7],
}

impl Arrivals {
    /// The arrivals of a load; the same for the same specification.
    pub fn new(spec: &LoadSpec) -> Result<Arrivals, LoadError> {
        let bad = |key: &str, reason: &str| LoadError { key: key.to_string(), reason: reason.to_string() };
        if spec.classes.is_empty() {
            return Err(bad("classes", "there is none"));
        }
        if !(spec.rate.is_finite() && spec.rate > 0.0) {
            return Err(bad("rate", "must be above 0"));
        }
        let gap = Exp::new(spec.rate).map_err(|error| bad("rate", &error.to_string()))?;
        let total: f64 = spec.classes.iter().map(|class| class.share).sum();
        if !(total.is_finite() && total > 0.0) || spec.classes.iter().any(|class| class.share < 0.0) {
            return Err(bad("share", "shares must not be negative, nor all 0"));
        }
        let (mut upto, mut classes) = (0.0, Vec::new());
        for class in &spec.classes {
            upto += class.share / total;
            if !(class.spread >= 0.0 && class.spread.is_finite()) {
                return Err(bad(&format!("{}.spread", class.name), "must not be negative"));
            }
            // The mean of a log-normal is exp(mu + sigma^2 / 2).
            let mu = class.work.as_secs_f64().max(1e-6).ln() - class.spread * class.spread / 2.0;
            let work = LogNormal::new(mu, class.spread)
                .map_err(|error| bad(&format!("{}.spread", class.name), &error.to_string()))?;
            let object = Zipf::new(class.objects.max(1) as f64, class.zipf)
                .map_err(|error| bad(&format!("{}.zipf", class.name), &error.to_string()))?;
            classes.push(ClassDraw { upto, work, object });
        }
        let of_tenants: f64 = spec.tenants.iter().map(|tenant| tenant.share).sum();
        if !spec.tenants.is_empty()
            && (!(of_tenants.is_finite() && of_tenants > 0.0) || spec.tenants.iter().any(|t| t.share < 0.0))
        {
            return Err(bad("tenant", "shares must not be negative, nor all 0"));
        }
        let mut upto = 0.0;
        let tenants = spec.tenants.iter().map(|tenant| {
            upto += tenant.share / of_tenants;
            upto
        });
        let tenants = tenants.collect();
        if spec.hints.is_some_and(|sigma| !(sigma >= 0.0 && sigma.is_finite())) {
            return Err(bad("hint_spread", "must not be negative"));
        }
        let hints = spec.hints.map(|sigma| LogNormal::new(0.0, sigma));
        let hints = hints.transpose().map_err(|error| bad("hint_spread", &error.to_string()))?;
        let streams = std::array::from_fn(|stream| Pcg64::new(u128::from(spec.seed), stream as u128 + 1));
        let names = spec.classes.iter().map(|class| class.name.clone()).collect();
        Ok(Arrivals { gap, classes, names, tenants, hints, time: Duration::ZERO, job: 0, streams })
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let [gaps, kinds, works, objects, salts, whose, hints] = &mut self.streams;
        self.time += Duration::from_secs_f64(self.gap.sample(gaps));
        let drawn: f64 = kinds.random();
        let class =
            self.classes.iter().position(|class| drawn < class.upto).unwrap_or(self.classes.len() - 1);
        let draw = &self.classes[class];
        let work = Duration::from_secs_f64(draw.work.sample(works).min(600.0));
        let object = format!("{}-{}", self.names[class], draw.object.sample(objects) as u64);
        let job = self.job;
        self.job += 1;
        let drawn: f64 = whose.random();
        let tenant = self.tenants.iter().position(|upto| drawn < *upto);
        let tenant = tenant.or_else(|| self.tenants.len().checked_sub(1));
        let hint = self.hints.map(|off| work.mul_f64(off.sample(hints).min(1e3)));
        Some(Arrival { at: self.time, job, class, object, work, tenant, hint, salt: salts.next_u64() })
    }
}
