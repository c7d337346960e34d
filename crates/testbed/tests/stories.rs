//! The stand-ins by themselves: each does on sockets what it is told to, so that a story about a scheduler can lean
//! on it.
#![allow(missing_docs)]

use rstest::rstest;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use vetchbridge_testbed::arrivals::{Arrivals, ClassLoad, Idempotency, LoadSpec, TenantLoad};
use vetchbridge_testbed::client::{Clients, Outcome};
use vetchbridge_testbed::discovery::{Discovery, Health};
use vetchbridge_testbed::load_balancer::LoadBalancer;
use vetchbridge_testbed::runs::{result, RunEnd, Runs};
use vetchbridge_testbed::stats::{Field, StatsSpec};
use vetchbridge_testbed::wire::{Message, Wire};
use vetchbridge_testbed::worker::{Act, ProbeAct, ProbeSpec, Worker, WorkerSpec};

const HANG: Duration = Duration::from_secs(60);

/// A scheduler that a story speaks for, and one worker that calls it back.
struct Stage {
    callbacks: TcpListener,
    worker: Worker,
    runs: Runs,
}

impl Stage {
    async fn set(spec: WorkerSpec) -> Stage {
        let callbacks = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let runs = Runs::default();
        let to = callbacks.local_addr().expect("bound");
        let worker = Worker::start(spec, runs.clone(), &[to]).await.expect("a worker");
        Stage { callbacks, worker, runs }
    }

    fn address(&self) -> SocketAddr {
        self.worker.addresses()[0]
    }

    async fn send(&self, id: u64, headers: &str, body: &str) -> Wire {
        let mut wire = Wire::dial(self.address()).await.expect("it listens");
        wire.post("/c/k", &format!("x-trace-id: {id:016x}\r\n{headers}"), body).await.expect("sent");
        wire
    }

    /// The next callback, answered.
    async fn told(&self) -> Message {
        let (stream, _) = self.callbacks.accept().await.expect("a callback");
        let mut wire = Wire::new(stream);
        let call = wire.read().await.expect("a call");
        wire.answer(200, "connection: close\r\n", "").await.expect("answered");
        call
    }

    async fn told_state(&self) -> String {
        let call: serde_json::Value = serde_json::from_slice(&self.told().await.body).expect("JSON");
        call["state"].as_str().expect("a state").to_string()
    }
}

#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn a_worker_runs_a_job_and_tells_its_result_until_it_is_heard() {
    let stage = Stage::set(WorkerSpec::new("s-0")).await;
    let mut wire = stage.send(0xab, "", "").await;
    assert_eq!(wire.read().await.expect("an answer").status(), "202");
    // The first telling goes unheard.
    drop(stage.callbacks.accept().await.expect("a callback"));
    assert_eq!(stage.told_state().await, "started");
    let done: serde_json::Value = serde_json::from_slice(&stage.told().await.body).expect("JSON");
    assert_eq!((done["state"].as_str(), done["result"].as_str()), (Some("done"), Some(&*result(0xab, 0))));
    assert_eq!(stage.runs.all()[0].end, RunEnd::Finished);
}

#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn a_worker_that_refuses_or_drains_takes_nothing_and_hands_back_what_waits() {
    let spec =
        WorkerSpec { slots: 1, reports_start: false, progress: Duration::ZERO, ..WorkerSpec::new("s-0") };
    let stage = Stage::set(spec).await;
    let turned_away = async |id| {
        let answer = stage.send(id, "", "").await.read().await.expect("an answer");
        assert_eq!((answer.status(), answer.header("x-never-ran")), ("503", Some("1")));
    };
    stage.worker.refuse(true);
    turned_away(1).await;
    stage.worker.refuse(false);
    for (id, work) in [(2, "work_us=600000000"), (3, "")] {
        assert_eq!(stage.send(id, "", work).await.read().await.expect("an answer").status(), "202");
    }
    stage.worker.drain();
    // The first word at all: what runs goes on, and this worker does not tell of starts.
    assert_eq!(stage.told_state().await, "returned");
    turned_away(4).await;
}

