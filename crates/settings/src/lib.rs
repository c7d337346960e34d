//! The deployment's settings as JSON: the object that a scheduler is told at its start, on the simulator's wire and
//! in the daemon's configuration alike.
//!
//! Owns the names and defaults of its keys and their translation into [`Settings`]. Unknown keys are skipped, since
//! new ones can appear at any time. It must never judge a value that is well-formed: [`Settings::check`] does.

use serde_json::{Map, Value};
use vetchbridge_scheduling::interface::*;

/// A key that is missing or unreadable, by its path within the object (empty for the object itself).
#[derive(Debug, PartialEq, Eq)]
pub struct SettingsFault {
    /// The path, with `[]` for any entry of a list.
    pub path: String,
    /// What is wrong there.
    pub reason: String,
}

impl SettingsFault {
    /// The path below `root`, the name that the object has where it was found.
    pub fn key_under(&self, root: &str) -> String {
        if self.path.is_empty() {
            return root.to_string();
        }
        format!("{root}.{}", self.path)
    }
}

impl std::fmt::Display for SettingsFault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.key_under("settings"), self.reason)
    }
}

impl std::error::Error for SettingsFault {}

fn fault<T>(path: &str, reason: impl Into<String>) -> Result<T, SettingsFault> {
    Err(SettingsFault { path: path.to_string(), reason: reason.into() })
}

/// A JSON object with the path that led to it, for error messages.
struct Object<'a>(&'a Map<String, Value>, &'a str);

impl<'a> Object<'a> {
    fn get(&self, name: &str) -> Result<&'a Value, SettingsFault> {
        self.0.get(name).map_or_else(|| fault(&format!("{}{name}", self.1), "missing"), Ok)
    }

    fn bad<T>(&self, name: &str) -> Result<T, SettingsFault> {
        fault(&format!("{}{name}", self.1), "unreadable")
    }

    fn object(&self, name: &str, path: &'a str) -> Result<Object<'a>, SettingsFault> {
        self.get(name)?.as_object().map_or_else(|| self.bad(name), |map| Ok(Object(map, path)))
    }

    fn list(&self, name: &str) -> Result<&'a [Value], SettingsFault> {
        self.get(name)?.as_array().map_or_else(|| self.bad(name), |list| Ok(list.as_slice()))
    }

    fn float(&self, name: &str) -> Result<f64, SettingsFault> {
        self.get(name)?.as_f64().map_or_else(|| self.bad(name), Ok)
    }

    fn float_or(&self, name: &str, default: f64) -> Result<f64, SettingsFault> {
        if self.0.contains_key(name) {
            self.float(name)
        } else {
            Ok(default)
        }
    }

    fn int(&self, name: &str) -> Result<u64, SettingsFault> {
        let value = self.get(name)?;
        value
            .as_u64()
            .or_else(|| value.as_f64().filter(|f| *f >= 0.0).map(|f| f as u64))
            .map_or_else(|| self.bad(name), Ok)
    }

    fn small(&self, name: &str) -> Result<u32, SettingsFault> {
        u32::try_from(self.int(name)?).or_else(|_| self.bad(name))
    }

    fn int_or(&self, name: &str, default: u64) -> Result<u64, SettingsFault> {
        if self.0.contains_key(name) {
            self.int(name)
        } else {
            Ok(default)
        }
    }

    fn flag_or(&self, name: &str, default: bool) -> Result<bool, SettingsFault> {
        match self.0.get(name) {
            None => Ok(default),
            Some(value) => value.as_bool().map_or_else(|| self.bad(name), Ok),
        }
    }

    fn word(&self, name: &str) -> Result<&'a str, SettingsFault> {
        self.get(name)?.as_str().map_or_else(|| self.bad(name), Ok)
    }
}

/// Reads the settings object from its text.
pub fn from_json(json: &str) -> Result<Settings, SettingsFault> {
    let root: Value = match serde_json::from_str(json) {
        Ok(value) => value,
        Err(e) => return fault("", format!("not JSON: {e}")),
    };
    from_value(&root)
}

