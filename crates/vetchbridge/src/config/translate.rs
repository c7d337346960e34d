//! Translates a configuration file that is valid under the JSON Schema of its format into a [`Config`], and
//! reports the errors in the file that the schema can't find.
//!
//! This module maps the keys of the configuration file to the fields of the decision module's settings.

use super::file::{
    Attempts, File, Follow, FreeSlots, Group, Load, Prices, QueueOrder, Repeat, Rules, Weights,
};
use super::platform::DEFAULT_CONN_IDLE;
use super::text::Text;
use super::{Config, ConfigError, Fault, Peers};
use crate::discovery::document::{EndpointDocument, EndpointSource, Instance, InstanceState};
use crate::snapshot::{NameTables, SettingsSnapshot};
use crate::workers::load_report::{self, LoadReportSettings};
use std::collections::BTreeSet;
use vetchbridge_scheduling::{
    Class, DeduplicationScope, EndpointDelivery, Idempotency, LoadReportSource, MachineTypeId, Settings,
    Tenant, ZoneId,
};

/// Translates a configuration file into a [`Config`]. `text` is the file's text, from which errors get their
/// positions. Returns all errors in the file that the schema can't find, in the order of their positions in
/// the text.
pub(super) fn config(file: &File, text: &Text<'_>) -> Result<Config, ConfigError> {
    Translation { file, text, faults: Vec::new() }.config()
}

/// Translates a configuration file into a [`Config`] and collects the errors found in the file.
struct Translation<'f> {
    file: &'f File,
    text: &'f Text<'f>,
    faults: Vec<Fault>,
}

