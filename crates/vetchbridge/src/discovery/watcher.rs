//! The endpoint watcher: calls the discovery service and publishes each update of the endpoint list.
//!
//! The watcher owns the last known generation of the endpoint list and the calls in flight to the discovery
//! service. It publishes updates in the order in which responses arrive, each to the upstream group first and
//! then to the decision module. A call that fails causes one `Failed` update and ends the watch until the
//! decision module subscribes again, after its backoff. If lists are pushed, the decision module never
//! subscribes: the watch delivers the pushed lists, and the watcher opens a watch at the start and whenever
//! the watch has ended.
//!
//! The watcher makes every other call at the decision module's request, or after a change of the discovery
//! service's address. The watcher never replaces the list by an unreadable list, and never compares the
//! generations of two services.

use crate::discovery::answer::{Answer, SlowProgress};
use crate::discovery::client::{CallError, DiscoveryClient, Query};
use crate::discovery::document::{EndpointDocument, EndpointSource, Instance};
use crate::discovery::endpoint_list::EndpointList;
use crate::discovery::freshness::{ListFreshness, Pace};
use crate::discovery::leaving::LeavingWorkers;
use crate::discovery::partial::PartialDocument;
use crate::discovery::request::DiscoveryRequest;
use crate::discovery::schedule::{CallOutcome, DiscoverySchedule, RESPONSE_TIMEOUT};
use crate::discovery::slow_answers::{SlowAnswers, SlowCallProgress};
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
use vetchbridge_scheduling::{Endpoint, EndpointState, EndpointUpdate, Event, ListAge};

/// The endpoint list that the process has at its start.
pub struct InitialEndpoints {
    /// The entries of the endpoint list and their generation.
    pub document: EndpointDocument,
    /// Whether the generation of the endpoint list was assigned by the discovery service that is currently
    /// configured. Otherwise the watcher fetches the complete list first.
    pub generation_valid: bool,
    /// Whether a predecessor process handed over the endpoint list, and either discovery had confirmed the
    /// list to the predecessor or the predecessor already served without a confirmation. Otherwise the list
    /// may be of any age.
    pub confirmed_by_predecessor: bool,
}

/// A call to the discovery service that is in flight.
struct Call {
    /// The generation of the watcher's endpoint list when the call to the discovery service was made.
    base_generation: Option<u64>,
    /// When the call to the discovery service is to be hedged by a second call; `None` if the call is not
    /// hedged.
    hedge_at: Option<Instant>,
    result: Pin<Box<dyn Future<Output = Result<Answer, CallError>> + Send>>,
}

/// The result of a finished call to the discovery service.
struct CallResult {
    /// The generation of the watcher's endpoint list when the call to the discovery service was made.
    base_generation: Option<u64>,
    result: Result<Answer, CallError>,
}

/// Keeps the daemon's endpoint list up to date from one source at a time, and publishes each update of the
/// list.
pub struct EndpointWatcher {
    source: EndpointSource,
    client: DiscoveryClient,
    schedule: DiscoverySchedule,
    settings: Arc<CurrentSettings>,
    engine: Arc<Engine>,
    upstream: Arc<UpstreamGroup>,
    endpoint_list: Arc<Mutex<EndpointList>>,
    /// The generation of the endpoint list that was last published from the current source; `None` before the
    /// first complete list from this source.
    generation: Option<u64>,
    /// Whether the published endpoint list is confirmed, as [`Self::confirmed`] defines it.
    confirmed: watch::Sender<bool>,
    watch: Option<Call>,
    /// The hedge: a second call to the discovery service, made because the watch call may have been lost. The
    /// hedge may outlive the watch call.
    hedge: Option<Call>,
    fetch: Option<Call>,
    slow_answers: SlowAnswers,
    leaving: LeavingWorkers,
    freshness: ListFreshness,
    /// What the decision module knows of the age of the endpoint list.
    list_age: ListAge,
}