/// Reads the settings object as it stands in a larger document.
pub fn from_value(root: &Value) -> Result<Settings, SettingsFault> {
    let Some(map) = root.as_object() else {
        return fault("", "not an object");
    };
    let root = Object(map, "");
    let limits = root.object("limits", "limits.")?;
    let rules = root.object("rules", "rules.")?;
    let empty = Map::new();
    let facts = match root.0.get("specifics").and_then(Value::as_object) {
        Some(map) => Object(map, "specifics."),
        None => Object(&empty, "specifics."),
    };
    let cost_weights = match root.0.get("charges").and_then(Value::as_object) {
        Some(map) => Object(map, "charges."),
        None => Object(&empty, "charges."),
    };
    let per_class = |name: &str, index: usize| -> Option<f64> {
        facts.0.get(name).and_then(Value::as_array).and_then(|list| list.get(index)).and_then(Value::as_f64)
    };
    let mut classes = Vec::new();
    for (index, value) in root.list("services")?.iter().enumerate() {
        let Some(map) = value.as_object() else {
            return fault("services", "unreadable");
        };
        let class = Object(map, "services[].");
        let group = match class.0.get("group").and_then(Value::as_str) {
            None | Some("all") => DeduplicationScope::All,
            Some("zone") => DeduplicationScope::Zone,
            Some("cell") => DeduplicationScope::Cell,
            Some(_) => return class.bad("group"),
        };
        let idempotency = match class.word("repeat")? {
            "safe" => Idempotency::Idempotent,
            "keyed" => Idempotency::Keyed { scope: group, deduplication_window: class.int("window")? },
            "unsafe" => Idempotency::NonIdempotent,
            _ => return class.bad("repeat"),
        };
        classes.push(Class {
            latency_objective: class.int("aim")?,
            objective_per_work: per_class("class_stretch", index)
                .unwrap_or(class.float_or("aim_stretch", 0.0)?),
            deadline: class.int("deadline")?,
            priority_weight: class.float_or("importance", 1.0)?,
            late_weight: class.float_or("late_share", 0.0)?,
            idempotency,
            kind: per_class("class_kind", index).filter(|k| *k >= 0.0).map(|k| KindId(k as u32)),
            priority: per_class("class_priority", index).map_or(0, |p| p as i64),
            stream: class.flag_or("stream", false)?,
        });
    }
    let mut tenants = Vec::new();
    if root.0.contains_key("accounts") {
        for value in root.list("accounts")? {
            let Some(map) = value.as_object() else {
                return fault("accounts", "unreadable");
            };
            let tenant = Object(map, "accounts[].");
            tenants.push(Tenant { quota_per_second: tenant.float("allowance_per_s")? });
        }
    }
    let via = root.0.get("stats").and_then(|stats| stats.get("via")).and_then(Value::as_str);
    Ok(Settings {
        scheduler_index: root.small("me")?,
        scheduler_count: root.small("balancers")?,
        zone: ZoneId(root.small("zone")?),
        classes,
        tenants,
        over_quota_weight: root.float_or("over_share_worth", 1.0)?,
        weight_by_work: root.0.get("counted_by").and_then(Value::as_str) == Some("work"),
        endpoint_delivery: match root.word("discovery")? {
            "push" => EndpointDelivery::Push,
            "ask" => EndpointDelivery::Poll,
            _ => return root.bad("discovery"),
        },
        load_report_source: match via {
            Some("inline") => LoadReportSource::Responses,
            Some("on_probe") => LoadReportSource::Probes,
            None | Some("off") => LoadReportSource::Never,
            Some(_) => return fault("stats.via", "unreadable"),
        },
        weights: match root.0.get("weights").and_then(Value::as_str) {
            None | Some("off") => Weights::Fixed,
            Some("nominal" | "rough") => Weights::Size,
            Some("live") => Weights::Live,
            Some(_) => return root.bad("weights"),
        },
        queue_order: match facts.0.get("queue_order").and_then(Value::as_str) {
            Some("backfill") => QueueOrder::Backfill,
            Some("priority") => QueueOrder::Priority,
            _ => QueueOrder::Fifo,
        },
        reports_start: facts.flag_or("tells_start", false)?,
        progress_interval: facts.int_or("progress", 0)?,
        limits: Limits {
            max_attempts: limits.small("max_attempts")?,
            dial_timeout: limits.int_or("dial_timeout", 0)?,
            hedging: limits.flag_or("second_copies", false)?,
            may_probe: limits.flag_or("may_probe", false)?,
            may_cancel: limits.flag_or("may_cancel", false)?,
            retry_after: limits.flag_or("retry_after", false)?,
            max_retry_after: limits.int_or("max_retry_after", 0)?,
            may_message_peers: limits.flag_or("peers", false)?,
        },
        rules: Rules {
            answer_slack: rules.int_or("answer_slack", 0)?,
            drain_grace: rules.int("stop_sending_within")?,
            poll_within: rules.0.get("ask_within").map(|_| rules.int("ask_within")).transpose()?,
            slow_start_floor: rules.float("start_capacity")?,
            slow_start_time: rules.int("cold")?,
            overload_factor: rules.float("tip_multiple")?,
            overload_time: rules.int("fall")?,
        },
        cost_weights: CostWeights {
            cross_zone: cost_weights.float_or("cross_zone", 0.0)?,
            probe: cost_weights.float_or("probe", 0.0)?,
            waste: cost_weights.float_or("waste", 0.0)?,
            handshake: cost_weights.float_or("handshake", 0.0)?,
        },
        tick: root.int_or("tick", 0)?,
    })
}
