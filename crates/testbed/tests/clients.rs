//! Tests the clients of a load: the headers of their requests, and their retries.
#![allow(missing_docs)]

use rstest::rstest;
use std::time::Duration;
use tokio::net::TcpListener;
use vetchbridge_testbed::arrivals::{Arrivals, ClassLoad, Idempotency, LoadSpec, TenantLoad};
use vetchbridge_testbed::client::{Clients, Outcome};
use vetchbridge_testbed::wire::{HttpConnection, Message};

/// Time limit for one test.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Returns a load of one class. With `optional_headers`, the jobs have a tenant and hints, and retries are
/// marked.
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
        max_retries: 1,
        retry_delay: Duration::ZERO,
    }
}

#[rstest]
#[case::every_optional_header(true, 2)]
#[case::no_optional_header(false, 1)]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn clients_send_the_headers_of_their_load_and_retry_as_often_as_configured(
    #[case] optional_headers: bool,
    #[case] slots: usize,
) {
    let spec = load(optional_headers, slots);
    let scheduler = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    // The load ends before its second job is due.
    let load_duration =
        Arrivals::new(&spec).expect("the load is valid").nth(1).expect("arrivals are endless").at;
    let clients = Clients::new(spec, vec![scheduler.local_addr().expect("the listener is bound")])
        .expect("the load is valid");
    let (_stop, stopped) = tokio::sync::watch::channel(false);
    let scheduler_side = async {
        let (stream, _) = scheduler.accept().await.expect("a client connects");
        let mut connection = HttpConnection::new(stream);
        let first = connection.read().await.expect("a job arrives");
        // The client must ignore this `Retry-After`: waiting for this time would exceed the time limit of the
        // test.
        connection.answer(503, "retry-after: 3000\r\n", "").await.expect("the answer is sent");
        (first, connection.read().await.expect("the job is retried"), connection)
    };
    let jobs = clients.run(tokio::time::Instant::now(), load_duration, stopped, |_| {});
    let load_task = tokio::spawn(jobs);
    let (first, retry, mut connection) = scheduler_side.await;
    let headers = ["x-customer", "x-size-hint", "x-props", "idempotency-key", "x-second-try"];
    let header_values = |message: &Message| headers.map(|name| message.header(name).map(str::to_string));
    let optional = |value: &str| optional_headers.then(|| value.to_string());
    let (hint, props) = (optional("3000"), optional("slots=2"));
    assert_eq!(header_values(&first), [optional("t"), hint.clone(), props.clone(), None, None]);
    assert_eq!(header_values(&retry), [optional("t"), hint, props, None, optional("1")]);
    assert_eq!(first.text(), if optional_headers { "work_us=3000 slots=2" } else { "work_us=3000" });
    connection.answer(500, "", "").await.expect("the answer is sent");
    drop((connection, scheduler));
    let record = load_task.await.expect("the load ends").expect("the load is valid");
    let outcomes: Vec<_> = record.jobs[0].attempts.iter().map(|attempt| attempt.outcome.clone()).collect();
    assert_eq!(outcomes, [Outcome::Rejected, Outcome::Failed(500)]);
}
