//! Clients: an open loop of jobs over real connections, each asked again as its class allows, and what came of it.
//!
//! Owns the connections and the clock of the load. Latency counts from when a job should have been sent, so that a
//! stall of the load itself is not hidden (coordinated omission); how late it ran is kept beside it. It must never
//! judge what came back; that is [`crate::audit`]'s.

use crate::arrivals::{Arrival, Arrivals, ClassLoad, Idempotency, LoadError, LoadSpec};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// An answer may be on its way for this long after the client's time is up.
const SLACK: Duration = Duration::from_millis(100);

/// What a client heard of one try.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// 200, with this result.
    Served(String),
    /// 429 or 503.
    Rejected,
    /// Any other status.
    Failed(u16),
    /// No connection was made, so nothing was taken.
    Unreachable(String),
    /// The connection broke.
    Broken(String),
    /// Nothing, until the client gave up.
    Unanswered,
}

/// One try of a job.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Its id, new with every try.
    pub id: u64,
    /// When it was sent, from the start.
    pub sent: Duration,
    /// When it was sent once more, on a new connection, since its first one had ended without an answer.
    pub resent: Option<Duration>,
    /// When it ended, from the start.
    pub ended: Duration,
    /// What was heard.
    pub outcome: Outcome,
}

/// One job and all of its attempts.
#[derive(Clone, Debug)]
pub struct JobRecord {
    /// As it arrived.
    pub arrival: Arrival,
    /// The key under which repeats are dropped.
    pub key: Option<String>,
    /// Its attempts, in order.
    pub attempts: Vec<Attempt>,
}

impl JobRecord {
    /// How long the client waited, from when the job should have been sent.
    pub fn latency(&self) -> Duration {
        self.attempts.last().map_or(Duration::ZERO, |last| last.ended.saturating_sub(self.arrival.at))
    }

    /// Whether it was served within its class's aim, which may grow with the job's own running time.
    pub fn in_time(&self, class: &ClassLoad) -> bool {
        self.served()
            && self.latency() <= class.latency_objective + self.arrival.work.mul_f64(class.objective_per_work)
    }

    /// Whether it was served in the end.
    pub fn served(&self) -> bool {
        matches!(self.attempts.last(), Some(Attempt { outcome: Outcome::Served(_), .. }))
    }
}

/// What a load came to.
#[derive(Debug, Default)]
pub struct LoadRecord {
    /// The jobs, in the order of their arrival.
    pub jobs: Vec<JobRecord>,
    /// The longest time by which a job was sent too late: the load's own fault, not the schedulers'.
    pub lag: Duration,
}

/// How a load stands.
#[derive(Clone, Copy, Debug, Default)]
pub struct Standing {
    /// Time from its start.
    pub elapsed: Duration,
    /// Jobs sent.
    pub sent: usize,
    /// Jobs that have ended.
    pub ended: usize,
}

/// Sends a load and collects what comes of it.
pub struct Clients {
    spec: Arc<LoadSpec>,
    targets: Arc<Vec<SocketAddr>>,
    http: Client<HttpConnector, Full<Bytes>>,
    /// Keeps no connection.
    fresh: Client<HttpConnector, Full<Bytes>>,
    turn: Arc<AtomicUsize>,
}

impl Clients {
    /// Clients that spread their jobs over these addresses.
    pub fn new(spec: LoadSpec, targets: Vec<SocketAddr>) -> Result<Clients, LoadError> {
        Arrivals::new(&spec)?;
        if targets.is_empty() {
            return Err(LoadError { key: "targets".to_string(), reason: "there is none".to_string() });
        }
        let mut tcp = HttpConnector::new();
        tcp.set_nodelay(true);
        tcp.set_connect_timeout(Some(Duration::from_secs(2)));
        let http = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(Duration::from_secs(10))
            .pool_timer(TokioTimer::new())
            .build(tcp.clone());
        let fresh = Client::builder(TokioExecutor::new()).pool_max_idle_per_host(0).build(tcp);
        let turn = Arc::default();
        Ok(Clients { spec: Arc::new(spec), targets: Arc::new(targets), http, fresh, turn })
    }

