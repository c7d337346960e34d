//! Helpers of the stand-in worker's tests: a worker under test, and a listener that takes the place of the
//! scheduler and receives the worker's callbacks.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use vetchbridge_testbed::runs::Runs;
use vetchbridge_testbed::wire::{HttpConnection, Message};
use vetchbridge_testbed::worker::{Worker, WorkerSpec};

/// Time limit for one test.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// The body of a job's request whose work does not finish within a test.
pub const ENDLESS_WORK: &str = "work_us=600000000";

/// A worker under test, and the listener that receives its callbacks as a scheduler would.
pub struct TestWorker {
    callbacks: TcpListener,
    /// The worker under test.
    pub worker: Worker,
    /// The record of the runs of jobs at the worker.
    pub runs: Runs,
}

impl TestWorker {
    /// Starts a worker and the listener for its callbacks.
    pub async fn start(spec: WorkerSpec) -> TestWorker {
        let callbacks = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let runs = Runs::default();
        let scheduler = callbacks.local_addr().expect("the listener is bound");
        let worker = Worker::start(spec, runs.clone(), &[scheduler]).await.expect("the worker starts");
        TestWorker { callbacks, worker, runs }
    }

    /// Returns the address at which the scheduler reaches the worker.
    pub fn address(&self) -> SocketAddr {
        self.worker.addresses()[0]
    }

    /// Sends the request of a job to the worker on a new connection, and returns the connection.
    pub async fn send(&self, id: u64, headers: &str, body: &str) -> HttpConnection {
        let mut connection = HttpConnection::connect(self.address()).await.expect("the worker listens");
        connection
            .post("/c/k", &format!("x-trace-id: {id:016x}\r\n{headers}"), body)
            .await
            .expect("the job is sent");
        connection
    }

    /// Accepts the connection on which the worker sends its next callback.
    pub async fn accept_callback(&self) -> HttpConnection {
        let (stream, _) = self.callbacks.accept().await.expect("a callback arrives");
        HttpConnection::new(stream)
    }

    /// Responds to the worker's next callback with 200 and returns the callback's request.
    pub async fn next_callback(&self) -> Message {
        let mut connection = self.accept_callback().await;
        let request = connection.read().await.expect("the callback is complete");
        connection.answer(200, "connection: close\r\n", "").await.expect("the answer is sent");
        request
    }

    /// Responds to the worker's next callback with 200 and returns the job's state that the callback reports.
    pub async fn next_state(&self) -> String {
        let body = self.next_callback().await.body;
        let callback: serde_json::Value = serde_json::from_slice(&body).expect("the callback is JSON");
        callback["state"].as_str().expect("the callback has a state").to_string()
    }
}
