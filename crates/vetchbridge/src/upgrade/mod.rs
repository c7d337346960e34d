//! Upgrades: the old and the new process of one scheduler, as one.
//!
//! A process that starts first asks whether another serves at its place ([`take_over`]): it is handed the clients'
//! listener itself, so that no connection queued there is lost, the peers' socket, and the list of workers as last
//! told. From [`HandoverMessage::Taken`] on the old one accepts nothing; each of its client connections follows as soon as it is
//! between two requests. Callbacks reach whichever process has the job, and an id that is open in either is open.
//!
//! This file owns the hand-over socket and the links. It must never end a process: a successor that breaks off leaves
//! the old one as it was, and the old one ends when it is told to.

pub mod message;
pub mod process_links;
pub mod socket;

use crate::clients::server::ClientServer;
use crate::discovery::document::{EndpointDocument, EndpointList};
use crate::engine::Engine;
use crate::lifecycle::clock::Lifecycle;
use crate::lifecycle::state::State;
use crate::upgrade::process_links::{Forwarded, Link, Message, ProcessLinks};
use crate::workers::UpstreamGroup;
use message::{in_messages, HandoverMessage, Offer, LONGEST, VERSION};
use socket::{HandoverListener, HandoverSocket};
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::fd::{AsFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc::Receiver;
use tokio::time::{sleep, timeout};
use tracing::{debug, info, warn};

/// How long a predecessor may take over its whole offer. A new process has 6 s in all.
const OFFERED_WITHIN: Duration = Duration::from_secs(3);
/// How long a process that connects may take to say what it wants.
const HELLO_WITHIN: Duration = Duration::from_secs(1);
/// How often the other process is told how many client connections there are.
const COUNT_EVERY: Duration = Duration::from_millis(100);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What a predecessor handed over.
pub struct Inheritance {
    /// The clients' listener.
    pub listener: TcpListener,
    /// The peers' socket.
    pub peers: Option<UdpSocket>,
    /// What else it said.
    pub offer: Offer,
    /// The list of workers.
    pub listing: EndpointDocument,
    /// The way to the predecessor.
    pub wire: HandoverSocket,
}

/// What was found at the hand-over path.
pub enum Found {
    /// This scheduler's process, which has handed over.
    Predecessor(Box<Inheritance>),
    /// Nobody that lives, or nobody that answers.
    Nobody,
    /// A process that lives, and is no predecessor of this one.
    Stranger,
}

/// Asks the process that serves at this place to hand over.
pub async fn take_over(path: &Path, name: &str, listen: SocketAddr) -> Found {
    let wire = match HandoverSocket::dial(path) {
        Ok(wire) => wire,
        Err(error) => {
            // A file that a crash or anyone else left behind is worth a line.
            if error.kind() != io::ErrorKind::NotFound {
                info!(path = %path.display(), %error, "upgrade.nobody");
            }
            return Found::Nobody;
        }
    };
    match timeout(OFFERED_WITHIN, inherit(wire, name, listen)).await {
        Ok(Ok(Ok(inheritance))) => Found::Predecessor(Box::new(inheritance)),
        Ok(Ok(Err(reason))) => {
            warn!(path = %path.display(), reason, "upgrade.refused");
            Found::Stranger
        }
        // It died in the middle of it, perhaps; its place is free then.
        Ok(Err(reason)) => {
            warn!(path = %path.display(), reason, "upgrade.broke.off");
            Found::Nobody
        }
        Err(_) => {
            warn!(path = %path.display(), "upgrade.unanswered");
            Found::Nobody
        }
    }
}

/// What the process there hands over, or why it won't; the outer error is that it said neither.
async fn inherit(
    wire: HandoverSocket,
    name: &str,
    listen: SocketAddr,
) -> Result<Result<Inheritance, String>, String> {
    let said = |error: io::Error| error.to_string();
    let hello = HandoverMessage::Hello { version: VERSION, name: name.to_string(), listen };
    wire.send(&hello.write(), &[]).await.map_err(said)?;
    let mut buffer = vec![0; LONGEST];
    let mut next = async || -> Result<Message, String> {
        let received = wire.receive(&mut buffer).await.map_err(said)?;
        let (bytes, descriptors) = received.ok_or("it broke off")?;
        Ok((HandoverMessage::read(&buffer[..bytes])?, descriptors))
    };
    let (offer, mut descriptors) = match next().await? {
        (HandoverMessage::Offer(offer), descriptors) => (offer, descriptors.into_iter()),
        (HandoverMessage::Refused(reason), _) => return Ok(Err(reason)),
        (word, _) => return Err(format!("unexpected word {word:?}")),
    };
    let listener = TcpListener::from(descriptors.next().ok_or("no listener came")?);
    let peers = descriptors.next().map(UdpSocket::from);
    let mut listing =
        EndpointDocument { generation: offer.generation.unwrap_or(0), reset: true, instances: Vec::new() };
    loop {
        match next().await? {
            (HandoverMessage::Entries(entries), _) if entries.is_empty() => break,
            (HandoverMessage::Entries(entries), _) => listing.instances.extend(entries),
            (word, _) => return Err(format!("unexpected word {word:?}")),
        }
    }
    Ok(Ok(Inheritance { listener, peers, offer, listing, wire }))
}

/// A process at work, as far as another one can take over from it.
pub struct HandoverServer {
    /// The scheduler's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The clients' listener.
    pub listener: TcpListener,
    /// The peers' socket.
    pub peers: Option<UdpSocket>,
    /// The list of workers.
    pub endpoint_list: Arc<Mutex<EndpointList>>,
    /// The lifecycle.
    pub lifecycle: Arc<Lifecycle>,
    /// The module at work.
    pub engine: Arc<Engine>,
    /// The upstream group.
    pub upstream: Arc<UpstreamGroup>,
    /// The front.
    pub client_server: Arc<ClientServer>,
    /// The other processes.
    pub process_links: Arc<ProcessLinks>,
}

impl HandoverServer {
    /// Tells the predecessor that this process serves from now on, and keeps in touch with it.
    pub fn taken(self: &Arc<Self>, inheritance: HandoverSocket, connections: usize) {
        let (link, queue) = Link::new();
        link.note(&HandoverMessage::Holds(connections));
        self.enter(&link);
        link.say(HandoverMessage::Taken, Vec::new());
        let handover_server = self.clone();
        tokio::spawn(async move { handover_server.keep(inheritance, link, queue).await });
    }

    /// Hands over to whoever asks at this path, where the door is published, for as long as the process lives.
    pub async fn receive(self: Arc<Self>, path: PathBuf, mut listener: HandoverListener) {
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok(wire) => drop(tokio::spawn(self.clone().host(wire))),
                    Err(error) => {
                        warn!(%error, "upgrade.turned.away");
                        sleep(ACCEPT_PAUSE).await;
                    }
                },
                // It may have put itself in this one's place before it went.
                () = self.process_links.gone() => if !self.process_links.has_successor() {
                    let opened = HandoverListener::open(&path).and_then(|mut listener| listener.publish(&path).map(|()| listener));
                    match opened {
                        Ok(opened) => listener = opened,
                        Err(error) => warn!(path = %path.display(), %error, "upgrade.impossible"),
                    }
                },
            }
        }
    }

    /// One process that has come: an offer if it is this scheduler's successor, and what follows.
    async fn host(self: Arc<Self>, wire: HandoverSocket) {
        let mut buffer = vec![0; LONGEST];
        let hello = match timeout(HELLO_WITHIN, wire.receive(&mut buffer)).await {
            Ok(Ok(Some((bytes, _)))) => HandoverMessage::read(&buffer[..bytes]),
            Ok(Ok(None)) => return,
            Ok(Err(error)) => Err(error.to_string()),
            Err(_) => Err("it said nothing".to_string()),
        };
        drop(buffer);
        let refused = match hello {
            Ok(HandoverMessage::Hello { version: VERSION, name, listen }) => {
                let same = name == self.name && listen == self.listen;
                let handed_over =
                    self.process_links.has_successor().then(|| "it has handed over already".to_string());
                handed_over.or_else(|| (!same).then(|| format!("this is {} at {}", self.name, self.listen)))
            }
            Ok(HandoverMessage::Hello { version, .. }) => {
                Some(format!("words of version {version} are not understood, only {VERSION}"))
            }
            Ok(word) => Some(format!("unexpected word {word:?}")),
            Err(reason) => Some(reason),
        };
        if let Some(reason) = refused {
            warn!(reason, "upgrade.turned.away");
            let _ = timeout(HELLO_WITHIN, wire.send(&HandoverMessage::Refused(reason).write(), &[])).await;
            return;
        }
        let (link, queue) = Link::new();
        let offered = async {
            let ((instances, generation), source) = {
                let endpoint_list = self.endpoint_list.lock().unwrap_or_else(PoisonError::into_inner);
                (endpoint_list.whole(), endpoint_list.source())
            };
            let listed = instances.len();
            let messages = in_messages(instances);
            // A successor that can't be given all of the list asks for it as a whole.
            let whole = messages.iter().map(Vec::len).sum::<usize>() == listed;
            let offer = HandoverMessage::Offer(Offer {
                quiesced: self.lifecycle.quiesced(),
                source,
                generation: generation.filter(|_| whole),
                confirmed: self.lifecycle.state() != State::Starting,
                connections: self.client_server.connection_count(),
            });
            let mut descriptors = vec![self.listener.as_fd()];
            descriptors.extend(self.peers.as_ref().map(AsFd::as_fd));
            wire.send(&offer.write(), &descriptors).await?;
            for entries in messages.into_iter().chain([Vec::new()]) {
                wire.send(&HandoverMessage::Entries(entries).write(), &[]).await?;
            }
            io::Result::Ok(())
        };
        if !matches!(timeout(OFFERED_WITHIN, offered).await, Ok(Ok(()))) {
            return warn!("upgrade.offer.broke");
        }
        info!("upgrade.offered");
        self.enter(&link);
        self.keep(wire, link, queue).await;
    }

    /// Another process is there: it hears of what is open, and of all changes after it.
    fn enter(&self, link: &Arc<Link>) {
        self.process_links.add(link.clone());
        for id in self.engine.open_requests() {
            link.say(HandoverMessage::Opened(id.0), Vec::new());
        }
    }

    /// Carries words both ways until one side ends.
    async fn keep(&self, wire: HandoverSocket, link: Arc<Link>, mut queue: Receiver<Message>) {
        let reading = async {
            let mut buffer = vec![0; LONGEST];
            loop {
                match wire.receive(&mut buffer).await {
                    Ok(Some((bytes, descriptors))) => match HandoverMessage::read(&buffer[..bytes]) {
                        Ok(word) => self.heard(&link, word, descriptors),
                        Err(reason) => break warn!(reason, "upgrade.unreadable"),
                    },
                    Ok(None) => break,
                    Err(error) => break debug!(%error, "upgrade.broke"),
                }
            }
        };
        let writing = async {
            while let Some((word, beside)) = queue.recv().await {
                let descriptors: Vec<_> = beside.iter().map(AsFd::as_fd).collect();
                if let Err(error) = wire.send(&word.write(), &descriptors).await {
                    return debug!(%error, "upgrade.broke");
                }
            }
        };
        let counting = async {
            let mut told = 0;
            loop {
                let held = self.client_server.connection_count();
                if held != told {
                    told = held;
                    link.say(HandoverMessage::Holds(held), Vec::new());
                }
                sleep(COUNT_EVERY).await;
            }
        };
        tokio::select! {
            () = reading => {}
            () = writing => {}
            () = counting => {}
        }
        self.process_links.remove(&link);
        info!("upgrade.alone");
    }

    fn heard(&self, link: &Arc<Link>, word: HandoverMessage, descriptors: Vec<OwnedFd>) {
        link.note(&word);
        match word {
            HandoverMessage::Taken => {
                info!(
                    connections = self.client_server.connection_count(),
                    requests = self.engine.requests(),
                    "upgrade.taken"
                );
                self.process_links.succeeded(link.clone());
                // Idle connections to workers are the successor's to have.
                self.upstream.close_all_idle();
            }
            HandoverMessage::Connection { kept } => {
                descriptors.into_iter().for_each(|it| self.client_server.take_over_connection(it, kept))
            }
            HandoverMessage::Callback { number, callback } => {
                let (link, upstream, process_links) =
                    (link.clone(), self.upstream.clone(), self.process_links.clone());
                tokio::spawn(async move {
                    let forwarded = if upstream.called_back(&callback) {
                        Forwarded::Known
                    } else {
                        process_links.forward(&callback, Some(&link)).await
                    };
                    // Who asked waits no longer than for an answer, and takes silence for what it is.
                    if forwarded != Forwarded::Unanswered {
                        let known = forwarded == Forwarded::Known;
                        link.say(HandoverMessage::Heard { number, known }, Vec::new());
                    }
                });
            }
            _ => {}
        }
    }
}