    /// Sends jobs for so long, from `began` on, or until told to stop; then waits for what is out.
    pub async fn run(
        self,
        began: Instant,
        duration: Duration,
        mut stop: watch::Receiver<bool>,
        mut standing: impl FnMut(Standing),
    ) -> Result<LoadRecord, LoadError> {
        let (mut record, mut out) = (LoadRecord::default(), JoinSet::new());
        let (mut sent, mut stopped) = (0, false);
        let mut arrivals = Arrivals::new(&self.spec)?.take_while(|arrival| arrival.at < duration).peekable();
        loop {
            let due = arrivals.peek().filter(|_| !stopped).map(|arrival| began + arrival.at);
            tokio::select! {
                biased;
                // Nothing more is sent; what is out is waited for.
                _ = stop.wait_for(|stop| *stop), if !stopped => stopped = true,
                () = sleep_until(due.unwrap_or(began)), if due.is_some() => {
                    let Some(arrival) = arrivals.next() else { continue };
                    record.lag = record.lag.max(began.elapsed().saturating_sub(arrival.at));
                    sent += 1;
                    out.spawn(self.job(began, arrival));
                }
                Some(ended) = out.join_next(), if !out.is_empty() => record.jobs.extend(ended.ok()),
                else => break,
            }
            standing(Standing { elapsed: began.elapsed(), sent, ended: record.jobs.len() });
            if due.is_none() && out.is_empty() {
                break;
            }
        }
        record.jobs.sort_by_key(|job| job.arrival.job);
        Ok(record)
    }

    /// Keeps so many connections busy for so long: each sends its next job when the last has ended. What a server can
    /// take shows in how many do, not in their latency.
    pub async fn closed(self, connections: usize, duration: Duration) -> Result<LoadRecord, LoadError> {
        let (began, arrivals) = (Instant::now(), Arc::new(Mutex::new(Arrivals::new(&self.spec)?)));
        let clients = Arc::new(self);
        let mut out = JoinSet::new();
        for _ in 0..connections {
            let (clients, arrivals) = (clients.clone(), arrivals.clone());
            out.spawn(async move {
                let mut jobs = Vec::new();
                while began.elapsed() < duration {
                    let arrival = arrivals.lock().unwrap_or_else(PoisonError::into_inner).next();
                    let Some(arrival) = arrival else { break };
                    jobs.push(clients.job(began, Arrival { at: began.elapsed(), ..arrival }).await);
                }
                jobs
            });
        }
        let jobs = out.join_all().await.into_iter().flatten().collect();
        Ok(LoadRecord { jobs, lag: Duration::ZERO })
    }

    /// One job, to its last try.
    fn job(
        &self,
        began: Instant,
        arrival: Arrival,
    ) -> impl std::future::Future<Output = JobRecord> + Send + 'static {
        let (spec, targets, turn) = (self.spec.clone(), self.targets.clone(), self.turn.clone());
        let (http, fresh) = (self.http.clone(), self.fresh.clone());
        async move {
            let class = &spec.classes[arrival.class];
            let key = matches!(class.idempotency, Idempotency::Keyed(_))
                .then(|| format!("{:016x}{:04x}", arrival.salt, arrival.job));
            let give_up = began + arrival.at + class.deadline;
            let mut record = JobRecord { arrival, key, attempts: Vec::new() };
            for number in 0..=spec.retries {
                let left = give_up.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    break;
                }
                let id = try_id(record.arrival.salt, number);
                let to = targets[turn.fetch_add(1, Ordering::Relaxed) % targets.len()];
                let request = |left| request(to, &spec, &record, id, number, left);
                let sent = began.elapsed();
                let mut resent = None;
                let heard = async {
                    match exchange(&http, request(left)).await {
                        // It may have crossed the close of its connection, unread: it is sent once more, on a new one.
                        (Outcome::Broken(_), _) => {
                            resent = Some(began.elapsed());
                            exchange(&fresh, request(give_up.saturating_duration_since(Instant::now()))).await
                        }
                        heard => heard,
                    }
                };
                let (outcome, advice) = match timeout(left + SLACK, heard).await {
                    Ok(heard) => heard,
                    Err(_) => (Outcome::Unanswered, None),
                };
                let first = record.attempts.first().map_or(sent, |first| first.sent);
                let returns = began.elapsed().saturating_sub(first) + spec.pause;
                let over = !comes_back(class.idempotency, &outcome, returns);
                record.attempts.push(Attempt { id, sent, resent, ended: began.elapsed(), outcome });
                if over || number == spec.retries {
                    break;
                }
                sleep(advice.filter(|_| heeds(id, spec.heeds)).unwrap_or(spec.pause)).await;
            }
            record
        }
    }
}

