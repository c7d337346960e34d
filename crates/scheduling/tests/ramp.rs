//! The cold ramp over a whole fleet: what all schedulers together send to peers that have just started.
#![allow(missing_docs)]

mod common;
use common::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use vetchbridge_scheduling::*;

/// What schedulers hear of one another.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Talk {
    /// They may not talk.
    Never,
    /// They may, and every message comes 4 ms later.
    Heard,
    /// They may; every third of them is cut off from all others for some seconds in the middle of the ramp, once dies and
    /// begins anew, and one message in ten is lost.
    Troubled,
}

/// A fleet before peers that tell neither start nor load.
#[derive(Clone, Copy)]
struct Fleet {
    schedulers: u32,
    peers: u64,
    /// So many of them start anew, one after the other within a second.
    restarted: u64,
    /// Of what the peers can carry while those are cold.
    load: f64,
    /// Slots of a peer.
    slots: usize,
    seed: u64,
    talk: Talk,
}

const TICK: Micros = 4 * MS;
/// Work of a job on average.
const MEAN: f64 = 0.225e6;

fn rules() -> Rules {
    Rules {
        slow_start_floor: 0.2,
        slow_start_time: 20 * S,
        overload_factor: 2.2,
        overload_time: 2500 * MS,
        ..settings().rules
    }
}

struct Job {
    from: usize,
    id: u64,
    left: f64,
    until: Micros,
}

