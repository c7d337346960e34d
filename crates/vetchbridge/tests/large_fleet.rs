//! A scheduler in a large deployment of 1,200 workers and 1,200 schedulers starts, serves, is upgraded and
//! restarts, also with fewer file descriptors than workers.
#![allow(missing_docs)]

mod common;
mod fleet;

use common::*;
use fleet::*;
use futures_util::future::join_all;
use rstest::rstest;
use std::collections::BTreeSet;
use vetchbridge::discovery::document::Instance;
use vetchbridge::upgrade::message::{batch_endpoints, HandoverMessage, MAX_MESSAGE_BYTES};

/// The scheduler starts with a saved endpoint list, serves jobs, and hands the complete list over to a
/// successor process. The successor continues to watch discovery from the list's generation. After the
/// successor has ended, another process starts with the saved list.
#[rstest]
#[case::names_of_usual_length(8)]
#[case::long_names(LONG_NAME_BYTES)]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_scheduler_starts_serves_is_handed_over_and_restarts(#[case] name_length: usize) {
    let mut fleet = Fleet::new(name_length, ListFormat::Compact).await;
    let mut first = fleet.start_with_list();
    wait_until_ready(&first).await;
    fleet.assert_complete_list_is_used().await;
    // The generation of the endpoint list is handed over only once discovery has confirmed the list.
    while !fleet.next_discovery_call().await.contains(&format!("index={GENERATION}&")) {}

    let mut successor = fleet.start_without_list();
    assert_eq!(successor.admin_command("health").await, "ok serving\n");
    first.signal("-TERM");
    assert!(first.child.wait().expect("the process ends").success());
    wait_until_ready(&successor).await;
    fleet.assert_complete_list_is_used().await;
    fleet.discovery_calls.close();
    while let Some(call) = fleet.discovery_calls.recv().await {
        assert!(
            call.contains(&format!("index={GENERATION}&")),
            "the complete list is not requested again: {call}"
        );
    }

    successor.signal("-TERM");
    assert!(successor.child.wait().expect("the process ends").success());
    let restarted = fleet.start_with_list();
    wait_until_ready(&restarted).await;
    fleet.assert_complete_list_is_used().await;
    fleet.datagram_sockets.close();
    let mut queried = BTreeSet::new();
    while let Some(socket) = fleet.datagram_sockets.recv().await {
        queried.insert(socket);
    }
    assert_eq!(
        queried.len(),
        PEER_SOCKETS,
        "the schedulers of every peer socket coordinate some worker: {queried:?}"
    );
}

/// The scheduler reads an endpoint list of 1,200 workers from discovery, indented and in pieces, or with long
/// entries.
#[rstest]
#[case::indented_in_pieces(8, ListFormat::IndentedInPieces)]
#[case::long_names(LONG_NAME_BYTES, ListFormat::Compact)]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_large_list_is_read_from_discovery(#[case] name_length: usize, #[case] format: ListFormat) {
    let mut fleet = Fleet::new(name_length, format).await;
    // A single scheduler polls discovery at once. In a tier of many schedulers, each scheduler waits for its
    // turn.
    fleet.config["settings"]["me"] = 0.into();
    fleet.config["settings"]["balancers"] = 1.into();
    let process = fleet.start_without_list();
    wait_until_ready(&process).await;
    fleet.assert_complete_list_is_used().await;
}

/// Idle connections to workers do not use up the scheduler's file descriptors: no connection to another
/// worker, no callback and no client fails for lack of a descriptor.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn fewer_descriptors_than_workers_suffice_to_use_all_workers() {
    const CLIENTS: u64 = 60;
    const JOBS_EACH: u64 = 8;
    let mut fleet = Fleet::new(8, ListFormat::Compact).await;
    fleet.config["limits"]["sockets"] = 256.into();
    // Each job has one attempt and a short deadline, so that neither a retry nor a wait until idle
    // connections expire can hide a failed connection.
    fleet.config["settings"]["services"][0]["deadline"] = 5_000_000.into();
    fleet.config["settings"]["limits"]["max_attempts"] = 1.into();
    let process = fleet.start_with_list();
    wait_until_ready(&process).await;
    let workers = fleet.submit_jobs(400).await;
    assert!(workers.len() > 300, "only {} workers were tried", workers.len());
    // Many clients send jobs at the same time; each client waits for one response before its next job.
    let clients = (0..CLIENTS).map(|client| {
        let first = fleet.last_job + 1 + client * JOBS_EACH;
        submit_jobs_to(process.address, first..=first + JOBS_EACH - 1)
    });
    assert_eq!(join_all(clients).await.len() as u64, CLIENTS);
}

