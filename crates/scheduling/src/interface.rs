//! The module's whole interface: identifiers, settings, events in, actions out.
//!
//! Nothing here decides anything. [`crate::policy::Policy`] takes one [`Event`] at a time and appends
//! [`Action`]s; the scheduler that embeds it (or the adapter of this crate) carries them out.
//! All times are microseconds on the scheduler's own clock, whose zero is arbitrary.

/// A moment on the scheduler's clock, or a span of time, in microseconds.
pub type Micros = u64;

/// A request as the client sent it; a client's retry is a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A worker. Every scheduler must know a worker by the same number, or their rings will differ.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub u64);

/// Index into [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub u32);

/// Index into [`Settings::tenants`]; 0 where a site has none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub u32);

/// A zone (site, hall) of the network.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u32);

/// A kind of machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub u32);

/// A cell: a few workers that share what request keys they have seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u32);

/// Number of an attempt of one request: 0, 1, 2 ... in the order of its [`Action::Send`]s.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNo(pub u32);

/// A mark that comes back with [`Event::Timer`]; only the policy gives it a meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerToken(pub u64);

/// What repeating a request of a class does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// May run any number of times.
    Idempotent,
    /// Workers of one group drop a repeat for a while.
    Keyed {
        /// Which workers recognise a repeat.
        group: DeduplicationScope,
        /// How long after the first attempt that may have run.
        window: Micros,
    },
    /// Must never run twice.
    #[default]
    NonIdempotent,
}

/// Which workers drop the repeat of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All workers.
    All,
    /// Those in the zone of the worker that may have run it.
    Zone,
    /// Those in its cell.
    Cell,
}

/// One class of requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// Answer within this time for the full worth.
    pub latency_objective: Micros,
    /// The aim grows by this many times the job's own running time.
    pub objective_per_work: f64,
    /// The client's total wait over all of its tries.
    pub deadline: Micros,
    /// Worth of an answer within the aim.
    pub priority_weight: f64,
    /// Share of the worth that a later answer still has.
    pub late_weight: f64,
    /// Safe, keyed or unsafe.
    pub idempotency: Idempotency,
    /// The only kind of machine that runs this class, if it is bound to one.
    pub kind: Option<KindId>,
    /// Priority in the workers' queues, where they keep one.
    pub priority: i64,
    /// The answer is streamed.
    pub stream: bool,
}

/// One tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second, over all schedulers, that are within its share.
    pub quota_per_second: f64,
}

/// How a worker serves its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueOrder {
    /// In order; the head waits until it fits.
    Fifo,
    /// Whatever fits first.
    Backfill,
    /// By the classes' priority.
    Priority,
}

/// When workers send load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportSource {
    /// With outcomes and with probe results.
    Responses,
    /// With probe results only.
    Probes,
    /// Never.
    Never,
}

/// How changes of the worker list reach a scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointDelivery {
    /// They arrive unasked.
    Push,
    /// Only after [`Action::Subscribe`] or [`Action::FetchEndpoints`].
    Poll,
}

/// What [`Endpoint::units`] stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weights {
    /// Nothing: always 1.
    Fixed,
    /// The registered or approximate size.
    Size,
    /// The size lowered by the load, sampled earlier. Taken as 1: keepers know the load, and the ring must not churn.
    Live,
}

/// What the scheduler may do.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Attempts allowed for one request.
    pub max_attempts: u32,
    /// Two attempts of one request may be out at once.
    pub hedging: bool,
    /// A connection not made within this time has failed.
    pub dial_timeout: Micros,
    /// Probes are allowed.
    pub may_probe: bool,
    /// Calling an attempt off is allowed.
    pub may_cancel: bool,
    /// Clients are told how long to stay away.
    pub retry_after: bool,
    /// The longest such advice that a client heeds.
    pub max_retry_after: Micros,
    /// Messages between schedulers are allowed.
    pub may_message_peers: bool,
}

/// The figures of the rules.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Grace after a request's due time in which a final answer still counts.
    pub answer_slack: Micros,
    /// Sends to a draining or gone worker must stop within this time.
    pub drain_grace: Micros,
    /// Where discovery must be asked: silence longer than this counts as having been told.
    pub poll_within: Option<Micros>,
    /// A worker starts with at least this share of its capacity.
    pub slow_start_floor: f64,
    /// It is warm after this at the latest.
    pub slow_start_time: Micros,
    /// Sent more than this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... for this long, a cold worker falls over.
    pub overload_time: Micros,
}

