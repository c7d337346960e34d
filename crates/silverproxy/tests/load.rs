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
