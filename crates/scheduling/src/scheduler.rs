//! All decisions of a scheduler. The interface (types, events, actions) is in `interface.rs`.
//!
//! The ordinary path is one mechanism: a job's key is hashed onto a consistent ring on which every worker
//! holds virtual points in proportion to its size; the first worker clockwise takes the job, the next
//! point's other worker takes it when the first is busy. All else is one of the four rules (one answer, no
//! double effect, drains, cold workers) or an exception, said where it acts. No clock is read, no I/O done.

use crate::hash::{hash_key, mix};
use crate::interface::*;
use crate::peer_message::PeerMessage;
use crate::request::{Attempt, Open};
use crate::slow_start::StartBounds;
use crate::worker::{new_worker, watch_at, Started, Worker, KEPT, MOVE_AFTER, START_LAG};
use std::collections::BTreeMap;

/// Virtual points of a worker of mean size: keeps arcs within about a tenth of their fair share.
const POINTS_PER_MEAN_UNIT: f64 = 96.0;
/// A worker holds at most this many times the mean's points, so that one absurd size cannot own the ring.
const MAX_POINTS_FACTOR: f64 = 8.0;
/// Candidates looked at for one decision, in ring order; bounds the cost of a full neighbourhood.
const REACH: usize = 4;
/// Cold workers looked at beyond those, where keepers tell how full they are.
const RESERVE: usize = 2;
/// Share of its slots that a worker may have in use at no warmth at all; at half of its warmth, all of them.
const COLD_SLOTS: f64 = 0.5;
/// Slots in hand that no worker has: it takes nothing now.
const FULL: f64 = 4000.0;
/// Slots in hand for each slot up to which a fresh job joins a queue; beyond, it waits and fresher ones pass.
const QUEUE: f64 = 2.0;
/// Time constant of the decaying counts of keys and requests, microseconds: many requests, few minutes.
const COUNT_WINDOW: f64 = 20e6;
/// A key may bring a worker this share of a mean worker's usual load before it widens to one more.
const KEY_FILL: f64 = 0.5;
/// Parts of the fall multiple that a cold worker is sent at most, and at length.
const COLD_MOST: (f64, f64) = (0.8, 0.6);
/// Workers that left are kept while they and the ready ones are no more than this above twice the ready ones.
const FORGET_ABOVE: usize = 64;
/// Keys counted at most; the lightest are forgotten first.
const MAX_KEYS: usize = 1024;
/// A keeper's report younger than this is not asked for again, microseconds: about a round trip and a tick.
const REPORT_FRESH: Micros = 20_000;
/// A keeper is waited for this long, then not asked for as long as the second figure, microseconds.
const KEEPER: (Micros, Micros) = (40_000, 2_000_000);
/// Weight of one job's start in the slots learned for a unit of size.
const ROOM_STEP: f64 = 0.05;
/// Pause before a request that found every candidate busy looks again, microseconds; it doubles with its age.
const HOLD_BLIND: Micros = 200_000;
/// A job may run for longer than hinted by this many times its hint before it is called off as late.
const OVERRUN: f64 = 0.3;
/// Where nothing tells how full a worker is: how much of its share of all own slots out it may have.
const OWN_SHARE: f64 = 1.25;
/// A worker that refused is taken for full this long if nothing better is known, microseconds.
const FULL_DEFAULT: Micros = 150_000;
/// The same where its connections are used up: jobs have to end first, microseconds.
const TABLE_FULL: Micros = 600_000;
/// Blind repeats earned by each job served, and how many may be saved up: they add cost, but no capacity.
const REPEAT_BUDGET: (f64, f64) = (1.0, 10.0);
/// How often one request may be moved, and from how many saved repeats on: where much fails, those go first.
const MOVES: usize = 2;
const MOVE_BUDGET: f64 = 0.9 * REPEAT_BUDGET.1;
/// A running job goes elsewhere if the rest of it takes this many times as long as all of it ought to.
const CRAWL: f64 = 3.0;
/// A running job without word for this many intervals of progress stands still.
const STILL: u64 = 2;
/// First time that a worker that failed is passed over, microseconds; doubles up to the second figure.
const EJECT: (Micros, Micros) = (500_000, 8_000_000);
/// At most this share of the listed workers, a zone and more, is passed over for health; else all share it.
const EJECT_SHARE: f64 = 0.5;
/// First pause before asking discovery again, microseconds; doubles up to the second figure.
const ASK_AGAIN: (Micros, Micros) = (100_000, 1_000_000);
/// Mean pause after a call that took long to fail, microseconds: it may have been lost while there was news.
const ASK_PAUSE: Micros = 500_000;
/// All share one discovery: first calls are spread over this for each scheduler, up to the second figure;
/// after failures each calls about as often as the third says: news is due 6 s after discovery is back.
const ASK_SPREAD: (Micros, Micros, Micros) = (30_000, 2_000_000, 2_000_000);
/// A saved list may name workers that left: nothing is sent until discovery answers, or for so long at most.
pub const CONFIRM_WITHIN: Micros = 5_000_000;
const TIMER_REQUEST: u64 = 0;
const TIMER_HOLD: u64 = 1;
const TIMER_ASK: u64 = 2;
const TIMER_WATCH: u64 = 3;

/// A point of the ring: place, worker, and which of the worker's points it is.
#[derive(Clone, Copy)]
struct Point {
    place: u64,
    worker: u32,
    number: u32,
}

