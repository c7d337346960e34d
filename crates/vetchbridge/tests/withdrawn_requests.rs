//! Requests whose clients disconnect before the first command of the decision module is carried out.
#![allow(missing_docs)]

#[path = "common/in_process.rs"]
mod in_process;

use in_process::{instance, unused_address, wait_until_idle, TestScheduler, TEST_TIMEOUT};
use rstest::rstest;
use serde_json::json;
use vetchbridge::invariants::violation_count;

/// The number of clients that disconnect at once.
const WITHDRAWN: u64 = 50;

/// Guards against attempts that the decision module counts at their worker for ever: it commands the attempt when a
/// request arrives, and the command was dropped, unreported, if the client had disconnected by then. A worker then
/// seemed to be occupied, and the module's memory grew with each such client.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test(start_paused = true)]
async fn a_withdrawn_request_leaves_no_attempt_behind_at_its_worker() {
    let mut scheduler = TestScheduler::with_scheduler_count(1).await;
    scheduler.start_endpoint_watcher(json!([instance("s-a", unused_address())]));
    let _watch = scheduler.confirm_saved_list().await;
    for number in 1..=WITHDRAWN {
        drop(scheduler.submit(&format!("{number:016x}"), "x".into()));
    }
    wait_until_idle().await;
    assert_eq!(violation_count(), 0, "each commanded attempt is reported");
}
