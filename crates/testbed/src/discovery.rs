//! Discovery: the list of workers as a service, with watches by version, and all the ways in which it fails.
//!
//! One port for each scheduler, so that each can be told its own addresses and be moved on its own. One task owns the
//! listeners and their connections. It must never look at a worker: it knows what it was told.

use crate::wire::Wire;
use crate::worker::Worker;
use crate::{Owned, Port};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// The longest wait that a watch may ask for.
const LONGEST_WAIT: u64 = 60_000;

/// One entry of the list.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The worker's name.
    pub name: String,
    /// Where each scheduler reaches it.
    pub addresses: Vec<SocketAddr>,
    /// Its zone.
    pub zone: String,
    /// Its kind of machine.
    pub kind: String,
    /// Its cell.
    pub cell: u32,
    /// `up`, `draining` or `removed`.
    pub lifecycle: &'static str,
    /// Its size.
    pub weight: f64,
    /// When it last started, in Unix milliseconds.
    pub started_at_ms: u64,
}

impl Entry {
    /// A worker's entry.
    pub fn of(worker: &Worker, lifecycle: &'static str) -> Entry {
        let spec = worker.spec();
        Entry {
            name: spec.name.clone(),
            addresses: worker.addresses(),
            zone: spec.zone.clone(),
            kind: spec.kind.clone(),
            cell: spec.cell,
            lifecycle,
            weight: spec.weight,
            started_at_ms: worker.started_at_ms(),
        }
    }

    fn json(&self, scheduler: usize) -> Value {
        let address = self.addresses.get(scheduler).map(SocketAddr::to_string).unwrap_or_default();
        json!({"instanceId": self.name, "hostPort": address, "zone": self.zone, "machineType": self.kind,
               "cell": self.cell, "lifecycle": self.lifecycle, "weight": self.weight,
               "startedAtMs": self.started_at_ms})
    }
}

/// How discovery answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// As it should.
    Up,
    /// 503 to every call; watches end so too.
    Failing,
    /// Every call's connection is reset; watches end so too.
    Resetting,
    /// Connections are accepted and hear nothing.
    Mute,
    /// An answer breaks off in its middle.
    Breaking,
}

struct State {
    generation: u64,
    entries: BTreeMap<String, (Entry, u64)>,
    health: Health,
    lateness: Duration,
    calls: u64,
}

struct Shared {
    state: Mutex<State>,
    /// Changes whenever a watch has something to look at.
    changed: watch::Sender<u64>,
}