/// Plays it until the peers are warm. Returns, of all windows of `fall_time` at all cold peers, the most requests of mean work
/// beyond what the rules put down to chance (below zero: the rule is kept), and the share of the jobs that were served.
fn play(fleet: Fleet) -> (f64, f64) {
    let rules = rules();
    let classes: Vec<Class> = [Idempotency::Idempotent, Idempotency::NonIdempotent].map(class).to_vec();
    let sized = |n: u64| Endpoint { weight: fleet.slots as f64, ..endpoint(n) };
    let one = |scheduler_index: u32| {
        let settings = Settings {
            scheduler_index,
            scheduler_count: fleet.schedulers,
            load_report_source: LoadReportSource::Never,
            reports_start: false,
            limits: Limits { may_message_peers: fleet.talk != Talk::Never, ..settings().limits },
            classes: classes.clone(),
            rules: rules.clone(),
            ..settings()
        };
        let scheduler =
            Scheduler::new(settings, 1000 * fleet.seed + u64::from(scheduler_index)).expect("sound settings");
        let mut d = Driver { scheduler, now: 100 * S };
        d.event(list(EndpointUpdate::Snapshot, (1..=fleet.peers).map(sized)));
        d
    };
    let mut all: Vec<Driver> = (0..fleet.schedulers).map(&one).collect();
    let start = all[0].now;
    let started_at =
        |peer: u64| (peer <= fleet.restarted).then(|| start + 3 * S + peer * S / fleet.restarted);
    let warm_up_fraction = |peer: u64, at: Micros| {
        let age = started_at(peer).map_or(f64::MAX, |started_at| {
            at.saturating_sub(started_at) as f64 / rules.slow_start_time as f64
        });
        (rules.slow_start_floor + (1.0 - rules.slow_start_floor) * age).min(1.0)
    };
    let mut state = fleet.seed;
    let mut random = || {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) as f64 / (1u64 << 31) as f64
    };
    // Some schedulers get several times the mean.
    let shares: Vec<f64> = (0..fleet.schedulers)
        .map(|scheduler_index| [0.4, 0.6, 1.0, 3.0][scheduler_index as usize % 4])
        .collect();
    let total: f64 = shares.iter().sum();
    let mut peers: BTreeMap<u64, Vec<Job>> = BTreeMap::new();
    let mut mail: VecDeque<(Micros, usize, Event)> = VecDeque::new();
    let troubled = |who: usize| fleet.talk == Talk::Troubled && who % 3 == 0;
    let mut deadline = BTreeSet::<(Micros, usize, TimerToken)>::new();
    let mut work = vec![0.0];
    let mut sent: BTreeMap<u64, VecDeque<(Micros, f64)>> = BTreeMap::new();
    let (mut most, mut served) = (f64::MIN, 0);
    let end = start + 5 * S + rules.slow_start_time;
    for now in (start..end).step_by(TICK as usize) {
        let mut events = Vec::new();
        for peer in 1..=fleet.restarted {
            let at = started_at(peer).expect("it starts anew");
            if (at..at + TICK).contains(&now) {
                let anew = || list(EndpointUpdate::Changes, [Endpoint { started_at: at, ..sized(peer) }]);
                events.extend((0..all.len()).map(|from| (from, anew())));
                peers.remove(&peer).into_iter().flatten().for_each(|job| {
                    events.push((job.from, attempt_finished(job.id, 0, WorkerId(peer), Outcome::Reset)));
                });
            }
        }
        for (peer, jobs) in &mut peers {
            let pace = warm_up_fraction(*peer, now);
            jobs.iter_mut().take(fleet.slots).for_each(|job| job.left -= TICK as f64 * pace);
            jobs.retain(|job| {
                let outcome = if job.left <= 0.0 { Outcome::Ok } else { Outcome::Timeout };
                let over = job.left <= 0.0 || job.until <= now;
                served += u64::from(job.left <= 0.0);
                events
                    .extend(over.then(|| (job.from, attempt_finished(job.id, 0, WorkerId(*peer), outcome))));
                !over
            });
        }
        // One after the other dies; what it had out goes on at the peers, and counts.
        let dies = (now - start) / (400 * MS);
        if (now - start) % (400 * MS) == 0
            && dies % 3 == 0
            && dies < all.len() as u64
            && troubled(dies as usize)
        {
            let born_later = |peer: u64| started_at(peer).filter(|at| *at <= now).map_or(0, |at| at);
            let mut anew = one(dies as u32);
            anew.now = now;
            let listed =
                (1..=fleet.peers).map(|peer| Endpoint { started_at: born_later(peer), ..sized(peer) });
            anew.event(list(EndpointUpdate::Snapshot, listed));
            all[dies as usize] = anew;
            deadline.retain(|(_, from, _)| *from as u64 != dies);
            peers.values_mut().flatten().filter(|job| job.from as u64 == dies).for_each(|job| job.left = 0.0);
        }
        while mail.front().is_some_and(|(at, ..)| *at <= now) {
            let (_, to, word) = mail.pop_front().expect("just seen");
            events.push((to, word));
        }
        while deadline.first().is_some_and(|(at, ..)| *at <= now) {
            let (_, from, token) = deadline.pop_first().expect("just seen");
            events.push((from, Event::Timer(token)));
        }
        let able: f64 = (1..=fleet.peers).map(|peer| fleet.slots as f64 * warm_up_fraction(peer, now)).sum();
        let mut arrivals = fleet.load * able * TICK as f64 / MEAN;
        while random() < arrivals {
            arrivals -= 1.0;
            let (id, key) = (work.len() as u64, 300f64.powf(random()) as u64);
            work.push(2.0 * MEAN / 3.0 * (0.5 - random().clamp(1e-9, 0.999).ln()));
            let mut place = random() * total;
            let from = shares
                .iter()
                .position(|share| {
                    place -= share;
                    place < 0.0
                })
                .unwrap_or(0);
            let job = request(id, (id % 2) as u32, &format!("key-{key}"), now + 5 * S);
            let expected_work = Some(work[id as usize] as Micros);
            events.push((from, Event::Request(Request { expected_work, ..job })));
        }
        for (from, event) in events {
            for action in all[from].at(now, event) {
                match action {
                    Action::Send { request: RequestId(id), worker, timeout } => {
                        let (left, until) = (work[id as usize], now + timeout.unwrap_or(5 * S));
                        peers.entry(worker.0).or_default().push(Job { from, id, left, until });
                        sent.entry(worker.0).or_default().push_back((now, left / MEAN));
                    }
                    Action::SetTimer { at, token } => _ = deadline.insert((at, from, token)),
                    Action::SendPeerMessage { to: Recipient::One(to), data } => {
                        let cut = (8 * S..12 * S).contains(&(now - start))
                            && troubled(from) != troubled(to as usize);
                        let lost = fleet.talk == Talk::Troubled && random() < 0.1;
                        let word = Event::PeerMessage { from: from as u32, data };
                        mail.extend((!cut && !lost).then_some((now + 4 * MS, to as usize, word)));
                    }
                    _ => {}
                }
            }
        }
        for (peer, sent) in &mut sent {
            let Some(started_at) = started_at(*peer)
                .filter(|started_at| now > *started_at && warm_up_fraction(*peer, now) < 1.0)
            else {
                continue;
            };
            while sent.front().is_some_and(|(at, _)| at + rules.overload_time <= now || *at < started_at) {
                sent.pop_front();
            }
            let got: f64 = sent.iter().map(|sent| sent.1).sum();
            let able = fleet.slots as f64 * warm_up_fraction(*peer, now) * rules.overload_time as f64 / MEAN;
            let allowed = rules.overload_factor * able;
            most = most.max(got - allowed - 2.0 * allowed.sqrt() - 2.0);
        }
    }
    (most, served as f64 / (work.len() - 1) as f64)
}

