//! A stand-in discovery service: it publishes the versioned endpoint list of the workers, lets schedulers
//! watch the list for changes, and injects scripted faults.
//!
//! The service listens on one port for each scheduler, so that each scheduler can receive its own addresses
//! of the workers, and so that the service can move to another port for one scheduler alone. A task for each
//! port owns the listener and its connections. The endpoint list contains the workers as they were published;
//! a change of a worker appears in the list once it is published.

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

/// How the stand-in discovery service responds to calls from schedulers. A call is a request for the endpoint
/// list, or a watch: a request that waits for a change of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseMode {
    /// The discovery service responds to a request for the endpoint list with the list, and to a watch with
    /// the changes since the version of the list that the watch names. A watch that names a version higher
    /// than the current one gets the list.
    Normal,
    /// The discovery service responds to every call with status 503; watches that wait for a change get the
    /// response immediately.
    Error,
    /// The discovery service resets the connection of every call instead of responding; it resets the
    /// connections of watches that wait for a change immediately.
    Reset,
    /// The discovery service accepts connections, keeps them open and responds to no call, watches that wait
    /// for a change included.
    Silent,
    /// The discovery service sends the head and the first half of the body of its response to a call, then
    /// closes the connection; watches that wait for a change get this response immediately.
    Truncate,
}

/// The state of the discovery service, which the tasks of all its ports share.
struct State {
    endpoints: EndpointList,
    response_mode: ResponseMode,
    /// Time from the publication of a worker's change until the endpoint list contains the change.
    update_delay: Duration,
    /// Number of calls from schedulers handled so far; a watch counts when its wait ends.
    calls: u64,
}

/// The state of one discovery service, and the signal that wakes its waiting watches.
struct Shared {
    state: Mutex<State>,
    /// Wakes the waiting watches after each change of the endpoint list or of `response_mode`.
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

/// The port on which the service listens for one scheduler.
struct SchedulerPort {
    port: Port,
    /// The task that serves the scheduler on the port; `None` while the service does not listen on the port.
    server: Option<AbortOnDrop>,
}

/// A discovery service on loopback sockets; dropping the value ends the service.
pub struct Discovery {
    shared: Arc<Shared>,
    ports: Vec<Mutex<SchedulerPort>>,
}

impl Discovery {
    /// Starts a discovery service with an empty endpoint list and a port for each of `schedulers` schedulers.
    pub async fn start(schedulers: usize) -> io::Result<Discovery> {
        let state = State {
            endpoints: EndpointList::default(),
            response_mode: ResponseMode::Normal,
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

    /// Returns the address at which a scheduler reaches the service; schedulers are numbered from 0.
    pub fn address(&self, scheduler: usize) -> SocketAddr {
        self.port(scheduler).port.address()
    }

    /// Stops listening on the port for one scheduler and ends the scheduler's connections to the service.
    pub fn stop_listening(&self, scheduler: usize) {
        self.port(scheduler).server = None;
    }

    /// Starts to listen on the port for one scheduler.
    pub fn listen(&self, scheduler: usize) -> io::Result<()> {
        let port = &mut *self.port(scheduler);
        let listener = port.port.listen()?;
        port.server = Some(AbortOnDrop::spawn(server::serve(self.shared.clone(), listener, scheduler)));
        Ok(())
    }

    /// Moves the service to a new port for one scheduler and returns the new address. The old port refuses
    /// connections from then on, and its open connections end.
    pub fn move_to_new_port(&self, scheduler: usize) -> io::Result<SocketAddr> {
        let port = Port::reserve()?;
        let listener = port.listen()?;
        let address = port.address();
        let server = AbortOnDrop::spawn(server::serve(self.shared.clone(), listener, scheduler));
        *self.port(scheduler) = SchedulerPort { port, server: Some(server) };
        Ok(address)
    }

    /// Sets how the service responds to calls from schedulers, starting at once.
    pub fn set_response_mode(&self, mode: ResponseMode) {
        self.shared.state().response_mode = mode;
        self.shared.changed.send_replace(());
    }

    /// Sets the time from the publication of a change until the endpoint list contains the change. The new
    /// time applies to changes published later.
    pub fn set_update_delay(&self, delay: Duration) {
        self.shared.state().update_delay = delay;
    }

    /// Lets the discovery service respond to calls as `mode` states for `duration`, then sets the mode
    /// [`ResponseMode::Normal`].
    pub async fn fail(&self, mode: ResponseMode, duration: Duration) {
        self.set_response_mode(mode);
        sleep(duration).await;
        self.set_response_mode(ResponseMode::Normal);
    }

    /// Returns the number of calls from schedulers handled so far; a watch counts when its wait ends.
    pub fn calls(&self) -> u64 {
        self.shared.state().calls
    }

    /// Publishes a worker as up.
    pub fn list_as_up(&self, worker: &Worker) {
        self.publish(Endpoint::of(worker, Lifecycle::Up));
    }

    /// Publishes a worker as draining.
    pub fn list_as_draining(&self, worker: &Worker) {
        self.publish(Endpoint::of(worker, Lifecycle::Draining));
    }

    /// Publishes a worker as removed; the complete endpoint list no longer contains the worker.
    pub fn remove(&self, worker: &Worker) {
        self.publish(Endpoint::of(worker, Lifecycle::Removed));
    }

    /// Adds an endpoint to the endpoint list, or replaces the endpoint of the same name, after the update
    /// delay.
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
