//! The daemon's life: owns the start, the wiring and the end of the program; it must never touch a request.

use crate::admin;
use crate::clients::server::ClientServer;
use crate::config::{self, Config, Flags};
use crate::discovery::client::{Discovery, InitialList};
use crate::discovery::document::{EndpointList, Source};
use crate::discovery::request::DiscoveryRequest;
use crate::engine::Engine;
use crate::invariants::violations;
use crate::lifecycle::clock::Lifecycle;
use crate::logs::Logs;
use crate::net::retry_for;
use crate::peers;
use crate::signals::{CaughtSignals, SignalNotices};
use crate::snapshot::CurrentSettings;
use crate::upgrade::process_links::ProcessLinks;
use crate::upgrade::socket::HandoverListener;
use crate::upgrade::{self, Found, HandoverServer, Inheritance};
use crate::workers::UpstreamGroup;
use serde_json::Value;
use std::error::Error;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::os::fd::AsFd;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout, Instant};
use tracing::{error, info, warn};
use vetchbridge_scheduling::interface::{EndpointUpdate, Event};
use vetchbridge_scheduling::scheduler::{Scheduler, CONFIRM_WITHIN};

/// Connections that the kernel keeps for us until they are accepted; it takes `net.core.somaxconn` if that is less. More
/// workers than this would have to call back in one moment.
const BACKLOG: u32 = 4096;
/// One descriptor in so many, at most, is out on a probe: a quarter of those that are not for client connections.
const PROBES: usize = 8;
/// After SIGTERM, the listener stays at least this long: new connections keep arriving.
const LISTEN_ON: Duration = Duration::from_millis(900);
/// Nothing must be owed for this long before the program ends; the last answers leave the socket meanwhile.
const QUIET: Duration = Duration::from_millis(100);

/// So much longer the clients of the last answers have to close their side: to end over what is unread would take those
/// answers back.
const LAST_WORDS: Duration = Duration::from_millis(200);

/// Runs the daemon in the foreground until it is told to end and nothing is owed.
pub async fn run(
    mut config: Config,
    flags: Flags,
    logs: Logs,
    signals: CaughtSignals,
) -> Result<(), Box<dyn Error>> {
    let SignalNotices { hangup, terminate } = signals.watch()?;
    let found = match &config.handover {
        Some(path) => upgrade::take_over(path, &config.name, config.listen).await,
        None => Found::Nobody,
    };
    let inheritance = match found {
        Found::Predecessor(inheritance) => Some(*inheritance),
        Found::Nobody => None,
        Found::Stranger => {
            // Its place is left to it; this process can't be taken over from.
            config.handover = None;
            None
        }
    };
    let process_links = Arc::new(ProcessLinks::default());
    let lifecycle = Arc::new(Lifecycle::begin(inheritance.as_ref().is_some_and(|it| it.offer.quiesced)));
    if let Some(address) = config.admin {
        let door = claim(address, || listen(address, false)).await?;
        info!(address = %door.local_addr()?, "admin.listens");
        tokio::spawn(admin::serve(
            door,
            lifecycle.clone(),
            process_links.clone(),
            admin::callers(config.sockets),
        ));
    }
    let keeper = lifecycle.clone();
    tokio::spawn(async move { keeper.keep_time().await });
    let handover_server = start(config, inheritance, hangup, flags, logs, (lifecycle, process_links)).await?;

    terminate.notified().await;
    handover_server.lifecycle.terminate(handover_server.client_server.longest_deadline());
    sleep(LISTEN_ON).await;
    let mut quiet_since = Instant::now();
    let mut leaving = false;
    let lingers = |quiet: Duration| {
        handover_server.client_server.has_lingering_connections() && quiet < QUIET + LAST_WORDS
    };
    while quiet_since.elapsed() < QUIET || lingers(quiet_since.elapsed()) {
        sleep(QUIET / 10).await;
        if !leaving && !handover_server.lifecycle.state().takes() {
            leaving = true;
            handover_server.engine.handle(Event::ShuttingDown);
        }
        // Clients use a connection for as long as it stays open; who has none is dealt to another scheduler.
        let serves_on = handover_server.client_server.connection_count() > 0
            && !handover_server.lifecycle.state().closes_idle();
        if handover_server.client_server.has_pending_responses()
            || handover_server.process_links.behind()
            || serves_on
        {
            quiet_since = Instant::now();
        }
    }
    info!(violations = violations(), "daemon.ended");
    Ok(())
}

