//! The state of a scheduler, and the dispatch of each event to the module that handles the event.

use crate::actions::Action;
use crate::admission::SlotsPerWeight;
use crate::completion::AttemptResult;
use crate::coordination::Coordinators;
use crate::endpoint_refresh::EndpointRefresh;
use crate::events::Event;
use crate::fleet::Fleet;
use crate::hot_keys::HotKeys;
use crate::ids::{Micros, TimerToken};
use crate::random::RandomSource;
use crate::request::PendingRequests;
use crate::retry::RetryBudget;
use crate::settings::{Settings, SettingsError};
use crate::timer::Timer;
use crate::worker::AttemptId;

/// The decision module of one scheduler: a state machine that takes events and returns actions.
pub struct Scheduler {
    pub(crate) settings: Settings,
    pub(crate) random: RandomSource,
    pub(crate) fleet: Fleet,
    pub(crate) requests: PendingRequests,
    pub(crate) hot_keys: HotKeys,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) slots_per_weight: SlotsPerWeight,
    pub(crate) coordinators: Coordinators,
    pub(crate) endpoint_refresh: EndpointRefresh,
}

impl Scheduler {
    /// Creates a scheduler that knows no worker yet. Its random numbers are derived from `seed`.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings do not pass [`Settings::check`].
    pub fn new(settings: Settings, seed: u64) -> Result<Scheduler, SettingsError> {
        settings.check()?;
        Ok(Scheduler {
            settings,
            random: RandomSource::new(seed),
            fleet: Fleet::default(),
            requests: PendingRequests::default(),
            hot_keys: HotKeys::default(),
            retry_budget: RetryBudget::default(),
            slots_per_weight: SlotsPerWeight::default(),
            coordinators: Coordinators::default(),
            endpoint_refresh: EndpointRefresh::default(),
        })
    }

    /// Handles one event at the time `now`, in microseconds, and appends the resulting actions to `actions`.
    /// The embedding program carries out the actions in order.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Endpoints { update, endpoints } => self.on_endpoints(now, update, endpoints, actions),
            Event::ListAge(age) => self.on_list_age(now, age, actions),
            Event::Request(request) => self.on_request(now, &request, actions),
            Event::AttemptFinished {
                request,
                attempt,
                worker,
                outcome,
                latency,
                request_closed,
                load: _,
            } => {
                let id = AttemptId { request, number: attempt };
                let result = AttemptResult { id, worker, outcome, latency, request_closed };
                self.on_attempt_finished(now, &result, actions);
            }
            Event::JobProgress { request, attempt, progress } => {
                self.on_job_progress(now, request, attempt, progress);
            }
            Event::StreamStarted { .. } | Event::Probed { .. } => {}
            Event::PeerMessage { from, data } => self.on_peer_message(now, from, &data, actions),
            Event::Settings(settings) => self.on_settings(*settings),
            Event::ClientDisconnected(request) => self.close(request, actions),
            Event::Timer(token) => self.on_timer(now, token, actions),
            Event::ShuttingDown => self.on_shutdown(now, actions),
        }
    }

    /// Replaces the settings. The scheduler keeps its pending requests and what it has learned about workers.
    /// A lower maximum number of attempts applies to pending requests too.
    fn on_settings(&mut self, settings: Settings) {
        self.requests.limit_attempts(settings.limits.max_attempts);
        self.settings = settings;
    }

    fn on_timer(&mut self, now: Micros, token: TimerToken, actions: &mut Vec<Action>) {
        match Timer::from(token) {
            Timer::Deadline(sequence) => self.on_deadline_timer(now, sequence, actions),
            Timer::Placement(sequence) => self.on_placement_timer(now, sequence, actions),
            Timer::EndpointPoll => self.on_endpoint_poll_timer(actions),
            Timer::AttemptCheck(sequence) => self.on_attempt_check_timer(now, sequence, actions),
        }
    }
}