/// Work of any odd length comes to its end: a rest below the clock's grain once kept its slot for good.
#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn work_of_any_length_ends() {
    let stage = Stage::set(WorkerSpec { speed: 1.7, ..WorkerSpec::new("s-0") }).await;
    for work in [1, 333, 50_001, 100_003] {
        stage.send(work, "", &format!("work_us={work}")).await.read().await.expect("an answer");
        assert_eq!(
            (stage.told_state().await.as_str(), stage.told_state().await.as_str()),
            ("started", "done")
        );
    }
}

#[rstest]
#[case::refuse(Act::Answer { status: 503, never_ran: true }, Some("503"), &[])]
#[case::mute(Act::Mute, None, &[])]
#[case::cut_in_body(Act::CutInBody, None, &[])]
#[case::cut(Act::CutBeforeAnswer, None, &[])]
#[case::half(Act::HalfAnswer, None, &[])]
#[case::lose(Act::Lose, Some("202"), &["started", "lost"])]
#[case::fail(Act::Fail, Some("202"), &["started", "failed"])]
#[case::hand_back(Act::HandBack, Some("202"), &["returned"])]
#[case::forget(Act::Forget, Some("202"), &[])]
#[case::pieces(Act::Pieces, Some("202"), &["started", "done"])]
#[case::repeat(Act::Repeat(3), Some("202"), &["started", "done", "done", "done"])]
#[timeout(HANG)]
#[tokio::test]
async fn a_worker_misbehaves_once_as_it_is_told(
    #[case] act: Act,
    #[case] answer: Option<&str>,
    #[case] words: &[&str],
) {
    let stage = Stage::set(WorkerSpec::new("s-0")).await;
    let mute = act == Act::Mute;
    stage.worker.next([act]);
    let mut wire = stage.send(1, "", "").await;
    if mute {
        tokio::io::AsyncWriteExt::shutdown(wire.socket()).await.expect("closed");
    }
    assert_eq!(wire.read().await.as_ref().map(Message::status), answer);
    for word in words {
        assert_eq!(stage.told_state().await, *word);
    }
    let mut wire = stage.send(2, "", "").await;
    assert_eq!(wire.read().await.expect("the next is served").status(), "202");
}

#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn a_full_worker_turns_away_unseen_and_a_repeat_of_a_key_runs_once() {
    let stage =
        Stage::set(WorkerSpec { slots: 1, queue: 1, progress: Duration::ZERO, ..WorkerSpec::new("s-0") })
            .await;
    let key = "idempotency-key: k\r\n";
    // Longer than this story: it ends with its worker.
    let mut running = stage.send(1, key, "work_us=600000000").await;
    assert_eq!(running.read().await.expect("an answer").status(), "202");
    assert_eq!(stage.told_state().await, "started");
    let mut waiting = stage.send(2, key, "").await;
    assert_eq!(waiting.read().await.expect("an answer").status(), "202");
    let full = stage.send(3, "", "").await.read().await.expect("an answer");
    assert_eq!((full.status(), full.header("x-never-ran")), ("503", Some("1")));
    running.write("DELETE /jobs/0000000000000001 HTTP/1.1\r\n\r\n").await.expect("sent");
    assert_eq!(running.read().await.expect("an answer").status(), "200");
    // The run broke off, so the repeat that waited begins it again.
    assert_eq!(stage.told_state().await, "started");
    assert_eq!(stage.told_state().await, "done");
    stage.send(4, key, "").await.read().await.expect("an answer");
    assert_eq!(stage.told_state().await, "done");
    assert_eq!(
        stage.runs.all().iter().map(|run| run.end).collect::<Vec<_>>(),
        [RunEnd::Cancelled, RunEnd::Finished]
    );
}

