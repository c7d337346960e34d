//! A scheduler within the test process: its engine, its upstream group (the connections to workers) and its
//! endpoint watcher, with a scripted discovery service.
//!
//! These helpers serve tests that can't run the daemon as a process: tests that pause the runtime's clock
//! instead of waiting for a long time, and tests of a body that is longer than the kernel's socket buffers,
//! since the kernel would buffer completely any body that the daemon accepts. Each test file uses only some
//! of these helpers.
#![allow(dead_code, missing_docs)]

use bytes::Bytes;
use hyper::http::uri::PathAndQuery;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;
use vetchbridge::config::read_text;
use vetchbridge::discovery::document::{EndpointSource, InstanceState};
use vetchbridge::discovery::endpoint_list::EndpointList;
use vetchbridge::discovery::request::DiscoveryRequest;
use vetchbridge::discovery::watcher::{EndpointWatcher, InitialEndpoints};
use vetchbridge::engine::Engine;
use vetchbridge::request::{submit, Answer, SubmittedRequest};
use vetchbridge::snapshot::{CurrentSettings, SettingsSnapshot};
use vetchbridge::upgrade::process_links::ProcessLinks;
use vetchbridge::workers::{parse_request_id, Payload, UpstreamGroup};
use vetchbridge_scheduling::Scheduler;
use vetchbridge_scheduling::{ClassId, EndpointDelivery, Event, Request, Settings, TenantId};
use vetchbridge_testbed::wire::HttpConnection;

/// The time after which a hanging test fails.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// The deadline of requests of the class `receipt`, in microseconds.
const DEADLINE_US: u64 = 60_000_000;

/// The properties in which the schedulers of different tests differ.
pub struct SchedulerSetup {
    pub scheduler_index: u32,
    pub scheduler_count: u32,
    pub delivery: EndpointDelivery,
    /// The seed of the scheduler's random numbers.
    pub seed: u64,
}

impl Default for SchedulerSetup {
    fn default() -> SchedulerSetup {
        SchedulerSetup {
            scheduler_index: 0,
            scheduler_count: 1,
            delivery: EndpointDelivery::Poll,
            seed: 0x5eed,
        }
    }
}

/// A scheduler and its scripted discovery service.
pub struct TestScheduler {
    pub engine: Arc<Engine>,
    pub upstream: Arc<UpstreamGroup>,
    pub settings: Arc<CurrentSettings>,
    pub discovery: TcpListener,
    pub discovery_request_sender: UnboundedSender<DiscoveryRequest>,
    discovery_request_receiver: Option<UnboundedReceiver<DiscoveryRequest>>,
    endpoint_list: Arc<Mutex<EndpointList>>,
}

impl TestScheduler {
    /// Creates a scheduler, which polls discovery, in a tier of `scheduler_count` schedulers.
    pub async fn with_scheduler_count(scheduler_count: u32) -> TestScheduler {
        TestScheduler::new(SchedulerSetup { scheduler_count, ..SchedulerSetup::default() }).await
    }

    pub async fn new(setup: SchedulerSetup) -> TestScheduler {
        let discovery = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let document = configuration(&setup, discovery.local_addr().expect("a bound socket"));
        let config = read_text("test", &document.to_string()).expect("a configuration").config;
        let scheduler =
            Scheduler::new(config.settings_snapshot.settings.clone(), setup.seed).expect("valid settings");
        let upstream = Arc::new(UpstreamGroup::new(TEST_TIMEOUT, TEST_TIMEOUT, 1));
        let (discovery_request_sender, discovery_request_receiver) = unbounded_channel();
        let engine =
            Engine::new(scheduler, upstream.clone(), discovery_request_sender.clone(), unbounded_channel().0);
        tokio::spawn(engine.clone().run_timers());
        TestScheduler {
            engine,
            upstream,
            settings: Arc::new(CurrentSettings::new(config.settings_snapshot)),
            discovery,
            discovery_request_sender,
            discovery_request_receiver: Some(discovery_request_receiver),
            endpoint_list: Arc::default(),
        }
    }

    /// Starts the endpoint watcher with `instances` as its saved endpoint list, of generation 1.
    pub fn start_endpoint_watcher(&mut self, instances: Value) {
        let saved = json!({"generation": 1, "reset": true, "instances": instances});
        let document = serde_json::from_value(saved).expect("a document");
        let initial = InitialEndpoints { document, generation_valid: true, confirmed_by_predecessor: false };
        let watcher = EndpointWatcher::start(
            self.discovery_source(),
            self.settings.clone(),
            initial,
            self.engine.clone(),
            self.upstream.clone(),
            self.endpoint_list.clone(),
        );
        tokio::spawn(watcher.run(self.discovery_request_receiver.take().expect("started once")));
    }

    /// Accepts the scheduler's next connection to the discovery service. Returns the connection and the
    /// target (path and query) of the first request on the connection.
    pub async fn accept_call(&self) -> (HttpConnection, String) {
        let mut connection =
            HttpConnection::new(self.discovery.accept().await.expect("a call to discovery").0);
        let target = connection.read().await.expect("a call to discovery").target().to_string();
        (connection, target)
    }

    /// Answers the scheduler's first call to the discovery service with no changes, so that the saved
    /// endpoint list counts as current. Returns the connection after reading the scheduler's next watch call
    /// on the connection.
    pub async fn confirm_saved_list(&self) -> HttpConnection {
        let (mut connection, _) = self.accept_call().await;
        answer_changes(&mut connection, 1, json!([])).await;
        connection.read().await.expect("the watch continues");
        connection
    }

    /// Sends a request to the endpoint watcher.
    pub fn send_discovery_request(&self, request: DiscoveryRequest) {
        self.discovery_request_sender.send(request).expect("the watcher runs");
    }