/// An id of a job's try; never the same for two of them.
fn try_id(salt: u64, number: u32) -> u64 {
    salt.wrapping_add(u64::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// Whether a client asks again: after its own time never, and where a second run would do harm only after an answer
/// that says that there was none, or without a connection. A failure says nothing, so that a key is sent again only while
/// it is remembered; `returns` is the time from the first try to the next.
fn comes_back(idempotency: Idempotency, heard: &Outcome, returns: Duration) -> bool {
    match heard {
        Outcome::Served(_) | Outcome::Unanswered => false,
        Outcome::Rejected | Outcome::Unreachable(_) => true,
        Outcome::Failed(_) | Outcome::Broken(_) => match idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed(window) => returns < window,
            Idempotency::NonIdempotent => false,
        },
    }
}

/// Whether a client waits as long as it is told: so many of them do, and the same ones each time.
fn heeds(id: u64, share: f64) -> bool {
    ((id >> 11) as f64 / (1u64 << 53) as f64) < share
}

fn request(
    to: SocketAddr,
    spec: &LoadSpec,
    record: &JobRecord,
    id: u64,
    number: u32,
    left: Duration,
) -> Request<Full<Bytes>> {
    let Arrival { class, object, work, tenant, hint, .. } = &record.arrival;
    let class = &spec.classes[*class];
    let (name, work) = (&class.name, work.as_micros());
    let mut builder = Request::post(format!("http://{to}/{name}/{object}"))
        .header("x-trace-id", format!("{id:016x}"))
        .header("x-qos", name.as_str())
        .header("x-expires-in", format!("{}u", left.as_micros()));
    if let Some(hint) = hint {
        builder = builder.header("x-size-hint", hint.as_micros().to_string());
    }
    if let Some(tenant) = tenant.and_then(|tenant| spec.tenants.get(tenant)) {
        builder = builder.header("x-customer", tenant.name.as_str());
    }
    let mut body = format!("work_us={work}");
    if class.slots != 1 {
        builder = builder.header("x-props", format!("slots={}", class.slots));
        body.push_str(&format!(" slots={}", class.slots));
    }
    if let Some(key) = &record.key {
        builder = builder.header("idempotency-key", key.as_str());
    }
    if number > 0 && spec.marks_retries {
        builder = builder.header("x-second-try", "1");
    }
    // Names of classes are checked where the load is read; one that is no path ends here as a broken try.
    builder.body(Full::from(body)).unwrap_or_default()
}

async fn exchange(
    http: &Client<HttpConnector, Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> (Outcome, Option<Duration>) {
    let response = match http.request(request).await {
        Ok(response) => response,
        Err(error) if error.is_connect() => return (Outcome::Unreachable(reason(&error)), None),
        Err(error) => return (Outcome::Broken(reason(&error)), None),
    };
    let status = response.status();
    let advice =
        response.headers().get("retry-after").and_then(|value| value.to_str().ok()?.parse::<f64>().ok());
    let advice = advice.filter(|seconds| (0.0..3600.0).contains(seconds)).map(Duration::from_secs_f64);
    let body = match response.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return (Outcome::Broken(reason(&error)), None),
    };
    let outcome = match status {
        StatusCode::OK => Outcome::Served(String::from_utf8_lossy(&body).into_owned()),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => Outcome::Rejected,
        other => Outcome::Failed(other.as_u16()),
    };
    (outcome, advice)
}

/// An error with its causes: that descriptors ran out stands in the last of them.
fn reason(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text = format!("{text}: {error}");
        cause = error.source();
    }
    text
}

#[cfg(test)]
mod tests;
