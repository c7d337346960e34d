//! The task that owns the listeners, connections and jobs of a running stand-in worker.

use super::connection::Connection;
use super::execution::JobFuture;
use super::state::WorkerState;
use crate::wire::HttpConnection;
use futures_util::future::select_all;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::sync::oneshot;
use tokio::task::JoinSet;

/// The listener on the port that one scheduler connects to.
pub(super) struct SchedulerListener {
    /// The listening socket on the worker's port for the scheduler.
    pub(super) listener: TcpListener,
    /// Address of the scheduler that connects to the listener; callbacks are sent to this address.
    pub(super) scheduler: SocketAddr,
}

/// A request to stop the server: the channel on which the server signals once all its connections and jobs
/// have ended.
pub(super) type Stop = oneshot::Sender<()>;

/// The connections and jobs of a running worker.
struct Server {
    worker: Arc<WorkerState>,
    connections: JoinSet<()>,
    jobs: JoinSet<()>,
    job_starts: UnboundedSender<JobFuture>,
}

/// Runs the server of a worker until `stop` is received, then ends all connections and jobs.
pub(super) async fn serve(
    worker: Arc<WorkerState>,
    listeners: Vec<SchedulerListener>,
    mut stop: oneshot::Receiver<Stop>,
) {
    let (job_starts, mut started) = unbounded_channel();
    let mut server = Server { worker, connections: JoinSet::new(), jobs: JoinSet::new(), job_starts };
    let stopped = loop {
        let accepts = listeners.iter().map(|socket| Box::pin(socket.listener.accept()));
        tokio::select! {
            stopped = &mut stop => break stopped,
            Some(job) = started.recv() => drop(server.jobs.spawn(job)),
            Some(_) = server.connections.join_next(), if !server.connections.is_empty() => {}
            Some(_) = server.jobs.join_next(), if !server.jobs.is_empty() => {}
            (accepted, index, _) = select_all(accepts), if !listeners.is_empty() => {
                if let Ok((stream, _)) = accepted {
                    server.accept(stream, listeners[index].scheduler);
                }
            }
        }
    };
    drop(listeners);
    server.connections.shutdown().await;
    server.jobs.shutdown().await;
    if let Ok(ended) = stopped {
        let _ = ended.send(());
    }
}

impl Server {
    /// Serves a new connection from a scheduler, or closes it if the worker's maximum number of connections
    /// is open.
    fn accept(&mut self, stream: TcpStream, scheduler: SocketAddr) {
        if self.connections.len() >= self.worker.spec.max_connections {
            return;
        }
        let mut connection = Connection::new(self.worker.clone(), scheduler, HttpConnection::new(stream));
        let job_starts = self.job_starts.clone();
        self.connections.spawn(async move { connection.run(&job_starts).await });
    }
}
