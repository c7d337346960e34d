//! The four rules, for each class of effect, through the module's interface.
#![allow(missing_docs)]

mod common;
use common::*;
use vetchbridge_scheduling::*;

#[test]
fn a_refused_job_walks_on_to_another_worker_and_is_refused_when_attempts_run_out() {
    for class in [SAFE, KEYED_ALL, KEYED_CELL, UNSAFE] {
        let mut d = Driver::with_fleet(settings(), 12);
        let mut tried = vec![sent(&d.request(1, class, "k"))];
        for attempt in 0..3 {
            let next =
                sent(&d.event(attempt_finished(1, attempt, *tried.last().unwrap(), Outcome::Rejected)));
            assert!(!tried.contains(&next));
            tried.push(next);
        }
        let last = d.event(attempt_finished(1, 3, tried[3], Outcome::Rejected));
        assert!(sends(&last).is_empty() && refused(&last), "class {class}: {last:?}");
    }
}

#[test]
fn an_unsafe_job_that_may_have_run_is_failed_and_never_sent_again_or_refused() {
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::Timeout, Outcome::Cancelled] {
        let mut d = Driver::with_fleet(settings(), 12);
        let worker = sent(&d.request(1, UNSAFE, "k"));
        let actions = d.event(attempt_finished(1, 0, worker, outcome));
        assert!(sends(&actions).is_empty() && !refused(&actions) && failed(&actions), "{outcome:?}");
    }
}

#[test]
fn a_safe_job_that_may_have_run_is_sent_again() {
    let mut d = Driver::with_fleet(settings(), 12);
    let worker = sent(&d.request(1, SAFE, "k"));
    assert_ne!(sent(&d.event(attempt_finished(1, 0, worker, Outcome::Error))), worker);
}

#[test]
fn a_keyed_job_that_may_have_run_stays_in_its_cell_and_window() {
    for n in 0..40 {
        let mut d = Driver::with_fleet(settings(), 23);
        let key = format!("key-{n}");
        let first = sent(&d.request(1, KEYED_CELL, &key));
        let second = sent(&d.event(attempt_finished(1, 0, first, Outcome::Error)));
        assert_eq!(endpoint(first.0).cell, endpoint(second.0).cell);
        let late = d.now + 2 * S;
        let actions = d.at(late, attempt_finished(1, 1, second, Outcome::Error));
        assert!(sends(&actions).is_empty() && failed(&actions) && !refused(&actions));
    }
}

/// Its client may come back to any worker, which would run it again.
#[test]
fn a_keyed_job_known_to_all_workers_is_neither_sent_nor_refused_after_its_window() {
    let mut d = Driver::with_fleet(settings(), 24);
    let first = sent(&d.request(1, KEYED_ALL, "k"));
    let late = d.now + 2 * S;
    let actions = d.at(late, attempt_finished(1, 0, first, Outcome::Error));
    assert!(sends(&actions).is_empty() && failed(&actions) && !refused(&actions));
}

#[test]
fn nothing_is_sent_to_a_draining_or_gone_worker() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let mut d = Driver::with_fleet(settings(), 6);
        let first = sent(&d.request(1, SAFE, "k"));
        d.event(attempt_finished(1, 0, first, Outcome::Ok));
        let told = Endpoint { state, ..endpoint(first.0) };
        d.event(list(EndpointUpdate::Changes, [told]));
        for id in 2..50 {
            assert_ne!(sent(&d.request(id, SAFE, "k")), first);
        }
    }
}

#[test]
fn a_worker_missing_from_a_full_list_is_gone_and_its_return_restores_its_keys() {
    let mut d = Driver::with_fleet(settings(), 6);
    let first = sent(&d.request(1, SAFE, "k"));
    d.event(attempt_finished(1, 0, first, Outcome::Ok));
    d.event(list(EndpointUpdate::Snapshot, (1..=6).filter(|n| *n != first.0).map(endpoint)));
    let other = sent(&d.request(2, SAFE, "k"));
    assert_ne!(other, first);
    d.event(attempt_finished(2, 0, other, Outcome::Ok));
    d.now += 60 * S;
    d.event(fleet(6));
    assert_eq!(sent(&d.request(3, SAFE, "k")), first);
}