#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn a_dead_worker_resets_refuses_and_comes_back_cold_at_its_port() {
    let stage = Stage::set(WorkerSpec { progress: Duration::ZERO, ..WorkerSpec::new("s-0") }).await;
    let mut wire = stage.send(1, "", "work_us=600000000").await;
    assert_eq!(wire.read().await.expect("an answer").status(), "202");
    assert_eq!(stage.told_state().await, "started");
    stage.worker.kill(true).await;
    assert_eq!(stage.told_state().await, "lost");
    assert_eq!(stage.runs.all()[0].end, RunEnd::Lost);
    assert!(wire.read().await.is_none());
    assert!(Wire::dial(stage.address()).await.is_err());
    stage.worker.restart().expect("the port is still its own");
    assert!(stage.worker.started_at_ms() > 0);
    assert_eq!(stage.send(2, "", "").await.read().await.expect("an answer").status(), "202");
}

#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn discovery_tells_changes_by_version_and_fails_as_told() {
    let discovery = Discovery::start(1).await.expect("a service");
    let worker = Worker::start(WorkerSpec::new("s-0"), Runs::default(), &[discovery.address(0)])
        .await
        .expect("a worker");
    let mut wire = Wire::dial(discovery.address(0)).await.expect("it listens");
    let mut ask = async |target: &str| -> serde_json::Value {
        wire.write(&format!("GET {target} HTTP/1.1\r\nhost: x\r\n\r\n")).await.expect("sent");
        serde_json::from_slice(&wire.read().await.expect("an answer").body).unwrap_or_default()
    };
    let list = ask("/registry/instances").await;
    assert_eq!((list["reset"].as_bool(), list["instances"].as_array().map(Vec::len)), (Some(true), Some(0)));
    let watch = format!("/registry/instances?index={}&wait=60000", list["generation"]);
    discovery.up(&worker);
    let news = ask(&watch).await;
    assert_eq!(news["reset"].as_bool(), Some(false));
    assert_eq!(news["instances"][0]["hostPort"], worker.addresses()[0].to_string());
    // A watch that waits is ended by an outage.
    let watch = format!("/registry/instances?index={}&wait=60000", news["generation"]);
    let (failed, ()) = tokio::join!(ask(&watch), async { discovery.set_health(Health::Failing) });
    assert!(failed.is_null());
    discovery.set_health(Health::Up);
    discovery.remove(&worker);
    assert_eq!(ask(&watch).await["instances"][0]["lifecycle"], "removed");
    let old = discovery.address(0);
    let new = discovery.move_to_new_port(0).expect("another port");
    assert_ne!(old, new);
    Wire::dial(new).await.expect("it listens there");
}

#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn discovery_falls_silent_breaks_off_and_learns_late_as_told() {
    let discovery = Discovery::start(1).await.expect("a service");
    let worker = Worker::start(WorkerSpec::new("s-0"), Runs::default(), &[discovery.address(0)])
        .await
        .expect("a worker");
    let call = async |target: &str| {
        let mut wire = Wire::dial(discovery.address(0)).await.expect("it listens");
        wire.write(&format!("GET {target} HTTP/1.1\r\nhost: x\r\n\r\n")).await.expect("sent");
        // A silent one says nothing to the end; the caller ends it.
        tokio::io::AsyncWriteExt::shutdown(wire.socket()).await.expect("closed");
        wire.read().await.map(|answer| answer.text())
    };
    for health in [Health::Mute, Health::Truncating, Health::Resetting] {
        discovery.set_health(health);
        assert_eq!(call("/registry/instances").await, None, "{health:?}");
    }
    discovery.set_health(Health::Up);
    discovery.set_update_delay(Duration::from_secs(2));
    discovery.up(&worker);
    let list = call("/registry/instances").await.expect("a list");
    assert!(!list.contains("s-0"), "not yet: {list}");
    let news = call("/registry/instances?index=1&wait=60000").await.expect("news");
    assert!(news.contains("s-0"), "{news}");
}

