//! The module with the parts of the daemon that carry for it, in one process: what a story over the whole daemon can't show,
//! since the time would have to pass, or the kernel would take a whole body that a client may send. No bench is needed.
#![allow(missing_docs)]

use bytes::Bytes;
use hyper::http::uri::PathAndQuery;
use rstest::rstest;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;
use tokio::time::{timeout, Instant};
use vetchbridge::config::read_text;
use vetchbridge::discovery::document::{EndpointSource, InstanceState};
use vetchbridge::discovery::endpoint_list::EndpointList;
use vetchbridge::discovery::request::DiscoveryRequest;
use vetchbridge::discovery::watcher::{EndpointWatcher, InitialEndpoints};
use vetchbridge::engine::Engine;
use vetchbridge::request::{submit, Answer, Job};
use vetchbridge::snapshot::{CurrentSettings, Snapshot};
use vetchbridge::upgrade::process_links::ProcessLinks;
use vetchbridge::workers::{parse_request_id, Callback, Payload, UpstreamGroup};
use vetchbridge_scheduling::interface::*;
use vetchbridge_scheduling::scheduler::Scheduler;
use vetchbridge_testbed::wire::Wire;

/// The seed of the module's random numbers where none is named.
const SEED: u64 = 0x5eed;
/// A story that stands still fails.
const HANG: Duration = Duration::from_secs(60);

/// A scheduler that has not called discovery again by then is not going to.
const LONGEST_PAUSE: Duration = Duration::from_secs(10);

/// One of so many schedulers, its list from a scripted discovery.
struct Parts {
    engine: Arc<Engine>,
    upstream: Arc<UpstreamGroup>,
    current: Arc<CurrentSettings>,
    asks: Option<UnboundedReceiver<DiscoveryRequest>>,
    discovery: TcpListener,
    endpoint_list: Arc<Mutex<EndpointList>>,
    ask: UnboundedSender<DiscoveryRequest>,
}

impl Parts {
    async fn of(schedulers: u32) -> Parts {
        Parts::following(schedulers, "ask").await
    }

    /// The list is asked for (`ask`) or pushed (`push`).
    async fn following(schedulers: u32, discovers: &str) -> Parts {
        Parts::set(0, schedulers, discovers, SEED).await
    }

    /// With this seed of the module's random numbers.
    async fn seeded(schedulers: u32, seed: u64) -> Parts {
        Parts::set(0, schedulers, "ask", seed).await
    }

    /// The scheduler of this number.
    async fn numbered(me: u32, schedulers: u32, discovers: &str) -> Parts {
        Parts::set(me, schedulers, discovers, SEED).await
    }

    async fn set(me: u32, schedulers: u32, discovers: &str, seed: u64) -> Parts {
        let discovery = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let class = json!({"name": "receipt", "repeat": "unsafe", "aim": 500_000, "deadline": 60_000_000});
        let document = json!({"name": "n0", "listen": "127.0.0.1:0", "seed": "5eed",
            "discovery": discovery.local_addr().expect("bound").to_string(),
            "settings": {"me": me, "balancers": schedulers, "areas": ["a"], "kinds": ["m"], "zone": 0, "tick": 4000,
                "discovery": discovers, "services": [class], "limits": {"max_attempts": 4, "may_cancel": true},
                "rules": {"stop_sending_within": 500_000, "start_capacity": 0.2, "cold": 24_000_000,
                          "tip_multiple": 2.5, "fall": 2_000_000}}});
        let config = read_text("parts", &document.to_string()).expect("it reads").config;
        let scheduler = Scheduler::new(config.snapshot.settings.clone(), seed).expect("sound settings");
        let upstream = Arc::new(UpstreamGroup::new(HANG, HANG, 1));
        let (asks, asked) = unbounded_channel();
        let engine = Engine::new(scheduler, upstream.clone(), asks.clone(), unbounded_channel().0);
        tokio::spawn(engine.clone().run_timers());
        Parts {
            engine,
            upstream,
            current: Arc::new(CurrentSettings::new(config.snapshot)),
            asks: Some(asked),
            discovery,
            endpoint_list: Arc::default(),
            ask: asks,
        }
    }

    /// Puts other settings in force.
    fn adopt(&self, settings: Settings) {
        let old = self.current.get();
        let (names, worker_idle_timeout, reports) = (old.names.clone(), old.worker_idle_timeout, old.reports);
        self.current.swap(Snapshot { settings, names, worker_idle_timeout, reports });
    }

