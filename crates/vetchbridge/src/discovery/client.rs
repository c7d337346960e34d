//! Discovery: the watch on the list of workers, and the list when the module asks for it.
//!
//! Owns the version last seen and the calls under way. News goes to the upstream group first and to the
//! module next, in the order it came; a call that fails becomes one `Failed` event and ends the watch until
//! the module subscribes again. Where lists are pushed, the module never subscribes, and a watch is what pushes them: it
//! is opened at the start and again whenever it ends. It must never ask unbidden otherwise (but for a move of discovery
//! itself), nor drop the list it has for one it can't read, nor compare versions of one discovery with those of another.

use crate::discovery::document::{EndpointDocument, EndpointList, Instance, Source};
use crate::discovery::request::DiscoveryRequest;
use crate::engine::Engine;
use crate::net::Connector;
use crate::snapshot::CurrentSettings;
use crate::workers::{UpstreamGroup, WorkerEndpoint};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::future::{pending, ready, Future};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};
use tracing::{debug, info, warn};
use vetchbridge_scheduling::interface::EndpointDelivery::Push as Pushed;
use vetchbridge_scheduling::interface::{Endpoint, EndpointState, EndpointUpdate, Event};

/// How long a watch may wait at discovery, and how much less at most: silence shows only at the end of the wait, and the
/// watches of all schedulers, which one change answers together, are not to end together as well.
const WATCH_WAIT: (Duration, Duration) = (Duration::from_millis(2000), Duration::from_millis(800));
/// How long its answer may take beyond that. What a silent watch missed counts as told 6 s after it fell silent: by then it
/// is known to be silent, the next call is out, and that may take as long as an answer may (docs/design/list-refresh.md).
const WATCH_MARGIN: Duration = Duration::from_secs(1);
/// How long an answer to a call that does not wait may take: longer than discovery itself lets a call wait for its turn,
/// since a call that is given up sooner may cost it its work all the same.
const ANSWER_WAIT: Duration = Duration::from_millis(2200);
/// So long after a call that follows a lost one, a second one is made while it is out: it may have been lost as well.
const HEDGE_AFTER: Duration = Duration::from_millis(1100);
/// A second call is made only in a tier of no more schedulers than this: discovery serves one call after another, and where
/// it is short of time, second calls of many keep all of them waiting.
const HEDGE_MAX_SCHEDULERS: u32 = 11;
/// How long a connection to discovery may take to come up.
const DIAL_WAIT: Duration = Duration::from_secs(2);
/// How long the rest of an answer may take once its head is here: what is written counts as told.
const REST_WAIT: Duration = Duration::from_millis(250);
/// Pause before a watch that pushes the list is opened anew: whoever pushes it serves this scheduler alone.
const PUSHED_AGAIN: Duration = Duration::from_millis(100);
/// Idle connections to discovery are closed after this.
const IDLE: Duration = Duration::from_secs(20);
/// The longest list.
const BODY_LIMIT: usize = 4 * 1024 * 1024;

/// A call under way, and the version that was in hand when it was made.
struct Call {
    version: Option<u64>,
    /// When a second one may be made; `None`: never.
    hedge_from: Option<Instant>,
    answer: Pin<Box<dyn Future<Output = Result<EndpointDocument, Failure>> + Send>>,
}

/// A call that failed, and what could be heard of its answer.
struct Failure {
    reason: String,
    /// Nothing at all came back. Discovery that has too many callers says so.
    lost: bool,
    /// The version that it named.
    generation: Option<u64>,
    /// The entries that came whole: what was written is told.
    instances: Vec<Instance>,
}

impl Failure {
    fn new(reason: String, text: &[u8]) -> Failure {
        let after = |key: &[u8]| {
            let start = text.windows(key.len()).position(|window| window == key)?;
            text.get(start + key.len()..)
        };
        let number = |rest: &[u8]| {
            let colon = rest.iter().position(|byte| *byte == b':')?;
            let mut numbers = serde_json::Deserializer::from_slice(&rest[colon + 1..]).into_iter::<u64>();
            let number = numbers.next()?.ok()?;
            // One that the text ends with may lack digits.
            (colon + 1 + numbers.byte_offset() < rest.len()).then_some(number)
        };
        let generation = after(b"\"generation\"").and_then(number);
        let mut instances: Vec<Instance> = Vec::new();
        let mut rest = after(b"\"instances\"").unwrap_or_default();
        // Up to the first entry, then from comma to comma; the one that broke off ends it.
        while let Some(next) = rest.iter().position(|byte| matches!(byte, b'[' | b',')) {
            let mut entries = serde_json::Deserializer::from_slice(&rest[next + 1..]).into_iter::<Instance>();
            let Some(Ok(instance)) = entries.next() else { break };
            rest = &rest[next + 1 + entries.byte_offset()..];
            instances.push(instance);
        }
        Failure { reason, lost: false, generation, instances }
    }

