//! The endpoint watcher: follows the discovery service and publishes what it learns.
//!
//! Owns the generation last seen and the calls that are out. Each update goes to the upstream group first and to the
//! scheduler next, in the order in which answers came. A call that fails becomes one `Failed` update and ends the watch
//! until the scheduler subscribes again, after its backoff. Where lists are pushed the scheduler never subscribes: the
//! watch is what pushes them, and the watcher opens it at the start and whenever it has ended.
//!
//! The watcher makes no other call unasked (but after a change of the service's address), never drops the list that it
//! has for one that it can't read, and never compares generations of two services.

use crate::discovery::client::{CallError, DiscoveryClient, Query};
use crate::discovery::document::{EndpointDocument, EndpointSource, Instance};
use crate::discovery::endpoint_list::EndpointList;
use crate::discovery::partial::PartialDocument;
use crate::discovery::request::DiscoveryRequest;
use crate::discovery::schedule::{CallOutcome, DiscoverySchedule, RESPONSE_TIMEOUT};
use crate::engine::Engine;
use crate::snapshot::CurrentSettings;
use crate::workers::{UpstreamGroup, WorkerEndpoint};
use std::future::{pending, ready, Future};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};
use tracing::{debug, info, warn};
use vetchbridge_scheduling::{Endpoint, EndpointState, EndpointUpdate, Event};

/// The list that a process starts from.
pub struct InitialEndpoints {
    /// The list.
    pub document: EndpointDocument,
    /// Whether its generation is one of the service that is followed; otherwise the complete list is fetched first.
    pub generation_valid: bool,
    /// Whether the predecessor process handed it over, so that it is as recent as the predecessor's. A saved list may be
    /// of any age.
    pub handed_over: bool,
}

/// A call that is out.
struct Call {
    /// The generation that was known when it was made.
    known_generation: Option<u64>,
    /// When it is to be hedged; `None` for never.
    hedge_at: Option<Instant>,
    response: Pin<Box<dyn Future<Output = Result<EndpointDocument, CallError>> + Send>>,
}

/// How a call ended.
struct Answer {
    /// The generation that was known when the call was made.
    known_generation: Option<u64>,
    result: Result<EndpointDocument, CallError>,
}

/// Follows the endpoint list of one source at a time; see the head of this file.
pub struct EndpointWatcher {
    source: EndpointSource,
    client: DiscoveryClient,
    schedule: DiscoverySchedule,
    settings: Arc<CurrentSettings>,
    engine: Arc<Engine>,
    upstream: Arc<UpstreamGroup>,
    endpoint_list: Arc<Mutex<EndpointList>>,
    /// The generation last published from this source; `None` before its first complete list.
    generation: Option<u64>,
    /// Whether the list is known to be no older than this process.
    confirmed: watch::Sender<bool>,
    watch: Option<Call>,
    /// A second call while the watch's may have been lost, or after it has been.
    hedge: Option<Call>,
    fetch: Option<Call>,
}

impl EndpointWatcher {
    /// Publishes the list that there is; no call is made yet.
    pub fn start(
        source: EndpointSource,
        settings: Arc<CurrentSettings>,
        initial: InitialEndpoints,
        engine: Arc<Engine>,
        upstream: Arc<UpstreamGroup>,
        endpoint_list: Arc<Mutex<EndpointList>>,
    ) -> EndpointWatcher {
        let mut watcher = EndpointWatcher {
            source,
            client: DiscoveryClient::new(),
            schedule: DiscoverySchedule::new(Instant::now()),
            settings,
            engine,
            upstream,
            endpoint_list,
            generation: None,
            confirmed: watch::Sender::new(false),
            watch: None,
            hedge: None,
            fetch: None,
        };
        watcher.endpoint_list().change_source(&watcher.source);
        watcher.publish_initial(initial);
        watcher
    }

    fn publish_initial(&mut self, initial: InitialEndpoints) {
        if let EndpointSource::Fixed(document) = &self.source {
            // The configuration's own list is complete, and there is no service to call.
            return self.accept_document(EndpointUpdate::Snapshot, document.clone());
        }
        self.generation = initial.generation_valid.then_some(initial.document.generation);
        let update = if initial.handed_over { EndpointUpdate::HandedOver } else { EndpointUpdate::Restored };
        self.publish(update, self.generation, &initial.document.instances);
        self.confirmed.send_replace(initial.handed_over);
    }

