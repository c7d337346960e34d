//! Reads a deployment's settings object: the JSON object with the settings of the schedulers. The simulator's
//! protocol and the daemon's configuration contain the same object.
//!
//! Only this crate maps the keys of the settings object to the fields of [`Settings`]; each part of the
//! settings object has a module of its own. Unknown keys are skipped, because later versions of the settings
//! object may have new keys. This crate checks the form of each value; [`Settings::check`] checks that the
//! values are in range.
//!
//! ```
//! let error = vetchbridge_settings::from_json(r#"{"limits": {}}"#).unwrap_err();
//! assert_eq!(error.to_string(), "settings.rules: missing; add an object");
//! ```

#![deny(missing_docs)]

mod classes;
mod cost_weights;
mod error;
mod json_object;
mod limits;
mod rules;
mod specifics;
mod tenants;

pub use error::{Expected, Problem, SettingsFormatError};

use json_object::JsonObject;
use serde_json::Value;
use specifics::Specifics;
use vetchbridge_scheduling::{EndpointDelivery, LoadReportSource, Settings, WeightSource, ZoneId};

const DISCOVERY_VALUES: &[&str] = &["push", "ask"];
const STATS_VIA_VALUES: &[&str] = &["off", "inline", "on_probe"];
const WEIGHTS_VALUES: &[&str] = &["off", "nominal", "rough", "live"];

/// Reads the settings object from JSON text.
///
/// # Errors
///
/// Returns an error if the text is not JSON, and otherwise the errors of [`from_value`].
pub fn from_json(json: &str) -> Result<Settings, SettingsFormatError> {
    match serde_json::from_str(json) {
        Ok(value) => from_value(&value),
        Err(error) => Err(SettingsFormatError::new("", Problem::NotJson(error.to_string()))),
    }
}

/// Reads the settings object from a JSON value, for example a part of a larger document.
///
/// # Errors
///
/// Returns an error for the first key that is missing or has an invalid value, or an error if the JSON value
/// is not an object.
pub fn from_value(value: &Value) -> Result<Settings, SettingsFormatError> {
    let Some(map) = value.as_object() else {
        return Err(SettingsFormatError::new("", Problem::NotAnObject));
    };
    let root = JsonObject::new(map, "");
    let limits = root.object("limits", "limits.")?;
    let rules = root.object("rules", "rules.")?;
    let specifics = Specifics::new(root.optional_object("specifics", "specifics."));
    Ok(Settings {
        classes: classes::read(&root, &specifics)?,
        tenants: tenants::read(&root)?,
        scheduler_index: root.small_integer("me")?,
        scheduler_count: root.small_integer("balancers")?,
        zone: ZoneId(root.small_integer("zone")?),
        over_quota_weight: root.number_or("over_share_worth", 1.0)?,
        weight_by_work: root.optional_string("counted_by") == Some("work"),
        endpoint_delivery: endpoint_delivery(&root)?,
        load_report_source: load_report_source(&root)?,
        weights: weights(&root)?,
        queue_order: specifics.queue_order(),
        reports_start: specifics.reports_start()?,
        progress_interval: specifics.progress_interval()?,
        limits: limits::read(&limits)?,
        rules: rules::read(&rules)?,
        cost_weights: cost_weights::read(&root.optional_object("charges", "charges."))?,
        tick: root.integer_or("tick", 0)?,
    })
}

fn endpoint_delivery(root: &JsonObject<'_>) -> Result<EndpointDelivery, SettingsFormatError> {
    match root.string("discovery")? {
        "push" => Ok(EndpointDelivery::Push),
        "ask" => Ok(EndpointDelivery::Poll),
        _ => Err(root.invalid_value("discovery", Expected::OneOf(DISCOVERY_VALUES))),
    }
}

fn load_report_source(root: &JsonObject<'_>) -> Result<LoadReportSource, SettingsFormatError> {
    let stats = root.optional_object("stats", "stats.");
    match stats.optional_string("via") {
        Some("inline") => Ok(LoadReportSource::Responses),
        Some("on_probe") => Ok(LoadReportSource::Probes),
        None | Some("off") => Ok(LoadReportSource::Never),
        Some(_) => Err(stats.invalid_value("via", Expected::OneOf(STATS_VIA_VALUES))),
    }
}

fn weights(root: &JsonObject<'_>) -> Result<WeightSource, SettingsFormatError> {
    match root.optional_string("weights") {
        None | Some("off") => Ok(WeightSource::Fixed),
        Some("nominal" | "rough") => Ok(WeightSource::Size),
        Some("live") => Ok(WeightSource::Live),
        Some(_) => Err(root.invalid_value("weights", Expected::OneOf(WEIGHTS_VALUES))),
    }
}