/// Takes hold of an address; waits for a while where another process has it, or the machine can't give it just now.
async fn claim<T>(address: SocketAddr, hold: impl Fn() -> io::Result<T>) -> Result<T, String> {
    let held = retry_for(&address.to_string(), hold).await;
    held.map_err(|error| format!("{address}: {error}"))
}

/// Listens at an address; `shared`: beside another process of this scheduler, should one be there.
fn listen(address: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(shared)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// What a new configuration may change in a process at work.
struct Tuned {
    /// The platform's document in force, if it is one.
    document: Option<Value>,
    asks: UnboundedSender<DiscoveryRequest>,
    engine: Arc<Engine>,
    upstream: Arc<UpstreamGroup>,
    current: Arc<CurrentSettings>,
    endpoint_list: Arc<Mutex<EndpointList>>,
}

impl Tuned {
    /// Reads the configuration again at each SIGHUP, to the very end: while it drains, the scheduler still places jobs
    /// and needs the list. What can't be used changes nothing at all.
    async fn reload_on(mut self, hangup: Arc<Notify>, flags: Flags, logs: Logs) {
        loop {
            hangup.notified().await;
            match config::reload(&flags, self.document.as_ref()) {
                Ok(config) => self.take(config, &logs),
                Err(error) => {
                    error.0.iter().for_each(|fault| error!(%fault, "configuration.refused"));
                    warn!(faults = error.0.len(), "configuration.kept");
                }
            }
        }
    }

    /// Settings, discovery and the log's filter change, in one step; all else is for the next start.
    fn take(&mut self, config: Config, logs: &Logs) {
        if let Err(error) = logs.refilter(&config.log.filter.0) {
            error!(error, "log.filter.refused");
        }
        let settings = config.snapshot.settings.clone();
        let dial_timeout = Duration::from_micros(settings.limits.dial_timeout);
        self.upstream.retime(dial_timeout, config.snapshot.conn_idle);
        self.upstream.read_reports(config.snapshot.reports);
        let names = config.snapshot.names.clone();
        let old = self.current.swap(config.snapshot);
        if old.settings != settings {
            self.engine.handle(Event::Settings(Box::new(settings)));
        }
        self.document = config.document;
        if (&old.names.zones, &old.names.kinds) != (&names.zones, &names.kinds) {
            // The list in hand was told under other indices; until it is told anew, no job may be placed by it.
            let endpoints =
                self.endpoint_list.lock().unwrap_or_else(PoisonError::into_inner).endpoints(&names);
            self.engine.handle(Event::Endpoints { update: EndpointUpdate::Renumbered, endpoints });
        }
        if self.asks.send(DiscoveryRequest::Move(config.source)).is_err() {
            error!("discovery.absent");
        }
        info!(classes = names.classes.join(","), "configuration.read");
    }
}

/// Puts everything to work, on what a predecessor handed over where there is one.
async fn start(
    config: Config,
    inheritance: Option<Inheritance>,
    hangup: Arc<Notify>,
    flags: Flags,
    logs: Logs,
    (lifecycle, process_links): (Arc<Lifecycle>, Arc<ProcessLinks>),
) -> Result<Arc<HandoverServer>, Box<dyn Error>> {
    // Not there for others to find before the listener is ours.
    let mut door = None;
    if let Some(path) = config.handover.as_deref() {
        match retry_for("handover", || HandoverListener::open(path)).await {
            Ok(opened) => door = Some(opened),
            Err(error) => warn!(path = %path.display(), %error, "upgrade.impossible"),
        }
    }
    let shared = config.handover.is_some() && door.is_none();
    let (mut from, mut socket, mut rest) = (None, None, None);
    let mut initial = InitialList { listing: config.known, versioned: true, inherited: false };
    if let Some(Inheritance { listener, peers, offer, listing, wire }) = inheritance {
        listener.set_nonblocking(true)?;
        (from, socket) = (Some(TcpListener::from_std(listener)?), peers);
        let same = matches!(config.source, Source::Service(address) if Some(address) == offer.source);
        initial = InitialList {
            listing,
            versioned: same && offer.generation.is_some(),
            inherited: offer.confirmed,
        };
        rest = Some((wire, offer.connections));
    }
    let listener = match from {
        Some(listener) => listener,
        None => claim(config.listen, || listen(config.listen, shared)).await?,
    };
    let spare = retry_for("listener", || listener.as_fd().try_clone_to_owned()).await?;
    let spare = std::net::TcpListener::from(spare);
    let peers = match config.peers {
        Some(peers) => {
            let address = peers.listen;
            let socket = match socket {
                Some(socket) => Ok(socket),
                None => claim(address, || UdpSocket::bind(address)).await,
            };
            Some((peers, socket))
        }
        None => None,
    };
    // Before anyone hears that this process serves: the next one must not find its predecessor.
    if let (Some(door), Some(path)) = (&mut door, &config.handover) {
        door.publish(path)?;
    }
    info!(name = config.name, inherited = rest.is_some(), address = %listener.local_addr()?, "daemon.listens");

    let (asks, asked) = unbounded_channel();
    let (messages, outgoing) = unbounded_channel();
    let endpoint_list = Arc::new(Mutex::new(EndpointList::default()));
    let scheduler = Scheduler::new(config.snapshot.settings.clone(), config.seed)?;
    let dial_timeout = Duration::from_micros(config.snapshot.settings.limits.dial_timeout);
    let probes = (config.sockets / PROBES).max(1);
    let upstream = Arc::new(UpstreamGroup::new(dial_timeout, config.snapshot.conn_idle, probes));
    upstream.read_reports(config.snapshot.reports);
    let engine = Engine::new(scheduler, upstream.clone(), asks.clone(), messages);
    let current = Arc::new(CurrentSettings::new(config.snapshot));
    let tuned = Tuned {
        document: config.document,
        asks,
        engine: engine.clone(),
        upstream: upstream.clone(),
        current: current.clone(),
        endpoint_list: endpoint_list.clone(),
    };
    tokio::spawn(tuned.reload_on(hangup, flags, logs));
    tokio::spawn(engine.clone().run_timers());
    let peers = peers.and_then(|(config, socket)| {
        let socket = socket.and_then(|socket| {
            let spare = socket.try_clone().map_err(|error| error.to_string())?;
            let peers = peers::run(config, socket, engine.clone(), process_links.clone(), outgoing);
            tokio::spawn(peers.map_err(|error| error.to_string())?);
            Ok(spare)
        });
        socket.map_err(|error| error!(error, "peer_socket.failed")).ok()
    });
    let discovery = Discovery::start(
        config.source,
        current.clone(),
        initial,
        engine.clone(),
        upstream.clone(),
        endpoint_list.clone(),
    );
    let mut confirmed = discovery.confirmed();
    tokio::spawn(discovery.run(asked));
    let client_server = ClientServer::new(
        engine.clone(),
        upstream.clone(),
        current,
        config.sockets,
        config.memory,
        lifecycle.clone(),
        process_links.clone(),
    );
    tokio::spawn(client_server.clone().serve(listener));
    let (name, listen) = (config.name, spare.local_addr()?);
    let handover_server = HandoverServer {
        name,
        listen,
        listener: spare,
        peers,
        endpoint_list,
        lifecycle,
        engine,
        upstream,
        client_server,
        process_links,
    };
    let handover_server = Arc::new(handover_server);
    if *confirmed.borrow() {
        handover_server.lifecycle.started();
    } else {
        let lifecycle = handover_server.lifecycle.clone();
        tokio::spawn(async move {
            // If no answer comes, the module sends by the saved list from then on: there is no better one.
            let wait = Duration::from_micros(CONFIRM_WITHIN);
            let _ = timeout(wait, confirmed.wait_for(|confirmed| *confirmed)).await;
            lifecycle.started();
        });
    }
    if let Some((wire, connections)) = rest {
        handover_server.taken(wire, connections);
    }
    if let (Some(door), Some(path)) = (door, config.handover) {
        tokio::spawn(handover_server.clone().receive(path, door));
    }
    Ok(handover_server)
}
