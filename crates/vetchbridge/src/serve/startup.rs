//! Creates the daemon's components, using the state that a predecessor process handed over if there is one,
//! connects the components and starts their tasks.

use super::reload::Reloader;
use super::sockets::{InheritedSockets, Sockets};
use super::ServeError;
use crate::clients::server::ClientServer;
use crate::config::{Config, Flags, Peers};
use crate::discovery::document::{EndpointDocument, EndpointSource};
use crate::discovery::endpoint_list::EndpointList;
use crate::discovery::request::DiscoveryRequest;
use crate::discovery::watcher::{EndpointWatcher, InitialEndpoints};
use crate::engine::Engine;
use crate::lifecycle::clock::Lifecycle;
use crate::logs::Logs;
use crate::memory::MemoryBudget;
use crate::peers::{self, OutgoingMessage};
use crate::snapshot::{CurrentSettings, SettingsSnapshot};
use crate::upgrade::process_links::ProcessLinks;
use crate::upgrade::socket::HandoverSocket;
use crate::upgrade::{HandoverServer, InheritedState};
use crate::workers::UpstreamGroup;
use std::net::UdpSocket;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::{watch, Notify};
use tokio::time::timeout;
use tracing::{error, info};
use vetchbridge_scheduling::{Scheduler, LIST_CONFIRMATION_TIMEOUT};

/// Number of file descriptors of the process for each concurrent health check of a worker. Health checks thus
/// use at most an eighth of the descriptors, which is half of the minimum share of connections to workers.
const DESCRIPTORS_PER_PROBE: usize = 8;

/// The inputs of [`start`].
pub(super) struct Startup {
    pub config: Config,
    pub flags: Flags,
    pub logs: Logs,
    /// Notified at each SIGHUP.
    pub hangup: Arc<Notify>,
    /// The state that a predecessor process handed over, if there was one.
    pub inherited: Option<InheritedState>,
    pub lifecycle: Arc<Lifecycle>,
    pub process_links: Arc<ProcessLinks>,
}

/// The connection to a predecessor process, kept after this process has inherited the predecessor's sockets
/// and endpoint list.
struct Predecessor {
    socket: HandoverSocket,
    /// Number of client connections that the predecessor had when the predecessor sent its offer.
    connections: usize,
    replies_to_sync: bool,
}

/// The sockets and the endpoint list that the process starts with, inherited from a predecessor process if
/// one handed over its sockets and endpoint list.
struct InitialState {
    sockets: InheritedSockets,
    initial_endpoints: InitialEndpoints,
    predecessor: Option<Predecessor>,
}

/// The engine and the state that several components share.
#[derive(Clone)]
pub(super) struct SharedState {
    pub engine: Arc<Engine>,
    pub upstream: Arc<UpstreamGroup>,
    pub current_settings: Arc<CurrentSettings>,
    pub endpoint_list: Arc<Mutex<EndpointList>>,
}

/// Opens the sockets, connects all components and starts their tasks.
pub(super) async fn start(startup: Startup) -> Result<Arc<HandoverServer>, ServeError> {
    let Startup { mut config, flags, logs, hangup, inherited, lifecycle, process_links } = startup;
    let saved_endpoints = std::mem::take(&mut config.saved_list);
    let InitialState { sockets, initial_endpoints, predecessor } =
        initial_state(inherited, saved_endpoints, &config.endpoint_source);
    let Sockets { client_listener, listener_duplicate, handover_listener, peer_socket } =
        Sockets::open(&config, sockets).await?;
    let listen = listener_duplicate.local_addr().map_err(ServeError::ClientListener)?;
    info!(name = config.name, inherited = predecessor.is_some(), address = %listen, "daemon.listening");

    let (discovery_requests, queued_discovery_requests) = unbounded_channel();
    let (datagrams, queued_datagrams) = unbounded_channel();
    let max_sockets = config.max_sockets;
    let memory = MemoryBudget::new(config.max_memory);
    let scheduler = Scheduler::new(config.settings_snapshot.settings.clone(), config.seed)?;
    let shared = SharedState::new(
        scheduler,
        config.settings_snapshot,
        max_sockets,
        memory.clone(),
        discovery_requests.clone(),
        datagrams,
    );
    let reloader = Reloader { flags, logs, discovery_requests, shared: shared.clone() };
    tokio::spawn(reloader.run(hangup));
    tokio::spawn(shared.engine.clone().run_timers());
    let peer_socket = config.peers.zip(peer_socket).and_then(|(peers, socket)| {
        let started = start_peer_messages(peers, socket, &shared, &process_links, queued_datagrams);
        started.map_err(|error| error!(%error, "peer_socket.failed")).ok()
    });
    let list_confirmed =
        start_discovery(config.endpoint_source, initial_endpoints, &shared, queued_discovery_requests);
    let client_server = shared.client_server(max_sockets, memory, &lifecycle, &process_links);
    tokio::spawn(client_server.clone().serve(client_listener));
    let handover_server = Arc::new(HandoverServer {
        name: config.name,
        listen,
        listener: listener_duplicate,
        peer_socket,
        endpoint_list: shared.endpoint_list,
        current_settings: shared.current_settings,
        lifecycle,
        engine: shared.engine,
        upstream: shared.upstream,
        client_server,
        process_links,
    });
    start_serving(&handover_server.lifecycle, list_confirmed);
    if let Some(Predecessor { socket, connections, replies_to_sync }) = predecessor {
        handover_server.announce_takeover(socket, connections, replies_to_sync);
    }
    if let (Some(listener), Some(path)) = (handover_listener, config.handover_path) {
        tokio::spawn(handover_server.clone().run(path, listener));
    }
    Ok(handover_server)
}