    /// Whether the list is known to be no older than this process: a call was answered, or the list was handed over.
    pub fn confirmed(&self) -> watch::Receiver<bool> {
        self.confirmed.subscribe()
    }

    /// Serves requests and follows the source until the senders of requests are gone.
    pub async fn run(mut self, mut requests: UnboundedReceiver<DiscoveryRequest>) {
        loop {
            let delivery = self.settings.get().settings.endpoint_delivery;
            self.schedule.update_reopening(self.watch.is_some(), delivery);
            let hedge_at = self.watch.as_ref().and_then(|watch| watch.hedge_at);
            tokio::select! {
                () = reached(self.schedule.reopen_at()) => self.open_watch(),
                request = requests.recv() => match request {
                    Some(request) => self.handle_request(request),
                    None => return,
                },
                () = reached(hedge_at), if self.hedge.is_none() => self.open_hedge(),
                answer = answered(&mut self.watch) => self.handle_watch_answer(answer),
                answer = answered(&mut self.hedge) => self.handle_hedge_answer(answer),
                answer = answered(&mut self.fetch) => self.handle_fetch_answer(answer),
            }
        }
    }

    fn handle_request(&mut self, request: DiscoveryRequest) {
        match request {
            // After a change of address one is open already.
            DiscoveryRequest::Subscribe if self.watch.is_some() => {}
            DiscoveryRequest::Subscribe => self.open_watch(),
            DiscoveryRequest::Unsubscribe => (self.watch, self.hedge) = (None, None),
            DiscoveryRequest::Fetch => self.fetch = Some(self.call_for_complete_list()),
            DiscoveryRequest::Move(source) => self.change_source(source),
        }
    }

    /// Follows another source. Calls to the old one are dropped; its list stands until the new one has answered.
    fn change_source(&mut self, source: EndpointSource) {
        if self.follows(&source) {
            return;
        }
        info!(from = ?self.source, to = ?source, "discovery.address_changed");
        (self.source, self.generation) = (source, None);
        self.endpoint_list().change_source(&self.source);
        (self.fetch, self.hedge) = (None, None);
        self.open_watch();
    }

    /// Whether this is the service that is followed already. A fixed list is always published again.
    fn follows(&self, source: &EndpointSource) -> bool {
        use EndpointSource::Service;
        matches!((&self.source, source), (Service(current), Service(new)) if current == new)
    }

    /// Makes the next call of the watch; the first one at a source takes the complete list.
    fn open_watch(&mut self) {
        let call = match (self.generation, &self.source) {
            (None, _) => self.call_for_complete_list(),
            // The list has been published and can't change.
            (Some(_), EndpointSource::Fixed(_)) => self.new_call(pending()),
            (Some(generation), EndpointSource::Service(_)) => {
                let scheduler_index = self.settings.get().settings.scheduler_index;
                let times = self.schedule.next_watch_times(scheduler_index, *self.confirmed.borrow());
                self.call(Query::ChangesSince { generation, wait: times.wait }, times.timeout)
            }
        };
        let scheduler_count = self.settings.get().settings.scheduler_count;
        let hedge_at = match self.source {
            EndpointSource::Service(_) => self.schedule.hedge_at(Instant::now(), scheduler_count),
            EndpointSource::Fixed(_) => None,
        };
        self.watch = Some(Call { hedge_at, ..call });
    }

    /// Makes a second call while the watch's may have been lost; it is the same but waits for no change.
    fn open_hedge(&mut self) {
        if let Some(watch) = &mut self.watch {
            watch.hedge_at = None;
        }
        self.hedge = Some(match self.generation {
            Some(generation) => {
                self.call(Query::ChangesSince { generation, wait: Duration::ZERO }, RESPONSE_TIMEOUT)
            }
            None => self.call_for_complete_list(),
        });
    }

    fn call_for_complete_list(&self) -> Call {
        self.call(Query::Complete, RESPONSE_TIMEOUT)
    }

    fn call(&self, query: Query, response_timeout: Duration) -> Call {
        match &self.source {
            EndpointSource::Service(address) => {
                self.new_call(self.client.call(*address, query, response_timeout))
            }
            EndpointSource::Fixed(document) => self.new_call(ready(Ok(document.clone()))),
        }
    }

    fn new_call(
        &self,
        response: impl Future<Output = Result<EndpointDocument, CallError>> + Send + 'static,
    ) -> Call {
        Call { known_generation: self.generation, hedge_at: None, response: Box::pin(response) }
    }

