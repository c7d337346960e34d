//! When the discovery service is called: how long watches wait, and how soon a failed call is followed by the next.
#![allow(missing_docs)]

#[path = "common/in_process.rs"]
mod in_process;

use in_process::{
    answer_changes, answer_part, answer_part_and_close, instance, reject_call, unused_address,
    SchedulerSetup, TestScheduler, TEST_TIMEOUT,
};
use rstest::rstest;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, Instant};
use vetchbridge::discovery::document::InstanceState;
use vetchbridge::discovery::request::DiscoveryRequest;
use vetchbridge_scheduling::EndpointDelivery;
use vetchbridge_testbed::wire::{Message, Wire};

/// One change answers the watches of all schedulers together, and then all fall silent together: they end apart, by
/// scheduler and by call, so that the service is not called by all at once.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn watches_that_were_answered_together_end_apart() {
    const SCHEDULERS: u32 = 20;
    let mut schedulers = Vec::new();
    for scheduler_index in 0..SCHEDULERS {
        // A pushed list is watched at once; how long a call waits is the same for both deliveries.
        let setup = SchedulerSetup {
            scheduler_index,
            scheduler_count: SCHEDULERS,
            delivery: EndpointDelivery::Push,
            ..SchedulerSetup::default()
        };
        let mut scheduler = TestScheduler::new(setup).await;
        scheduler.start_endpoint_watcher(json!([]));
        let (wire, _) = scheduler.accept_call().await;
        schedulers.push((wire, scheduler));
    }
    let mut previous = vec![0; schedulers.len()];
    for generation in 2..5 {
        let mut waits = Vec::new();
        for (wire, _) in &mut schedulers {
            answer_changes(wire, generation, json!([])).await;
        }
        for (wire, _) in &mut schedulers {
            let call = wire.read().await.expect("the watch continues");
            let (_, wait) = call.target().split_once("wait=").expect("a call that waits");
            waits.push(wait.parse::<u64>().expect("milliseconds"));
        }
        assert!(
            waits.iter().zip(&previous).all(|(wait, before)| wait != before),
            "{waits:?} after {previous:?}"
        );
        previous.clone_from(&waits);
        waits.sort_unstable();
        let closest = waits.windows(2).map(|pair| pair[1] - pair[0]).min().expect("more than one");
        // Half of what 20 watches would be apart that share the second evenly.
        assert!(closest >= 25, "{waits:?}");
    }
}

/// An update that a silent watch missed counts as notified 6 s after its call, so that the watch has to be reopened before
/// that, however many schedulers share the service. The watch before it was answered: no other scheduler's fails with it.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test(start_paused = true)]
async fn a_silent_watch_is_reopened_before_its_updates_count_as_notified() {
    let mut scheduler = TestScheduler::with_scheduler_count(300).await;
    scheduler.start_endpoint_watcher(json!([]));
    let mut wire = Wire::new(scheduler.discovery.accept().await.expect("the watch").0);
    let target = |call: Option<Message>| call.expect("a call").target().to_string();
    assert!(target(wire.read().await).contains("index=1&wait="));
    answer_changes(&mut wire, 2, json!([])).await;
    assert!(target(wire.read().await).contains("index=2&wait="));
    let called = Instant::now();
    // Not a byte more: the connection stays open and silent.
    let mut next = Wire::new(scheduler.discovery.accept().await.expect("the next watch").0);
    assert!(target(next.read().await).contains("index=2&wait="), "from the generation that is known");
    assert!(called.elapsed() < Duration::from_secs(6), "{:?} after the call", called.elapsed());
}

/// How a call fails, as far as the service can make it.
#[derive(Clone, Copy, Debug)]
enum CallFails {
    /// It is refused.
    Refused,
    /// Its connection is reset.
    Reset,
    /// Its response breaks off within an entry.
    Cut,
    /// Its response stalls within an entry, and the connection stays open.
    Stalled,
    /// Nothing comes, and the connection stays open.
    Silent,
}

impl CallFails {
    /// Fails the call that was read from this connection; returns the connection where it stays open.
    async fn fail(self, mut wire: Wire) -> Option<Wire> {
        let document = r#"{"generation":9,"reset":true,"instances":[{"instanceId":"s-cut"}]}"#;
        match self {
            CallFails::Refused => reject_call(&mut wire).await,
            CallFails::Reset => wire.reset(),
            CallFails::Cut => answer_part_and_close(wire, document, "s-cut").await,
            CallFails::Stalled => {
                answer_part(&mut wire, document, "s-cut").await;
                return Some(wire);
            }
            CallFails::Silent => return Some(wire),
        }
        None
    }
}