    /// Returns the name and state of each worker in the scheduler's endpoint list.
    pub fn listed_workers(&self) -> Vec<(String, InstanceState)> {
        let (instances, _) = self.endpoint_list.lock().expect("no panic").snapshot();
        instances.into_iter().map(|instance| (instance.instance_id, instance.lifecycle)).collect()
    }

    /// Replaces the current settings of the scheduler's daemon without sending the scheduler an event.
    pub fn replace_settings(&self, settings: Settings) {
        let old = self.settings.get();
        self.settings.swap(SettingsSnapshot {
            settings,
            names: old.names.clone(),
            worker_idle_timeout: old.worker_idle_timeout,
            load_reports: old.load_reports,
            platform_document: old.platform_document.clone(),
        });
    }

    /// Applies settings as a reload of the configuration does. The discovery service stays the same;
    /// `delivery` becomes the way in which endpoint lists reach the scheduler.
    pub fn reload_with_delivery(&self, delivery: EndpointDelivery) {
        let mut settings = self.settings.get().settings.clone();
        settings.endpoint_delivery = delivery;
        self.replace_settings(settings.clone());
        self.engine.handle(Event::Settings(Box::new(settings)));
        self.send_discovery_request(DiscoveryRequest::ChangeSource(self.discovery_source()));
    }

    /// Submits a request of the class `receipt` with the key `k` to the scheduler.
    pub fn submit(&self, id: &str, body: Bytes) -> oneshot::Receiver<Answer> {
        let request = Request {
            id: parse_request_id(id).expect("an id"),
            class: ClassId(0),
            tenant: TenantId(0),
            key: Some("k".to_string()),
            deadline: self.engine.clock.now() + DEADLINE_US,
            expected_work: None,
            slots: 1.0,
            retry: false,
        };
        let target = PathAndQuery::from_static("/receipt/k");
        let payload = Payload { id: id.to_string(), target, idempotency_key: None, body };
        let submitted = SubmittedRequest { request, payload, settings: self.settings.get(), memory: None };
        submit(self.engine.clone(), self.upstream.clone(), Arc::new(ProcessLinks::default()), submitted)
    }

    fn discovery_source(&self) -> EndpointSource {
        EndpointSource::Service(self.discovery.local_addr().expect("a bound socket"))
    }
}

/// Returns a configuration with one class, `receipt`, which is not idempotent.
fn configuration(setup: &SchedulerSetup, discovery: SocketAddr) -> Value {
    let delivery = match setup.delivery {
        EndpointDelivery::Push => "push",
        EndpointDelivery::Poll => "ask",
    };
    let class = json!({"name": "receipt", "repeat": "unsafe", "aim": 500_000, "deadline": DEADLINE_US});
    json!({"name": "n0", "listen": "127.0.0.1:0", "seed": "5eed", "discovery": discovery.to_string(),
        "settings": {"me": setup.scheduler_index, "balancers": setup.scheduler_count, "areas": ["a"], "kinds": ["m"],
            "zone": 0, "tick": 4000, "discovery": delivery, "services": [class],
            "limits": {"max_attempts": 4, "may_cancel": true},
            "rules": {"stop_sending_within": 500_000, "start_capacity": 0.2, "cold": 24_000_000,
                      "tip_multiple": 2.5, "fall": 2_000_000}}})
}

/// Returns the discovery service's endpoint list entry for a worker that is up.
pub fn instance(name: &str, address: SocketAddr) -> Value {
    json!({"instanceId": name, "hostPort": address.to_string(), "zone": "a", "machineType": "m", "lifecycle": "up"})
}

/// Returns a worker's endpoint list entry with its state changed to draining.
pub fn as_draining(mut instance: Value) -> Value {
    instance["lifecycle"] = "draining".into();
    instance
}

/// Returns an address for workers to which the scheduler makes no connection in a test.
pub fn unused_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}

/// Responds to the scheduler's call to the discovery service with changes to the endpoint list.
pub async fn answer_changes(connection: &mut HttpConnection, generation: u32, instances: Value) {
    let document = json!({"generation": generation, "reset": false, "instances": instances});
    connection.answer(200, "", &document.to_string()).await.expect("the scheduler reads");
}

/// Responds to the scheduler's call to the discovery service with a complete endpoint list.
pub async fn answer_complete_list(connection: &mut HttpConnection, generation: u32, instances: Value) {
    let document = json!({"generation": generation, "reset": true, "instances": instances});
    connection.answer(200, "", &document.to_string()).await.expect("the scheduler reads");
}

/// Rejects the scheduler's call to the discovery service with status 503, as an overloaded discovery service
/// does, and closes the connection.
pub async fn reject_call(connection: &mut HttpConnection) {
    connection.answer(503, "connection: close\r\n", "").await.expect("the scheduler reads");
}

/// Answers a call to discovery with the part of `document` before the text `cut`. The connection stays open
/// until the caller drops `connection`.
pub async fn answer_part(connection: &mut HttpConnection, document: &str, cut: &str) {
    let (part, _) = document.split_once(cut).expect("`cut` is in the document");
    let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{part}", document.len());
    connection.write(&answer).await.expect("the scheduler reads");
}

/// Responds to the scheduler's call to the discovery service with the part of the endpoint document
/// `document` before the text `cut`, and closes the connection.
pub async fn answer_part_and_close(mut connection: HttpConnection, document: &str, cut: &str) {
    answer_part(&mut connection, document, cut).await;
}

/// Waits until every task of the runtime is idle. The test must have paused the runtime's clock: a paused
/// clock advances only when no task can run, so the sleep ends only then.
pub async fn wait_until_idle() {
    tokio::time::sleep(Duration::from_millis(1)).await;
}