    /// Nothing came back.
    fn lost(reason: &str) -> Failure {
        Failure { lost: true, ..Failure::new(reason.to_string(), &[]) }
    }
}

/// The list that a process begins with.
pub struct InitialList {
    /// The list.
    pub listing: EndpointDocument,
    /// Its version is one at the discovery service that is followed; otherwise the whole list is taken first.
    pub versioned: bool,
    /// The process before this one hands it over, so that it is as new as that one's. A saved one may be of any age.
    pub inherited: bool,
}

/// Discovery as this scheduler sees it.
pub struct Discovery {
    source: Source,
    client: Client<Connector, Empty<Bytes>>,
    current: Arc<CurrentSettings>,
    engine: Arc<Engine>,
    upstream: Arc<UpstreamGroup>,
    endpoint_list: Arc<Mutex<EndpointList>>,
    /// The version last seen at this address; `None` before its first whole list.
    version: Option<u64>,
    /// The last call failed.
    failed: bool,
    /// Nothing came back of it.
    lost: bool,
    /// Whether the list is known to be no older than this process: any call was answered, or it was inherited.
    confirmed: watch::Sender<bool>,
    /// Watches opened so far.
    watches: u32,
}

impl Discovery {
    /// Tells the upstream group and the module the list that there is; nothing is asked yet.
    pub fn start(
        source: Source,
        current: Arc<CurrentSettings>,
        initial: InitialList,
        engine: Arc<Engine>,
        upstream: Arc<UpstreamGroup>,
        endpoint_list: Arc<Mutex<EndpointList>>,
    ) -> Discovery {
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE)
            .pool_timer(TokioTimer::new())
            .build(Connector::new(Some(DIAL_WAIT)));
        let mut discovery = Discovery {
            source,
            client,
            current,
            engine,
            upstream,
            endpoint_list,
            version: None,
            failed: false,
            lost: false,
            confirmed: watch::Sender::new(false),
            watches: 0,
        };
        discovery.endpoint_list().move_to(&discovery.source);
        discovery.begin_with(initial);
        discovery
    }

    fn begin_with(&mut self, initial: InitialList) {
        if let Source::Fixed(listing) = &self.source {
            // What the configuration itself lists is the whole list; nobody else is to be asked for it.
            return self.tell(EndpointUpdate::Snapshot, listing.clone());
        }
        self.version = initial.versioned.then_some(initial.listing.generation);
        let kind = if initial.inherited { EndpointUpdate::HandedOver } else { EndpointUpdate::Restored };
        self.pass_on(kind, self.version, &initial.listing.instances);
        self.confirmed.send_replace(initial.inherited);
    }

    /// Follows whether the list is known to be no older than this process.
    pub fn confirmed(&self) -> watch::Receiver<bool> {
        self.confirmed.subscribe()
    }

    /// Serves the module's asks for as long as the engine lives.
    pub async fn run(mut self, mut asks: UnboundedReceiver<DiscoveryRequest>) {
        let (mut watch, mut fetch): (Option<Call>, Option<Call>) = (None, None);
        // A second call while the watch's may have been lost, or after it has been.
        let mut hedge: Option<Call> = None;
        // Of a watch that pushes the list: when to open it.
        let mut reopen = Instant::now();
        let mut opens = false;
        loop {
            // Whose watch ended while lists were pushed has it opened here, also if they are to be asked for since: the
            // module was told of its end while it had nothing to ask for.
            opens = watch.is_none() && (opens || self.current.get().settings.endpoint_delivery == Pushed);
            let may_be_lost = watch.as_ref().and_then(|watch| watch.hedge_from);
            tokio::select! {
                () = sleep_until(reopen), if opens => watch = Some(self.watch()),
                ask = asks.recv() => match ask {
                    // After a move of discovery one is under way already.
                    Some(DiscoveryRequest::Subscribe(true)) if watch.is_some() => {}
                    Some(DiscoveryRequest::Subscribe(true)) => watch = Some(self.watch()),
                    Some(DiscoveryRequest::Subscribe(false)) => (watch, hedge) = (None, None),
                    Some(DiscoveryRequest::Fetch) => fetch = Some(self.whole()),
                    Some(DiscoveryRequest::Move(source)) if self.is_at(&source) => {}
                    Some(DiscoveryRequest::Move(source)) => {
                        info!(from = ?self.source, to = ?source, "discovery.moves");
                        (self.source, self.version) = (source, None);
                        self.endpoint_list().move_to(&self.source);
                        // What the old one still says is no news; its list stands until the new one's is here.
                        (watch, fetch, hedge) = (Some(self.watch()), None, None);
                    }
                    None => return,
                },
                () = lost(may_be_lost), if hedge.is_none() => {
                    hedge = watch.as_mut().map(|watch| {
                        watch.hedge_from = None;
                        self.hedge()
                    });
                }
                answer = under_way(&mut watch) => {
                    watch = None;
                    reopen = Instant::now() + PUSHED_AGAIN;
                    if self.news(answer) {
                        // At once: a watch goes on only if the next call follows within 200 ms.
                        (watch, hedge) = (Some(self.watch()), None);
                    }
                }
                answer = under_way(&mut hedge) => {
                    hedge = None;
                    match answer {
                        (version, Ok(listing)) => {
                            self.news((version, Ok(listing)));
                            watch = Some(self.watch());
                        }
                        // The first call tells of itself, or has. What came whole counts as told.
                        (_, Err(failure)) if failure.instances.is_empty() => {
                            debug!(reason = failure.reason, "discovery.hedge.failed");
                        }
                        (version, Err(failure)) => drop(self.news((version, Err(failure)))),
                    }
                }
                answer = under_way(&mut fetch) => {
                    fetch = None;
                    self.news(answer);
                }
            }
        }
    }

    /// Whether this is the service that is followed already. A fixed list is always taken anew.
    fn is_at(&self, source: &Source) -> bool {
        matches!((&self.source, source), (Source::Service(old), Source::Service(new)) if old == new)
    }

    /// A share of the whole that is another at each call and for each scheduler, evenly spread over all of them.
    fn phase(&mut self) -> f64 {
        const GOLDEN: f64 = 0.618_033_988_749_895;
        self.watches += 1;
        ((self.current.get().settings.scheduler_index + self.watches) as f64 * GOLDEN).fract()
    }

    /// The next call of a watch; the first at an address takes the whole list.
    fn watch(&mut self) -> Call {
        let Some(version) = self.version else { return self.whole() };
        if matches!(self.source, Source::Fixed(_)) {
            // It was told and can't change.
            return Call { version: self.version, hedge_from: None, answer: Box::pin(pending()) };
        }
        // Before the first answer, and after a call that failed, one that need not wait for news tells soonest.
        let at_once = self.failed || !*self.confirmed.borrow();
        let wait = if at_once { Duration::ZERO } else { WATCH_WAIT.0 - WATCH_WAIT.1.mul_f64(self.phase()) };
        let path = format!("/registry/instances?index={version}&wait={}", wait.as_millis());
        self.call(path, if at_once { ANSWER_WAIT } else { wait + WATCH_MARGIN })
    }

    /// A second call while one is out that may have been lost: it asks the same.
    fn hedge(&self) -> Call {
        let call = match self.version {
            Some(version) => self.call(format!("/registry/instances?index={version}&wait=0"), ANSWER_WAIT),
            None => self.whole(),
        };
        Call { hedge_from: None, ..call }
    }

    fn whole(&self) -> Call {
        self.call("/registry/instances".into(), ANSWER_WAIT)
    }

    fn call(&self, path: String, wait: Duration) -> Call {
        let address = match &self.source {
            Source::Service(address) => address,
            Source::Fixed(listing) => {
                let answer = Box::pin(ready(Ok(listing.clone())));
                return Call { version: self.version, hedge_from: None, answer };
            }
        };
        let (client, uri) = (self.client.clone(), format!("http://{address}{path}"));
        let dial_over = Instant::now() + DIAL_WAIT;
        let answer = Box::pin(async move {
            let request =
                Request::get(uri).body(Empty::new()).map_err(|e| Failure::new(e.to_string(), &[]))?;
            let response = match tokio::time::timeout(wait, client.request(request)).await {
                Ok(Ok(response)) if response.status() == StatusCode::OK => response,
                Ok(Ok(response)) => return Err(Failure::new(response.status().to_string(), &[])),
                Ok(Err(error)) if error.is_connect() && Instant::now() >= dial_over => {
                    return Err(Failure::lost("no connection"));
                }
                Ok(Err(error)) => return Err(Failure::new(error.to_string(), &[])),
                Err(_) => return Err(Failure::lost("no answer")),
            };
            let mut body = Limited::new(response.into_body(), BODY_LIMIT);
            let mut text = Vec::new();
            let rest_by = Instant::now() + REST_WAIT;
            loop {
                match tokio::time::timeout_at(rest_by, body.frame()).await {
                    Ok(Some(Ok(frame))) => text.extend_from_slice(frame.data_ref().map_or(&[], |data| data)),
                    Ok(None) => break,
                    Ok(Some(Err(error))) => return Err(Failure::new(error.to_string(), &text)),
                    Err(_) => return Err(Failure::new("the answer stopped short".to_string(), &text)),
                }
            }
            serde_json::from_slice(&text).map_err(|e| Failure::new(format!("unreadable list: {e}"), &text))
        });
        let few = self.current.get().settings.scheduler_count <= HEDGE_MAX_SCHEDULERS;
        let hedge_from = (self.lost && few).then(|| Instant::now() + HEDGE_AFTER);
        Call { version: self.version, hedge_from, answer }
    }

    /// Takes the answer to a call made with this version in hand; says whether it was one.
    fn news(&mut self, (asked, answer): (Option<u64>, Result<EndpointDocument, Failure>)) -> bool {
        self.failed = answer.is_err();
        self.lost = answer.as_ref().is_err_and(|failure| failure.lost);
        let older = |generation: u64| self.version.is_some_and(|version| generation < version);
        match answer {
            // Another call has brought a newer list meanwhile. A whole list whose version has gone back is believed
            // only where none has: the service has begun anew.
            Ok(listing) if older(listing.generation) && !(listing.reset && asked == self.version) => {
                debug!(version = listing.generation, "list.known");
            }
            Ok(listing) if listing.reset => self.tell(EndpointUpdate::Snapshot, listing),
            Ok(listing) => self.tell(EndpointUpdate::Changes, listing),
            Err(Failure { reason, generation, mut instances, .. }) => {
                // To heed who leaves can do no harm, whatever the version; who is up must not be older news.
                let newer = generation.is_some_and(|generation| !older(generation));
                instances.retain(|instance| newer || instance.state() != EndpointState::Ready);
                warn!(reason, entries = instances.len(), "discovery.failed");
                // With the failure and not before it: as changes they would count as an answer, and no pause would grow.
                self.pass_on(EndpointUpdate::Failed, None, &instances);
                return false;
            }
        }
        true
    }

    fn tell(&mut self, kind: EndpointUpdate, listing: EndpointDocument) {
        debug!(?kind, version = listing.generation, entries = listing.instances.len(), "list.told");
        self.version = Some(listing.generation);
        self.pass_on(kind, self.version, &listing.instances);
        self.confirmed.send_replace(true);
    }

    fn endpoint_list(&self) -> MutexGuard<'_, EndpointList> {
        self.endpoint_list.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn pass_on(&self, kind: EndpointUpdate, version: Option<u64>, instances: &[Instance]) {
        self.endpoint_list().tell(kind, version, instances);
        let names = &self.current.get().names;
        let members: Vec<Endpoint> = instances.iter().map(|i| i.endpoint(names)).collect();
        let entries = instances.iter().zip(&members);
        let entries = entries.map(|(i, m)| WorkerEndpoint {
            worker_id: m.worker,
            name: &i.instance_id,
            address: &i.host_port,
            state: m.state,
            started_at: m.started_at,
        });
        self.upstream.apply_endpoints(kind, entries);
        self.engine.handle(Event::Endpoints { update: kind, endpoints: members });
    }
}

/// Resolves once a call has been out for so long that it may have been lost.
async fn lost(from: Option<Instant>) {
    match from {
        Some(from) => sleep_until(from).await,
        None => pending().await,
    }
}

async fn under_way(call: &mut Option<Call>) -> (Option<u64>, Result<EndpointDocument, Failure>) {
    match call {
        Some(call) => (call.version, (&mut call.answer).await),
        None => pending().await,
    }
}