impl EndpointWatcher {
    /// Creates a watcher and publishes the initial endpoint list. Makes no call to the discovery service;
    /// [`Self::run`] does.
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
            slow_answers: SlowAnswers::default(),
            leaving: LeavingWorkers::default(),
            freshness: ListFreshness::new(Instant::now()),
            list_age: ListAge::Current,
        };
        watcher.endpoint_list().change_source(&watcher.source);
        watcher.publish_initial(initial);
        watcher
    }

    fn publish_initial(&mut self, initial: InitialEndpoints) {
        if let EndpointSource::Fixed(document) = &self.source {
            // The endpoint list in the configuration is complete, and no discovery service has to be called.
            return self.accept_document(EndpointUpdate::Snapshot, document.clone());
        }
        self.generation = initial.generation_valid.then_some(initial.document.generation);
        let update = if initial.confirmed_by_predecessor {
            EndpointUpdate::HandedOver
        } else {
            EndpointUpdate::Restored
        };
        self.publish(update, self.generation, &initial.document.instances);
        self.confirmed.send_replace(initial.confirmed_by_predecessor);
    }

    /// Returns a receiver of whether the published endpoint list is confirmed. The list is confirmed if a
    /// call has returned a complete document since the start, the list comes from the configuration, or a
    /// predecessor process handed over a confirmed list.
    pub fn confirmed(&self) -> watch::Receiver<bool> {
        self.confirmed.subscribe()
    }

    /// Handles requests and follows the source of the endpoint list until all senders of requests are
    /// dropped.
    pub async fn run(mut self, mut requests: UnboundedReceiver<DiscoveryRequest>) {
        loop {
            let delivery = self.settings.get().settings.endpoint_delivery;
            self.schedule.update_reopening(self.watch.is_some(), delivery);
            let hedge_at = self.watch.as_ref().and_then(|watch| watch.hedge_at);
            let expires_at = self.freshness.expires_at();
            self.upstream.set_list_expiry(expires_at);
            self.update_list_age(expires_at);
            tokio::select! {
                () = wait_until(self.schedule.reopen_at()) => self.open_watch(),
                request = requests.recv() => match request {
                    Some(request) => self.handle_request(request),
                    None => return,
                },
                () = wait_until(hedge_at), if self.hedge.is_none() => self.open_hedge(),
                call_result = wait_for_result(&mut self.watch) => self.handle_watch_result(call_result),
                call_result = wait_for_result(&mut self.hedge) => self.handle_hedge_result(call_result),
                call_result = wait_for_result(&mut self.fetch) => self.handle_fetch_result(call_result),
                Some(slow) = self.slow_answers.next() => self.handle_slow_progress(slow),
                () = wait_until(expires_at), if self.list_age == ListAge::Current => {}
            }
        }
    }

    fn handle_request(&mut self, request: DiscoveryRequest) {
        match request {
            // After a change of the source of the endpoint list, a watch on the new source may be open
            // already.
            DiscoveryRequest::Subscribe if self.watch.is_some() => {}
            DiscoveryRequest::Subscribe => self.open_watch(),
            DiscoveryRequest::Unsubscribe => {
                (self.watch, self.hedge) = (None, None);
                self.slow_answers.clear();
            }
            DiscoveryRequest::Fetch => self.fetch = Some(self.call_for_complete_list()),
            DiscoveryRequest::ChangeSource(source) => self.change_source(source),
        }
    }

    /// Follows another source of the endpoint list. Cancels the calls to the previous source and keeps its
    /// list until the new source has responded.
    fn change_source(&mut self, source: EndpointSource) {
        if self.is_current_service(&source) {
            return;
        }
        info!(from = ?self.source, to = ?source, "discovery.address_changed");
        (self.source, self.generation) = (source, None);
        self.endpoint_list().change_source(&self.source);
        (self.fetch, self.hedge) = (None, None);
        self.slow_answers.clear();
        self.leaving.clear();
        self.freshness = ListFreshness::new(Instant::now());
        self.open_watch();
    }

    /// Tells the decision module if the endpoint list has expired, or may be used again.
    fn update_list_age(&mut self, expires_at: Option<Instant>) {
        let is_expired = expires_at.is_some_and(|expires_at| Instant::now() >= expires_at);
        let age = if is_expired { ListAge::Outdated } else { ListAge::Current };
        if age != self.list_age {
            self.list_age = age;
            warn!(?age, "endpoints.age_changed");
            self.engine.handle(Event::ListAge(age));
        }
    }

    /// Whether `source` is the discovery service that the watcher already follows. Returns false for a list
    /// in the configuration, which is always published again.
    fn is_current_service(&self, source: &EndpointSource) -> bool {
        use EndpointSource::Service;
        matches!((&self.source, source), (Service(current), Service(new)) if current == new)
    }

    /// Makes the next watch call to the source of the endpoint list. The first call to a source requests the
    /// complete endpoint list.
    fn open_watch(&mut self) {
        let call = match (self.generation, &self.source) {
            (None, _) => self.call_for_complete_list(),
            // An endpoint list in the configuration has been published already and can't change, so the watch
            // call for it never ends.
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

    /// Hedges the watch call to the discovery service by a second call, which has the same query but requests
    /// an immediate response.
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
            EndpointSource::Fixed(document) => {
                let answer = Answer { document: document.clone(), answered_at: Instant::now() };
                self.new_call(ready(Ok(answer)))
            }
        }
    }

    fn new_call(&self, result: impl Future<Output = Result<Answer, CallError>> + Send + 'static) -> Call {
        Call { base_generation: self.generation, hedge_at: None, result: Box::pin(result) }
    }

    fn handle_watch_result(&mut self, call_result: CallResult) {
        self.watch = None;
        self.schedule.record_watch_end(Instant::now());
        if self.handle_result(call_result) {
            // The discovery service treats the next call as part of the same watch only if the call arrives
            // within 200 ms.
            self.hedge = None;
            self.open_watch();
        }
    }

    fn handle_hedge_result(&mut self, call_result: CallResult) {
        self.hedge = None;
        match &call_result.result {
            // The watch call that was hedged reports its own failure; a report of the hedge's failure would
            // count the failure twice.
            Err(error) if !error.may_bring_entries() => {
                debug!(reason = %error, "discovery.hedge_failed");
            }
            _ => {
                if self.handle_result(call_result) {
                    self.open_watch();
                }
            }
        }
    }

    fn handle_fetch_result(&mut self, call_result: CallResult) {
        self.fetch = None;
        self.handle_result(call_result);
    }

    /// Publishes the update of the endpoint list in the result of a call to the discovery service. Returns
    /// whether the result was a complete endpoint document.
    fn handle_result(&mut self, call_result: CallResult) -> bool {
        match call_result.result {
            Ok(answer) => {
                self.handle_answer(call_result.base_generation, answer, Pace::Normal);
                true
            }
            Err(error) => {
                let timed_out_without_response = error.timed_out_without_response();
                let outcome =
                    if timed_out_without_response { CallOutcome::NoResponse } else { CallOutcome::Failed };
                self.schedule.record_outcome(outcome);
                if !matches!(error, CallError::Incomplete(_)) && self.slow_answers.is_empty() {
                    self.freshness.record_unreachable();
                }
                self.handle_failure(call_result.base_generation, error);
                false
            }
        }
    }

    fn handle_answer(&mut self, base_generation: Option<u64>, answer: Answer, pace: Pace) {
        self.schedule.record_outcome(CallOutcome::Succeeded);
        self.freshness.record_answer(answer.answered_at, pace);
        self.handle_document(base_generation, answer.document);
    }

    /// Publishes what has arrived of an answer that takes long.
    fn handle_slow_progress(&mut self, slow: SlowCallProgress) {
        let base_generation = slow.base_generation;
        match slow.progress {
            SlowProgress::Arrived(partial, answer) => {
                let entries = self.usable_entries(partial);
                self.publish_partial(&entries);
                self.slow_answers.read_on(base_generation, answer);
            }
            SlowProgress::Ended(Ok(answer)) => {
                debug!(elapsed = ?answer.answered_at.elapsed(), "discovery.slow_answer_complete");
                self.handle_answer(base_generation, answer, Pace::Slow);
            }
            SlowProgress::Ended(Err(error)) => {
                debug!(reason = %error, "discovery.slow_answer_failed");
                let entries = self.usable_entries(error.into_parts().0);
                self.publish_partial(&entries);
            }
        }
    }

    fn publish_partial(&self, entries: &[Instance]) {
        if !entries.is_empty() {
            self.publish(EndpointUpdate::Partial, None, entries);
        }
    }

    fn handle_document(&mut self, base_generation: Option<u64>, document: EndpointDocument) {
        // A complete endpoint list with a lower generation shows that the discovery service was reset, but
        // only if no other call has changed the watcher's generation in the meantime. Otherwise the received
        // list is older than the published list.
        let service_was_reset = document.reset && base_generation == self.generation;
        if self.is_older(document.generation) && !service_was_reset {
            debug!(generation = document.generation, "endpoints.stale_update");
            return;
        }
        if self.is_older(document.generation) {
            self.leaving.clear();
        }
        let update = if document.reset { EndpointUpdate::Snapshot } else { EndpointUpdate::Changes };
        self.accept_document(update, document);
    }

    fn handle_failure(&mut self, base_generation: Option<u64>, error: CallError) {
        let reason = error.to_string();
        let (partial, slow_answer) = error.into_parts();
        let instances = self.usable_entries(partial);
        warn!(reason, entries = instances.len(), "discovery.failed");
        // The received entries are published as part of the `Failed` update: a `Changes` update would count
        // as a successful response of discovery and end the decision module's backoff.
        self.publish(EndpointUpdate::Failed, None, &instances);
        if let Some(answer) = slow_answer {
            self.freshness.record_slow_answer();
            self.slow_answers.read_on(base_generation, answer);
        }
    }

    /// Returns the entries of an incomplete document that may be published, and remembers those of leaving
    /// workers.
    fn usable_entries(&mut self, partial: PartialDocument) -> Vec<Instance> {
        let PartialDocument { generation, mut instances } = partial;
        // An entry of a worker that is leaving is used whatever the document's generation is. An entry of a
        // ready worker is used only if the document has a generation that is no lower than the published
        // generation.
        let recent = generation.filter(|generation| !self.is_older(*generation));
        let is_ready_by =
            |generation, instance: &Instance| !self.leaving.contains_after(generation, &instance.instance_id);
        instances.retain(|instance| {
            instance.endpoint_state() != EndpointState::Ready
                || recent.is_some_and(|generation| is_ready_by(generation, instance))
        });
        if let Some(generation) = recent {
            self.leaving.record(generation, &instances);
        }
        instances
    }

    fn is_older(&self, generation: u64) -> bool {
        self.generation.is_some_and(|known| generation < known)
    }

    /// Publishes an endpoint document and records its generation.
    fn accept_document(&mut self, update: EndpointUpdate, document: EndpointDocument) {
        let (generation, entries) = (document.generation, document.instances.len());
        debug!(?update, generation, entries, "endpoints.updated");
        self.generation = Some(generation);
        self.publish(update, self.generation, &document.instances);
        let overtaken = self.leaving.retain_after(generation);
        self.publish_partial(&overtaken);
        self.confirmed.send_replace(true);
    }

    /// Applies an update of the endpoint list to the copy of the list that is kept for a successor process,
    /// then to the upstream group, then to the decision module.
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

/// Waits until `time`; forever if `time` is `None`.
async fn wait_until(time: Option<Instant>) {
    match time {
        Some(time) => sleep_until(time).await,
        None => pending().await,
    }
}

/// Waits for the result of `call` to the discovery service; forever if `call` is `None`.
async fn wait_for_result(call: &mut Option<Call>) -> CallResult {
    match call {
        Some(call) => CallResult { base_generation: call.base_generation, result: (&mut call.result).await },
        None => pending().await,
    }
}
