//! The schedule of a scheduler's calls to the discovery service: how long watches wait for a change, and how
//! soon the next call follows a failed call.
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
use vetchbridge_testbed::wire::{HttpConnection, Message};

/// One change makes the discovery service answer the watches of all schedulers at the same time. If the next
/// watches then stay without an answer, they must end at different times, so that the schedulers do not call
/// the service all at once. The wait times of the watches must differ by scheduler and by call.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn watches_that_were_answered_together_end_at_different_times() {
    const SCHEDULERS: u32 = 20;
    let mut schedulers = Vec::new();
    for scheduler_index in 0..SCHEDULERS {
        // With pushed endpoint lists, the scheduler opens its watch at once. Watches have the same wait times
        // with pushed and with polled lists.
        let setup = SchedulerSetup {
            scheduler_index,
            scheduler_count: SCHEDULERS,
            delivery: EndpointDelivery::Push,
            ..SchedulerSetup::default()
        };
        let mut scheduler = TestScheduler::new(setup).await;
        scheduler.start_endpoint_watcher(json!([]));
        let (connection, _) = scheduler.accept_call().await;
        schedulers.push((connection, scheduler));
    }
    let mut previous_waits = vec![0; schedulers.len()];
    for generation in 2..5 {
        let mut waits = Vec::new();
        for (connection, _) in &mut schedulers {
            answer_changes(connection, generation, json!([])).await;
        }
        for (connection, _) in &mut schedulers {
            let call = connection.read().await.expect("the watch continues");
            let (_, wait) = call.target().split_once("wait=").expect("a call with a wait");
            waits.push(wait.parse::<u64>().expect("a wait in milliseconds"));
        }
        assert!(
            waits.iter().zip(&previous_waits).all(|(wait, before)| wait != before),
            "{waits:?} after {previous_waits:?}"
        );
        previous_waits.clone_from(&waits);
        waits.sort_unstable();
        let min_gap = waits.windows(2).map(|pair| pair[1] - pair[0]).min().expect("at least two waits");
        // If the ends of 20 watches are spread evenly over one second, they are 50 ms apart. The test
        // requires half of this distance.
        assert!(min_gap >= 25, "{waits:?}");
    }
}

/// If a watch gets no answer, its scheduler counts as notified of an update 6 s after the call that opened
/// the watch. The scheduler must reopen the watch within these 6 s, in a tier of any size. The previous watch
/// call was answered, so the failure counts as a failure of this scheduler alone, and the next call need not
/// be spread over the tier.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test(start_paused = true)]
async fn a_silent_watch_is_reopened_before_its_updates_count_as_notified() {
    let mut scheduler = TestScheduler::with_scheduler_count(300).await;
    scheduler.start_endpoint_watcher(json!([]));
    let mut connection = HttpConnection::new(scheduler.discovery.accept().await.expect("the watch").0);
    let target = |call: Option<Message>| call.expect("a call to discovery").target().to_string();
    assert!(target(connection.read().await).contains("index=1&wait="));
    answer_changes(&mut connection, 2, json!([])).await;
    assert!(target(connection.read().await).contains("index=2&wait="));
    let called_at = Instant::now();
    // The discovery service sends nothing more, and the connection stays open.
    let mut next = HttpConnection::new(scheduler.discovery.accept().await.expect("the next watch").0);
    assert!(target(next.read().await).contains("index=2&wait="), "the call names the last known generation");
    assert!(called_at.elapsed() < Duration::from_secs(6), "{:?} after the call", called_at.elapsed());
}

/// The ways in which the discovery service can make a call fail.
#[derive(Clone, Copy, Debug)]
enum CallFailure {
    /// The discovery service refuses the call with status 503.
    Refused,
    /// The discovery service resets the connection.
    Reset,
    /// The response ends in the middle of an entry of the endpoint list, and the connection is closed.
    Truncated,
    /// The response stalls in the middle of an entry of the endpoint list, and the connection stays open.
    Stalled,
    /// The discovery service sends no response, and the connection stays open.
    Silent,
}

impl CallFailure {
    /// Makes the call to discovery on this connection fail. Returns the connection if it stays open.
    async fn fail(self, mut connection: HttpConnection) -> Option<HttpConnection> {
        let document = r#"{"generation":9,"reset":true,"instances":[{"instanceId":"s-cut"}]}"#;
        match self {
            CallFailure::Refused => reject_call(&mut connection).await,
            CallFailure::Reset => connection.reset(),
            CallFailure::Truncated => answer_part_and_close(connection, document, "s-cut").await,
            CallFailure::Stalled => {
                answer_part(&mut connection, document, "s-cut").await;
                return Some(connection);
            }
            CallFailure::Silent => return Some(connection),
        }
        None
    }
}