/// A callback may overtake the 202, be unreadable, or come late from a slow worker.
#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn a_worker_tells_out_of_turn_garbled_or_slowly_as_it_is_told() {
    let stage = Stage::set(WorkerSpec { progress: Duration::ZERO, ..WorkerSpec::new("s-0") }).await;
    stage.worker.next([Act::Overtake, Act::Garble]);
    let mut wire = stage.send(1, "", "").await;
    assert_eq!((stage.told_state().await, stage.told_state().await), ("started".into(), "done".into()));
    assert_eq!(wire.read().await.expect("after its words").status(), "202");
    let mut wire = stage.send(2, "", "").await;
    assert_eq!(wire.read().await.expect("an answer").status(), "202");
    assert!(serde_json::from_slice::<serde_json::Value>(&stage.told().await.body).is_err());
    assert_eq!((stage.told_state().await, stage.told_state().await), ("started".into(), "done".into()));
    stage.worker.slow(10.0);
    let began = std::time::Instant::now();
    let mut wire = stage.send(3, "", "work_us=20000").await;
    wire.read().await.expect("an answer");
    assert_eq!((stage.told_state().await, stage.told_state().await), ("started".into(), "done".into()));
    assert!(began.elapsed() >= Duration::from_millis(190), "{:?}", began.elapsed());
}

#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn a_load_balancer_uses_ready_schedulers_and_detects_a_dead_one_after_a_delay() {
    let ready = Arc::new(AtomicBool::new(true));
    let says = ready.clone();
    let scheduler = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let dead = vetchbridge_testbed::Port::reserve().expect("a port");
    let notice = Duration::from_millis(300);
    let balancer = LoadBalancer::start(&[dead.address(), scheduler.local_addr().expect("bound")], notice)
        .await
        .expect("a front");
    let serving = vetchbridge_testbed::Owned::spawn(async move {
        loop {
            let (stream, _) = scheduler.accept().await.expect("a connection");
            let says = says.clone();
            tokio::spawn(async move {
                let mut wire = Wire::new(stream);
                while wire.read().await.is_some() {
                    let status = if says.load(Ordering::Relaxed) { 200 } else { 503 };
                    wire.answer(status, "", "ok").await.expect("answered");
                }
            });
        }
    });
    while balancer.ready_schedulers() == 0 {
        tokio::task::yield_now().await;
    }
    for _ in 0..3 {
        let mut client = Wire::dial(balancer.address()).await.expect("it listens");
        client.post("/c/k", "", "").await.expect("sent");
        assert_eq!(client.read().await.expect("an answer").text(), "ok");
    }
    // One that says no is left alone at once, and taken in again.
    for wanted in [false, true] {
        ready.store(wanted, Ordering::Relaxed);
        while (balancer.ready_schedulers() > 0) != wanted {
            tokio::task::yield_now().await;
        }
    }
    drop(serving);
    while balancer.ready_schedulers() > 0 {
        tokio::task::yield_now().await;
    }
    let mut client = Wire::dial(balancer.address()).await.expect("it listens");
    assert!(client.read().await.is_none(), "nobody is left to deal to");
}

fn stats(in_answers: bool) -> StatsSpec {
    let fields = vec![Field::Inflight, Field::Queue, Field::X0];
    StatsSpec { fields, refresh_interval: Duration::ZERO, delay: Duration::ZERO, in_answers }
}

async fn get(wire: &mut Wire, target: &str) -> Option<Message> {
    wire.write(&format!("GET {target} HTTP/1.1\r\nhost: x\r\n\r\n")).await.expect("sent");
    wire.read().await
}

/// Works longer than any story: it ends with its worker, or is called off.
const LONG: &str = "work_us=600000000";

