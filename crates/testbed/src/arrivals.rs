//! The arrivals of a load: which job the clients send at which time. The arrivals are a pure function of the
//! load's specification, which contains a seed. Each distribution draws from a random stream of its own, so
//! that a change to one distribution does not change the draws of the others.

mod load;

pub use load::{ClassLoad, Idempotency, LoadError, LoadErrorReason, LoadSpec, TenantLoad};

use rand::{Rng, RngExt};
use rand_distr::{Distribution, Exp, LogNormal, Zipf};
use rand_pcg::Pcg64;
use std::time::Duration;

/// The smallest mean work of a job of any class, in seconds.
const MIN_WORK_SECONDS: f64 = 1e-6;
/// The largest work of a job, in seconds; a larger drawn value is reduced to this value.
const MAX_WORK_SECONDS: f64 = 600.0;
/// The largest ratio of a client's hint to the work that the hint estimates.
const MAX_HINT_FACTOR: f64 = 1e3;

/// The arrival of one job.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When the job is due to be sent, counted from the start of the load.
    pub at: Duration,
    /// The job's number, from 0.
    pub job: u64,
    /// The index of the job's class in the load's specification.
    pub class: usize,
    /// The object that the job's request names.
    pub object: String,
    /// The job's work: its run time in seconds of a worker's slot at speed 1.
    pub work: Duration,
    /// The index of the job's tenant in the load's specification, if the load has tenants.
    pub tenant: Option<usize>,
    /// The hint, which is the client's estimate of the job's work; `None` if clients send no hints.
    pub hint: Option<Duration>,
    /// The number from which the request ids of the job's attempts and the job's idempotency key derive.
    pub id_seed: u64,
}

/// The distributions from which the jobs of one class are drawn.
struct ClassDistributions {
    /// The sum of the shares of the classes up to and including this class, as a fraction of the total.
    cumulative_share: f64,
    work: LogNormal<f64>,
    object: Zipf<f64>,
}

/// An endless iterator over the arrivals of a load.
pub struct Arrivals {
    gap: Exp<f64>,
    classes: Vec<ClassDistributions>,
    class_names: Vec<String>,
    /// The cumulative shares of the tenants, in the order of the load's specification, as fractions of the
    /// total.
    tenants: Vec<f64>,
    hints: Option<LogNormal<f64>>,
    time: Duration,
    job: u64,
    /// One random stream for each kind of draw, such as the time between arrivals or the class of a job.
    streams: [Pcg64; 7],
}

impl Arrivals {
    /// Creates the arrivals of a load. Equal specifications yield equal arrivals.
    pub fn new(spec: &LoadSpec) -> Result<Arrivals, LoadError> {
        if spec.classes.is_empty() {
            return Err(LoadError::new("classes", LoadErrorReason::Empty));
        }
        let gap = gap_distribution(spec.rate)?;
        let classes = class_distributions(&spec.classes)?;
        let tenants = tenant_distribution(&spec.tenants)?;
        let hints = hint_distribution(spec.hint_spread)?;
        let class_names = spec.classes.iter().map(|class| class.name.clone()).collect();
        let streams = std::array::from_fn(|stream| Pcg64::new(u128::from(spec.seed), stream as u128 + 1));
        Ok(Arrivals { gap, classes, class_names, tenants, hints, time: Duration::ZERO, job: 0, streams })
    }
}

/// Returns the distribution of the time between two arrivals, in seconds; `rate` is the mean number of
/// arrivals per second.
fn gap_distribution(rate: f64) -> Result<Exp<f64>, LoadError> {
    if !(rate.is_finite() && rate > 0.0) {
        return Err(LoadError::new("rate", LoadErrorReason::NotPositive));
    }
    Exp::new(rate).map_err(|error| LoadError::new("rate", error))
}

/// Returns the distributions of each class, in the order of the classes.
fn class_distributions(classes: &[ClassLoad]) -> Result<Vec<ClassDistributions>, LoadError> {
    let shares: Vec<f64> = classes.iter().map(|class| class.share).collect();
    let cumulative = cumulative_shares("share", &shares)?;
    let with_shares = classes.iter().zip(cumulative);
    with_shares.map(|(class, share)| ClassDistributions::new(class, share)).collect()
}

