//! The settings that are in force: an immutable snapshot that a configuration reload replaces as a whole.
//!
//! This module owns the current snapshot. A request uses one snapshot until the request ends: the snapshot
//! that was in force when the request was read. The configuration module validates a snapshot's values; this
//! module does not check them again.

use crate::workers::load_report::LoadReportSettings;
use serde_json::Value;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use vetchbridge_scheduling::{Class, ClassId, Idempotency, Settings, Tenant, TenantId};

/// The names that clients, workers and the discovery service use. The settings refer to each name by the
/// name's index in one of these tables.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NameTables {
    /// Names of zones.
    pub zones: Vec<String>,
    /// Names of machine types.
    pub machine_types: Vec<String>,
    /// Names of request classes.
    pub classes: Vec<String>,
    /// Names of tenants.
    pub tenants: Vec<String>,
}

/// One immutable version of the daemon's settings, with the names that the settings refer to.
pub struct SettingsSnapshot {
    /// The settings of the decision module.
    pub settings: Settings,
    /// The names that the indices in `settings` refer to.
    pub names: NameTables,
    /// Time after which a worker closes an idle connection that the daemon has opened to the worker.
    pub worker_idle_timeout: Duration,
    /// Which load reports of workers are used, and how their fields are interpreted.
    pub load_reports: LoadReportSettings,
    /// The platform's document that the settings come from, with null in place of its saved endpoint list;
    /// `None` if the configuration is a TOML file. A new document must not lack a key of the document in
    /// force.
    pub platform_document: Option<Value>,
}

impl SettingsSnapshot {
    /// Creates a snapshot of the settings. If the settings list tenants, one tenant without a name and
    /// without a quota is added for the requests of unlisted tenants, which must not use up a listed tenant's
    /// quota.
    pub fn new(
        mut settings: Settings,
        names: NameTables,
        worker_idle_timeout: Duration,
        load_reports: LoadReportSettings,
    ) -> SettingsSnapshot {
        if !settings.tenants.is_empty() {
            settings.tenants.push(Tenant { quota_per_second: 0.0 });
        }
        SettingsSnapshot { settings, names, worker_idle_timeout, load_reports, platform_document: None }
    }

    /// Returns the id of the tenant with this name. For an unlisted tenant, returns the id of the added
    /// tenant without a quota; if the settings list no tenants, returns tenant 0 for every request.
    pub fn tenant(&self, name: Option<&[u8]>) -> TenantId {
        let listed = self.names.tenants.iter().position(|known| Some(known.as_bytes()) == name);
        let unlisted = self.settings.tenants.len().saturating_sub(1);
        TenantId(listed.unwrap_or(unlisted) as u32)
    }

    /// Returns the request class with this name and its index; `None` if the settings have no class of this
    /// name.
    pub fn class(&self, name: &str) -> Option<(u32, &Class)> {
        let index = self.names.classes.iter().position(|known| known == name)?;
        Some((index as u32, self.settings.classes.get(index)?))
    }

    /// Whether a job of this class may run again after it has run.
    pub fn may_run_again(&self, class: ClassId) -> bool {
        let class = self.settings.classes.get(class.0 as usize);
        class.is_some_and(|class| class.idempotency == Idempotency::Idempotent)
    }

    /// Returns the longest deadline of all request classes.
    pub fn longest_deadline(&self) -> Duration {
        let longest = self.settings.classes.iter().map(|class| class.deadline).max();
        Duration::from_micros(longest.unwrap_or(0))
    }
}

/// The holder of the settings snapshot that is in force.
pub struct CurrentSettings(Mutex<Arc<SettingsSnapshot>>);

impl CurrentSettings {
    /// Creates the holder with the first settings snapshot.
    pub fn new(snapshot: SettingsSnapshot) -> CurrentSettings {
        CurrentSettings(Mutex::new(Arc::new(snapshot)))
    }

    /// Returns the settings snapshot that is in force.
    pub fn get(&self) -> Arc<SettingsSnapshot> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Puts another settings snapshot in force and returns the previous snapshot.
    pub fn swap(&self, snapshot: SettingsSnapshot) -> Arc<SettingsSnapshot> {
        let mut current = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::replace(&mut *current, Arc::new(snapshot))
    }
}
