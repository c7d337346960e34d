//! The use of the endpoint list while the discovery service takes long to write its answers.
#![allow(missing_docs)]

#[path = "common/in_process.rs"]
mod in_process;

use in_process::{
    answer_changes, as_draining, instance, unused_address, wait_until_idle, TestScheduler, TEST_TIMEOUT,
};
use rstest::rstest;
use serde_json::{json, Value};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};
use vetchbridge::discovery::document::InstanceState;
use vetchbridge_testbed::wire::HttpConnection;

/// The number of pieces in which the discovery service writes a slow answer.
const PIECES: usize = 12;
/// How long an entry that has arrived may wait for its publication.
const PUBLICATION_TIME: Duration = Duration::from_millis(400);

/// Writes an answer with this document in pieces, with a pause before each.
async fn answer_slowly(connection: &mut HttpConnection, document: &Value, pause: Duration) {
    let text = document.to_string();
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", text.len());
    connection.write(&head).await.expect("the scheduler reads");
    for piece in text.as_bytes().chunks(text.len().div_ceil(PIECES)) {
        sleep(pause).await;
        connection.write(std::str::from_utf8(piece).expect("ASCII")).await.expect("the scheduler reads on");
    }
}

/// Guards against an answer that is given up although it makes progress: the next one took as long, so the
/// entries at the end of the list never came into use, and workers that drain got new jobs.
#[rstest]
#[case::steady(Duration::from_millis(50))]
#[case::with_long_pauses(Duration::from_millis(700))]
#[timeout(TEST_TIMEOUT)]
#[tokio::test(start_paused = true)]
async fn an_answer_that_makes_progress_is_read_to_its_end(#[case] pause: Duration) {
    let mut scheduler = TestScheduler::with_scheduler_count(1).await;
    let names = ["s-a", "s-b", "s-c"];
    let entries = names.map(|name| instance(name, unused_address()));
    scheduler.start_endpoint_watcher(json!(entries));
    let mut watch = scheduler.confirm_saved_list().await;
    let list = json!([entries[0], entries[1], as_draining(entries[2].clone())]);
    answer_slowly(&mut watch, &json!({"generation": 2, "reset": true, "instances": list}), pause).await;
    sleep(PUBLICATION_TIME).await;
    let expected = [InstanceState::Up, InstanceState::Up, InstanceState::Draining];
    assert_eq!(
        scheduler.listed_workers(),
        names.map(str::to_string).into_iter().zip(expected).collect::<Vec<_>>()
    );
}

/// Guards against entries that wait for the end of their answer: the scheduler counts as notified of an entry
/// once it is written.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test(start_paused = true)]
async fn the_entries_of_a_slow_answer_are_published_as_they_arrive() {
    let mut scheduler = TestScheduler::with_scheduler_count(1).await;
    let names = ["s-a", "s-b", "s-c"];
    let entries = names.map(|name| instance(name, unused_address()));
    scheduler.start_endpoint_watcher(json!(entries));
    let mut watch = scheduler.confirm_saved_list().await;
    let list = entries.map(as_draining);
    let text = json!({"generation": 2, "reset": false, "instances": list}).to_string();
    watch.write("HTTP/1.1 200 OK\r\ncontent-length: 9999\r\n\r\n").await.expect("the scheduler reads");
    let mut rest = text.as_str();
    for drained in 1..=names.len() {
        let (entry, after) = rest.split_once('}').expect("an entry");
        watch.write(&format!("{entry}}}")).await.expect("the scheduler reads on");
        rest = after;
        sleep(PUBLICATION_TIME).await;
        let listed = scheduler.listed_workers();
        let is_draining = listed.iter().map(|(_, state)| *state == InstanceState::Draining);
        assert_eq!(is_draining.filter(|is_draining| *is_draining).count(), drained, "{listed:?}");
    }
}

/// Guards against attempts by a list that has long been replaced, at any pace of discovery: jobs wait for news.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test(start_paused = true)]
async fn no_attempt_is_sent_by_a_list_that_is_too_old() {
    let mut scheduler = TestScheduler::with_scheduler_count(1).await;
    let worker = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let entry = instance("s-a", worker.local_addr().expect("a bound socket"));
    scheduler.start_endpoint_watcher(json!([entry]));
    let mut watch = scheduler.confirm_saved_list().await;
    let document = json!({"generation": 2, "reset": false, "instances": [entry]});
    let slow_answer = tokio::spawn(async move {
        answer_slowly(&mut watch, &document, Duration::from_millis(1500)).await;
    });
    sleep(Duration::from_secs(7)).await;
    let _answer = scheduler.submit("00000000000000ab", "x".into());
    assert!(timeout(Duration::from_secs(2), worker.accept()).await.is_err(), "the list is too old");
    // The calls that the scheduler has made meanwhile wait for an answer. The first of them that has not timed out
    // brings the news, and the job after it is sent.
    let submit_after_each_answer = async {
        let mut answers = Vec::new();
        for number in 1_u64.. {
            let (mut call, _) = scheduler.accept_call().await;
            answer_changes(&mut call, 2, json!([])).await;
            wait_until_idle().await;
            answers.push(scheduler.submit(&format!("{number:016x}"), "x".into()));
        }
    };
    tokio::select! {
        accepted = worker.accept() => drop(accepted.expect("a connection")),
        () = submit_after_each_answer => {}
    }
    slow_answer.abort();
}