/// So many peers of a fleet that start anew, its load, and the least share of the jobs that is to be served meanwhile.
type Case = (u64, f64, f64);

/// Plays each case with each seed: the sum stays within the rule, and what the fleet can serve is served.
fn keeps_the_rule(talk: Talk, (schedulers, peers, slots): (u32, u64, usize), cases: &[Case], seeds: &[u64]) {
    for (restarted, load, least) in cases.iter().copied() {
        for seed in seeds.iter().copied() {
            let (beyond, served) = play(Fleet { schedulers, peers, restarted, load, slots, seed, talk });
            println!(
                "{schedulers} {peers} {restarted} {load} seed {seed}: beyond {beyond:.1}, served {served:.3}"
            );
            assert!(beyond <= 0.0, "{beyond} requests beyond what chance may bring");
            assert!(served >= least, "{served} served");
        }
    }
}

/// Cold peers fall under the sum of what all schedulers send, and none of those that may not talk knows of the others. Each keeps
/// to an equal share of what a peer can take while it warms: one peer that starts anew or six in ten, a load that the others
/// carry with ease or twice what all can, few schedulers or more than a share has requests for. Not to starve them: what the
/// fleet can serve is served.
#[test]
fn strangers_together_keep_to_what_cold_peers_can_take() {
    let seeds = std::env::var("RAMP_SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(2);
    let seeds: Vec<u64> = (1..=seeds).collect();
    for fleet in [(3, 9, 5), (20, 20, 4), (30, 20, 4)] {
        let most = 6 * fleet.1 / 10;
        let cases = [(1, 0.8, 0.97), (1, 2.0, 0.32), (most, 0.8, 0.93), (most, 2.0, 0.32)];
        keeps_the_rule(Talk::Never, fleet, &cases, &seeds);
    }
}

/// Those that talk go by a peer's keeper, whose account is of all that is sent there.
#[test]
fn schedulers_that_talk_keep_to_what_cold_peers_can_take() {
    keeps_the_rule(Talk::Heard, (20, 20, 4), &[(12, 2.0, 0.4)], &[6]);
}

/// The sum holds although keepers die, are cut off so that two think they are it, and words are lost: each spends the shares of
/// those that it hears of alone.
#[test]
fn keepers_that_die_or_are_cut_off_don_t_push_a_cold_peer_over() {
    keeps_the_rule(Talk::Troubled, (20, 20, 4), &[(1, 2.0, 0.4), (12, 2.0, 0.4)], &[1, 6]);
}