#[test]
fn with_no_worker_at_all_the_answer_is_a_refusal_in_time() {
    let mut d = Driver::new(settings());
    let deadline = d.now + 5 * S;
    let mut pending = timers(&d.request(1, UNSAFE, "k"));
    let mut answered = false;
    while let Some(position) = pending.iter().enumerate().min_by_key(|(_, t)| t.0).map(|(i, _)| i) {
        let (at, token) = pending.swap_remove(position);
        let actions = d.at(at, Event::Timer(token));
        assert!(!answered || actions.is_empty());
        if refused(&actions) {
            assert!(at <= deadline);
            answered = true;
        }
        pending.extend(timers(&actions));
    }
    assert!(answered);
}

#[test]
fn events_for_finished_requests_and_unknown_attempts_are_ignored() {
    let mut d = Driver::with_fleet(settings(), 6);
    let worker = sent(&d.request(1, SAFE, "k"));
    assert!(d.event(attempt_finished(1, 7, worker, Outcome::Error)).is_empty());
    assert!(d.event(attempt_finished(99, 0, worker, Outcome::Error)).is_empty());
    d.event(Event::ClientDisconnected(RequestId(1)));
    assert!(d.event(Event::ClientDisconnected(RequestId(1))).is_empty());
    assert!(sends(&d.event(attempt_finished(1, 0, worker, Outcome::Rejected))).is_empty());
}

/// A client that is refused without a word comes back at once, to workers that are still full.
#[test]
fn a_refusal_says_when_to_come_back_where_clients_are_told() {
    for told in [true, false] {
        let mut settings = settings();
        settings.limits.retry_after = told;
        let most = settings.limits.max_retry_after;
        let mut d = Driver::with_fleet(settings, 12);
        let mut actions = d.request(1, SAFE, "k");
        for attempt in 0..4 {
            let worker = sent(&actions);
            actions = d.event(attempt_finished(1, attempt, worker, Outcome::Rejected));
        }
        let advice =
            |a: &Action| if let Action::Reject { retry_after, .. } = a { Some(*retry_after) } else { None };
        let advice = actions.iter().find_map(advice).expect("out of attempts: refused");
        assert!(if told { (1..=most).contains(&advice) } else { advice == 0 }, "told {told}: {advice}");
    }
}

fn watching() -> Driver {
    let mut settings = Settings { reports_start: true, progress_interval: S, ..settings() };
    settings.limits.hedging = true;
    Driver::with_fleet(settings, 12)
}

/// Runs the driver's clock on and lets the timers in `done` fall due; adds what the module does about them.
fn wait(d: &mut Driver, span: Micros, done: &mut Vec<Action>) {
    let until = d.now + span;
    let deadline =
        |done: &[Action], from: Micros| timers(done).into_iter().filter(|t| t.0 > from && t.0 <= until).min();
    while let Some((at, _)) = deadline(done, d.now) {
        for (_, token) in timers(done).into_iter().filter(|t| t.0 == at) {
            done.extend(d.at(at, Event::Timer(token)));
        }
    }
    d.now = until;
}

fn progress(progress: JobProgress) -> Event {
    Event::JobProgress { request: RequestId(1), attempt: AttemptNo(0), progress }
}