    /// What a reload does that names the same discovery and lists that are asked for (`ask`) or pushed (`push`).
    fn reload(&self, discovers: &str) {
        let mut settings = self.current.get().settings.clone();
        settings.endpoint_delivery = match discovers {
            "push" => vetchbridge_scheduling::interface::EndpointDelivery::Push,
            _ => vetchbridge_scheduling::interface::EndpointDelivery::Poll,
        };
        self.adopt(settings.clone());
        self.engine.handle(Event::Settings(Box::new(settings)));
        let source = EndpointSource::Service(self.discovery.local_addr().expect("bound"));
        self.ask.send(DiscoveryRequest::Move(source)).expect("it is served");
    }

    /// The next connection that discovery gets, and the call on it.
    async fn call(&self) -> (Wire, String) {
        let mut wire = Wire::new(self.discovery.accept().await.expect("a call").0);
        let target = wire.read().await.expect("a call").target().to_string();
        (wire, target)
    }

    /// Answers the first call: the list is as it was. Returns the connection with the watch that follows.
    async fn confirm(&self) -> Wire {
        let (mut wire, _) = self.call().await;
        wire.answer(200, "", r#"{"generation":1,"reset":false,"instances":[]}"#).await.expect("it is read");
        wire.read().await.expect("the watch goes on");
        wire
    }

    /// Hands in a job of the one class, key `k`.
    fn submit(&self, id: &str, body: Bytes) -> oneshot::Receiver<Answer> {
        let request = Request {
            id: parse_request_id(id).expect("an id"),
            class: ClassId(0),
            tenant: TenantId(0),
            key: Some("k".to_string()),
            deadline: self.engine.clock.now() + 60_000_000,
            expected_work: None,
            slots: 1.0,
            retry: false,
        };
        let target = PathAndQuery::from_static("/receipt/k");
        let payload = Payload { id: id.to_string(), target, idempotency_key: None, body };
        let job = Job { request, payload, settings: self.current.get(), body_permit: None };
        submit(self.engine.clone(), self.upstream.clone(), Arc::new(ProcessLinks::default()), job)
    }

    /// The list as told: name and state of each worker.
    fn list(&self) -> Vec<(String, InstanceState)> {
        let (instances, _) = self.endpoint_list.lock().expect("no panic").snapshot();
        instances.into_iter().map(|instance| (instance.instance_id, instance.lifecycle)).collect()
    }

    /// Begins to follow the list, which is this one as last held.
    fn follow(&mut self, instances: Value) {
        let known = json!({"generation": 1, "reset": true, "instances": instances});
        let document = serde_json::from_value(known).expect("a list");
        let initial = InitialEndpoints { document, generation_valid: true, handed_over: false };
        let source = EndpointSource::Service(self.discovery.local_addr().expect("bound"));
        let endpoint_list = self.endpoint_list.clone();
        let (current, engine, upstream) = (self.current.clone(), self.engine.clone(), self.upstream.clone());
        let discovery = EndpointWatcher::start(source, current, initial, engine, upstream, endpoint_list);
        tokio::spawn(discovery.run(self.asks.take().expect("followed once")));
    }
}

fn instance(name: &str, address: SocketAddr) -> Value {
    json!({"instanceId": name, "hostPort": address.to_string(), "zone": "a", "machineType": "m", "lifecycle": "up"})
}

/// Resolves once everything has been read and acted on: a paused clock moves only when nothing is left to do.
async fn at_rest() {
    tokio::time::sleep(Duration::from_millis(1)).await;
}

/// The own ports of the connections to this address that have been asked for and have not come up.
fn dials(address: SocketAddr) -> Vec<String> {
    const SYN_SENT: &str = "02";
    let table = std::fs::read_to_string("/proc/net/tcp").expect("read");
    let port = format!(":{:04X}", address.port());
    let entries = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    let dials = entries.filter(|entry| entry.len() > 3 && entry[2].ends_with(&port) && entry[3] == SYN_SENT);
    dials.map(|entry| entry[1].to_string()).collect()
}

/// Answers with this list, and ends the connection within it, before `cut`.
async fn break_off(mut wire: Wire, list: &str, cut: &str) {
    let (begun, _) = list.split_once(cut).expect("it is in the list");
    let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{begun}", list.len());
    wire.write(&answer).await.expect("it is read");
}

/// Reads so many bytes more.
async fn take(stream: &mut TcpStream, bytes: usize) -> Vec<u8> {
    let mut taken = vec![0; bytes];
    stream.read_exact(&mut taken).await.expect("the daemon writes");
    taken
}

/// Whether a job that must not run twice goes on is a matter of its last byte alone: a connection that breaks before it was
/// written carried nothing that a worker may begin; one that breaks after it ends the job, which is not sent again.
#[rstest]
#[case::before(16 << 20, 1, true)]
#[case::after(4, 4, false)]
#[timeout(HANG)]
#[tokio::test]
async fn an_unsafe_job_goes_on_only_from_a_break_before_its_last_byte(
    #[case] length: usize,
    #[case] read: usize,
    #[case] goes_on: bool,
) {
    let mut parts = Parts::of(1).await;
    let (a, b) = (TcpListener::bind("127.0.0.1:0").await, TcpListener::bind("127.0.0.1:0").await);
    let (a, b) = (a.expect("a port"), b.expect("a port"));
    parts.follow(json!([instance("s-a", a.local_addr().unwrap()), instance("s-b", b.local_addr().unwrap())]));
    let _watch = parts.confirm().await;
    let id = "00000000000000ab";
    // No socket's buffers hold the long one.
    let mut answer = parts.submit(id, Bytes::from(vec![b'w'; length]));

    let accept = || async {
        let (accepted, name) =
            tokio::select! { to = a.accept() => (to, "s-a"), to = b.accept() => (to, "s-b") };
        let (mut stream, mut head) = (accepted.expect("a connection").0, Vec::new());
        while !head.ends_with(b"\r\n\r\n") {
            head.extend(take(&mut stream, 1).await);
        }
        assert!(String::from_utf8_lossy(&head).contains(id));
        (stream, name)
    };
    let (mut stream, first) = accept().await;
    take(&mut stream, read).await;
    Wire::new(stream).reset();
    if goes_on {
        let (mut stream, second) = accept().await;
        assert_ne!(first, second);
        take(&mut stream, length).await;
        Wire::new(stream).answer(202, "", "").await.expect("it is read");
        let done = json!({"id": id, "from": second, "state": "done", "result": "made"}).to_string();
        assert!(parts
            .upstream
            .dispatch_callback(&serde_json::from_str::<Callback>(&done).expect("a callback")));
        assert_eq!(answer.await.expect("an answer"), Answer::Served("made".into()));
    } else {
        tokio::select! {
            biased;
            _ = accept() => panic!("it was sent again"),
            answer = &mut answer => assert_eq!(answer.expect("an answer"), Answer::Failed),
        }
        // Its life has ended: there is nobody left to send it.
        while parts.engine.open_request_count() > 0 {
            tokio::task::yield_now().await;
        }
    }
}

/// That a job which must not run twice is sent once is for the module to see to, and for its life to see to again: where the
/// module sends it on after an attempt that may have run, as it does for a class that it takes for safe, nobody is dialled.
#[rstest]
#[case::unsafe_by_the_settings_that_it_was_taken_under(false)]
#[case::safe_by_both(true)]
#[timeout(HANG)]
#[tokio::test]
async fn an_unsafe_job_that_may_have_run_is_not_written_again_whatever_the_module_says(#[case] safe: bool) {
    let mut parts = Parts::of(1).await;
    let (a, b) = (TcpListener::bind("127.0.0.1:0").await, TcpListener::bind("127.0.0.1:0").await);
    let (a, b) = (a.expect("a port"), b.expect("a port"));
    parts.follow(json!([instance("s-a", a.local_addr().unwrap()), instance("s-b", b.local_addr().unwrap())]));
    let _watch = parts.confirm().await;
    let mut settings = parts.current.get().settings.clone();
    settings.classes[0].idempotency = Idempotency::Idempotent;
    parts.engine.handle(Event::Settings(Box::new(settings.clone())));
    if safe {
        parts.adopt(settings);
    }
    let mut answer = parts.submit("00000000000000ab", Bytes::from_static(b"work"));
    let (accepted, other) = tokio::select! { to = a.accept() => (to, &b), to = b.accept() => (to, &a) };
    let mut first = Wire::new(accepted.expect("a connection").0);
    first.read().await.expect("the job");
    first.answer(500, "", "").await.expect("it is read");
    let dialled = tokio::select! {
        biased;
        _ = other.accept() => true,
        answer = &mut answer => {
            assert!(!matches!(answer.expect("an answer"), Answer::Served(_)));
            false
        }
    };
    assert_eq!(dialled, safe);
}

/// One change answers the watches of all schedulers together, and then all fall silent together: they end apart, by scheduler
/// and by call, so that discovery is not called by all at once.
#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn the_watches_of_schedulers_that_were_answered_together_end_apart() {
    const SCHEDULERS: usize = 20;
    let mut all = Vec::new();
    for me in 0..SCHEDULERS as u32 {
        // A pushed list is watched at once; how long a call waits is the same for both.
        let mut parts = Parts::numbered(me, SCHEDULERS as u32, "push").await;
        parts.follow(json!([]));
        let (wire, _) = parts.call().await;
        all.push((wire, parts));
    }
    let mut before = vec![0; SCHEDULERS];
    for generation in 2..5 {
        let mut waits = Vec::new();
        for (wire, _) in &mut all {
            let told = json!({"generation": generation, "reset": false, "instances": []}).to_string();
            wire.answer(200, "", &told).await.expect("it is read");
        }
        for (wire, _) in &mut all {
            let call = wire.read().await.expect("the watch goes on");
            let (_, wait) = call.target().split_once("wait=").expect("it waits");
            waits.push(wait.parse::<u64>().expect("milliseconds"));
        }
        assert!(waits.iter().zip(&before).all(|(now, before)| now != before), "{waits:?} after {before:?}");
        before.clone_from(&waits);
        waits.sort_unstable();
        let apart = waits.windows(2).map(|two| two[1] - two[0]).min().expect("many");
        // Half of what 20 watches would be apart that share the second evenly.
        assert!(apart >= 25, "{waits:?}");
    }
}