/// A scheduler counts as notified of a change 6 s after the discovery service has the change and can be
/// reached, and may keep sending to a removed worker for half a second more. The service may recover just
/// after a call was lost, and may queue the next call for two seconds. The next call must therefore follow
/// within 3.5 s of a failed call, for every kind of failure and any number of failures in a row.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test(start_paused = true)]
async fn a_failed_call_is_followed_by_the_next_one_in_time(
    #[values(
        CallFailure::Refused,
        CallFailure::Reset,
        CallFailure::Truncated,
        CallFailure::Stalled,
        CallFailure::Silent
    )]
    call_failure: CallFailure,
    #[values(1, 3, 300)] scheduler_count: u32,
    #[values(1, 7)] seed: u64,
) {
    let mut scheduler =
        TestScheduler::new(SchedulerSetup { scheduler_count, seed, ..SchedulerSetup::default() }).await;
    scheduler.start_endpoint_watcher(json!([]));
    let mut connection = scheduler.confirm_saved_list().await;
    let mut open_connections = Vec::new();
    for number in 0..6 {
        let called_at = Instant::now();
        open_connections.extend(call_failure.fail(connection).await);
        connection = scheduler.accept_call().await.0;
        let elapsed = called_at.elapsed();
        assert!(
            elapsed <= Duration::from_millis(3_500),
            "the call after call {number} followed after {elapsed:?}"
        );
    }
}

/// Returns the local addresses of connections to `address` that are dialled but not yet established.
fn pending_dials(address: SocketAddr) -> Vec<String> {
    const SYN_SENT: &str = "02";
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the kernel's table of connections");
    let port = format!(":{:04X}", address.port());
    // The kernel's connection table may be long and is read repeatedly, so lines without the port are dropped
    // before lines are split into columns.
    let entries = table.lines().filter(|line| line.contains(&port));
    let entries = entries.map(|line| line.split_whitespace().collect::<Vec<_>>());
    let dials = entries.filter(|entry| entry.len() > 3 && entry[2].ends_with(&port) && entry[3] == SYN_SENT);
    dials.map(|entry| entry[1].to_string()).collect()
}

/// If the connection of the first call to discovery is never established, the call counts as lost, and the
/// next call must follow within 3.5 s.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test(start_paused = true)]
async fn a_lost_dial_is_followed_by_the_next_call_in_time() {
    let mut scheduler = TestScheduler::with_scheduler_count(1).await;
    // The kernel does not answer a dial to a listener whose backlog is full.
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("a valid address")).expect("a free port");
    scheduler.discovery = socket.listen(0).expect("the socket listens");
    let address = scheduler.discovery.local_addr().expect("a bound listener");
    let _filler = TcpStream::connect(address).await.expect("the backlog accepts one connection");
    let started = Instant::now();
    scheduler.start_endpoint_watcher(json!([]));
    // Advances the runtime's paused clock by less than the pause before the next call to discovery. No real
    // time passes.
    let advance = || sleep(Duration::from_millis(25));
    while pending_dials(address).is_empty() {
        advance().await;
    }
    // Other dials may be pending too when the scheduler abandons the first dial, so the test looks for the
    // first one.
    let first = pending_dials(address).remove(0);
    while pending_dials(address).contains(&first) {
        advance().await;
    }
    scheduler.discovery.accept().await.expect("the connection that fills the backlog");
    let _next = scheduler.accept_call().await;
    assert!(started.elapsed() <= Duration::from_millis(3_500), "{:?} after the start", started.elapsed());
}

/// The call to discovery after a failed call must not wait for a change, since its answer shows that the
/// service is reachable again. If the scheduler subscribes while a watch is open, the watcher must not open a
/// second watch.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test(start_paused = true)]
async fn the_call_after_a_failure_waits_for_no_change_and_is_made_once() {
    let mut scheduler = TestScheduler::with_scheduler_count(1).await;
    scheduler.start_endpoint_watcher(json!([]));
    let (mut connection, _) = scheduler.accept_call().await;
    reject_call(&mut connection).await;
    let (mut connection, target) = scheduler.accept_call().await;
    assert_eq!(target, "/registry/instances?index=1&wait=0");
    scheduler.send_discovery_request(DiscoveryRequest::Subscribe);
    scheduler.send_discovery_request(DiscoveryRequest::Fetch);
    let (_fetch, target) = scheduler.accept_call().await;
    assert_eq!(target, "/registry/instances", "the subscription opened a second watch");
    answer_changes(&mut connection, 2, json!([])).await;
    let target = connection.read().await.expect("the watch continues").target().to_string();
    assert!(target.contains("index=2&wait=") && !target.ends_with("wait=0"), "{target}");
}

/// A truncated document from discovery must not count as an answer. If every document were truncated and
/// hundreds of schedulers called again at once each time, the discovery service would not recover.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test(start_paused = true)]
async fn polls_that_return_truncated_documents_back_off() {
    let mut scheduler = TestScheduler::with_scheduler_count(300).await;
    scheduler.start_endpoint_watcher(json!([]));
    let entries = json!([instance("s-a", unused_address()), {"instanceId": "s-b"}]);
    let document = json!({"generation": 2, "instances": entries, "reset": false}).to_string();
    let (mut connection, _) = scheduler.accept_call().await;
    for pause_ms in [0, 0, 1_000, 1_000] {
        let truncated_at = Instant::now();
        answer_part_and_close(connection, &document, "s-b").await;
        (connection, _) = scheduler.accept_call().await;
        let waited = truncated_at.elapsed();
        assert!(
            waited >= Duration::from_millis(pause_ms),
            "the next call followed {waited:?} after a truncated document"
        );
    }
    assert_eq!(scheduler.listed_workers(), [("s-a".into(), InstanceState::Up)]);
}
