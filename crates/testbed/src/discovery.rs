//! The discovery service: the list of workers with versions, watches for changes, and scripted faults.
//!
//! It listens on a port for each scheduler, so that each has its own addresses of the workers and can be
//! moved on its own. A task for each port owns the listener and its connections. The list is what was
//! published, also where a worker has changed since.

mod endpoints;
mod server;

pub use endpoints::{Endpoint, Lifecycle};

use crate::worker::Worker;
use crate::{AbortOnDrop, Port};
use endpoints::EndpointList;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

/// How discovery answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// Normally.
    Up,
    /// With 503, also to watches that wait.
    Failing,
    /// By resetting the connection, also of watches that wait.
    Resetting,
    /// Not at all: connections are accepted and stay open.
    Unresponsive,
    /// With half of the answer, then the end of the connection.
    Truncating,
}

/// The state that the tasks of all ports share.
struct State {
    endpoints: EndpointList,
    health: Health,
    /// How long after it was published a change is listed.
    update_delay: Duration,
    /// Number of calls that were answered.
    calls: u64,
}

/// State and signal of one discovery service.
struct Shared {
    state: Mutex<State>,
    /// Wakes the watches after each change of the list or of the health.
    changed: watch::Sender<()>,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn update(&self, endpoint: Endpoint) {
        self.state().endpoints.update(endpoint);
        self.changed.send_replace(());
    }
}

/// The port of one scheduler.
struct SchedulerPort {
    port: Port,
    /// Absent while it does not listen.
    server: Option<AbortOnDrop>,
}

/// A discovery service on loopback sockets; dropping it ends it.
pub struct Discovery {
    shared: Arc<Shared>,
    ports: Vec<Mutex<SchedulerPort>>,
}

impl Discovery {
    /// Starts a service with an empty list and a port for each scheduler.
    pub async fn start(schedulers: usize) -> io::Result<Discovery> {
        let state = State {
            endpoints: EndpointList::default(),
            health: Health::Up,
            update_delay: Duration::ZERO,
            calls: 0,
        };
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: watch::Sender::new(()) });
        let reserve = || Ok(Mutex::new(SchedulerPort { port: Port::reserve()?, server: None }));
        let ports = (0..schedulers).map(|_| reserve()).collect::<io::Result<_>>()?;
        let discovery = Discovery { shared, ports };
        (0..schedulers).try_for_each(|scheduler| discovery.listen(scheduler))?;
        Ok(discovery)
    }

    fn port(&self, scheduler: usize) -> MutexGuard<'_, SchedulerPort> {
        self.ports[scheduler].lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Where a scheduler reaches it.
    pub fn address(&self, scheduler: usize) -> SocketAddr {
        self.port(scheduler).port.address()
    }

    /// Stops listening for a scheduler; its connections end.
    pub fn stop_listening(&self, scheduler: usize) {
        self.port(scheduler).server = None;
    }

    /// Listens again for a scheduler.
    pub fn listen(&self, scheduler: usize) -> io::Result<()> {
        let port = &mut *self.port(scheduler);
        let listener = port.port.listen()?;
        port.server = Some(AbortOnDrop::spawn(server::serve(self.shared.clone(), listener, scheduler)));
        Ok(())
    }

    /// Moves to another port for a scheduler; the old one refuses connections, and its open ones end.
    pub fn move_to_new_port(&self, scheduler: usize) -> io::Result<SocketAddr> {
        let port = Port::reserve()?;
        let listener = port.listen()?;
        let address = port.address();
        let server = AbortOnDrop::spawn(server::serve(self.shared.clone(), listener, scheduler));
        *self.port(scheduler) = SchedulerPort { port, server: Some(server) };
        Ok(address)
    }

    /// Sets how it answers from now on.
    pub fn set_health(&self, health: Health) {
        self.shared.state().health = health;
        self.shared.changed.send_replace(());
    }

    /// Sets how long after it is published a change is listed, from now on.
    pub fn set_update_delay(&self, delay: Duration) {
        self.shared.state().update_delay = delay;
    }

    /// Answers in another way for `duration`, and normally after it.
    pub async fn fail_for(&self, health: Health, duration: Duration) {
        self.set_health(health);
        sleep(duration).await;
        self.set_health(Health::Up);
    }

    /// Number of calls answered so far.
    pub fn calls(&self) -> u64 {
        self.shared.state().calls
    }

    /// Lists a worker as up.
    pub fn list_as_up(&self, worker: &Worker) {
        self.publish(Endpoint::of(worker, Lifecycle::Up));
    }

    /// Lists a worker as draining.
    pub fn list_as_draining(&self, worker: &Worker) {
        self.publish(Endpoint::of(worker, Lifecycle::Draining));
    }

    /// Removes a worker from the list.
    pub fn remove(&self, worker: &Worker) {
        self.publish(Endpoint::of(worker, Lifecycle::Removed));
    }

    /// Lists an endpoint after the update delay.
    pub fn publish(&self, endpoint: Endpoint) {
        let delay = self.shared.state().update_delay;
        if delay.is_zero() {
            return self.shared.update(endpoint);
        }
        let shared = self.shared.clone();
        tokio::spawn(async move {
            sleep(delay).await;
            shared.update(endpoint);
        });
    }
}
