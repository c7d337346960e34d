//! Load reports: their age and their two forms, and what the ledger forgets, which is private to the module.

use super::*;

fn spec(every: u64, late: u64) -> StatsSpec {
    let (every, late) = (Duration::from_millis(every), Duration::from_millis(late));
    StatsSpec { fields: vec![Field::Inflight, Field::X0, Field::Util], every, late, in_answers: false }
}

#[test]
fn a_report_is_as_old_as_its_refresh_and_its_lateness_make_it() {
    let load = |inflight| Load { inflight, queue: 0, free: 4 - inflight, slots: 4 };
    let mut ledger = Ledger::new(Some(&spec(20, 0)), 4);
    ledger.note(Duration::from_millis(10), load(1));
    ledger.note(Duration::from_millis(30), load(3));
    let told = |ledger: &Ledger, at| ledger.told(Duration::from_millis(at)).inflight;
    assert_eq!([19, 20, 39, 40].map(|at| told(&ledger, at)), [0, 1, 1, 3]);
    ledger.late(Duration::from_secs(1));
    assert_eq!([999, 1_019, 1_020, 1_040].map(|at| told(&ledger, at)), [0, 0, 1, 3]);
    // What is older than any report may be is forgotten, but for what still stands.
    ledger.note(Duration::from_secs(200), load(2));
    ledger.note(Duration::from_secs(300), load(0));
    assert_eq!((ledger.past.len(), told(&ledger, 250_000)), (2, 2));
}

#[test]
fn a_report_has_the_fields_that_were_named_in_both_forms() {
    let (spec, load) = (spec(0, 0), Load { inflight: 7, queue: 2, free: 1, slots: 3 });
    assert_eq!(spec.text(&load), "TEXT inflight=7, x0=1, util=0.67");
    assert_eq!(spec.json(&load), json!({"inflight": 7, "x0": 1, "util": 0.67}));
}