/// Splits the state that a predecessor process handed over into its parts. Without a predecessor, the initial
/// endpoint list is the list that was saved in the configuration, which may be of any age.
fn initial_state(
    inherited: Option<InheritedState>,
    saved_endpoints: EndpointDocument,
    source: &EndpointSource,
) -> InitialState {
    let Some(InheritedState { listener, peer_socket, offer, endpoints, socket }) = inherited else {
        return InitialState {
            sockets: InheritedSockets::default(),
            initial_endpoints: InitialEndpoints {
                document: saved_endpoints,
                generation_valid: true,
                confirmed_by_predecessor: false,
            },
            predecessor: None,
        };
    };
    let same_source = matches!(source, EndpointSource::Service(address) if Some(*address) == offer.source);
    InitialState {
        sockets: InheritedSockets { client_listener: Some(listener), peer_socket },
        initial_endpoints: InitialEndpoints {
            document: endpoints,
            generation_valid: same_source && offer.generation.is_some(),
            confirmed_by_predecessor: offer.confirmed,
        },
        predecessor: Some(Predecessor {
            socket,
            connections: offer.connections,
            replies_to_sync: offer.replies_to_sync,
        }),
    }
}

impl SharedState {
    fn new(
        scheduler: Scheduler,
        snapshot: SettingsSnapshot,
        max_sockets: usize,
        memory: MemoryBudget,
        discovery_requests: UnboundedSender<DiscoveryRequest>,
        datagrams: UnboundedSender<OutgoingMessage>,
    ) -> SharedState {
        let dial_timeout = Duration::from_micros(snapshot.settings.limits.dial_timeout);
        let max_probes = (max_sockets / DESCRIPTORS_PER_PROBE).max(1);
        let upstream = UpstreamGroup::new(dial_timeout, snapshot.worker_idle_timeout, max_probes);
        let upstream = Arc::new(upstream.with_memory_budget(memory));
        upstream.set_load_report_settings(snapshot.load_reports);
        let engine = Engine::new(scheduler, upstream.clone(), discovery_requests, datagrams);
        let current_settings = Arc::new(CurrentSettings::new(snapshot));
        SharedState { engine, upstream, current_settings, endpoint_list: Arc::default() }
    }

    fn client_server(
        &self,
        max_sockets: usize,
        memory: MemoryBudget,
        lifecycle: &Arc<Lifecycle>,
        process_links: &Arc<ProcessLinks>,
    ) -> Arc<ClientServer> {
        ClientServer::new(
            self.engine.clone(),
            self.upstream.clone(),
            self.current_settings.clone(),
            max_sockets,
            memory,
            lifecycle.clone(),
            process_links.clone(),
        )
    }
}

/// Starts the exchange of datagrams with other schedulers. Returns a duplicate of the socket, to be handed
/// over to a successor process.
fn start_peer_messages(
    peers: Peers,
    socket: Result<UdpSocket, ServeError>,
    shared: &SharedState,
    process_links: &Arc<ProcessLinks>,
    datagrams: UnboundedReceiver<OutgoingMessage>,
) -> Result<UdpSocket, ServeError> {
    let socket = socket?;
    let duplicate = socket.try_clone().map_err(ServeError::PeerSocket)?;
    let messages = peers::run(peers, socket, shared.engine.clone(), process_links.clone(), datagrams);
    tokio::spawn(messages.map_err(ServeError::PeerSocket)?);
    Ok(duplicate)
}

/// Starts the endpoint watcher with the initial endpoint list. The returned receiver becomes true when the
/// list is confirmed.
fn start_discovery(
    source: EndpointSource,
    initial_endpoints: InitialEndpoints,
    shared: &SharedState,
    requests: UnboundedReceiver<DiscoveryRequest>,
) -> watch::Receiver<bool> {
    let discovery = EndpointWatcher::start(
        source,
        shared.current_settings.clone(),
        initial_endpoints,
        shared.engine.clone(),
        shared.upstream.clone(),
        shared.endpoint_list.clone(),
    );
    let confirmed = discovery.confirmed();
    tokio::spawn(discovery.run(requests));
    confirmed
}

/// Makes the process ready for clients when its endpoint list is confirmed, or after
/// [`LIST_CONFIRMATION_TIMEOUT`] without a confirmation.
fn start_serving(lifecycle: &Arc<Lifecycle>, mut list_confirmed: watch::Receiver<bool>) {
    if *list_confirmed.borrow() {
        return lifecycle.start_serving();
    }
    let lifecycle = lifecycle.clone();
    tokio::spawn(async move {
        // After the time limit the decision module uses the saved endpoint list, since discovery has provided
        // no newer list.
        let time_limit = Duration::from_micros(LIST_CONFIRMATION_TIMEOUT);
        let _ = timeout(time_limit, list_confirmed.wait_for(|confirmed| *confirmed)).await;
        lifecycle.start_serving();
    });
}
