//! A worker for tests, and the end of the scheduler that it calls back.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use vetchbridge_testbed::runs::Runs;
use vetchbridge_testbed::wire::{Message, Wire};
use vetchbridge_testbed::worker::{Worker, WorkerSpec};

/// How long a test may take.
pub const HANG: Duration = Duration::from_secs(60);
/// The body of a job that does not finish within a test.
pub const ENDLESS_WORK: &str = "work_us=600000000";

/// One worker, and the scheduler that it calls back.
pub struct TestWorker {
    callbacks: TcpListener,
    /// The worker.
    pub worker: Worker,
    /// The record of its runs.
    pub runs: Runs,
}

impl TestWorker {
    /// Starts a worker.
    pub async fn start(spec: WorkerSpec) -> TestWorker {
        let callbacks = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let runs = Runs::default();
        let scheduler = callbacks.local_addr().expect("bound");
        let worker = Worker::start(spec, runs.clone(), &[scheduler]).await.expect("a worker");
        TestWorker { callbacks, worker, runs }
    }

    /// Where the scheduler reaches the worker.
    pub fn address(&self) -> SocketAddr {
        self.worker.addresses()[0]
    }

    /// Sends a job on a new connection.
    pub async fn send(&self, id: u64, headers: &str, body: &str) -> Wire {
        let mut wire = Wire::dial(self.address()).await.expect("it listens");
        wire.post("/c/k", &format!("x-trace-id: {id:016x}\r\n{headers}"), body).await.expect("sent");
        wire
    }

    /// Accepts the connection of the next callback.
    pub async fn accept_callback(&self) -> Wire {
        let (stream, _) = self.callbacks.accept().await.expect("a callback");
        Wire::new(stream)
    }

    /// Answers the next callback.
    pub async fn next_callback(&self) -> Message {
        let mut wire = self.accept_callback().await;
        let request = wire.read().await.expect("a request");
        wire.answer(200, "connection: close\r\n", "").await.expect("answered");
        request
    }

    /// Answers the next callback; the job's state that it reports.
    pub async fn next_state(&self) -> String {
        let body = self.next_callback().await.body;
        let callback: serde_json::Value = serde_json::from_slice(&body).expect("JSON");
        callback["state"].as_str().expect("a state").to_string()
    }
}