/// A slow or stuck worker does not keep the jobs it has: one that waits for a slot, stands still or crawls is
/// called off and sent elsewhere, as its class allows. One that gets on stays.
#[test]
fn a_job_that_does_not_get_on_is_moved_as_its_class_allows() {
    let waits: &[(Micros, f64)] = &[];
    let still = &[(0, 0.0), (S, 0.5)][..];
    let crawls = &[(0, 0.0), (S, 0.1), (S, 0.2)][..];
    let runs = &[(0, 0.0), (S, 0.5), (S, 0.8), (S, 0.9)][..];
    for (notes, moved) in [(waits, true), (still, true), (crawls, true), (runs, false)] {
        for class in [SAFE, KEYED_ALL, UNSAFE] {
            let mut d = watching();
            let mut job = request(1, class, "k", d.now + 60 * S);
            job.expected_work = Some(S);
            let mut done = d.event(Event::Request(job));
            let worker = sent(&done);
            for (after, share) in notes {
                wait(&mut d, *after, &mut done);
                d.event(progress(if *share == 0.0 {
                    JobProgress::Started
                } else {
                    JobProgress::Fraction(*share)
                }));
            }
            wait(&mut d, if moved { 4 * S } else { S }, &mut done);
            let next = &sends(&done)[1..];
            // The keyed window ends 2 s after the first attempt, before that one is known to stand still.
            let allowed = class == SAFE || class == KEYED_ALL && notes != still;
            assert_eq!(!next.is_empty(), moved && allowed, "class {class}, {notes:?}: {done:?}");
            assert!(!next.contains(&worker));
            let off = Action::Cancel { request: RequestId(1), attempt: AttemptNo(0) };
            assert_eq!(done.contains(&off), moved && allowed);
        }
    }
}

/// A fleet that has served jobs of so many keys that none of them is spread.
fn busy_fleet() -> Driver {
    let mut d = Driver::with_fleet(settings(), 12);
    for id in 1000..1200 {
        let worker = sent(&d.request(id, SAFE, &id.to_string()));
        d.event(attempt_finished(id, 0, worker, Outcome::Ok));
    }
    d
}

/// A break or a silence may be one connection's, or the request's; the second in a row is the worker's.
#[test]
fn a_worker_is_passed_over_from_the_second_break_in_a_row() {
    for outcome in [Outcome::Reset, Outcome::NoResponse] {
        let mut d = busy_fleet();
        let worker = sent(&d.request(1, SAFE, "k"));
        d.event(attempt_finished(1, 0, worker, outcome));
        assert_eq!(sent(&d.request(2, SAFE, "k")), worker);
        d.event(attempt_finished(2, 0, worker, outcome));
        assert_ne!(sent(&d.request(3, SAFE, "k")), worker);
    }
}

/// What a worker finds wrong with a request is wrong everywhere, and says nothing against the worker.
#[test]
fn an_invalid_request_fails_at_once_and_blames_nobody() {
    let mut d = busy_fleet();
    let worker = sent(&d.request(1, SAFE, "k"));
    for id in 1..4 {
        let actions = d.event(attempt_finished(id, 0, worker, Outcome::Invalid));
        assert!(failed(&actions) && sends(&actions).is_empty(), "{actions:?}");
        assert_eq!(sent(&d.request(id + 1, SAFE, "k")), worker);
    }
}

#[test]
fn open_jobs_keep_their_class_and_its_effect_when_the_settings_change() {
    for (before, after, resent) in [
        (Idempotency::Idempotent, Idempotency::NonIdempotent, true),
        (Idempotency::NonIdempotent, Idempotency::Idempotent, false),
        (
            Idempotency::Keyed { group: DeduplicationScope::Cell, window: 2 * S },
            Idempotency::NonIdempotent,
            true,
        ),
    ] {
        let with =
            |idempotency, classes| Settings { classes: vec![class(idempotency); classes], ..settings() };
        let mut d = Driver::with_fleet(with(before, 2), 23);
        let open = sent(&d.request(1, 1, "k"));
        // The class that it was taken under is the second; there is but one now, and it is another.
        d.event(Event::Settings(Box::new(with(after, 1))));
        assert_eq!(
            sends(&d.event(attempt_finished(1, 0, open, Outcome::Error))).len(),
            usize::from(resent),
            "{before:?}"
        );
        let new = sent(&d.request(2, 0, "k"));
        let again = sends(&d.event(attempt_finished(2, 0, new, Outcome::Error))).len();
        assert_eq!(again, usize::from(after == Idempotency::Idempotent), "{after:?}");
        assert!(failed(&d.request(3, 1, "k")), "there is no such class any more");
    }
}