impl Translation<'_> {
    /// Records an error in the value of a configuration key.
    fn add_fault(&mut self, key: impl AsRef<str>, what: impl Into<String>, remedy: impl Into<String>) {
        self.faults.push(self.text.fault(key.as_ref(), what, remedy));
    }

    /// Returns the index of a zone's or machine type's name in the list of names that the configuration
    /// allows. Returns 0 if the name is absent or not in the list; a name that is not in the list is recorded
    /// as an error in the configuration file.
    fn name_index(&mut self, key: String, name: Option<&String>, allowed: &[String], list: &str) -> u32 {
        let Some(name) = name else { return 0 };
        if let Some(index) = allowed.iter().position(|known| known == name) {
            return index as u32;
        }
        self.add_fault(
            key,
            format!("{name:?} is not in {list}"),
            format!("use one of {}", allowed.join(", ")),
        );
        0
    }

    /// Checks that no name in the entries of a list in the configuration file is empty or repeated.
    fn check_names<'n>(&mut self, list: &str, names: impl Iterator<Item = &'n String>) {
        let mut seen = BTreeSet::new();
        for (index, name) in names.enumerate() {
            if name.is_empty() {
                self.add_fault(format!("{list}[{index}].name"), "empty", "write a name");
            }
            if !seen.insert(name) {
                self.add_fault(
                    format!("{list}[{index}].name"),
                    format!("{name:?} is already in use"),
                    "use a unique name",
                );
            }
        }
    }

    fn config(mut self) -> Result<Config, ConfigError> {
        let file = self.file;
        self.check_lists();
        self.check_own_number();
        let zone = self.own_zone();
        self.check_tier_and_load();
        let classes: Vec<Class> = (0..file.class.len()).map(|index| self.class(index)).collect();
        let instances: Vec<Instance> = (0..file.workers.len()).map(|index| self.worker(index)).collect();
        let settings = self.settings(zone, classes);
        if let Err(error) = settings.check() {
            self.add_fault(file_key(error.field), error.reason, "");
        }
        if !self.faults.is_empty() {
            self.faults.sort_by_key(|fault| fault.at);
            return Err(ConfigError(self.faults));
        }
        let listed_workers = EndpointDocument { generation: 0, reset: true, instances };
        let (endpoint_source, saved_list) = match file.discovery {
            Some(address) => (EndpointSource::Service(address.0), listed_workers),
            None => (EndpointSource::Fixed(listed_workers), EndpointDocument::default()),
        };
        Ok(Config {
            name: file.name.clone(),
            listen: file.listen.0,
            admin: file.admin.map(|address| address.0),
            handover_path: file.handover.clone(),
            endpoint_source,
            max_sockets: file.limits.sockets as usize,
            max_memory: file.limits.memory.0 as usize,
            peers: peers(file),
            saved_list,
            seed: file.seed.map_or_else(new_seed, |seed| seed.0),
            settings_snapshot: settings_snapshot(file, settings),
            log: file.log.clone(),
        })
    }

    /// Checks that the lists of the configuration file (classes, tenants and workers) have the required
    /// entries, and that no list repeats a name.
    fn check_lists(&mut self) {
        let file = self.file;
        if file.class.is_empty() {
            self.add_fault(
                "class",
                "no request class",
                "add a [[class]] with name, repeat, aim and deadline",
            );
        }
        self.check_names("class", file.class.iter().map(|class| &class.name));
        self.check_names("tenant", file.tenant.iter().map(|tenant| &tenant.name));
        self.check_names("peer", file.workers.iter().map(|worker| &worker.name));
        if file.discovery.is_none() && file.workers.is_empty() {
            let remedy = "set discovery to the address of the service, or list the workers as [[peer]]";
            self.add_fault("discovery", "no discovery service and no worker", remedy);
        }
    }

    /// Checks that this scheduler's number is below the number of schedulers in the tier.
    fn check_own_number(&mut self) {
        let tier = &self.file.tier;
        if tier.me >= tier.schedulers {
            let remedy = format!("use 0 to {}", tier.schedulers.saturating_sub(1));
            self.add_fault("tier.me", "must be below tier.schedulers", remedy);
        }
    }

    /// Returns the index of this scheduler's zone in the list of zones.
    fn own_zone(&mut self) -> u32 {
        let (tier, fleet) = (&self.file.tier, &self.file.fleet);
        self.name_index("tier.zone".to_string(), tier.zone.as_ref(), &fleet.zones, "fleet.zones")
    }

    /// Checks that the configuration keys for messages between schedulers agree with the number of
    /// schedulers, and that the keys for load reports agree with the key for probes.
    fn check_tier_and_load(&mut self) {
        let (tier, file) = (&self.file.tier, self.file);
        let addresses = tier.each.len();
        if tier.messages.is_some() && addresses > 0 && addresses != tier.schedulers as usize {
            let what = format!("found {addresses} addresses, expected {}", tier.schedulers);
            self.add_fault("tier.each", what, "list one address for each scheduler");
        }
        if file.fleet.load == Load::Probes && !file.attempts.probe {
            let remedy = "set attempts.probe = true, or fleet.load = \"off\"";
            self.add_fault("fleet.load", "attempts.probe does not permit probes", remedy);
        }
    }

    /// Returns whether a request of the class with this index may run more than once.
    fn idempotency(&mut self, index: usize) -> Idempotency {
        match self.file.class[index].repeat {
            Repeat::Safe => Idempotency::Idempotent,
            Repeat::Unsafe => Idempotency::NonIdempotent,
            Repeat::Keyed => self.keyed(index),
        }
    }

    /// Returns the deduplication scope and window of the keyed class with this index. A missing one is
    /// recorded as an error in the configuration file, since neither has a safe default.
    fn keyed(&mut self, index: usize) -> Idempotency {
        let class = &self.file.class[index];
        let group_key = format!("class[{index}].group");
        let (has_group, _) = self.text.locate(&group_key);
        if !has_group {
            let remedy = "write which workers drop repeats of a keyed request: all, zone or cell";
            self.add_fault(group_key, "missing", remedy);
        }
        let Some(window) = class.window else {
            let remedy = "write how long workers drop repeats of a keyed request, such as window = \"15s\"";
            self.add_fault(format!("class[{index}].window"), "missing", remedy);
            return Idempotency::NonIdempotent;
        };
        let scope = match class.group {
            Group::All => DeduplicationScope::All,
            Group::Zone => DeduplicationScope::Zone,
            Group::Cell => DeduplicationScope::Cell,
        };
        Idempotency::Keyed { scope, deduplication_window: window.0 }
    }

    fn class(&mut self, index: usize) -> Class {
        let (class, idempotency) = (&self.file.class[index], self.idempotency(index));
        if class.aim > class.deadline {
            self.add_fault(
                format!("class[{index}].aim"),
                "longer than the deadline",
                format!("use at most {}", class.deadline),
            );
        }
        if class.name.contains('/') {
            self.add_fault(
                format!("class[{index}].name"),
                "contains a slash",
                "remove the slash: the name is one part of a path",
            );
        }
        let key = format!("class[{index}].kind");
        let machine_type = self.name_index(key, class.kind.as_ref(), &self.file.fleet.kinds, "fleet.kinds");
        Class {
            latency_objective: class.aim.0,
            objective_per_work: class.stretch,
            deadline: class.deadline.0,
            priority_weight: class.worth,
            late_weight: class.late_share,
            idempotency,
            machine_type: class.kind.as_ref().map(|_| MachineTypeId(machine_type)),
            priority: class.priority,
            stream: class.stream,
        }
    }

    fn worker(&mut self, index: usize) -> Instance {
        let (worker, fleet) = (&self.file.workers[index], &self.file.fleet);
        let zone =
            self.name_index(format!("peer[{index}].zone"), worker.zone.as_ref(), &fleet.zones, "fleet.zones");
        let machine_type =
            self.name_index(format!("peer[{index}].kind"), worker.kind.as_ref(), &fleet.kinds, "fleet.kinds");
        let (has_cell, _) = self.text.locate(&format!("peer[{index}].cell"));
        let name = |names: &[String], index: u32| names.get(index as usize).cloned().unwrap_or_default();
        Instance {
            instance_id: worker.name.clone(),
            host_port: worker.address.to_string(),
            zone: name(&fleet.zones, zone),
            machine_type: name(&fleet.kinds, machine_type),
            cell: has_cell.then_some(worker.cell),
            lifecycle: InstanceState::Up,
            weight: worker.weight,
            started_at_ms: 0,
        }
    }

    fn settings(&self, zone: u32, classes: Vec<Class>) -> Settings {
        let File { tier, fleet, worth, tenant, .. } = self.file;
        Settings {
            scheduler_index: tier.me,
            scheduler_count: tier.schedulers,
            zone: ZoneId(zone),
            classes,
            tenants: tenant.iter().map(|t| Tenant { quota_per_second: t.allowance_per_s }).collect(),
            over_quota_weight: worth.over_share,
            weight_by_work: worth.by_work,
            endpoint_delivery: endpoint_delivery(fleet.follow),
            load_report_source: load_report_source(fleet.load),
            weights: weights(fleet.weights),
            queue_order: queue_order(fleet.queue_order),
            reports_start: fleet.tells_start,
            progress_interval: fleet.progress.0,
            limits: limits(&self.file.attempts),
            rules: rules(&self.file.rules),
            cost_weights: cost_weights(&self.file.prices),
            tick: tier.tick.0,
        }
    }
}

