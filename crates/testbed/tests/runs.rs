//! Tests the record of the runs of jobs at workers: the deduplication of keyed jobs.
#![allow(missing_docs)]

use std::time::Duration;
use vetchbridge_testbed::runs::{Admission, AttemptCounts, Run, RunEnd, Runs};

/// Returns a run of the job with the idempotency key `key`; the run starts at `started_s`, in seconds.
fn run(key: &str, started_s: u64) -> Run {
    let (class, object, worker) = ("c".to_string(), "o".to_string(), "s-0".to_string());
    let started = Duration::from_secs(started_s);
    Run {
        id: 1,
        key: Some(key.to_string()),
        class,
        object,
        worker,
        arrived: started,
        started,
        end: RunEnd::Running,
    }
}

#[test]
fn a_keyed_job_is_deduplicated_within_its_window_unless_its_first_run_was_lost() {
    let (runs, window) = (Runs::default(), Duration::from_secs(15));
    assert_eq!(runs.start(run("k", 0), window), Admission::Run(0));
    assert_eq!(runs.start(run("k", 5), window), Admission::Running(0));
    runs.end(0, RunEnd::Finished);
    runs.end(0, RunEnd::Lost);
    assert_eq!(runs.start(run("k", 14), window), Admission::Finished(0));
    assert_eq!(runs.start(run("other", 14), window), Admission::Run(1));
    assert_eq!(runs.start(run("k", 15), window), Admission::Run(2));
    runs.end(2, RunEnd::Lost);
    assert_eq!(runs.start(run("k", 16), window), Admission::Run(3));
    assert_eq!(runs.counts(), AttemptCounts { arrived: 0, deduplicated: 2 });
}