/// What things cost, in shares of the result; used only to weigh one against another.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CostWeights {
    /// For attempts that cross zones.
    pub cross_zone: f64,
    /// For a probe, per request.
    pub probe: f64,
    /// For work that served no answer.
    pub waste: f64,
    /// For a new connection, per request.
    pub handshake: f64,
}

/// All that a scheduler is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This scheduler's number among the schedulers, from 0.
    pub scheduler_index: u32,
    /// How many schedulers there are.
    pub scheduler_count: u32,
    /// This scheduler's zone.
    pub zone: ZoneId,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Tenants; empty where a site has none.
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's share, as a fraction.
    pub over_quota_weight: f64,
    /// Worth is counted by the work in a request rather than by request.
    pub weight_by_work: bool,
    /// How the worker list is followed.
    pub endpoint_delivery: EndpointDelivery,
    /// Where load reports come from.
    pub load_report_source: LoadReportSource,
    /// Meaning of the listed units.
    pub weights: Weights,
    /// How workers serve their queues.
    pub queue_order: QueueOrder,
    /// Workers say when a job starts.
    pub reports_start: bool,
    /// Interval of progress notes; 0 for none.
    pub progress_interval: Micros,
    /// Permissions.
    pub limits: Limits,
    /// The rules' figures.
    pub rules: Rules,
    /// CostWeights.
    pub cost_weights: CostWeights,
    /// Events come in batches at most this often.
    pub tick: Micros,
}

impl Settings {
    /// Refuses settings that contradict themselves.
    pub fn check(&self) -> Result<(), SettingsError> {
        let bad = |field, reason| Err(SettingsError { field, reason });
        if self.scheduler_count == 0 || self.scheduler_index >= self.scheduler_count {
            return bad("me", "must be below the number of dispatchers");
        }
        if self.classes.iter().any(|class| class.deadline == 0) {
            return bad("services[].deadline", "must be above 0");
        }
        if self.limits.max_attempts == 0 {
            return bad("limits.max_attempts", "must be at least 1");
        }
        if !(self.rules.slow_start_floor > 0.0 && self.rules.slow_start_floor <= 1.0) {
            return bad("rules.cold_share", "must lie in (0, 1]");
        }
        if !(self.rules.overload_factor > 0.0 && self.rules.overload_factor.is_finite()) {
            return bad("rules.fall_multiple", "must be positive");
        }
        if self.tenants.iter().any(|t| !(t.quota_per_second >= 0.0 && t.quota_per_second.is_finite())) {
            return bad("tenants.allowance_per_s", "must not be negative");
        }
        Ok(())
    }
}

/// Why [`Settings`] were refused: the field, and what is wrong with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The field, as named in [`Settings`].
    pub field: &'static str,
    /// What is wrong.
    pub reason: &'static str,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "setting {}: {}", self.field, self.reason)
    }
}

impl std::error::Error for SettingsError {}

/// State of a listed worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes work.
    #[default]
    Ready,
    /// Completing its work; send nothing new.
    Draining,
    /// Removed.
    Removed,
}

/// One entry of a worker list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// The worker.
    pub worker: WorkerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind of machine.
    pub kind: KindId,
    /// Its cell.
    pub cell: CellId,
    /// Its state.
    pub state: EndpointState,
    /// Its size, to compare with other workers' (no unit).
    pub weight: f64,
    /// When its process last started; 0 for long past.
    pub started_at: Micros,
}

/// What a worker list event holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Only the changes.
    Changes,
    /// The whole list; a worker not in it is gone.
    Snapshot,
    /// The whole list as this scheduler last had it, maybe long ago.
    Restored,
    /// The whole list as the process that this one takes over from had it a moment ago.
    HandedOver,
    /// A subscription or fetch failed; the old list stands, but for entries that were heard before it broke off.
    Failed,
    /// The list in hand once more, in the terms of settings that have just changed. Discovery has said nothing.
    Renumbered,
}

impl EndpointUpdate {
    /// Whether a worker that is not among the entries is gone.
    pub fn is_complete(self) -> bool {
        matches!(self, EndpointUpdate::Snapshot | EndpointUpdate::Restored | EndpointUpdate::HandedOver)
    }

    /// Whether discovery is to be called now.
    pub fn needs_poll(self) -> bool {
        matches!(self, EndpointUpdate::Restored | EndpointUpdate::HandedOver | EndpointUpdate::Failed)
    }

    /// Whether discovery has answered a call with it, or pushed it.
    pub fn is_response(self) -> bool {
        matches!(self, EndpointUpdate::Snapshot | EndpointUpdate::Changes)
    }
}

