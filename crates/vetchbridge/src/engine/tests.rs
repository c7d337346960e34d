//! Tests of the engine with an upstream group and a scripted worker. They are unit tests, since the functions
//! of the engine that execute actions are private.

use super::*;
use crate::config::{file, read_text};
use crate::workers::{worker_id, WorkerEndpoint};
use std::time::Duration;
use tokio::net::TcpListener;
use vetchbridge_scheduling::{EndpointState, EndpointUpdate, Outcome};
use vetchbridge_testbed::wire::HttpConnection;

const MINUTE: Duration = Duration::from_secs(60);

/// A probe that the scheduler requests reaches the worker, and the resulting event names the worker and the
/// outcome.
#[tokio::test]
async fn a_probe_is_sent_to_its_worker_and_its_outcome_returned() {
    let text = toml::to_string(&file::example()).expect("TOML");
    let settings = read_text("test", &text).expect("a configuration").config.settings_snapshot.settings;
    let scheduler = Scheduler::new(settings, 1).expect("valid settings");
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let upstream = Arc::new(UpstreamGroup::new(MINUTE, MINUTE, 1));
    let worker_id = worker_id("s-0");
    let address = listener.local_addr().expect("bound").to_string();
    let entry = WorkerEndpoint {
        worker_id,
        name: "s-0",
        address: &address,
        state: EndpointState::Ready,
        started_at: 0,
    };
    upstream.apply_endpoints(EndpointUpdate::Changes, [entry].into_iter());
    let engine = Engine::new(scheduler, upstream, unbounded_channel().0, unbounded_channel().0);

    engine.execute(&mut engine.lock_state(), Action::Probe(worker_id));
    let mut worker = HttpConnection::new(listener.accept().await.expect("a connection").0);
    assert_eq!(worker.read().await.expect("a probe").start_line, "GET /stats HTTP/1.1");

    // The first probe is in flight and holds the only permit, so a second probe is not sent.
    let event = engine.probe(worker_id).await;
    let Event::Probed { worker, outcome, load, .. } = event else { panic!("{event:?}") };
    assert_eq!((worker, outcome, load), (worker_id, Outcome::NotSent, None));
}

/// Timers fire in the order of their times, whatever the order in which they were set. Timers with equal
/// times fire in the order of their token numbers.
#[test]
fn timers_fire_in_the_order_of_their_times() {
    let mut timers = TimerQueue::default();
    let set = [(30, 1), (10, 9), (20, 2), (10, 3)];
    let became_first = set.map(|(at, token)| timers.add(at, TimerToken(token)));
    assert_eq!(became_first, [true, true, false, false]);
    assert_eq!(timers.next_at(), Some(10));
    let fired: Vec<u64> = std::iter::from_fn(|| timers.pop()).map(|token| token.0).collect();
    assert_eq!(fired, [3, 9, 2, 1]);
}