/// A worker starts anew under its name and address while a job waits for a connection to it: the new process is cold, so the
/// job, which nobody has had yet, is decided anew at once, and goes where there is room.
#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn a_job_that_waits_for_a_connection_is_decided_anew_when_its_worker_starts_anew() {
    let mut parts = Parts::of(1).await;
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    // Room for one connection, which is taken: no other comes up.
    let full = socket.listen(0).expect("it listens");
    let full_address = full.local_addr().expect("bound");
    let _filler = TcpStream::connect(full_address).await.expect("there is room for one");
    let warm = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    parts.follow(json!([]));
    let (mut watch, _) = parts.call().await;
    let list = |generation: u32, listed: Value| {
        json!({"generation": generation, "reset": false, "instances": listed}).to_string()
    };
    watch.answer(200, "", &list(2, json!([instance("s-a", full_address)]))).await.expect("it is read");
    watch.read().await.expect("the watch goes on");
    let _answer = parts.submit("00000000000000ab", Bytes::from_static(b"work"));
    while parts.upstream.connections().get() == 0 {
        tokio::task::yield_now().await;
    }
    let mut anew = instance("s-a", full_address);
    anew["startedAtMs"] = (parts.engine.clock.now() / 1000).into();
    let listed = json!([anew, instance("s-b", warm.local_addr().expect("bound"))]);
    watch.answer(200, "", &list(3, listed)).await.expect("it is read");
    let mut worker = Wire::new(warm.accept().await.expect("a connection").0);
    assert_eq!(worker.read().await.expect("the job").header("x-trace-id"), Some("00000000000000ab"));
}

