//! Clients: the headers of their requests, and their retries.
#![allow(missing_docs)]

use rstest::rstest;
use std::time::Duration;
use tokio::net::TcpListener;
use vetchbridge_testbed::arrivals::{Arrivals, ClassLoad, Idempotency, LoadSpec, TenantLoad};
use vetchbridge_testbed::client::{Clients, Outcome};
use vetchbridge_testbed::wire::{Message, Wire};

/// How long a test may take.
const HANG: Duration = Duration::from_secs(60);

/// A load of one class, with a tenant, hints and marked retries only with `optional_headers`.
fn load(optional_headers: bool, slots: usize) -> LoadSpec {
    let class = ClassLoad {
        name: "c".to_string(),
        share: 1.0,
        priority_weight: 1.0,
        work: Duration::from_millis(3),
        spread: 0.0,
        latency_objective: Duration::from_secs(60),
        objective_per_work: 0.0,
        deadline: Duration::from_secs(60),
        idempotency: Idempotency::NonIdempotent,
        objects: 1,
        zipf: 0.0,
        slots,
    };
    let tenant = TenantLoad { name: "t".to_string(), share: 1.0 };
    LoadSpec {
        seed: 1,
        rate: 1000.0,
        classes: vec![class],
        tenants: if optional_headers { vec![tenant] } else { Vec::new() },
        hint_spread: optional_headers.then_some(0.0),
        retry_after_share: 0.0,
        marks_retries: optional_headers,
        retries: 1,
        pause: Duration::ZERO,
    }
}

#[rstest]
#[case::every_optional_header(true, 2)]
#[case::no_optional_header(false, 1)]
#[timeout(HANG)]
#[tokio::test]
async fn clients_send_the_headers_of_their_load_and_retry_as_often_as_configured(
    #[case] optional_headers: bool,
    #[case] slots: usize,
) {
    let spec = load(optional_headers, slots);
    let scheduler = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    // The load ends before its second job.
    let first_only = Arrivals::new(&spec).expect("a load").nth(1).expect("endless").at;
    let clients = Clients::new(spec, vec![scheduler.local_addr().expect("bound")]).expect("a load");
    let (_stop, stopped) = tokio::sync::watch::channel(false);
    let serving = async {
        let (stream, _) = scheduler.accept().await.expect("a client");
        let mut wire = Wire::new(stream);
        let first = wire.read().await.expect("a job");
        // Not honored: a client that waited so long would exceed the time of the test.
        wire.answer(503, "retry-after: 3000\r\n", "").await.expect("answered");
        (first, wire.read().await.expect("its retry"), wire)
    };
    let jobs = clients.run(tokio::time::Instant::now(), first_only, stopped, |_| {});
    let loading = tokio::spawn(jobs);
    let (first, retry, mut wire) = serving.await;
    let headers = ["x-customer", "x-size-hint", "x-props", "idempotency-key", "x-second-try"];
    let values = |message: &Message| headers.map(|name| message.header(name).map(str::to_string));
    let text = |text: &str| optional_headers.then(|| text.to_string());
    let (hint, props) = (text("3000"), text("slots=2"));
    assert_eq!(values(&first), [text("t"), hint.clone(), props.clone(), None, None]);
    assert_eq!(values(&retry), [text("t"), hint, props, None, text("1")]);
    assert_eq!(first.text(), if optional_headers { "work_us=3000 slots=2" } else { "work_us=3000" });
    wire.answer(500, "", "").await.expect("answered");
    drop((wire, scheduler));
    let record = loading.await.expect("it ends").expect("a load");
    let outcomes: Vec<_> = record.jobs[0].attempts.iter().map(|attempt| attempt.outcome.clone()).collect();
    assert_eq!(outcomes, [Outcome::Rejected, Outcome::Failed(500)]);
}