/// A request taken from a client.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// What it is about; requests with one key belong together.
    pub key: Option<String>,
    /// When the client gives this try up.
    pub deadline: Micros,
    /// Expected work at standard speed, if told.
    pub expected_work: Option<Micros>,
    /// Slots that the job takes.
    pub slots: f64,
    /// It is a client's repeat, where clients mark it.
    pub retry: bool,
}

/// A worker's load report; absent values were not sent or made no sense.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Free slots.
    pub free_slots: Option<f64>,
    /// Requests in hand.
    pub in_flight: Option<f64>,
    /// Requests queued.
    pub queued: Option<f64>,
    /// Recent service time without waiting, milliseconds.
    pub service_ms: Option<f64>,
    /// Busy share of its cores.
    pub utilisation: Option<f64>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served; the answer went to the client.
    Ok,
    /// The worker returned an error; it may have run.
    Error,
    /// Turned away unseen.
    Rejected,
    /// No reply in time; it may have run or be running.
    Timeout,
    /// No connection was made; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// The worker did not so much as take the job in time, and was given up; it may have run.
    NoResponse,
    /// The worker found fault with the request itself, as any other would; it never ran.
    Invalid,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent: the request was over, out of time or out of attempts.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the job never ran.
    pub fn never_ran(self) -> bool {
        match self {
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::Invalid | Outcome::NotSent => true,
            Outcome::Ok | Outcome::Error | Outcome::Timeout => false,
            Outcome::Reset | Outcome::NoResponse | Outcome::Cancelled => false,
        }
    }
}

/// Word on a running attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum JobProgress {
    /// The job has started.
    Started,
    /// This share of it is done.
    Fraction(f64),
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the worker list.
    Endpoints {
        /// What the entries are.
        update: EndpointUpdate,
        /// The entries.
        endpoints: Vec<Endpoint>,
    },
    /// A client's request arrived; it is owed exactly one final answer.
    Request(Request),
    /// An attempt ended; comes exactly once for each [`Action::Send`].
    AttemptFinished {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
        /// The worker.
        worker: WorkerId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        latency: Micros,
        /// The request is over; no answer is owed any more.
        closed: bool,
        /// The worker's load report, if one came along.
        load: Option<LoadReport>,
    },
    /// A streamed answer has started; the attempt is the client's now.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Word on a running attempt.
    JobProgress {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
        /// The word.
        progress: JobProgress,
    },
    /// The client left; no answer is owed any more.
    ClientDisconnected(RequestId),
    /// A timer fell due.
    Timer(TimerToken),
    /// The scheduler is about to end: what is still open needs its final answer now.
    ShuttingDown,
    /// The result of one [`Action::Probe`].
    Probed {
        /// The worker.
        worker: WorkerId,
        /// How the probe ended.
        outcome: Outcome,
        /// Time since it was sent.
        latency: Micros,
        /// The worker's load report, if one came along.
        load: Option<LoadReport>,
    },
    /// Other settings, from now on. Requests that are open keep their class, which may be gone from the new ones or
    /// stand there under another number. They have passed [`Settings::check`].
    Settings(Box<Settings>),
    /// A message from another scheduler.
    PeerMessage {
        /// Its number.
        from: u32,
        /// The bytes.
        data: Vec<u8>,
    },
}

/// Whom a message between schedulers is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recipient {
    /// One scheduler, by number.
    One(u32),
    /// All others.
    All,
}

/// What the scheduler is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to a worker.
    Send {
        /// The request.
        request: RequestId,
        /// The worker.
        worker: WorkerId,
        /// Give up after this; `None`: when the client does.
        timeout: Option<Micros>,
    },
    /// Stop waiting for one attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Final answer: refused; trying again is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should stay away; 0 for no advice.
        retry_after: Micros,
    },
    /// Final answer: failed, with no promise about its effect.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Ask a worker for its load.
    Probe(WorkerId),
    /// Close idle connections to a worker.
    CloseIdle(WorkerId),
    /// Subscribe to changes of the worker list, or stop.
    Subscribe(bool),
    /// Ask for the whole worker list once.
    FetchEndpoints,
    /// Wake the policy with this token at this time or soon after.
    SetTimer {
        /// When.
        at: Micros,
        /// The token that comes back.
        token: TimerToken,
    },
    /// Send at most 256 bytes to other schedulers.
    SendPeerMessage {
        /// Whom.
        to: Recipient,
        /// The bytes.
        data: Vec<u8>,
    },
    /// A line for the scheduler's log.
    Log(String),
}
