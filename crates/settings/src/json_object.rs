//! Reads the values of a JSON object and checks that each value has the expected form.

use crate::error::{Expected, Problem, SettingsFormatError};
use serde_json::{Map, Value};

/// A JSON object within the settings, together with the object's path, which error messages contain.
pub(crate) struct JsonObject<'a> {
    /// The entries of the JSON object; `None` is read as an empty object.
    map: Option<&'a Map<String, Value>>,
    /// The prefix of the paths of the JSON object's keys, including the separator.
    path: &'a str,
}

impl<'a> JsonObject<'a> {
    pub(crate) fn new(map: &'a Map<String, Value>, path: &'a str) -> JsonObject<'a> {
        JsonObject { map: Some(map), path }
    }

    /// Returns the error for a key of the JSON object whose value does not have the expected form.
    pub(crate) fn invalid_value(&self, key: &str, expected: Expected) -> SettingsFormatError {
        SettingsFormatError::new(format!("{}{key}", self.path), Problem::InvalidValue(expected))
    }

    /// Returns the error for a required key that the JSON object lacks, or whose value does not have the
    /// expected form.
    pub(crate) fn missing_or_invalid(&self, key: &str, expected: Expected) -> SettingsFormatError {
        let problem = match self.get(key) {
            None => Problem::Missing(expected),
            Some(_) => Problem::InvalidValue(expected),
        };
        SettingsFormatError::new(format!("{}{key}", self.path), problem)
    }

    pub(crate) fn get(&self, key: &str) -> Option<&'a Value> {
        self.map?.get(key)
    }

    /// Reads the value of a required key of the JSON object with `read`. The function `read` returns `None`
    /// if the value does not have the expected form.
    fn require<T>(
        &self,
        key: &str,
        expected: Expected,
        read: impl FnOnce(&'a Value) -> Option<T>,
    ) -> Result<T, SettingsFormatError> {
        let value = self.get(key).ok_or_else(|| self.missing_or_invalid(key, expected))?;
        read(value).ok_or_else(|| self.invalid_value(key, expected))
    }

    pub(crate) fn object(&self, key: &str, path: &'a str) -> Result<JsonObject<'a>, SettingsFormatError> {
        let map = self.require(key, Expected::Object, Value::as_object)?;
        Ok(JsonObject::new(map, path))
    }

    /// Reads the value of an optional key as a JSON object; a value that is not an object counts as absent.
    /// `path` is the prefix of the paths of the keys in the object that is read.
    pub(crate) fn optional_object(&self, key: &str, path: &'a str) -> JsonObject<'a> {
        JsonObject { map: self.get(key).and_then(Value::as_object), path }
    }

    /// Reads the value of a required key as a list of JSON objects; `path` is the prefix of the paths of the
    /// keys in these objects.
    pub(crate) fn objects<'b>(
        &'b self,
        key: &'b str,
        path: &'a str,
    ) -> Result<impl Iterator<Item = Result<JsonObject<'a>, SettingsFormatError>> + 'b, SettingsFormatError>
    {
        let entries = self.require(key, Expected::List, Value::as_array)?;
        Ok(entries.iter().map(move |entry| {
            let map = entry.as_object().ok_or_else(|| self.invalid_value(key, Expected::Objects))?;
            Ok(JsonObject::new(map, path))
        }))
    }

    pub(crate) fn number(&self, key: &str) -> Result<f64, SettingsFormatError> {
        self.require(key, Expected::Number, Value::as_f64)
    }

    pub(crate) fn number_or(&self, key: &str, default: f64) -> Result<f64, SettingsFormatError> {
        self.get(key).map_or(Ok(default), |_| self.number(key))
    }

    /// Reads the value of a required key as a non-negative number and drops a fraction of the number.
    pub(crate) fn integer(&self, key: &str) -> Result<u64, SettingsFormatError> {
        self.require(key, Expected::Integer, integer)
    }

    pub(crate) fn integer_or(&self, key: &str, default: u64) -> Result<u64, SettingsFormatError> {
        self.get(key).map_or(Ok(default), |_| self.integer(key))
    }

    pub(crate) fn optional_integer(&self, key: &str) -> Result<Option<u64>, SettingsFormatError> {
        self.get(key).map(|_| self.integer(key)).transpose()
    }

    pub(crate) fn small_integer(&self, key: &str) -> Result<u32, SettingsFormatError> {
        let small = |value| integer(value).and_then(|integer| u32::try_from(integer).ok());
        self.require(key, Expected::SmallInteger, small)
    }

    pub(crate) fn boolean_or(&self, key: &str, default: bool) -> Result<bool, SettingsFormatError> {
        self.get(key).map_or(Ok(default), |_| self.require(key, Expected::Boolean, Value::as_bool))
    }

    pub(crate) fn string(&self, key: &str) -> Result<&'a str, SettingsFormatError> {
        self.require(key, Expected::String, Value::as_str)
    }

    /// Reads the value of an optional key as a string; a value that is not a string counts as absent.
    pub(crate) fn optional_string(&self, key: &str) -> Option<&'a str> {
        self.get(key).and_then(Value::as_str)
    }
}

/// Returns a JSON value as a non-negative integer; a fraction of the number is dropped.
fn integer(value: &Value) -> Option<u64> {
    let truncated = || value.as_f64().filter(|number| *number >= 0.0).map(|number| number as u64);
    value.as_u64().or_else(truncated)
}
