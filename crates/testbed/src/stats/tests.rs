//! Tests of a worker's load reports: the age of the reported load, the text and JSON forms of a report, and
//! the samples that the load history drops.

use super::*;

fn spec(refresh_interval: u64, delay: u64) -> StatsSpec {
    let refresh_interval = Duration::from_millis(refresh_interval);
    let delay = Duration::from_millis(delay);
    StatsSpec {
        fields: vec![Field::Inflight, Field::X0, Field::Util],
        refresh_interval,
        delay,
        in_answers: false,
    }
}

#[test]
fn a_report_is_as_old_as_its_refresh_interval_and_its_delay_make_it() {
    let load = |inflight| Load { inflight, queue: 0, free: 4 - inflight, slots: 4 };
    let mut history = LoadHistory::new(Some(&spec(20, 0)), 4);
    history.record(Duration::from_millis(10), load(1));
    history.record(Duration::from_millis(30), load(3));
    let reported = |history: &LoadHistory, at| history.reported(Duration::from_millis(at)).inflight;
    assert_eq!([19, 20, 39, 40].map(|at| reported(&history, at)), [0, 1, 1, 3]);
    history.set_delay(Duration::from_secs(1));
    assert_eq!([999, 1_019, 1_020, 1_040].map(|at| reported(&history, at)), [0, 0, 1, 3]);
    // Samples that are too old for any load report are dropped, except the latest of them.
    history.record(Duration::from_secs(200), load(2));
    history.record(Duration::from_secs(300), load(0));
    assert_eq!((history.samples.len(), reported(&history, 250_000)), (2, 2));
}

#[test]
fn a_report_has_the_configured_fields_as_text_and_as_json() {
    let (spec, load) = (spec(0, 0), Load { inflight: 7, queue: 2, free: 1, slots: 3 });
    assert_eq!(spec.text(&load), "TEXT inflight=7, x0=1, util=0.67");
    assert_eq!(spec.json(&load), json!({"inflight": 7, "x0": 1, "util": 0.67}));
}
