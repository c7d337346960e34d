//! How full a worker is taken to be, by what there is to go by.
#![allow(missing_docs)]

mod common;
use common::*;
use silverproxy::*;
use std::collections::BTreeMap;

/// Workers that tell neither start nor load take a queue of seconds before they refuse: their arcs are never even, and the
/// owner of a popular key drowns while others idle. So own jobs are spread by size, each key as near its place as that allows.
#[test]
fn where_nothing_tells_of_load_no_worker_is_sent_much_more_than_its_share() {
    let mut d = Driver::new(Settings { report_via: ReportVia::Never, ..settings() });
    let sized = |n: u64| Member { units: if n <= 4 { 5.0 } else { 3.0 }, ..member(n) };
    d.event(list(ListKind::Full, (1..=8).map(sized)));
    let mut out: BTreeMap<WorkerId, f64> = BTreeMap::new();
    let mut popular: BTreeMap<WorkerId, u32> = BTreeMap::new();
    for id in 1..=200 {
        let key = if id % 4 == 0 { "popular".to_string() } else { format!("key-{id}") };
        let worker = sent(&d.request(id, SAFE, &key));
        if key == "popular" {
            *popular.entry(worker).or_default() += 1;
        }
        *out.entry(worker).or_default() += 1.0;
    }
    for (worker, jobs) in &out {
        let share = 200.0 * sized(worker.0).units / 32.0;
        assert!(*jobs <= 1.3 * share + 1.0, "{jobs} of 200 jobs at {worker:?}, whose share is {share}");
    }
    let most = popular.values().max();
    assert!(most >= Some(&15), "the popular key has no home: {popular:?}");
}

/// Where a late answer has no worth, work on it takes the peer's time from jobs that can still be in time; under a burst all
/// are late then. An attempt waits no longer than the aim, and what can't be in time is answered at once.
#[test]
fn a_job_whose_late_answer_is_worth_nothing_is_answered_once_it_is_late() {
    // Effect, share of the worth that a late answer keeps, hint; how long an attempt may wait, and whether trying again is harmless.
    let (never, all) = (Effect::Unsafe, Effect::Safe);
    for (effect, late_share, hint, wait, harmless) in [
        (all, 0.0, Some(300 * MS), Some(500 * MS + 690 * MS), true),
        (never, 0.0, Some(300 * MS), Some(500 * MS + 690 * MS), false),
        (all, 0.0, None, None, true),
        (all, 0.3, Some(300 * MS), None, true),
    ] {
        let classes = vec![Class { late_share, ..class(effect) }];
        let mut d = Driver::with_fleet(Settings { classes, ..settings() }, 6);
        let job = Request { expected_work: hint, ..request(1, 0, "k", d.now + 5 * S) };
        let done = d.event(Event::Request(job));
        let timeout = |a: &Action| if let Action::Send { timeout, .. } = a { Some(*timeout) } else { None };
        assert_eq!(done.iter().find_map(timeout), Some(wait), "{effect:?}, {late_share}, {hint:?}");
        let Some(wait) = wait else { continue };
        d.now += wait;
        let done = d.event(outcome(1, 0, sent(&done), Status::Timeout));
        assert!(
            sends(&done).is_empty() && refused(&done) == harmless && failed(&done) != harmless,
            "{done:?}"
        );
    }
}

/// The same while it waits here for room: it is answered when it can't be in time even on an idle peer, with advice.
#[test]
fn a_held_job_is_answered_when_it_can_t_be_in_time_any_more() {
    let classes = vec![Class { late_share: 0.0, ..class(Effect::Safe) }];
    let mut d = Driver::new(Settings { classes, ..settings() });
    let started = d.now;
    let mut due = timers(&d.event(Event::Request(Request {
        expected_work: Some(300 * MS),
        ..request(1, 0, "k", started + 5 * S)
    })));
    loop {
        due.sort();
        let (at, token) = due.remove(0);
        let done = d.at(at, Event::Timer(token));
        if refused(&done) {
            break;
        }
        due.extend(timers(&done));
    }
    let waited = d.now - started;
    assert!(
        (800 * MS..=810 * MS).contains(&waited),
        "answered after {waited} us, aim and stretch leave 800 ms"
    );
}

/// Two peers, each with a job of ours: that is no reason to let a job wait that broke off at one of them.
#[test]
fn a_broken_job_goes_on_at_once_to_the_only_peer_that_is_left() {
    let mut d = Driver::with_fleet(Settings { report_via: ReportVia::Never, ..settings() }, 2);
    let first = sent(&d.request(1, SAFE, "k"));
    let second = sent(&d.request(2, SAFE, "k"));
    assert_ne!(first, second, "own load is spread");
    assert_eq!(sent(&d.event(outcome(2, 0, second, Status::Reset))), first);
}

/// A peer that answers quickly with errors looks idle, and would be sent more than any other. It is passed over, for longer each
/// time, also when it serves every second job; one error in fifty, or errors everywhere, shut nobody out.
#[test]
fn a_peer_that_answers_with_errors_again_and_again_is_passed_over() {
    let share_of_bad = |fails: &dyn Fn(WorkerId, u64) -> bool| {
        let mut d = Driver::with_fleet(Settings { report_via: ReportVia::Never, ..settings() }, 6);
        let (mut bad, mut all) = (0, 0);
        for id in 1..=1200 {
            d.now += 20 * MS;
            let worker = sent(&d.request(id, UNSAFE, &format!("key-{id}")));
            all += 1;
            bad += u64::from(worker == WorkerId(3));
            let status = if fails(worker, id) { Status::Error } else { Status::Ok };
            d.event(outcome(id, 0, worker, status));
        }
        100 * bad / all
    };
    assert!(share_of_bad(&|_, _| false) >= 10, "a sixth of the jobs, as it is well");
    assert!(share_of_bad(&|worker, _| worker == WorkerId(3)) <= 2, "it fails each job");
    assert!(
        share_of_bad(&|worker, id| worker == WorkerId(3) && mix(id) % 2 == 0) <= 6,
        "it fails every second one"
    );
    assert!(share_of_bad(&|worker, id| worker == WorkerId(3) && id % 50 == 0) >= 10, "it fails now and then");
    assert!(share_of_bad(&|_, _| true) >= 10, "nobody is better");
}

/// Spreads small numbers; seeded by nothing else.
fn mix(n: u64) -> u64 {
    (n.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 29) ^ n.wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 33
}
