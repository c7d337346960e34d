//! Reads the part `services` of a settings object: the classes of requests.

use crate::error::{Expected, SettingsFormatError};
use crate::json_object::JsonObject;
use crate::specifics::Specifics;
use vetchbridge_scheduling::{Class, DeduplicationScope, Idempotency};

const REPEAT_VALUES: &[&str] = &["safe", "keyed", "unsafe"];
const GROUP_VALUES: &[&str] = &["all", "zone", "cell"];

pub(crate) fn read(
    root: &JsonObject<'_>,
    specifics: &Specifics<'_>,
) -> Result<Vec<Class>, SettingsFormatError> {
    root.objects("services", "services[].")?
        .enumerate()
        .map(|(index, entry)| class(&entry?, index, specifics))
        .collect()
}

fn class(
    entry: &JsonObject<'_>,
    index: usize,
    specifics: &Specifics<'_>,
) -> Result<Class, SettingsFormatError> {
    let idempotency = idempotency(entry)?;
    let latency_objective = entry.integer("aim")?;
    let objective_per_work = entry.number_or("aim_stretch", 0.0)?;
    Ok(Class {
        latency_objective,
        objective_per_work: specifics.objective_per_work(index).unwrap_or(objective_per_work),
        deadline: entry.integer("deadline")?,
        priority_weight: entry.number_or("importance", 1.0)?,
        late_weight: entry.number_or("late_share", 0.0)?,
        idempotency,
        machine_type: specifics.machine_type(index)?,
        priority: specifics.priority(index),
        stream: entry.boolean_or("stream", false)?,
    })
}

fn idempotency(entry: &JsonObject<'_>) -> Result<Idempotency, SettingsFormatError> {
    let scope = deduplication_scope(entry)?;
    match entry.string("repeat")? {
        "safe" => Ok(Idempotency::Idempotent),
        "keyed" => Ok(Idempotency::Keyed {
            scope: scope.ok_or_else(|| entry.missing_or_invalid("group", Expected::OneOf(GROUP_VALUES)))?,
            deduplication_window: entry.integer("window")?,
        }),
        "unsafe" => Ok(Idempotency::NonIdempotent),
        _ => Err(entry.invalid_value("repeat", Expected::OneOf(REPEAT_VALUES))),
    }
}

/// Returns the deduplication scope of a class; `None` if the class has none, as classes that are not keyed
/// may. There is no default: a scope that is too wide makes a job take effect twice.
fn deduplication_scope(entry: &JsonObject<'_>) -> Result<Option<DeduplicationScope>, SettingsFormatError> {
    match entry.optional_string("group") {
        None => Ok(None),
        Some("all") => Ok(Some(DeduplicationScope::All)),
        Some("zone") => Ok(Some(DeduplicationScope::Zone)),
        Some("cell") => Ok(Some(DeduplicationScope::Cell)),
        Some(_) => Err(entry.invalid_value("group", Expected::OneOf(GROUP_VALUES))),
    }
}