/// The decision module of one scheduler.
pub struct Scheduler {
    settings: Settings,
    random: u64,
    workers: Vec<Worker>,
    index: BTreeMap<WorkerId, usize>,
    ring: Vec<Point>,
    /// Size that gets [`POINTS_PER_MEAN_UNIT`] points, a power of two so that schedulers agree on it.
    unit_scale: f64,
    ready_count: usize,
    open: BTreeMap<RequestId, Open>,
    by_sequence: BTreeMap<u64, RequestId>,
    next_sequence: u64,
    /// Decaying counts of keys, with the time of their last change.
    keys: BTreeMap<u64, (f64, Micros)>,
    requests: (f64, Micros),
    /// Blind repeats still allowed; see [`REPEAT_BUDGET`].
    budget: f64,
    /// Slots that one unit of size has, learned from how soon own jobs start.
    room: f64,
    /// Keepers that did not answer, and until when they are passed over.
    silent: BTreeMap<u32, Micros>,
    failed_calls: u32,
    last_call: Micros,
    unconfirmed_until: Micros,
    starts: StartBounds,
}

impl Scheduler {
    /// A policy that knows nothing yet. Settings that contradict themselves are refused.
    pub fn new(settings: Settings, seed: u64) -> Result<Scheduler, SettingsError> {
        settings.check()?;
        Ok(Scheduler {
            settings,
            random: seed,
            workers: Vec::new(),
            index: BTreeMap::new(),
            ring: Vec::new(),
            unit_scale: 0.0,
            ready_count: 0,
            open: BTreeMap::new(),
            by_sequence: BTreeMap::new(),
            next_sequence: 0,
            keys: BTreeMap::new(),
            requests: (0.0, 0),
            budget: REPEAT_BUDGET.1,
            room: 1.0,
            silent: BTreeMap::new(),
            failed_calls: 0,
            last_call: 0,
            unconfirmed_until: 0,
            starts: StartBounds::default(),
        })
    }