impl ClassDistributions {
    fn new(class: &ClassLoad, cumulative_share: f64) -> Result<ClassDistributions, LoadError> {
        let key = |field: &str| format!("{}.{field}", class.name);
        if !(class.spread >= 0.0 && class.spread.is_finite()) {
            return Err(LoadError::new(key("spread"), LoadErrorReason::Negative));
        }
        // The mean of a log-normal distribution is exp(mu + sigma^2 / 2).
        let mean = class.work.as_secs_f64().max(MIN_WORK_SECONDS);
        let mu = mean.ln() - class.spread * class.spread / 2.0;
        let work = LogNormal::new(mu, class.spread).map_err(|error| LoadError::new(key("spread"), error))?;
        let object = Zipf::new(class.objects.max(1) as f64, class.zipf)
            .map_err(|error| LoadError::new(key("zipf"), error))?;
        Ok(ClassDistributions { cumulative_share, work, object })
    }
}

/// Returns the cumulative shares of the tenants, in the order of the tenants. The list is empty if there are
/// no tenants.
fn tenant_distribution(tenants: &[TenantLoad]) -> Result<Vec<f64>, LoadError> {
    if tenants.is_empty() {
        return Ok(Vec::new());
    }
    let shares: Vec<f64> = tenants.iter().map(|tenant| tenant.share).collect();
    cumulative_shares("tenant", &shares)
}

/// Returns the distribution of the ratio of a client's hint to the job's work, or `None` if clients send no
/// hints.
fn hint_distribution(sigma: Option<f64>) -> Result<Option<LogNormal<f64>>, LoadError> {
    let Some(sigma) = sigma else { return Ok(None) };
    if !(sigma >= 0.0 && sigma.is_finite()) {
        return Err(LoadError::new("hint_spread", LoadErrorReason::Negative));
    }
    let factor = LogNormal::new(0.0, sigma);
    factor.map(Some).map_err(|error| LoadError::new("hint_spread", error))
}

/// Returns the cumulative sums of `shares`, as fractions of the total. In an error, `key` names the invalid
/// setting.
fn cumulative_shares(key: &str, shares: &[f64]) -> Result<Vec<f64>, LoadError> {
    let total: f64 = shares.iter().sum();
    let is_valid = total.is_finite() && total > 0.0 && !shares.iter().any(|share| *share < 0.0);
    if !is_valid {
        return Err(LoadError::new(key, LoadErrorReason::InvalidShares));
    }
    let mut cumulative = 0.0;
    let fractions = shares.iter().map(|share| {
        cumulative += share / total;
        cumulative
    });
    Ok(fractions.collect())
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let [gaps, class_draws, works, objects, id_seeds, tenant_draws, hints] = &mut self.streams;
        self.time += Duration::from_secs_f64(self.gap.sample(gaps));
        let drawn: f64 = class_draws.random();
        let class = self.classes.iter().position(|class| drawn < class.cumulative_share);
        let class = class.unwrap_or(self.classes.len() - 1);
        let distributions = &self.classes[class];
        let work = Duration::from_secs_f64(distributions.work.sample(works).min(MAX_WORK_SECONDS));
        let rank = distributions.object.sample(objects) as u64;
        let object = format!("{}-{rank}", self.class_names[class]);
        let job = self.job;
        self.job += 1;
        let drawn: f64 = tenant_draws.random();
        let tenant = self.tenants.iter().position(|cumulative_share| drawn < *cumulative_share);
        let tenant = tenant.or_else(|| self.tenants.len().checked_sub(1));
        let hint = self.hints.map(|factor| work.mul_f64(factor.sample(hints).min(MAX_HINT_FACTOR)));
        Some(Arrival { at: self.time, job, class, object, work, tenant, hint, id_seed: id_seeds.next_u64() })
    }
}