/// Many schedulers may share a directory for their handover sockets. Each scheduler's socket is found only
/// by its own successor process, even if the schedulers' long names have the same beginning.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn schedulers_with_a_common_long_name_prefix_are_handed_over_to_their_own_successors() {
    let mut fleet = Fleet::new(8, ListFormat::Compact).await;
    let mut started = Vec::new();
    for number in [SCHEDULERS - 2, SCHEDULERS - 1] {
        fleet.config["name"] = format!("scheduler-of-the-first-deployment-zone-a-{number}").into();
        fleet.config["listen"] = "127.0.0.1:0".into();
        let reserved = std::net::UdpSocket::bind("127.0.0.1:0").expect("a free port");
        fleet.config["peer_listen"] = reserved.local_addr().expect("a bound socket").to_string().into();
        drop(reserved);
        let process = fleet.start_without_list();
        wait_until_ready(&process).await;
        started.push((process, fleet.config.clone()));
    }
    for (process, config) in started {
        fleet.config = config;
        let successor = fleet.start_without_list();
        assert_eq!(successor.address, process.address);
        assert_eq!(successor.admin_command("health").await, "ok serving\n");
        assert_eq!(process.admin_command("quiesce").await, "fail handed over; ask the successor\n");
    }
}

/// If an entry of the endpoint list is too long for a handover message, the successor process requests the
/// complete list from discovery, so that no worker is missing.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_list_with_an_entry_too_long_to_hand_over_is_requested_from_discovery() {
    let mut fleet = Fleet::new(8, ListFormat::Compact).await;
    let mut known = fleet.endpoint_list.clone();
    known["instances"][0]["zone"] = "z".repeat(MAX_MESSAGE_BYTES).into();
    let first = fleet.start(&known);
    wait_until_ready(&first).await;
    while !fleet.next_discovery_call().await.contains(&format!("index={GENERATION}&")) {}
    let successor = fleet.start_without_list();
    assert_eq!(successor.admin_command("health").await, "ok serving\n");
    while fleet.next_discovery_call().await != "/registry/instances" {}
    fleet.assert_complete_list_is_used().await;
}

/// The predecessor process splits an endpoint list with entries of various lengths into handover messages.
/// No message exceeds the maximum length, and no entry that fits into a message is lost.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[test]
fn every_entry_that_fits_into_a_message_is_sent() {
    let entry = |length: usize| -> Instance {
        let mut entry = instance(0, worker_address(0, 1), "up");
        entry["instanceId"] = "\"".repeat(length).into();
        serde_json::from_value(entry).expect("an entry")
    };
    // Each quotation mark in a worker's name takes two bytes in JSON.
    let lengths =
        (0..WORKERS)
            .map(|number| if number % 100 == 0 { MAX_MESSAGE_BYTES / 2 - 200 } else { number % 97 * 11 });
    let entries: Vec<Instance> = lengths.map(entry).collect();
    let names =
        |entries: &[Instance]| entries.iter().map(|entry| entry.instance_id.clone()).collect::<Vec<_>>();
    let messages = batch_endpoints(entries.clone());
    assert_eq!(names(&messages.concat()), names(&entries));
    for message in messages {
        assert!(!message.is_empty(), "an empty message marks the end of the list");
        let length = HandoverMessage::Endpoints(message).encode().len();
        assert!(length <= MAX_MESSAGE_BYTES, "{length}");
    }
    assert_eq!(
        names(&batch_endpoints(vec![entry(1), entry(MAX_MESSAGE_BYTES / 2), entry(2)]).concat()),
        names(&[entry(1), entry(2)])
    );
}