/// See the head of this file.
pub struct Discovery {
    shared: Arc<Shared>,
    ports: Vec<Mutex<(Port, Option<Owned>)>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Discovery {
    /// Starts one with an empty list and a port for each scheduler.
    pub async fn start(schedulers: usize) -> io::Result<Discovery> {
        let state = State {
            generation: 1,
            entries: BTreeMap::new(),
            health: Health::Up,
            lateness: Duration::ZERO,
            calls: 0,
        };
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: watch::Sender::new(0) });
        let ports =
            (0..schedulers).map(|_| Ok(Mutex::new((Port::reserve()?, None)))).collect::<io::Result<_>>()?;
        let discovery = Discovery { shared, ports };
        (0..schedulers).try_for_each(|scheduler| discovery.go_up(scheduler))?;
        Ok(discovery)
    }

    /// Where a scheduler reaches it.
    pub fn address(&self, scheduler: usize) -> SocketAddr {
        lock(&self.ports[scheduler]).0.address()
    }

    /// Stops listening for a scheduler; its connections end.
    pub fn go_down(&self, scheduler: usize) {
        lock(&self.ports[scheduler]).1 = None;
    }

    /// Listens again.
    pub fn go_up(&self, scheduler: usize) -> io::Result<()> {
        let port = &mut *lock(&self.ports[scheduler]);
        let listener = port.0.listen()?;
        port.1 = Some(Owned::spawn(serve(self.shared.clone(), listener, scheduler)));
        Ok(())
    }

    /// Moves to another address for a scheduler; the old one refuses from now on, and its connections end.
    pub fn move_away(&self, scheduler: usize) -> io::Result<SocketAddr> {
        let port = Port::reserve()?;
        let listener = port.listen()?;
        let (address, server) = (port.address(), serve(self.shared.clone(), listener, scheduler));
        *lock(&self.ports[scheduler]) = (port, Some(Owned::spawn(server)));
        Ok(address)
    }

    /// Answers in this way from now on.
    pub fn health(&self, health: Health) {
        lock(&self.shared.state).health = health;
        self.shared.changed.send_modify(|at| *at += 1);
    }

    /// Learns of changes so much later, from now on.
    pub fn lateness(&self, lateness: Duration) {
        lock(&self.shared.state).lateness = lateness;
    }

    /// Is out of reach in this way for so long, and then answers again.
    pub async fn out_for(&self, how: Health, lasts: Duration) {
        self.health(how);
        sleep(lasts).await;
        self.health(Health::Up);
    }

    /// Calls answered so far.
    pub fn calls(&self) -> u64 {
        lock(&self.shared.state).calls
    }

    /// Lists a worker as up.
    pub fn up(&self, worker: &Worker) {
        self.tell(Entry::of(worker, "up"));
    }

    /// Lists a worker as draining.
    pub fn draining(&self, worker: &Worker) {
        self.tell(Entry::of(worker, "draining"));
    }

    /// Takes a worker off the list.
    pub fn remove(&self, worker: &Worker) {
        self.tell(Entry::of(worker, "removed"));
    }

    /// Takes an entry in, after the lateness that is in force.
    pub fn tell(&self, entry: Entry) {
        let lateness = lock(&self.shared.state).lateness;
        if lateness.is_zero() {
            return self.shared.tell(entry);
        }
        let shared = self.shared.clone();
        tokio::spawn(async move {
            sleep(lateness).await;
            shared.tell(entry);
        });
    }
}

impl Shared {
    fn tell(&self, entry: Entry) {
        {
            let state = &mut *lock(&self.state);
            state.generation += 1;
            state.entries.insert(entry.name.clone(), (entry, state.generation));
        }
        self.changed.send_modify(|at| *at += 1);
    }

    /// The answer to a call: the whole list, or what is newer than a version.
    fn list(&self, scheduler: usize, since: Option<u64>) -> Value {
        let state = lock(&self.state);
        let since = since.filter(|since| *since <= state.generation);
        let listed = state.entries.values().filter(|(entry, at)| match since {
            Some(since) => *at > since,
            None => entry.lifecycle != "removed",
        });
        let instances: Vec<Value> = listed.map(|(entry, _)| entry.json(scheduler)).collect();
        json!({"generation": state.generation, "reset": since.is_none(), "instances": instances})
    }

    fn health(&self) -> Health {
        lock(&self.state).health
    }
}

async fn serve(shared: Arc<Shared>, listener: tokio::net::TcpListener, scheduler: usize) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                connections.spawn(connection(shared.clone(), Wire::new(stream), scheduler));
            },
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
        }
    }
}

async fn connection(shared: Arc<Shared>, mut wire: Wire, scheduler: usize) {
    while let Some(call) = wire.read().await {
        let number = |name: &str| {
            let (_, query) = call.target().split_once('?')?;
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
        };
        let (since, wait) = (number("index"), number("wait").unwrap_or(0).min(LONGEST_WAIT));
        if let Some(since) = since {
            let mut changed = shared.changed.subscribe();
            let newer = async {
                loop {
                    changed.borrow_and_update();
                    let generation = lock(&shared.state).generation;
                    if generation != since
                        || shared.health() != Health::Up
                        || changed.changed().await.is_err()
                    {
                        return;
                    }
                }
            };
            let _ = timeout(Duration::from_millis(wait), newer).await;
        }
        lock(&shared.state).calls += 1;
        let body = shared.list(scheduler, since).to_string();
        let written = match shared.health() {
            Health::Up => wire.answer(200, "", &body).await,
            Health::Failing => wire.answer(503, "", "").await,
            Health::Resetting => return wire.reset(),
            Health::Mute => return wire.closed().await,
            Health::Breaking => {
                let half = &body[..body.len() / 2];
                let _ = wire
                    .write(&format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{half}", body.len()))
                    .await;
                return;
            }
        };
        if written.is_err() {
            return;
        }
    }
}