fn peers(file: &File) -> Option<Peers> {
    let listen = file.tier.messages.filter(|_| file.attempts.messages)?;
    Some(Peers {
        listen: listen.0,
        addresses: file.tier.each.iter().map(|address| address.0).collect(),
        broadcast_address: file.tier.all.map(|address| address.0),
    })
}

fn settings_snapshot(file: &File, settings: Settings) -> SettingsSnapshot {
    let reports = LoadReportSettings {
        source: settings.load_report_source,
        free_slots: match file.fleet.free_slots {
            FreeSlots::X0 => load_report::FreeSlotsField::X0,
            FreeSlots::X1 => load_report::FreeSlotsField::X1,
            FreeSlots::Untold => load_report::FreeSlotsField::Unreported,
        },
    };
    let names = NameTables {
        zones: file.fleet.zones.clone(),
        machine_types: file.fleet.kinds.clone(),
        classes: file.class.iter().map(|class| class.name.clone()).collect(),
        tenants: file.tenant.iter().map(|tenant| tenant.name.clone()).collect(),
    };
    let conn_idle = Some(file.fleet.conn_idle.duration()).filter(|idle| !idle.is_zero());
    SettingsSnapshot::new(settings, names, conn_idle.unwrap_or(DEFAULT_CONN_IDLE), reports)
}