#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn a_worker_that_may_be_probed_tells_its_load_and_another_knows_no_such_call() {
    let probes = Some(ProbeSpec { deep: false, work: Duration::ZERO });
    let spec = WorkerSpec { slots: 1, stats: Some(stats(false)), probes, ..WorkerSpec::new("s-0") };
    let stage = Stage::set(spec).await;
    let mut wire = stage.send(1, "", LONG).await;
    wire.read().await.expect("an answer");
    assert_eq!(stage.told_state().await, "started");
    let post =
        format!("POST /c/k HTTP/1.1\r\nhost: x\r\nx-trace-id: {:016x}\r\ncontent-length: 0\r\n\r\n", 2);
    wire.write(&post).await.expect("sent");
    wire.read().await.expect("an answer");
    let load = get(&mut wire, "/stats").await.expect("an answer");
    assert_eq!((load.status(), &*load.text()), ("200", r#"{"inflight":2,"queue":1,"x0":0}"#));
    let live = get(&mut wire, "/health/live").await.expect("an answer");
    assert_eq!((live.status(), &*live.text()), ("200", ""));
    assert_eq!((stage.runs.probes(), stage.runs.counts().arrived), (2, 2));

    let stage = Stage::set(WorkerSpec { stats: Some(stats(true)), ..WorkerSpec::new("s-0") }).await;
    stage.worker.next([Act::Mute]);
    let mut wire = Wire::dial(stage.address()).await.expect("it listens");
    for target in ["/stats", "/health/live", "/jobs/1"] {
        let answer = get(&mut wire, target).await.expect("an answer");
        assert_eq!((answer.status(), &*answer.text()), ("404", ""), "{target}");
    }
    assert_eq!(stage.runs.probes(), 0);
}

#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn a_deep_probe_waits_its_turn_and_is_turned_away_where_a_request_would_be() {
    let probes = Some(ProbeSpec { deep: true, work: Duration::from_millis(2) });
    let spec = WorkerSpec { slots: 1, queue: 1, stats: Some(stats(false)), probes, ..WorkerSpec::new("s-0") };
    let stage = Stage::set(spec).await;
    let mut running = stage.send(1, "", LONG).await;
    running.read().await.expect("an answer");
    assert_eq!(stage.told_state().await, "started");
    let mut probe = Wire::dial(stage.address()).await.expect("it listens");
    probe.write("GET /stats HTTP/1.1\r\nhost: x\r\n\r\n").await.expect("sent");
    running.write("DELETE /jobs/1 HTTP/1.1\r\nhost: x\r\n\r\n").await.expect("sent");
    assert_eq!(running.read().await.expect("an answer").status(), "200");
    assert_eq!(probe.read().await.expect("once the slot is free").status(), "200");
    stage.send(2, "", LONG).await.read().await.expect("an answer");
    assert_eq!(stage.told_state().await, "started");
    // The connection's next message is read once the job stands in the queue.
    let mut waiting = stage.send(3, "", LONG).await;
    waiting.read().await.expect("an answer");
    assert_eq!(get(&mut waiting, "/stats").await.expect("no room").status(), "503");
}

#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn a_probe_is_answered_late_lost_cut_or_refused_as_it_is_told() {
    let probes = Some(ProbeSpec { deep: false, work: Duration::ZERO });
    let stage = Stage::set(WorkerSpec { probes, ..WorkerSpec::new("s-0") }).await;
    let late = Duration::from_millis(50);
    stage.worker.next_probes([ProbeAct::Late(late), ProbeAct::Refuse, ProbeAct::Mute, ProbeAct::Cut]);
    let mut wire = Wire::dial(stage.address()).await.expect("it listens");
    let began = std::time::Instant::now();
    assert_eq!(get(&mut wire, "/health/live").await.expect("late").status(), "200");
    assert!(began.elapsed() >= late);
    assert_eq!(get(&mut wire, "/health/live").await.expect("refused").status(), "503");
    wire.write("GET /health/live HTTP/1.1\r\nhost: x\r\n\r\n").await.expect("sent");
    tokio::io::AsyncWriteExt::shutdown(wire.socket()).await.expect("closed");
    assert!(wire.read().await.is_none(), "lost");
    let mut wire = Wire::dial(stage.address()).await.expect("it listens");
    assert!(get(&mut wire, "/health/live").await.is_none(), "cut");
    let mut wire = Wire::dial(stage.address()).await.expect("it listens");
    assert_eq!(get(&mut wire, "/health/live").await.expect("as ever").status(), "200");
}