    /// Takes one event and appends what is to be done about it.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Endpoints { update, endpoints } => self.on_members(now, update, endpoints, actions),
            Event::Request(request) => self.on_request(now, request, actions),
            Event::AttemptFinished { request, attempt, worker, outcome, latency, closed, load: _ } => {
                self.on_outcome(now, (request, attempt), worker, (outcome, latency), closed, actions)
            }
            Event::JobProgress { request, attempt, progress } => {
                self.on_note(now, request, attempt, progress)
            }
            Event::StreamStarted { .. } | Event::Probed { .. } => {}
            Event::PeerMessage { from, data } => self.on_word(now, from, &data, actions),
            Event::Settings(settings) => self.on_settings(*settings),
            Event::ClientDisconnected(request) => self.close(request, actions),
            Event::Timer(token) => self.on_timer(now, token, actions),
            Event::ShuttingDown => {
                let open: Vec<RequestId> = self.open.keys().copied().collect();
                open.into_iter().for_each(|id| self.give_up(now, id, actions));
            }
        }
    }

    /// Other settings bind from here on; ring, learnt bounds and what is open survive them.
    fn on_settings(&mut self, settings: Settings) {
        self.open.values_mut().for_each(|open| open.most = open.most.min(settings.limits.max_attempts));
        self.settings = settings;
    }

    fn random(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        (mix(self.random) >> 11) as f64 / (1u64 << 53) as f64
    }

    // ---- the worker list and the ring ----

    fn on_members(
        &mut self,
        now: Micros,
        update: EndpointUpdate,
        endpoints: Vec<Endpoint>,
        actions: &mut Vec<Action>,
    ) {
        if !matches!(update, EndpointUpdate::Failed | EndpointUpdate::Renumbered) {
            (self.failed_calls, self.last_call) = (0, 0);
            self.unconfirmed_until =
                if update == EndpointUpdate::Restored { now + CONFIRM_WITHIN } else { 0 };
        }
        if update.is_complete() {
            let listed: std::collections::BTreeSet<WorkerId> = endpoints.iter().map(|m| m.worker).collect();
            self.workers
                .iter_mut()
                .for_each(|worker| worker.ready &= listed.contains(&worker.endpoint.worker));
        }
        let mut added = Vec::new();
        let sized = self.settings.weights == Weights::Size;
        for endpoint in endpoints {
            let sound = sized && endpoint.weight.is_finite() && endpoint.weight > 0.0;
            let weight = if sound { endpoint.weight } else { 1.0 };
            let ready = endpoint.state == EndpointState::Ready;
            let Some(&at) = self.index.get(&endpoint.worker) else {
                if ready {
                    self.index.insert(endpoint.worker, self.workers.len());
                    added.push(self.workers.len());
                    let began = self.starts.start_of(now, endpoint.started_at);
                    self.workers.push(new_worker(endpoint, weight, began));
                }
                continue;
            };
            let began = self.starts.start_of(now, endpoint.started_at);
            let place = (endpoint.zone, endpoint.kind, endpoint.cell);
            let worker = &mut self.workers[at];
            worker.ready = ready;
            if endpoint.state == EndpointState::Removed {
                continue;
            }
            // Starts are told apart, not ordered, since a clock may be stepped. An older list may tell of who
            // takes no jobs.
            if ready && endpoint.started_at != 0 && endpoint.started_at != worker.endpoint.started_at {
                // A restarted process: nothing learned of the old one holds.
                let (out, points) = (std::mem::take(&mut worker.out), worker.points);
                *worker = Worker { out, points, ..new_worker(endpoint, weight, began) };
            }
            (worker.endpoint.zone, worker.endpoint.kind, worker.endpoint.cell) = place;
            if (weight / worker.weight - 1.0).abs() > 0.01 {
                worker.weight = weight;
                added.push(at);
            }
        }
        if update.is_response() || update == EndpointUpdate::HandedOver {
            self.starts.answered(now);
        }
        self.place_points(added);
        self.ready_count = self.workers.iter().filter(|w| w.ready).count();
        self.forget();
        if self.settings.endpoint_delivery == EndpointDelivery::Poll && update.needs_poll() {
            self.ask_later(now, update == EndpointUpdate::Restored, actions);
        }
        let held: Vec<RequestId> = self.open.iter().filter(|(_, o)| o.holding).map(|(id, _)| *id).collect();
        for id in held {
            self.place(now, id, actions);
        }
    }

    /// Forgets workers that left, once there are many; machines that come and go must not fill the memory.
    fn forget(&mut self) {
        if self.workers.len() < 2 * self.ready_count + FORGET_ABOVE {
            return;
        }
        self.workers.retain(|w| w.ready || !w.out.is_empty());
        self.index = self.workers.iter().enumerate().map(|(at, w)| (w.endpoint.worker, at)).collect();
        self.ring.clear();
        self.place_points((0..self.workers.len()).collect());
    }

    /// Puts the points of new or resized workers on the ring; all others keep theirs.
    fn place_points(&mut self, mut changed: Vec<usize>) {
        if changed.is_empty() {
            return;
        }
        let mean = self.workers.iter().map(|w| w.weight).sum::<f64>() / self.workers.len() as f64;
        if self.unit_scale == 0.0 || !(0.5..=2.0).contains(&(mean / self.unit_scale)) {
            self.unit_scale = mean.log2().round().exp2();
            changed = (0..self.workers.len()).collect();
            self.ring.clear();
        }
        let moved: std::collections::BTreeSet<u32> = changed.iter().map(|at| *at as u32).collect();
        self.ring.retain(|p| !moved.contains(&p.worker));
        for at in changed {
            let worker = &mut self.workers[at];
            let size = (worker.weight / self.unit_scale).min(MAX_POINTS_FACTOR);
            worker.points = (POINTS_PER_MEAN_UNIT * size).round().max(1.0) as u32;
            let seed = mix(worker.endpoint.worker.0);
            self.ring.extend((0..worker.points).map(|number| Point {
                place: mix(seed ^ (u64::from(number) << 32 | 0x5350)),
                worker: at as u32,
                number,
            }));
        }
        self.ring.sort_by_key(|p| (p.place, p.worker));
    }

    /// Asks discovery (again) after a time that grows with failures and with the number of schedulers.
    fn ask_later(&mut self, now: Micros, first: bool, actions: &mut Vec<Action>) {
        let spread = (ASK_SPREAD.0 * u64::from(self.settings.scheduler_count - 1)).min(ASK_SPREAD.1);
        // A watch that breaks after it had an answer broke alone, until the call for the next one fails too.
        let again = self.failed_calls.saturating_sub(1).min(8);
        let herd = if self.failed_calls == 0 { 0 } else { (spread << again.min(2)).min(ASK_SPREAD.2) };
        let wait = (ASK_AGAIN.0 << again).min(ASK_AGAIN.1).max(herd);
        let random = self.random();
        let share = |time: Micros| (time as f64 * (0.5 + random)) as Micros;
        // From call to call, not from failure to call: one that was lost has taken its time already.
        let next = (self.last_call + share(wait)).max(now + share(wait.min(ASK_PAUSE)));
        let at = if first { now + (spread as f64 * random) as Micros } else { next };
        let timer = Action::SetTimer { at, token: TimerToken(TIMER_ASK << 56) };
        actions.push(if at == now { Action::Subscribe(true) } else { timer });
        (self.failed_calls, self.last_call) = (self.failed_calls + 1, at);
    }

    /// Up to [`REACH`] workers that may take this request, in ring order.
    fn candidates(&self, now: Micros, id: RequestId) -> Vec<usize> {
        let Some(open) = self.open.get(&id) else { return Vec::new() };
        let class = &open.class;
        let rules = &self.settings.rules;
        let anchor = open.attempts.iter().find(|a| a.may_have_run != Some(false));
        let ejected = self.workers.iter().filter(|w| w.ready && now < w.ejected_until).count();
        let health = ejected as f64 <= EJECT_SHARE * self.ready_count as f64;
        let mut seen = vec![false; self.workers.len()];
        let (mut found, mut reserve) = (Vec::with_capacity(open.width + REACH), Vec::new());
        let start = self.ring.partition_point(|p| p.place < open.key);
        for step in 0..self.ring.len() {
            let point = self.ring[(start + step) % self.ring.len()];
            let at = point.worker as usize;
            let worker = &self.workers[at];
            let wrong_kind = class.kind.is_some_and(|kind| kind != worker.endpoint.kind);
            if seen[at] || !worker.ready || wrong_kind {
                continue;
            }
            // A cold worker holds only as many points as it is warm: all schedulers agree without a word.
            let warm_up_fraction = worker.warm_up_fraction(now, rules);
            if warm_up_fraction < 1.0
                && f64::from(point.number) >= warm_up_fraction * f64::from(worker.points)
            {
                continue;
            }
            seen[at] = true;
            // No double effect: a keyed job that may have run goes only where its repeat is dropped.
            if let (Some(first), Idempotency::Keyed { group, .. }) = (anchor, class.idempotency) {
                let first = self.index.get(&first.worker).map(|at| &self.workers[*at]);
                let same = match group {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => {
                        first.is_some_and(|first| first.endpoint.zone == worker.endpoint.zone)
                    }
                    DeduplicationScope::Cell => {
                        first.is_some_and(|first| first.endpoint.cell == worker.endpoint.cell)
                    }
                };
                if !same {
                    continue;
                }
            }
            let failed_here = open
                .attempts
                .iter()
                .any(|a| a.worker == worker.endpoint.worker && a.may_have_run != Some(false));
            if failed_here || (health && now < worker.ejected_until) {
                continue;
            }
            // A cold worker takes its own keys; all else as a reserve, if its keeper knows it to have room.
            if warm_up_fraction < 1.0 && (found.len() >= open.width || !open.attempts.is_empty()) {
                reserve.push(at);
                continue;
            }
            found.push(at);
            if found.len() == open.width + REACH - 1 {
                break;
            }
        }
        // A heavy key is spread over its first `width` workers: each scheduler starts at one of its own zone
        // where there is one, fixed by its number, and goes on clockwise from there.
        let width = open.width.min(found.len());
        if width > 1 {
            let local = |at: &usize| self.workers[*at].endpoint.zone == self.settings.zone;
            let pick = mix(open.key ^ u64::from(self.settings.scheduler_index)) as usize;
            let locals: Vec<usize> = (0..width).filter(|place| local(&found[*place])).collect();
            let start = if locals.is_empty() { pick % width } else { locals[pick % locals.len()] };
            found[..width].rotate_left(start);
        }
        found.truncate(REACH);
        found.extend(reserve.into_iter().take(RESERVE));
        found
    }

    // ---- requests ----

    fn on_request(&mut self, now: Micros, request: Request, actions: &mut Vec<Action>) {
        if self.open.contains_key(&request.id) {
            return;
        }
        let Some(class) = self.settings.classes.get(request.class.0 as usize).cloned() else {
            return actions.push(Action::Fail { request: request.id });
        };
        let key = request.key.as_deref().map_or_else(|| mix(request.id.0), hash_key);
        let width = if request.key.is_some() { self.spread(now, key) } else { 1 };
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let slots = if request.slots.is_finite() && request.slots > 0.0 { request.slots } else { 1.0 };
        self.by_sequence.insert(sequence, request.id);
        let most = self.settings.limits.max_attempts;
        let sized = Open { most, slots, work: request.expected_work.unwrap_or(0), width, ..Open::default() };
        self.open.insert(
            request.id,
            Open { class, key, arrived: now, deadline: request.deadline, sequence, ..sized },
        );
        let at = request.deadline.saturating_sub(self.guard()).max(now);
        actions.push(Action::SetTimer { at, token: TimerToken(TIMER_REQUEST << 56 | sequence) });
        self.place(now, request.id, actions);
    }

    /// Counts the key and says over how many workers its traffic is spread.
    fn spread(&mut self, now: Micros, key: u64) -> usize {
        let decayed =
            |(count, at): (f64, Micros)| count * (-(now.saturating_sub(at) as f64) / COUNT_WINDOW).exp();
        self.requests = (decayed(self.requests) + 1.0, now);
        let entry = self.keys.entry(key).or_insert((0.0, now));
        *entry = (decayed(*entry) + 1.0, now);
        let count = entry.0;
        if self.keys.len() > MAX_KEYS {
            self.keys.retain(|_, e| decayed(*e) >= 1.0);
        }
        // One sighting proves nothing; but where nothing tells of load, all may have seen as much.
        let told = self.keepers() || self.settings.reports_start;
        let (all, least) = if told { (1.0, 5.0) } else { (f64::from(self.settings.scheduler_count), 30.0) };
        let share = (count - 1.0 / all).max(0.0) / (self.requests.0 + least);
        let workers = share * self.ready_count as f64 / KEY_FILL;
        (workers.ceil() as usize).clamp(1, (self.ready_count / 2).max(1))
    }

    /// Sends the request to the first candidate that is not busy, probing where that is allowed.
    fn place(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else { return };
        if open.attempts.iter().any(|a| a.may_have_run.is_none()) {
            return;
        }
        if now + self.guard() >= open.deadline || !self.may_send_again(now, open) {
            return self.give_up(now, id, actions);
        }
        let (slots, attempts, light) = (open.slots, open.attempts.len(), open.width == 1);
        // Past its aim a job waits for room, or queues would stay long and make all that follows late.
        let late = now > open.late_from(1.0);
        if late && open.all_or_nothing() {
            return self.give_up(now, id, actions);
        }
        if now < self.unconfirmed_until {
            return self.hold(now, id, actions);
        }
        let waited = open.asking_until.is_some_and(|until| now >= until);
        let candidates = self.candidates(now, id);
        let mut asked = false;
        for (place, &at) in candidates.iter().enumerate() {
            if asked && self.workers[at].warm_up_fraction(now, &self.settings.rules) < 1.0 {
                break;
            }
            if !waited && now >= self.workers[at].full_until && self.ask(now, at, id, actions) {
                asked = true;
                // The first choice alone, as it mostly has room; the others together; then the cold ones.
                if place == 0 {
                    break;
                }
                continue;
            }
            let place = if self.keepers() { place } else { 0 };
            let bold = light || self.random() < self.workers[at].warm_up_fraction(now, &self.settings.rules);
            if self.has_room(now, at, slots, place + usize::from(!bold)) {
                if attempts > 0 && self.workers[at].held(now).is_none() {
                    if self.budget < 1.0 {
                        break;
                    }
                    self.budget -= 1.0;
                }
                return self.send(now, id, at, actions);
            }
        }
        if asked {
            let until = now + KEEPER.0;
            if let Some(open) = self.open.get_mut(&id).filter(|o| o.asking_until.is_none()) {
                open.asking_until = Some(until);
                let token = TimerToken(TIMER_HOLD << 56 | open.sequence);
                actions.push(Action::SetTimer { at: until, token });
            }
            return;
        }
        // The least loaded takes it in its queue; where load is told, a refused one waits here: walking
        // on carries the key's data to strangers. A cold worker takes none: queues there grow, and topple it.
        let open_to = |w: &Worker| {
            let short = w.held(now).is_none_or(|held| held + slots <= QUEUE * self.room * w.weight);
            now >= w.full_until && w.warm_up_fraction(now, &self.settings.rules) >= 1.0 && short
        };
        let choices = candidates.iter().copied().filter(|at| open_to(&self.workers[*at]));
        let load = |w: &Worker| w.held(now).unwrap_or(w.own_slots()) / w.weight.max(1e-6);
        let best = choices.min_by(|a, b| load(&self.workers[*a]).total_cmp(&load(&self.workers[*b])));
        match best {
            Some(at) if !late && (attempts == 0 || self.own_bound(now, at).is_some()) => {
                self.send(now, id, at, actions)
            }
            _ => self.hold(now, id, actions),
        }
    }

    /// Whether a candidate may be sent these slots now. A cold worker must be known to have room, but for its
    /// own keys, few of a heavy one (place 0), and some of a share be left; it begins with half of its slots.
    fn has_room(&self, now: Micros, at: usize, slots: f64, place: usize) -> bool {
        let worker = &self.workers[at];
        let warm_up_fraction = worker.warm_up_fraction(now, &self.settings.rules);
        let fair = self.own_bound(now, at).is_none_or(|bound| worker.own_slots() + slots <= bound.max(slots));
        let known = place == 0 || worker.held(now).is_some();
        let left = self.keepers() || self.poured(now, at).1 >= 0.0;
        let waits = self.settings.reports_start && worker.keeps_waiting(now);
        let busy = waits || worker.busy(now, slots, self.room * (COLD_SLOTS + warm_up_fraction).min(1.0));
        (warm_up_fraction >= 1.0 || known && left) && fair && !busy
    }

    /// Own slots out at which a worker is busy where nothing tells how full it is: its share of all of them,
    /// if they were spread by what the workers can do now.
    fn own_bound(&self, now: Micros, at: usize) -> Option<f64> {
        let told = self.settings.reports_start || self.workers[at].held(now).is_some();
        let able = |w: &Worker| w.weight * w.warm_up_fraction(now, &self.settings.rules);
        let ready = self.workers.iter().filter(|w| w.ready).map(|w| (w.own_slots(), able(w)));
        let share = |(out, all): (f64, f64)| OWN_SHARE * out * able(&self.workers[at]) / all;
        (!told).then(|| share(ready.fold((1.0, 0.0), |sum, one| (sum.0 + one.0, sum.1 + one.1))))
    }

    fn hold(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let jitter = 0.5 + self.random();
        let Some(open) = self.open.get_mut(&id) else { return };
        (open.holding, open.asking_until) = (true, None);
        let pause = HOLD_BLIND.max(now.saturating_sub(open.arrived));
        let end = if open.all_or_nothing() { open.late_from(1.0) + 1 } else { Micros::MAX };
        let at = end.min(now + (pause as f64 * jitter) as Micros);
        actions.push(Action::SetTimer { at, token: TimerToken(TIMER_HOLD << 56 | open.sequence) });
    }

    /// Whether schedulers keep account of workers for one another: they may talk, no worker tells its load.
    fn keepers(&self) -> bool {
        let Settings { limits, load_report_source, scheduler_count, .. } = &self.settings;
        limits.may_message_peers && *scheduler_count > 1 && *load_report_source == LoadReportSource::Never
    }

    /// Which one keeps account of a worker: the first by rendezvous that is not silent; all agree on it.
    fn keeper(&mut self, now: Micros, worker: WorkerId) -> Option<u32> {
        self.silent.retain(|_, until| now < *until);
        let all = if self.keepers() { self.settings.scheduler_count } else { 0 };
        let heard = (0..all).filter(|peer| !self.silent.contains_key(peer));
        heard.max_by_key(|peer| mix(worker.0 ^ mix(u64::from(*peer))))
    }

    fn tell(&mut self, now: Micros, at: usize, word: PeerMessage, actions: &mut Vec<Action>) {
        let worker = self.workers[at].endpoint.worker;
        match (self.keeper(now, worker), word) {
            (Some(keeper), _) if keeper != self.settings.scheduler_index => {
                actions
                    .push(Action::SendPeerMessage { to: Recipient::One(keeper), data: word.write(worker) });
            }
            (_, PeerMessage::AttemptStarted(_, work)) => self.pour(now, at, work),
            _ => {}
        }
    }

    /// Work sent to a worker on this account that it can't have done yet, and how much more it may get while
    /// cold. Each scheduler has an equal share; a keeper spends those of all that are not silent to it.
    fn poured(&self, now: Micros, at: usize) -> (f64, f64) {
        let all = f64::from(self.settings.scheduler_count);
        let share = if self.keepers() { 1.0 - self.silent.len() as f64 / all } else { 1.0 / all };
        let (worker, rules) = (&self.workers[at], &self.settings.rules);
        let able =
            share * self.room * worker.weight * worker.warm_up_fraction(now, rules) * rules.overload_factor;
        let left = worker.poured.0 - able * COLD_MOST.1 * now.saturating_sub(worker.poured.1) as f64;
        (left.max(0.0), able * (COLD_MOST.0 - COLD_MOST.1) * rules.overload_time as f64 - left.max(0.0))
    }

    fn pour(&mut self, now: Micros, at: usize, work: Micros) {
        self.workers[at].poured = (self.poured(now, at).0 + work as f64, now);
    }

    /// As its keeper: slots in hand at a worker, for a scheduler that has so much work. A cold one that has
    /// been sent nearly what topples it is full; one said to have room is the asker's alone for a moment.
    fn account(&mut self, now: Micros, at: usize, (asker, work): (u32, Micros)) -> f64 {
        self.pour(now, at, 0);
        let (_, most) = self.poured(now, at);
        let (worker, rules) = (&mut self.workers[at], &self.settings.rules);
        let (held, warm_up_fraction) =
            (worker.kept_slots(now) + worker.own_slots(), worker.warm_up_fraction(now, rules));
        if warm_up_fraction >= 1.0 {
            return held;
        }
        worker.granted.retain(|granted| granted.1 + KEEPER.0 > now && granted.0 != asker);
        let granted: Micros = worker.granted.iter().map(|granted| granted.2).sum();
        let taken = held + worker.granted.len() as f64;
        let room = self.room * worker.weight * (COLD_SLOTS + warm_up_fraction).min(1.0);
        if granted as f64 > most || taken + 1.0 > room.max(1.0) {
            return FULL;
        }
        worker.granted.push((asker, now, work));
        taken
    }

    /// Asks the worker's keeper how full it is, if that is worth a wait; says whether to wait.
    fn ask(&mut self, now: Micros, at: usize, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let worker = &self.workers[at];
        let fresh = worker.report.1.is_some_and(|t| now.saturating_sub(t) < REPORT_FRESH);
        let Some(keeper) = self.keeper(now, worker.endpoint.worker).filter(|_| !fresh) else { return false };
        let work = self.open.get(&id).map_or(0, Open::likely_work);
        if keeper == self.settings.scheduler_index {
            self.workers[at].report = (Some(self.account(now, at, (keeper, work))), Some(now + 1));
            return false;
        }
        let worker = &mut self.workers[at];
        if !worker.waiters.contains(&id) {
            worker.waiters.push(id);
        }
        if worker.asked.is_none() {
            worker.asked = Some((keeper, now));
            self.tell(now, at, PeerMessage::OccupancyQuery(work), actions);
        }
        true
    }

    /// A peer has something to say.
    fn on_word(&mut self, now: Micros, from: u32, data: &[u8], actions: &mut Vec<Action>) {
        let Some((word, id)) = PeerMessage::read(data).filter(|_| from != self.settings.scheduler_index)
        else {
            return;
        };
        self.silent.remove(&from);
        let at = self.index.get(&id).copied();
        if let PeerMessage::OccupancyQuery(work) = word {
            let report = at.map(|at| {
                let held = self.account(now, at, (from, work));
                (held, self.workers[at].ejected_until.saturating_sub(now))
            });
            let data = PeerMessage::OccupancyReply(report).write(id);
            return actions.push(Action::SendPeerMessage { to: Recipient::One(from), data });
        }
        let Some(at) = at else { return };
        let worker = &mut self.workers[at];
        match word {
            PeerMessage::OccupancyQuery(_) => {}
            PeerMessage::OccupancyReply(report) => {
                let Some((_, asked)) = worker.asked.take() else { return };
                worker.report = (report.map(|report| report.0), Some(asked));
                if let Some((_, passed_over)) = report.filter(|report| report.1 > 0) {
                    worker.ejected_until = worker.ejected_until.max(now + passed_over.min(EJECT.1));
                }
                for id in std::mem::take(&mut self.workers[at].waiters) {
                    if self.open.get(&id).is_some_and(|o| o.asking_until.is_some()) {
                        self.place(now, id, actions);
                    }
                }
            }
            PeerMessage::AttemptStarted(slots, work) => {
                worker.granted.retain(|granted| granted.0 != from);
                worker.kept.retain(|k| k.1 + KEPT > now);
                worker.kept.push((from, now, slots));
                self.pour(now, at, work);
            }
            PeerMessage::AttemptFinished { served, broke } => {
                let place = worker.kept.iter().position(|k| k.0 == from);
                place.map(|place| worker.kept.remove(place));
                if served {
                    worker.failures = 0;
                }
                if broke {
                    self.judge(now, at, Outcome::NoResponse, 0);
                }
            }
        }
    }

    fn send(&mut self, now: Micros, id: RequestId, at: usize, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let worker = &mut self.workers[at];
        worker.out.push((id, open.attempts.len() as u32, now, open.slots));
        let crowd = worker.held(now).map(|held| held / worker.weight.max(1e-6));
        open.attempts.push(Attempt { worker: worker.endpoint.worker, crowd, may_have_run: None, sent: now });
        (open.holding, open.asking_until) = (false, None);
        let timeout = open.all_or_nothing().then(|| open.late_from(-OVERRUN).saturating_sub(now).max(1));
        actions.push(Action::Send { request: id, worker: worker.endpoint.worker, timeout });
        let (limits, slots) = (&self.settings.limits, open.slots);
        if self.settings.reports_start && limits.may_cancel && limits.hedging {
            let token = TimerToken(TIMER_WATCH << 56 | open.sequence);
            actions.push(Action::SetTimer { at: watch_at(now, open.deadline), token });
        }
        if worker.warm_up_fraction(now, &self.settings.rules) < 1.0 {
            worker.report = (None, None);
        }
        let work = open.likely_work();
        self.tell(now, at, PeerMessage::AttemptStarted(slots, work), actions);
    }

    /// How long before its due time a request without an attempt out is answered: two ticks and a little.
    fn guard(&self) -> Micros {
        2 * self.settings.tick + 2_000
    }

    /// Whether the rules and limits allow a further attempt.
    fn may_send_again(&self, now: Micros, open: &Open) -> bool {
        if open.attempts.len() >= open.most as usize {
            return false;
        }
        open.retry().may_begin_by(now + self.settings.tick)
    }

    /// When a refused client should come back: once the first worker of its class is thought to have room,
    /// no sooner than a held request would look again. 0, no advice, where clients are not told.
    fn advice(&self, now: Micros, kind: Option<KindId>) -> Micros {
        let limits = &self.settings.limits;
        if !limits.retry_after {
            return 0;
        }
        let able = self.workers.iter().filter(|w| w.ready && kind.is_none_or(|kind| kind == w.endpoint.kind));
        let room = able.map(|w| w.full_until.max(w.ejected_until).saturating_sub(now)).min();
        room.map_or(limits.max_retry_after, |wait| wait.max(HOLD_BLIND)).min(limits.max_retry_after)
    }

    /// Gives the final answer: a refusal where the rules let us promise that trying again is harmless.
    fn give_up(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else { return };
        let retry_after = self.advice(now, open.class.kind);
        actions.push(if open.retry().may_be_refused(now, retry_after) {
            Action::Reject { request: id, retry_after }
        } else {
            Action::Fail { request: id }
        });
        self.close(id, actions);
    }

    /// Forgets a finished request and calls off what is still out for it.
    fn close(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.remove(&id) else { return };
        self.by_sequence.remove(&open.sequence);
        let cancel = self.settings.limits.may_cancel;
        let out = (0..).zip(&open.attempts).filter(|(_, a)| cancel && a.may_have_run.is_none());
        actions.extend(out.map(|(number, _)| Action::Cancel { request: id, attempt: AttemptNo(number) }));
    }

    // ---- what comes back ----

    fn on_outcome(
        &mut self,
        now: Micros,
        (id, attempt): (RequestId, AttemptNo),
        worker: WorkerId,
        (outcome, latency): (Outcome, Micros),
        closed: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(&at) = self.index.get(&worker) else { return };
        let out = &mut self.workers[at].out;
        let Some(place) = out.iter().position(|o| (o.0, o.1) == (id, attempt.0)) else { return };
        out.swap_remove(place);
        self.workers[at].started.retain(|s| s.attempt != (id, attempt.0));
        self.judge(now, at, outcome, latency);
        let broke = matches!(outcome, Outcome::ConnectFailed | Outcome::Reset | Outcome::NoResponse);
        self.tell(now, at, PeerMessage::AttemptFinished { served: outcome == Outcome::Ok, broke }, actions);
        if outcome == Outcome::NoResponse {
            // Where one connection fell silent, the others that stand idle are not to be trusted either.
            actions.push(Action::CloseIdle(worker));
        }
        if let Some(tried) = self.open.get_mut(&id).and_then(|o| o.attempts.get_mut(attempt.0 as usize)) {
            tried.may_have_run = Some(!outcome.never_ran());
        }
        if closed {
            return self.close(id, actions);
        }
        if outcome == Outcome::Invalid && self.open.contains_key(&id) {
            // The request's own fault: no other worker will have it, and this one is as good as before.
            actions.push(Action::Fail { request: id });
            return self.close(id, actions);
        }
        self.place(now, id, actions);
    }

    /// What an outcome says of the worker's room and health; to serve now and then heals it by halves.
    fn judge(&mut self, now: Micros, at: usize, outcome: Outcome, latency: Micros) {
        let worker = &mut self.workers[at];
        let left = if matches!(outcome, Outcome::Timeout | Outcome::Error) { 0.7 } else { 1.0 };
        worker.bound = (worker.bound * left).max(1.0);
        match outcome {
            Outcome::Ok => {
                self.budget = (self.budget + REPEAT_BUDGET.0).min(REPEAT_BUDGET.1);
                worker.failures /= 2;
                worker.bound += 1.0;
                worker.ejected_until *= Micros::from(worker.failures > 0);
            }
            Outcome::Rejected => {
                worker.bound = worker.own_slots().max(1.0);
                worker.full_until = now + FULL_DEFAULT;
            }
            // A connection refused at once met a full table, not a dead worker: no reason to shut it out.
            Outcome::ConnectFailed if latency < self.settings.limits.dial_timeout / 2 => {
                worker.full_until = now + TABLE_FULL;
            }
            // One break, silence or error may be its connection's fault, or its request's; a second is not.
            Outcome::Reset | Outcome::NoResponse | Outcome::Error if worker.failures == 0 => {
                worker.failures = 1
            }
            Outcome::ConnectFailed | Outcome::Reset | Outcome::NoResponse | Outcome::Error => {
                worker.ejected_until = now + (EJECT.0 << worker.failures.min(8)).min(EJECT.1);
                worker.failures += 1;
            }
            Outcome::Invalid => worker.failures = 0,
            Outcome::Timeout | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    /// Word of a start or of progress: the job has its slots.
    fn on_note(&mut self, now: Micros, id: RequestId, attempt: AttemptNo, progress: JobProgress) {
        let tried = self.open.get(&id).and_then(|open| open.attempts.get(attempt.0 as usize));
        let Some(&at) = tried.and_then(|tried| self.index.get(&tried.worker)) else { return };
        let (worker, attempt) = (&mut self.workers[at], (id, attempt.0));
        let share = if let JobProgress::Fraction(share) = progress { share } else { 0.0 };
        if let Some(started) = worker.started.iter_mut().find(|s| s.attempt == attempt) {
            (started.heard, started.share) = (now, share);
        } else if let Some(out) = worker.out.iter().find(|o| (o.0, o.1) == attempt) {
            let prompt = now < out.2 + START_LAG;
            worker.started.push(Started { attempt, began: now, heard: now, share });
            let crowd = self.open[&id].attempts[attempt.1 as usize].crowd;
            if let Some(crowd) = crowd.filter(|crowd| prompt == (*crowd > self.room)) {
                self.room += ROOM_STEP * (crowd - self.room);
            }
        }
    }

    /// Looks after an attempt that is out, where workers tell of starts: a job that waits for its own, stands
    /// still or crawls is called off and goes to the next candidate that is not busy.
    fn look_after(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else { return };
        let Some(number) = open.attempts.iter().rposition(|a| a.may_have_run.is_none()) else { return };
        let Some(&at) = self.index.get(&open.attempts[number].worker) else { return };
        let tries = open.attempts.iter().filter(|a| a.may_have_run != Some(false)).count();
        if now < watch_at(open.attempts[number].sent, open.deadline) || tries > MOVES {
            return; // An earlier attempt's timer, while this one has its own; or there is no move left.
        }
        let (slots, every) = (open.slots, self.settings.progress_interval);
        let running = self.workers[at].running((id, number as u32));
        let still = running.is_some_and(|s| every > 0 && now > s.heard + STILL * every);
        let pace = self.workers[at].warm_up_fraction(now, &self.settings.rules);
        let crawls = running.is_some_and(|s| {
            let rest = (s.heard - s.began) as f64 * (1.0 - s.share) / s.share;
            s.share > 0.0 && open.work > 0 && rest * pace > CRAWL * open.work as f64
        });
        let waits = running.is_none();
        if (waits || still || crawls) && self.budget >= MOVE_BUDGET && self.may_send_again(now, open) {
            let next = self.candidates(now, id);
            let free = |to: &&usize| **to != at && self.has_room(now, **to, slots, 1);
            if let Some(&to) = next.iter().find(free) {
                self.budget -= 1.0;
                if still {
                    self.judge(now, at, Outcome::NoResponse, 0);
                }
                actions.push(Action::Cancel { request: id, attempt: AttemptNo(number as u32) });
                return self.send(now, id, to, actions);
            }
        }
        let at = now + if waits { START_LAG } else { every.max(MOVE_AFTER) };
        actions.push(Action::SetTimer { at, token: TimerToken(TIMER_WATCH << 56 | self.open[&id].sequence) });
    }

    fn on_timer(&mut self, now: Micros, token: TimerToken, actions: &mut Vec<Action>) {
        let (kind, sequence) = (token.0 >> 56, token.0 & ((1 << 56) - 1));
        if kind == TIMER_ASK {
            let ask = self.settings.endpoint_delivery == EndpointDelivery::Poll;
            return actions.extend(ask.then_some(Action::Subscribe(true)));
        }
        let found = self.by_sequence.get(&sequence).and_then(|id| self.open.get_key_value(id));
        let Some((&id, open)) = found else { return };
        if kind == TIMER_WATCH {
            self.look_after(now, id, actions);
        } else if kind == TIMER_HOLD {
            if open.holding || open.asking_until.is_some_and(|until| now >= until) {
                for worker in &mut self.workers {
                    let silent = worker.asked.take_if(|(_, at)| *at + KEEPER.0 <= now);
                    self.silent.extend(silent.map(|(keeper, _)| (keeper, now + KEEPER.1)));
                }
                self.place(now, id, actions);
            }
        } else {
            // An attempt's own time-out answers at the due time; this only guards against its absence.
            let last = open.deadline + self.settings.rules.answer_slack / 2;
            if now < last && open.attempts.iter().any(|a| a.may_have_run.is_none()) {
                return actions.push(Action::SetTimer { at: last, token });
            }
            self.give_up(now, id, actions);
        }
    }
}