fn endpoint_delivery(follow: Follow) -> EndpointDelivery {
    match follow {
        Follow::Ask => EndpointDelivery::Poll,
        Follow::Push => EndpointDelivery::Push,
    }
}

fn load_report_source(load: Load) -> LoadReportSource {
    match load {
        Load::Off => LoadReportSource::Never,
        Load::Answers => LoadReportSource::Responses,
        Load::Probes => LoadReportSource::Probes,
    }
}

fn weights(weights: Weights) -> vetchbridge_scheduling::WeightSource {
    match weights {
        Weights::Off => vetchbridge_scheduling::WeightSource::Fixed,
        Weights::Nominal | Weights::Rough => vetchbridge_scheduling::WeightSource::Size,
        Weights::Live => vetchbridge_scheduling::WeightSource::Live,
    }
}

fn queue_order(order: QueueOrder) -> vetchbridge_scheduling::QueueOrder {
    match order {
        QueueOrder::Fifo => vetchbridge_scheduling::QueueOrder::Fifo,
        QueueOrder::Backfill => vetchbridge_scheduling::QueueOrder::Backfill,
        QueueOrder::Priority => vetchbridge_scheduling::QueueOrder::Priority,
    }
}

fn limits(attempts: &Attempts) -> vetchbridge_scheduling::Limits {
    vetchbridge_scheduling::Limits {
        max_attempts: attempts.max,
        hedging: attempts.second_copies,
        dial_timeout: attempts.dial_timeout.0,
        may_probe: attempts.probe,
        may_cancel: attempts.cancel,
        retry_after: attempts.retry_after,
        max_retry_after: attempts.max_retry_after.0,
        may_message_peers: attempts.messages,
    }
}

fn rules(rules: &Rules) -> vetchbridge_scheduling::Rules {
    vetchbridge_scheduling::Rules {
        answer_slack: rules.answer_slack.0,
        drain_grace: rules.drain_grace.0,
        poll_within: rules.ask_within.map(|duration| duration.0),
        slow_start_floor: rules.cold_share,
        slow_start_time: rules.cold_time.0,
        overload_factor: rules.fall_multiple,
        overload_time: rules.fall_time.0,
    }
}

fn cost_weights(prices: &Prices) -> vetchbridge_scheduling::CostWeights {
    vetchbridge_scheduling::CostWeights {
        cross_zone: prices.cross_zone,
        probe: prices.probe,
        waste: prices.waste,
        handshake: prices.handshake,
    }
}

/// Returns the configuration file's key for a field of the scheduler's settings.
fn file_key(field: &str) -> &str {
    match field {
        "me" => "tier.me",
        "limits.max_attempts" => "attempts.max",
        "tenants.allowance_per_s" => "tenant",
        other => other,
    }
}

/// Returns a random seed for the scheduler, which differs from one start to the next.
fn new_seed() -> u64 {
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    (since_epoch.as_nanos() as u64) ^ (u64::from(std::process::id()) << 32)
}