/// A change counts as notified 6 s after the service had it and could be reached, and half a second more is left to stop
/// sending. The service may come back in the moment after a call has been lost, and may let the next one wait for its turn
/// for two seconds: the next one must be out 3.5 s after the lost one at the latest, whatever became of that and of those
/// before.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test(start_paused = true)]
async fn a_failed_call_is_followed_by_the_next_one_in_time(
    #[values(CallFails::Refused, CallFails::Reset, CallFails::Cut, CallFails::Stalled, CallFails::Silent)]
    fails: CallFails,
    #[values(1, 3, 300)] scheduler_count: u32,
    #[values(1, 7)] seed: u64,
) {
    let mut scheduler =
        TestScheduler::new(SchedulerSetup { scheduler_count, seed, ..SchedulerSetup::default() }).await;
    scheduler.start_endpoint_watcher(json!([]));
    let mut wire = scheduler.confirm_saved_list().await;
    let mut open = Vec::new();
    for number in 0..6 {
        let called = Instant::now();
        open.extend(fails.fail(wire).await);
        wire = scheduler.accept_call().await.0;
        let apart = called.elapsed();
        assert!(apart <= Duration::from_millis(3_500), "call {number} was followed after {apart:?}");
    }
}

/// The local ports of the connections to this address that have been dialled and have not come up.
fn pending_dials(address: SocketAddr) -> Vec<String> {
    const SYN_SENT: &str = "02";
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the kernel's table of connections");
    let port = format!(":{:04X}", address.port());
    // Few lines have the port; the table may be long, and is read at each step.
    let entries = table.lines().filter(|line| line.contains(&port));
    let entries = entries.map(|line| line.split_whitespace().collect::<Vec<_>>());
    let dials = entries.filter(|entry| entry.len() > 3 && entry[2].ends_with(&port) && entry[3] == SYN_SENT);
    dials.map(|entry| entry[1].to_string()).collect()
}

/// A first call whose connection never comes up is a lost one, too.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test(start_paused = true)]
async fn a_dial_that_is_lost_is_followed_by_the_next_one_in_time() {
    let mut scheduler = TestScheduler::with_scheduler_count(1).await;
    // A dial to a listener whose backlog is full gets no answer.
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    scheduler.discovery = socket.listen(0).expect("it listens");
    let address = scheduler.discovery.local_addr().expect("bound");
    let _filler = TcpStream::connect(address).await.expect("the one that the backlog takes");
    let began = Instant::now();
    scheduler.start_endpoint_watcher(json!([]));
    // The clock is paused: this is no wait, but lets it move on, by less than the pause before the next call.
    let advance = || sleep(Duration::from_millis(25));
    while pending_dials(address).is_empty() {
        advance().await;
    }
    // Others may be out beside it when it is abandoned.
    let first = pending_dials(address).remove(0);
    while pending_dials(address).contains(&first) {
        advance().await;
    }
    scheduler.discovery.accept().await.expect("the filler");
    let _next = scheduler.accept_call().await;
    assert!(began.elapsed() <= Duration::from_millis(3_500), "{:?} after the start", began.elapsed());
}

/// After a call that failed, the next one must not wait for a change: that it is answered shows that the service is back.
/// A subscription while a watch is open does not open another.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test(start_paused = true)]
async fn the_call_after_a_failure_waits_for_no_change_and_is_made_once() {
    let mut scheduler = TestScheduler::with_scheduler_count(1).await;
    scheduler.start_endpoint_watcher(json!([]));
    let (mut wire, _) = scheduler.accept_call().await;
    reject_call(&mut wire).await;
    let (mut wire, target) = scheduler.accept_call().await;
    assert_eq!(target, "/registry/instances?index=1&wait=0");
    scheduler.send_discovery_request(DiscoveryRequest::Subscribe);
    scheduler.send_discovery_request(DiscoveryRequest::Fetch);
    let (_fetch, target) = scheduler.accept_call().await;
    assert_eq!(target, "/registry/instances", "and not the watch once more");
    answer_changes(&mut wire, 2, json!([])).await;
    let target = wire.read().await.expect("the watch continues").target().to_string();
    assert!(target.contains("index=2&wait=") && !target.ends_with("wait=0"), "{target}");
}

/// The part of a document before it breaks off is no answer: where every document breaks off, hundreds of schedulers that
/// called again at once each time would keep the service from recovering.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test(start_paused = true)]
async fn documents_that_keep_breaking_off_are_polled_with_growing_pauses() {
    let mut scheduler = TestScheduler::with_scheduler_count(300).await;
    scheduler.start_endpoint_watcher(json!([]));
    let entries = json!([instance("s-a", unused_address()), {"instanceId": "s-b"}]);
    let document = json!({"generation": 2, "instances": entries, "reset": false}).to_string();
    let (mut wire, _) = scheduler.accept_call().await;
    for pause_ms in [0, 0, 1_000, 1_000] {
        let broke_off = Instant::now();
        answer_part_and_close(wire, &document, "s-b").await;
        (wire, _) = scheduler.accept_call().await;
        let waited = broke_off.elapsed();
        assert!(waited >= Duration::from_millis(pause_ms), "{waited:?} after one of them broke off");
    }
    assert_eq!(scheduler.listed_workers(), [("s-a".into(), InstanceState::Up)]);
}