    fn handle_watch_answer(&mut self, answer: Answer) {
        self.watch = None;
        self.schedule.record_watch_end(Instant::now());
        if self.handle_answer(answer) {
            // At once: the service takes a call for the same watch only if it follows within 200 ms.
            self.hedge = None;
            self.open_watch();
        }
    }

    fn handle_hedge_answer(&mut self, answer: Answer) {
        self.hedge = None;
        match &answer.result {
            // The failure of the call that is hedged is reported by itself.
            Err(error) if !error.has_instances() => debug!(reason = %error, "discovery.hedge_failed"),
            _ => {
                if self.handle_answer(answer) {
                    self.open_watch();
                }
            }
        }
    }

    fn handle_fetch_answer(&mut self, answer: Answer) {
        self.fetch = None;
        self.handle_answer(answer);
    }

    /// Publishes what a call brought. Whether it was a document.
    fn handle_answer(&mut self, answer: Answer) -> bool {
        match answer.result {
            Ok(document) => {
                self.schedule.record_outcome(CallOutcome::Answered);
                self.handle_document(answer.known_generation, document);
                true
            }
            Err(error) => {
                let unanswered = error.is_unanswered();
                let outcome = if unanswered { CallOutcome::Unanswered } else { CallOutcome::Failed };
                self.schedule.record_outcome(outcome);
                self.handle_failure(error);
                false
            }
        }
    }

    fn handle_document(&mut self, known_generation: Option<u64>, document: EndpointDocument) {
        // A complete list whose generation has gone back is believed only if no other call has brought a list
        // meanwhile: the service has been reset.
        let service_was_reset = document.reset && known_generation == self.generation;
        if self.is_older(document.generation) && !service_was_reset {
            debug!(generation = document.generation, "endpoints.stale_update");
            return;
        }
        let update = if document.reset { EndpointUpdate::Snapshot } else { EndpointUpdate::Changes };
        self.accept_document(update, document);
    }

    fn handle_failure(&mut self, error: CallError) {
        let reason = error.to_string();
        let PartialDocument { generation, mut instances } = error.into_partial();
        // That a worker leaves is heeded whatever the generation; that one is ready must not be an older state.
        let is_recent = generation.is_some_and(|generation| !self.is_older(generation));
        instances.retain(|instance| is_recent || instance.endpoint_state() != EndpointState::Ready);
        warn!(reason, entries = instances.len(), "discovery.failed");
        // Together with the failure and not before it: as changes they would count as an answer and end the backoff.
        self.publish(EndpointUpdate::Failed, None, &instances);
    }

    fn is_older(&self, generation: u64) -> bool {
        self.generation.is_some_and(|known| generation < known)
    }

    /// Publishes a document, whose generation is the one to go on from.
    fn accept_document(&mut self, update: EndpointUpdate, document: EndpointDocument) {
        let (generation, entries) = (document.generation, document.instances.len());
        debug!(?update, generation, entries, "endpoints.updated");
        self.generation = Some(generation);
        self.publish(update, self.generation, &document.instances);
        self.confirmed.send_replace(true);
    }

    /// Notifies everyone who needs the list: the record for a successor, the upstream group, the scheduler.
    fn publish(&self, update: EndpointUpdate, generation: Option<u64>, instances: &[Instance]) {
        self.endpoint_list().apply(update, generation, instances);
        let names = &self.settings.get().names;
        let endpoints: Vec<Endpoint> = instances.iter().map(|instance| instance.to_endpoint(names)).collect();
        let workers = instances.iter().zip(&endpoints).map(|(instance, endpoint)| WorkerEndpoint {
            worker_id: endpoint.worker,
            name: &instance.instance_id,
            address: &instance.host_port,
            state: endpoint.state,
            started_at: endpoint.started_at,
        });
        self.upstream.apply_endpoints(update, workers);
        self.engine.handle(Event::Endpoints { update, endpoints });
    }

    fn endpoint_list(&self) -> MutexGuard<'_, EndpointList> {
        self.endpoint_list.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Resolves at this time; never if there is none.
async fn reached(time: Option<Instant>) {
    match time {
        Some(time) => sleep_until(time).await,
        None => pending().await,
    }
}

/// Resolves when the call has ended; never if there is none.
async fn answered(call: &mut Option<Call>) -> Answer {
    match call {
        Some(call) => Answer { known_generation: call.known_generation, result: (&mut call.response).await },
        None => pending().await,
    }
}
