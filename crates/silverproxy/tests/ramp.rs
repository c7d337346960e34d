//! The cold ramp over a whole fleet: what all schedulers together send to peers that have just started.
#![allow(missing_docs)]

mod common;
use common::*;
use silverproxy::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A fleet whose schedulers may not talk, before peers that tell neither start nor load.
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
}

const TICK: Micros = 4 * MS;
/// Work of a job on average.
const MEAN: f64 = 0.225e6;

fn rules() -> Rules {
    Rules { cold_share: 0.2, cold_time: 20 * S, fall_multiple: 2.2, fall_time: 2500 * MS, ..settings().rules }
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
    let classes: Vec<Class> = [Effect::Safe, Effect::Unsafe].map(class).to_vec();
    let sized = |n: u64| Member { units: fleet.slots as f64, ..member(n) };
    let one = |me: u32| {
        let settings = Settings {
            me,
            dispatchers: fleet.schedulers,
            report_via: ReportVia::Never,
            tells_start: false,
            classes: classes.clone(),
            rules: rules.clone(),
            ..settings()
        };
        let policy = Policy::new(settings, 1000 * fleet.seed + u64::from(me)).expect("sound settings");
        let mut d = Driver { policy, now: 100 * S };
        d.event(list(ListKind::Full, (1..=fleet.peers).map(sized)));
        d
    };
    let mut all: Vec<Driver> = (0..fleet.schedulers).map(one).collect();
    let start = all[0].now;
    let born = |peer: u64| (peer <= fleet.restarted).then(|| start + 3 * S + peer * S / fleet.restarted);
    let warmth = |peer: u64, at: Micros| {
        let age = born(peer).map_or(f64::MAX, |born| at.saturating_sub(born) as f64 / rules.cold_time as f64);
        (rules.cold_share + (1.0 - rules.cold_share) * age).min(1.0)
    };
    let mut state = fleet.seed;
    let mut random = || {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) as f64 / (1u64 << 31) as f64
    };
    // Some schedulers get several times the mean.
    let shares: Vec<f64> = (0..fleet.schedulers).map(|me| [0.4, 0.6, 1.0, 3.0][me as usize % 4]).collect();
    let total: f64 = shares.iter().sum();
    let mut peers: BTreeMap<u64, Vec<Job>> = BTreeMap::new();
    let mut due = BTreeSet::<(Micros, usize, TimerToken)>::new();
    let mut work = vec![0.0];
    let mut sent: BTreeMap<u64, VecDeque<(Micros, f64)>> = BTreeMap::new();
    let (mut most, mut served) = (f64::MIN, 0);
    let end = start + 5 * S + rules.cold_time;
    for now in (start..end).step_by(TICK as usize) {
        let mut events = Vec::new();
        for peer in 1..=fleet.restarted {
            let at = born(peer).expect("it starts anew");
            if (at..at + TICK).contains(&now) {
                let anew = || list(ListKind::Changes, [Member { born: at, ..sized(peer) }]);
                events.extend((0..all.len()).map(|from| (from, anew())));
                peers.remove(&peer).into_iter().flatten().for_each(|job| {
                    events.push((job.from, outcome(job.id, 0, WorkerId(peer), Status::Reset)));
                });
            }
        }
        for (peer, jobs) in &mut peers {
            let pace = warmth(*peer, now);
            jobs.iter_mut().take(fleet.slots).for_each(|job| job.left -= TICK as f64 * pace);
            jobs.retain(|job| {
                let status = if job.left <= 0.0 { Status::Ok } else { Status::Timeout };
                let over = job.left <= 0.0 || job.until <= now;
                served += u64::from(job.left <= 0.0);
                events.extend(over.then(|| (job.from, outcome(job.id, 0, WorkerId(*peer), status))));
                !over
            });
        }
        while due.first().is_some_and(|(at, ..)| *at <= now) {
            let (_, from, token) = due.pop_first().expect("just seen");
            events.push((from, Event::Timer(token)));
        }
        let able: f64 = (1..=fleet.peers).map(|peer| fleet.slots as f64 * warmth(peer, now)).sum();
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
                    Action::SetTimer { at, token } => _ = due.insert((at, from, token)),
                    _ => {}
                }
            }
        }
        for (peer, sent) in &mut sent {
            let Some(born) = born(*peer).filter(|born| now > *born && warmth(*peer, now) < 1.0) else {
                continue;
            };
            while sent.front().is_some_and(|(at, _)| at + rules.fall_time <= now || *at < born) {
                sent.pop_front();
            }
            let got: f64 = sent.iter().map(|sent| sent.1).sum();
            let able = fleet.slots as f64 * warmth(*peer, now) * rules.fall_time as f64 / MEAN;
            let allowed = rules.fall_multiple * able;
            most = most.max(got - allowed - 2.0 * allowed.sqrt() - 2.0);
        }
    }
    (most, served as f64 / (work.len() - 1) as f64)
}

/// Cold peers fall under the sum of what all schedulers send, and none of those that may not talk knows of the others. Each keeps
/// to an equal share of what a peer can take while it warms: one peer that starts anew or six in ten, a load that the others
/// carry with ease or twice what all can, few schedulers or more than a share has requests for. Not to starve them: what the
/// fleet can serve is served.
#[test]
fn strangers_together_keep_to_what_cold_peers_can_take() {
    let seeds = std::env::var("RAMP_SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(2);
    for (schedulers, peers, slots) in [(3, 9, 5), (20, 20, 4), (30, 20, 4)] {
        for (restarted, load, least) in
            [(1, 0.8, 0.97), (1, 2.0, 0.32), (6 * peers / 10, 0.8, 0.93), (6 * peers / 10, 2.0, 0.32)]
        {
            for seed in 1..=seeds {
                let (beyond, served) = play(Fleet { schedulers, peers, restarted, load, slots, seed });
                println!("{schedulers} {peers} {restarted} {load} seed {seed}: beyond {beyond:.1}, served {served:.3}");
                assert!(beyond <= 0.0, "{beyond} requests beyond what chance may bring");
                assert!(served >= least, "{served} served");
            }
        }
    }
}