#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn what_ends_an_attempt_carries_the_load_where_workers_tell_it_so() {
    let spec = WorkerSpec {
        slots: 1,
        queue: 0,
        reports_start: false,
        stats: Some(stats(true)),
        ..WorkerSpec::new("s-0")
    };
    let stage = Stage::set(spec).await;
    stage.send(1, "", "").await.read().await.expect("an answer");
    let done: serde_json::Value = serde_json::from_slice(&stage.told().await.body).expect("JSON");
    assert_eq!(done["load"], serde_json::json!({"inflight": 0, "queue": 0, "x0": 1}), "{done}");
    stage.worker.refuse(true);
    let away = stage.send(2, "", "").await.read().await.expect("an answer");
    assert_eq!(away.header("endpoint-load-metrics"), Some("TEXT inflight=0, queue=0, x0=1"));
    let quiet = Stage::set(WorkerSpec { stats: Some(stats(false)), ..WorkerSpec::new("s-0") }).await;
    quiet.worker.refuse(true);
    let away = quiet.send(2, "", "").await.read().await.expect("an answer");
    assert_eq!(away.header("endpoint-load-metrics"), None);
}

/// Whose job it is, how much work it may be and what it takes: as clients say it. Refused, they come back once.
#[rstest]
#[case::all_that_may_be_said(Some("x-customer: t"), 2)]
#[case::as_little_as_may_be(None, 1)]
#[timeout(HANG)]
#[tokio::test]
async fn clients_say_what_their_load_has_and_come_back_once(
    #[case] tenant: Option<&str>,
    #[case] slots: usize,
) {
    let said = tenant.is_some();
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
    let tenants = said.then(|| TenantLoad { name: "t".to_string(), share: 1.0 });
    let spec = LoadSpec {
        seed: 1,
        rate: 1000.0,
        classes: vec![class],
        tenants: tenants.into_iter().collect(),
        hints: said.then_some(0.0),
        honors_retry_after: 0.0,
        marks_retries: said,
        retries: 1,
        pause: Duration::ZERO,
    };
    let scheduler = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    // So long that there is one job and no second.
    let first_only = Arrivals::new(&spec).expect("a load").nth(1).expect("endless").at;
    let clients = Clients::new(spec, vec![scheduler.local_addr().expect("bound")]).expect("a load");
    let (_stop, stopped) = tokio::sync::watch::channel(false);
    let serving = async {
        let (stream, _) = scheduler.accept().await.expect("a client");
        let mut wire = Wire::new(stream);
        let heard = wire.read().await.expect("a job");
        // Not heeded: a story that waited so long would hang.
        wire.answer(503, "retry-after: 3000\r\n", "").await.expect("answered");
        (heard, wire.read().await.expect("its second try"), wire)
    };
    let jobs = clients.run(tokio::time::Instant::now(), first_only, stopped, |_| {});
    let loading = tokio::spawn(jobs);
    let (first, second, mut wire) = serving.await;
    let headers = ["x-customer", "x-size-hint", "x-props", "idempotency-key", "x-second-try"];
    let told = |message: &Message| headers.map(|name| message.header(name).map(str::to_string));
    let text = |text: &str| said.then(|| text.to_string());
    let (hint, props) = (text("3000"), text("slots=2"));
    assert_eq!(told(&first), [text("t"), hint.clone(), props.clone(), None, None]);
    assert_eq!(told(&second), [text("t"), hint, props, None, text("1")]);
    assert_eq!(first.text(), if said { "work_us=3000 slots=2" } else { "work_us=3000" });
    wire.answer(500, "", "").await.expect("answered");
    drop((wire, scheduler));
    let record = loading.await.expect("it ends").expect("a load");
    let ends: Vec<_> = record.jobs[0].attempts.iter().map(|one| one.outcome.clone()).collect();
    assert_eq!(ends, [Outcome::Rejected, Outcome::Failed(500)]);
}
