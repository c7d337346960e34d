//! Reads the part `specifics` of a settings object: settings that only some deployments have.

use crate::error::{Expected, SettingsFormatError};
use crate::json_object::JsonObject;
use serde_json::Value;
use vetchbridge_scheduling::{MachineTypeId, Micros, QueueOrder};

/// The JSON object at the key `specifics` of a settings object; each of its keys may be absent.
pub(crate) struct Specifics<'a> {
    object: JsonObject<'a>,
}

impl<'a> Specifics<'a> {
    pub(crate) fn new(object: JsonObject<'a>) -> Specifics<'a> {
        Specifics { object }
    }

    /// Returns the number for the class of requests with index `class` from the list at `key` of the settings
    /// object's part `specifics`. The list has one entry for each class.
    fn class_number(&self, key: &str, class: usize) -> Option<f64> {
        self.object
            .get(key)
            .and_then(Value::as_array)
            .and_then(|list| list.get(class))
            .and_then(Value::as_f64)
    }

    pub(crate) fn objective_per_work(&self, class: usize) -> Option<f64> {
        self.class_number("class_stretch", class)
    }

    /// Returns the only machine type that runs the class of requests with index `class`, or `None` if any
    /// machine type runs the class. For a class that any machine type runs, the list in the settings object
    /// has a negative number. A list without an entry for the class is an error: the class might be bound to
    /// a machine type.
    pub(crate) fn machine_type(&self, class: usize) -> Result<Option<MachineTypeId>, SettingsFormatError> {
        if self.object.get("class_kind").is_none() {
            return Ok(None);
        }
        let number = self
            .class_number("class_kind", class)
            .ok_or_else(|| self.object.invalid_value("class_kind", Expected::NumberForEachClass))?;
        Ok((number >= 0.0).then_some(MachineTypeId(number as u32)))
    }

    pub(crate) fn priority(&self, class: usize) -> i64 {
        self.class_number("class_priority", class).map_or(0, |priority| priority as i64)
    }

    pub(crate) fn queue_order(&self) -> QueueOrder {
        match self.object.optional_string("queue_order") {
            Some("backfill") => QueueOrder::Backfill,
            Some("priority") => QueueOrder::Priority,
            _ => QueueOrder::Fifo,
        }
    }

    pub(crate) fn reports_start(&self) -> Result<bool, SettingsFormatError> {
        self.object.boolean_or("tells_start", false)
    }

    /// Returns the interval between a worker's progress reports about one job, in microseconds; 0 if workers
    /// send no progress reports.
    pub(crate) fn progress_interval(&self) -> Result<Micros, SettingsFormatError> {
        self.object.integer_or("progress", 0)
    }
}