/// What a silent watch missed counts as told 6 s after its call, so that it has to be opened anew before that, however many
/// schedulers share the service. The watch before it was answered: it is one alone, and no herd.
#[rstest]
#[timeout(HANG)]
#[tokio::test(start_paused = true)]
async fn a_silent_watch_is_opened_anew_before_its_news_counts_as_told() {
    let mut parts = Parts::of(300).await;
    parts.follow(json!([]));
    let mut wire = Wire::new(parts.discovery.accept().await.expect("the watch").0);
    let asked = |call: Option<vetchbridge_testbed::wire::Message>| call.expect("a call").target().to_string();
    assert!(asked(wire.read().await).contains("index=1&wait="));
    wire.answer(200, "", r#"{"generation":2,"reset":false,"instances":[]}"#).await.expect("it is read");
    assert!(asked(wire.read().await).contains("index=2&wait="));
    let called = Instant::now();
    // Not a byte more: the connection stays open and silent.
    let mut next = Wire::new(parts.discovery.accept().await.expect("the next watch").0);
    assert!(asked(next.read().await).contains("index=2&wait="), "from the version that it has");
    assert!(called.elapsed() < Duration::from_secs(6), "{:?} after the call", called.elapsed());
}

/// How a call for the list fails, as far as the other end can make it.
#[derive(Clone, Copy, Debug)]
enum CallFails {
    /// Turned away.
    Refused,
    /// Its connection is reset.
    Reset,
    /// Its answer breaks off within an entry.
    Cut,
    /// Its answer stops within an entry, and the connection stays open.
    Stopped,
    /// Nothing comes, and the connection stays open.
    Silent,
}

impl CallFails {
    /// Fails the call that was read from this connection; returns it where it stays open.
    async fn fail(self, mut wire: Wire) -> Option<Wire> {
        let list = r#"{"generation":9,"reset":true,"instances":[{"instanceId":"s-cut"}]}"#;
        match self {
            CallFails::Refused => wire.answer(503, "connection: close\r\n", "").await.expect("it is read"),
            CallFails::Reset => wire.reset(),
            CallFails::Cut => break_off(wire, list, "s-cut").await,
            CallFails::Stopped => {
                let (begun, _) = list.split_once("s-cut").expect("it is in the list");
                let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{begun}", list.len());
                wire.write(&answer).await.expect("it is read");
                return Some(wire);
            }
            CallFails::Silent => return Some(wire),
        }
        None
    }
}

/// A change counts as told 6 s after discovery had it and could be reached, and half a second more is left to stop sending.
/// Discovery may come back in the moment after a call has been lost, and may let the next one wait for its turn for two
/// seconds: the next one must be out 3.5 s after the lost one at the latest, whatever became of that and of those before.
#[rstest]
#[timeout(HANG)]
#[tokio::test(start_paused = true)]
async fn no_lost_call_keeps_the_next_one_from_bringing_news_in_time(
    #[values(CallFails::Refused, CallFails::Reset, CallFails::Cut, CallFails::Stopped, CallFails::Silent)]
    fails: CallFails,
    #[values(1, 3, 300)] schedulers: u32,
    #[values(1, 7)] seed: u64,
) {
    let mut parts = Parts::seeded(schedulers, seed).await;
    parts.follow(json!([]));
    let mut wire = parts.confirm().await;
    let mut open = Vec::new();
    for number in 0..6 {
        let called = Instant::now();
        open.extend(fails.fail(wire).await);
        wire = parts.call().await.0;
        let apart = called.elapsed();
        assert!(apart <= Duration::from_millis(3_500), "call {number} was followed after {apart:?}");
    }
}

/// Two calls that are lost in a row while discovery can be reached leave time for the answer to the third, in tiers whose
/// discovery can bear a second call beside one that is out. The worst moment to come back is the one after a call.
#[rstest]
#[timeout(HANG)]
#[tokio::test(start_paused = true)]
async fn two_calls_lost_in_a_row_keep_no_news_from_being_in_time() {
    for (schedulers, seed) in [(1, 1), (1, 7), (3, 1), (3, 7), (11, 1), (11, 7)] {
        calls_follow_one_another(schedulers, seed).await;
    }
}

async fn calls_follow_one_another(schedulers: u32, seed: u64) {
    /// News counts as told after 6 s, and sends may go on for half a second; a second and more is left for the answer.
    const THIRD_CALL_WITHIN: Duration = Duration::from_millis(4_900);
    let mut parts = Parts::seeded(schedulers, seed).await;
    parts.follow(json!([]));
    let watch = parts.confirm().await;
    let began = Instant::now();
    watch.reset();
    let (mut open, mut calls) = (Vec::new(), vec![began]);
    for _ in 0..20 {
        open.push(parts.call().await.0);
        calls.push(Instant::now());
    }
    let told = |from: usize, to: usize| {
        let apart = calls[to].duration_since(calls[from]);
        assert!(
            apart <= THIRD_CALL_WITHIN,
            "{schedulers} schedulers: {apart:?} from call {from} to {to}: {calls:?}"
        );
    };
    // The watch is reset, and the two calls after that are lost.
    told(0, 3);
    // The watch is silent, or a call before was lost: two more are.
    (2..calls.len() - 3).for_each(|call| told(call, call + 3));
}

/// Discovery that has too many callers says so, late: a second call would keep all of them waiting.
#[rstest]
#[timeout(HANG)]
#[tokio::test(start_paused = true)]
async fn no_second_call_is_made_to_a_discovery_that_has_too_many_callers() {
    const TURN_WITHIN: Duration = Duration::from_millis(2_000);
    let mut parts = Parts::of(3).await;
    parts.follow(json!([]));
    let mut wire = parts.confirm().await;
    for number in 0..6 {
        tokio::select! {
            _ = parts.discovery.accept() => panic!("a second call beside number {number}"),
            () = tokio::time::sleep(TURN_WITHIN) => {}
        }
        wire.answer(503, "connection: close\r\n", "").await.expect("it is read");
        wire = parts.call().await.0;
    }
}

/// What the call beside a lost one brings is news, and the watch goes on from there.
#[rstest]
#[timeout(HANG)]
#[tokio::test(start_paused = true)]
async fn the_answer_to_a_call_beside_a_lost_one_is_heard() {
    let mut parts = Parts::of(3).await;
    parts.follow(json!([]));
    let _silent = parts.confirm().await;
    let _lost = parts.call().await;
    let called = Instant::now();
    let (mut beside, target) = parts.call().await;
    assert!(called.elapsed() < Duration::from_millis(1_500), "{:?}", called.elapsed());
    assert_eq!(target, "/registry/instances?index=1&wait=0");
    let worker = instance("s-new", "127.0.0.1:9".parse().expect("an address"));
    let list = json!({"generation": 2, "reset": false, "instances": [worker]}).to_string();
    beside.answer(200, "", &list).await.expect("it is read");
    let next = beside.read().await.expect("the watch goes on");
    assert!(next.target().contains("index=2&wait="), "{}", next.target());
    assert_eq!(parts.list(), [("s-new".to_string(), InstanceState::Up)]);
}

/// An answer beside a lost call that breaks off has told its whole entries, as any other.
#[rstest]
#[timeout(HANG)]
#[tokio::test(start_paused = true)]
async fn a_list_that_breaks_off_beside_a_lost_call_has_told_its_whole_entries() {
    let mut parts = Parts::of(3).await;
    let address = "127.0.0.1:9".parse().expect("an address");
    parts.follow(json!([instance("s-a", address), instance("s-b", address)]));
    let _silent = parts.confirm().await;
    let _lost = parts.call().await;
    let (beside, _) = parts.call().await;
    let mut leaves = instance("s-a", address);
    leaves["lifecycle"] = "draining".into();
    let list =
        json!({"generation": 2, "reset": false, "instances": [leaves, instance("s-b", address)]}).to_string();
    break_off(beside, &list, "s-b").await;
    at_rest().await;
    assert!(parts.list().contains(&("s-a".to_string(), InstanceState::Draining)), "{:?}", parts.list());
}

/// A first call whose connection never comes up is one that was lost, too.
#[rstest]
#[timeout(HANG)]
#[tokio::test(start_paused = true)]
async fn a_dial_that_is_lost_does_not_keep_the_next_one_from_bringing_news_in_time() {
    let mut parts = Parts::of(1).await;
    // Nobody hears a dial to a listener whose backlog is full.
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    parts.discovery = socket.listen(0).expect("it listens");
    let address = parts.discovery.local_addr().expect("bound");
    let _filler = TcpStream::connect(address).await.expect("the one that it has room for");
    let began = Instant::now();
    parts.follow(json!([]));
    // The clock is paused: this is no wait, but lets it move on, by less than the pause before the next call.
    let moves_on = || tokio::time::sleep(Duration::from_millis(25));
    while dials(address).is_empty() {
        moves_on().await;
    }
    // Others may be under way beside it when it is given up.
    let first = dials(address).remove(0);
    while dials(address).contains(&first) {
        moves_on().await;
    }
    parts.discovery.accept().await.expect("the filler");
    let _next = parts.call().await;
    assert!(began.elapsed() <= Duration::from_millis(3_500), "{:?} after the start", began.elapsed());
}

/// Where lists are pushed, the module asks for none: the watch that pushes them is there from the first moment, whatever the
/// saved list holds, and there again at once after an answer, a refusal, a reset or silence.
#[rstest]
#[timeout(HANG)]
#[tokio::test(start_paused = true)]
async fn a_pushed_list_is_watched_from_the_first_moment_and_after_every_end_of_its_watch() {
    let mut parts = Parts::following(300, "push").await;
    parts.follow(json!([]));
    let accept = || async { Wire::new(parts.discovery.accept().await.expect("the watch").0) };
    let mut wire = accept().await;
    // How the watch ends, and how soon after its call the next one is there.
    for (end, within) in [("503", 200), ("reset", 200), ("silence", 5_500), ("an answer", 10)] {
        let call = wire.read().await.expect("a call");
        assert!(call.target().contains("index=1&wait="), "{} before {end}", call.target());
        let called = Instant::now();
        let silent = match end {
            "503" => {
                wire.answer(503, "connection: close\r\n", "").await.expect("it is read");
                None
            }
            "reset" => {
                wire.reset();
                None
            }
            // Its connection stays open, and not a byte comes.
            "silence" => Some(wire),
            _ => {
                let told = r#"{"generation":2,"reset":false,"instances":[]}"#;
                wire.answer(200, "", told).await.expect("it is read");
                let call = wire.read().await.expect("the next call");
                assert!(call.target().contains("index=2&wait="), "{}", call.target());
                return;
            }
        };
        wire = accept().await;
        drop(silent);
        assert!(called.elapsed() <= Duration::from_millis(within), "{:?} after {end}", called.elapsed());
    }
}

/// A reload may change lists from asked for to pushed, or back, while a watch is out or just after one has failed. One that is
/// out goes on, and the next one is opened by the rule then in force: where many ask, a second failure in a row makes the
/// pause long; whoever pushes a list serves this scheduler alone.
#[rstest]
#[case::pushed_from_now_on("ask", "push", true)]
#[case::pushed_from_a_failure_on("ask", "push", false)]
#[case::asked_for_from_now_on("push", "ask", true)]
#[case::asked_for_from_a_failure_on("push", "ask", false)]
#[timeout(HANG)]
#[tokio::test(start_paused = true)]
async fn the_list_is_followed_on_by_the_rule_in_force_after_a_reload(
    #[case] from: &str,
    #[case] to: &str,
    #[case] out: bool,
) {
    let mut parts = Parts::following(300, from).await;
    parts.follow(json!([]));
    let (mut wire, _) = parts.call().await;
    let list =
        |generation: u32| json!({"generation": generation, "reset": true, "instances": []}).to_string();
    wire.answer(200, "", &list(2)).await.expect("it is read");
    assert!(wire.read().await.expect("the watch goes on").target().contains("index=2&"));
    if out {
        parts.reload(to);
        at_rest().await;
        wire.answer(200, "", &list(3)).await.expect("it is read");
        assert!(wire.read().await.expect("the same watch goes on").target().contains("index=3&"));
    }
    let mut waited = Duration::ZERO;
    // Two of them after the reload.
    for failure in 0..if out { 2 } else { 3 } {
        let failed = Instant::now();
        wire.answer(503, "connection: close\r\n", "").await.expect("it is read");
        if !out && failure == 0 {
            at_rest().await;
            parts.reload(to);
        }
        (wire, _) = timeout(LONGEST_PAUSE, parts.call()).await.expect("the list is followed on");
        waited = failed.elapsed();
    }
    let pushed = waited <= Duration::from_millis(200);
    assert!(pushed == (to == "push") && (pushed || waited >= Duration::from_secs(1)), "{waited:?}");
}

/// An answer that breaks off has told what it holds up to there. Who leaves is heeded whatever the version; who is up, or up
/// again as another process, only where the answer is no older than the list in hand.
#[rstest]
#[case::newer(6, InstanceState::Up)]
#[case::as_old(5, InstanceState::Up)]
#[case::older(4, InstanceState::Draining)]
#[timeout(HANG)]
#[tokio::test(start_paused = true)]
async fn a_list_that_breaks_off_has_told_its_whole_entries(
    #[case] generation: u32,
    #[case] first: InstanceState,
) {
    let mut parts = Parts::of(1).await;
    parts.follow(json!([]));
    let (mut wire, _) = parts.call().await;
    let address: SocketAddr = "127.0.0.1:9".parse().expect("an address");
    let (a, b) = (instance("s-a", address), instance("s-b", address));
    let drains = |mut worker: Value| {
        worker["lifecycle"] = "draining".into();
        worker
    };
    let told =
        json!({"generation": 5, "reset": true, "instances": [drains(a.clone()), b.clone()]}).to_string();
    wire.answer(200, "", &told).await.expect("it is read");
    wire.read().await.expect("the watch goes on");
    // Indented, and cut within its third entry.
    let text =
        json!({"generation": generation, "reset": false, "instances": [a, drains(b), {"instanceId": "s-c"}]});
    let text = serde_json::to_string_pretty(&text).expect("JSON");
    break_off(wire, &text, "s-c").await;
    let _next = parts.call().await;
    assert_eq!(parts.list(), [("s-a".into(), first), ("s-b".into(), InstanceState::Draining)]);
}

/// The whole list was asked for, and before it is here the watch brings newer changes: they stand. A version that goes back in
/// the order of the calls is another matter: the service has begun anew.
#[rstest]
#[timeout(HANG)]
#[tokio::test(start_paused = true)]
async fn a_whole_list_that_was_overtaken_by_newer_changes_does_not_undo_them() {
    let mut parts = Parts::of(1).await;
    parts.follow(json!([]));
    let address: SocketAddr = "127.0.0.1:9".parse().expect("an address");
    let whole = |generation: u32, state: &str| {
        let mut worker = instance("s-a", address);
        worker["lifecycle"] = state.into();
        json!({"generation": generation, "reset": true, "instances": [worker]}).to_string()
    };
    let (mut watch, _) = parts.call().await;
    parts.ask.send(DiscoveryRequest::Fetch).expect("it is served");
    let (mut fetch, target) = parts.call().await;
    assert_eq!(target, "/registry/instances");
    watch.answer(200, "", &whole(7, "draining")).await.expect("it is read");
    watch.read().await.expect("the watch goes on");
    fetch.answer(200, "", &whole(6, "up")).await.expect("it is read");
    at_rest().await;
    assert_eq!(parts.list(), [("s-a".into(), InstanceState::Draining)]);
    parts.ask.send(DiscoveryRequest::Fetch).expect("it is served");
    fetch.read().await.expect("the next call");
    fetch.answer(200, "", &whole(3, "up")).await.expect("it is read");
    at_rest().await;
    assert_eq!(parts.list(), [("s-a".into(), InstanceState::Up)]);
}

/// After a call that failed, the next one must not wait for news: that it is answered is the news that discovery is back. A
/// subscription that meets a call under way does not begin it anew.
#[rstest]
#[timeout(HANG)]
#[tokio::test(start_paused = true)]
async fn the_call_after_a_failure_waits_for_nothing_and_is_made_once() {
    let mut parts = Parts::of(1).await;
    parts.follow(json!([]));
    let (mut wire, _) = parts.call().await;
    wire.answer(503, "connection: close\r\n", "").await.expect("it is read");
    let (mut wire, target) = parts.call().await;
    assert_eq!(target, "/registry/instances?index=1&wait=0");
    parts.ask.send(DiscoveryRequest::Subscribe).expect("it is served");
    parts.ask.send(DiscoveryRequest::Fetch).expect("it is served");
    let (_fetch, target) = parts.call().await;
    assert_eq!(target, "/registry/instances", "and not the watch once more");
    wire.answer(200, "", r#"{"generation":2,"reset":false,"instances":[]}"#).await.expect("it is read");
    let target = wire.read().await.expect("it goes on").target().to_string();
    assert!(target.contains("index=2&wait=") && !target.ends_with("wait=0"), "{target}");
}

/// What a list tells before it breaks off is no answer: where every one breaks off, hundreds of schedulers that called again at
/// once each time would keep discovery from mending.
#[rstest]
#[timeout(HANG)]
#[tokio::test(start_paused = true)]
async fn lists_that_break_off_again_and_again_are_asked_for_after_longer_pauses() {
    let mut parts = Parts::of(300).await;
    parts.follow(json!([]));
    let address: SocketAddr = "127.0.0.1:9".parse().expect("an address");
    let entries = json!([instance("s-a", address), {"instanceId": "s-b"}]);
    let told = json!({"generation": 2, "instances": entries, "reset": false}).to_string();
    let (mut wire, _) = parts.call().await;
    for pause in [0, 0, 1_000, 1_000] {
        let broke = Instant::now();
        break_off(wire, &told, "s-b").await;
        (wire, _) = parts.call().await;
        let waited = broke.elapsed();
        assert!(waited >= Duration::from_millis(pause), "{waited:?} after one of them broke off");
    }
    assert_eq!(parts.list(), [("s-a".into(), InstanceState::Up)]);
}
