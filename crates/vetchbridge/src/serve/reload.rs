//! Reads the daemon's configuration again and applies it at each SIGHUP.
//!
//! A new document in the platform's format is checked against the document in force. An invalid configuration
//! is rejected as a whole.

use super::startup::SharedState;
use crate::config::{self, Config, ConfigError, Flags};
use crate::discovery::request::DiscoveryRequest;
use crate::logs::Logs;
use std::sync::{Arc, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::Notify;
use tracing::{error, info, warn};
use vetchbridge_scheduling::{EndpointUpdate, Event};

/// Applies a new configuration to those components that can change their settings while the daemon runs.
pub(super) struct Reloader {
    pub flags: Flags,
    pub logs: Logs,
    pub discovery_requests: UnboundedSender<DiscoveryRequest>,
    pub shared: SharedState,
}

impl Reloader {
    /// Reads the configuration again at each SIGHUP until the process ends. A process that drains or shuts
    /// down handles SIGHUP too, since it still places jobs on workers and needs an up-to-date endpoint list.
    pub async fn run(self, hangup: Arc<Notify>) {
        loop {
            hangup.notified().await;
            let in_force = self.shared.current_settings.get();
            match config::reload(&self.flags, in_force.platform_document.as_ref()) {
                Ok(config) => self.apply(config),
                Err(error) => log_rejection(&error),
            }
        }
    }

    /// Applies the settings, the source of the endpoint list and the log filter of a configuration. All other
    /// values take effect at the next start.
    fn apply(&self, config: Config) {
        let SharedState { engine, upstream, current_settings, endpoint_list } = &self.shared;
        if let Err(error) = self.logs.set_filter(&config.log.filter.0) {
            error!(%error, "log.filter_invalid");
        }
        let settings = config.settings_snapshot.settings.clone();
        let dial_timeout = Duration::from_micros(settings.limits.dial_timeout);
        upstream.set_timeouts(dial_timeout, config.settings_snapshot.worker_idle_timeout);
        upstream.set_load_report_settings(config.settings_snapshot.load_reports);
        let names = config.settings_snapshot.names.clone();
        let old = current_settings.swap(config.settings_snapshot);
        if old.settings != settings {
            engine.handle(Event::Settings(Box::new(settings)));
        }
        if (&old.names.zones, &old.names.machine_types) != (&names.zones, &names.machine_types) {
            // The scheduler has the endpoints with the old indices of zones and machine types. No job may be
            // placed by the old indices, so the endpoints are passed to the scheduler again with the new
            // indices.
            let endpoints = endpoint_list.lock().unwrap_or_else(PoisonError::into_inner).endpoints(&names);
            engine.handle(Event::Endpoints { update: EndpointUpdate::Renumbered, endpoints });
        }
        if self.discovery_requests.send(DiscoveryRequest::ChangeSource(config.endpoint_source)).is_err() {
            error!("discovery.absent");
        }
        info!(classes = names.classes.join(","), "configuration.applied");
    }
}

/// Logs each fault of a configuration that was rejected, and that the configuration in force stays.
pub(super) fn log_rejection(error: &ConfigError) {
    error.0.iter().for_each(|fault| error!(%fault, "configuration.invalid"));
    warn!(faults = error.0.len(), "configuration.unchanged");
}