#[test]
fn a_change_of_the_number_of_attempts_lowers_it_for_open_jobs_and_never_raises_it() {
    for (before, after) in [(4, 2), (2, 4)] {
        let with =
            |max_attempts| Settings { limits: Limits { max_attempts, ..settings().limits }, ..settings() };
        let mut d = Driver::with_fleet(with(before), 12);
        let mut worker = sent(&d.request(1, SAFE, "k"));
        d.event(Event::Settings(Box::new(with(after))));
        worker = sent(&d.event(attempt_finished(1, 0, worker, Outcome::Error)));
        let last = d.event(attempt_finished(1, 1, worker, Outcome::Error));
        assert!(sends(&last).is_empty() && refused(&last), "{before} to {after}: {last:?}");
        let mut attempts = 1;
        worker = sent(&d.request(2, SAFE, "k"));
        while let Some(next) =
            sends(&d.event(attempt_finished(2, attempts - 1, worker, Outcome::Rejected))).first()
        {
            (worker, attempts) = (*next, attempts + 1);
        }
        assert_eq!(attempts, after);
    }
}

#[test]
fn the_ring_and_what_was_learned_survive_other_settings() {
    let mut d = Driver::with_fleet(settings(), 12);
    // Served at once, so that none spills from its home for the load of the others.
    let placed = |d: &mut Driver, id: u64, class: u32, n: usize| {
        let worker = sent(&d.request(id, class, &format!("key-{n}")));
        d.event(attempt_finished(id, 0, worker, Outcome::Ok));
        worker
    };
    let homes: Vec<WorkerId> = (0..40).map(|n| placed(&mut d, n as u64, UNSAFE, n)).collect();
    let full = homes[0];
    d.request(99, UNSAFE, "key-0");
    let second = sent(&d.event(attempt_finished(99, 0, full, Outcome::Rejected)));
    d.event(attempt_finished(99, 1, second, Outcome::Ok));
    let fewer = Settings { classes: vec![class(Idempotency::NonIdempotent)], ..settings() };
    d.event(Event::Settings(Box::new(fewer)));
    for (n, home) in homes.iter().enumerate() {
        let there = placed(&mut d, 100 + n as u64, 0, n);
        assert_eq!(there == *home, *home != full, "key-{n}");
    }
}

/// A refusal promises that trying again is harmless. For a keyed job that may have run that holds while its repeat is dropped,
/// and its client takes a moment to come back.
#[test]
fn a_keyed_job_that_may_have_run_is_refused_only_while_its_repeat_would_be_dropped() {
    for (name, age, harmless) in
        [("within its window", S, true), ("as it ends", 2 * S - 300 * MS, false), ("after it", 3 * S, false)]
    {
        let mut d = Driver::with_fleet(settings(), 6);
        let Idempotency::Keyed { window, .. } = settings().classes[KEYED_ALL as usize].idempotency else {
            panic!("keyed")
        };
        assert_eq!(window, 2 * S);
        sent(&d.request(1, KEYED_ALL, "k"));
        d.now += age;
        let ending = d.event(Event::ShuttingDown);
        assert_eq!((refused(&ending), failed(&ending)), (harmless, !harmless), "{name}: {ending:?}");
        // One that surely never ran may be tried again at any time.
        let mut d = Driver::with_fleet(settings(), 6);
        let worker = sent(&d.request(1, KEYED_ALL, "k"));
        d.now += age;
        d.event(attempt_finished(1, 0, worker, Outcome::Rejected));
        assert!(refused(&d.event(Event::ShuttingDown)), "{name}: it never ran");
    }
}
