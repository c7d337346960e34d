//! Reads the `name=value` fields of a line of the simulator's text protocol.

use super::error::{FieldError, FieldProblem};
use std::str::FromStr;

/// The `name=value` fields of a line of the simulator's protocol, separated by spaces.
#[derive(Clone, Copy)]
pub(super) struct Fields<'a>(pub(super) &'a str);

impl<'a> Fields<'a> {
    /// Returns the text of the value of an optional field; `None` if the line lacks the field.
    pub(super) fn optional(&self, name: &str) -> Option<&'a str> {
        self.0.split(' ').find_map(|field| field.strip_prefix(name)?.strip_prefix('='))
    }

    /// Returns the text of the value of a required field, or an error if the line lacks the field.
    pub(super) fn required(&self, name: &str) -> Result<&'a str, FieldError> {
        self.optional(name).ok_or_else(|| FieldError::new(name, FieldProblem::Missing))
    }

    /// Reads the value of a required field with `parse`. The function `parse` returns `None` if the value is
    /// invalid.
    pub(super) fn parsed<T>(
        &self,
        name: &str,
        parse: impl FnOnce(&'a str) -> Option<T>,
    ) -> Result<T, FieldError> {
        let value = self.required(name)?;
        parse(value).ok_or_else(|| FieldError::new(name, FieldProblem::InvalidValue(value.to_string())))
    }

    pub(super) fn number<T: FromStr>(&self, name: &str) -> Result<T, FieldError> {
        self.parsed(name, |value| value.parse().ok())
    }

    pub(super) fn number_or<T: FromStr>(&self, name: &str, default: T) -> Result<T, FieldError> {
        self.optional(name).map_or(Ok(default), |_| self.number(name))
    }

    pub(super) fn optional_number<T: FromStr>(&self, name: &str) -> Result<Option<T>, FieldError> {
        self.optional(name).map(|_| self.number(name)).transpose()
    }

    /// Reads an optional field that is `0` for false or `1` for true. Returns `false` if the line lacks the
    /// field.
    pub(super) fn flag(&self, name: &str) -> Result<bool, FieldError> {
        match self.optional(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(value) => Err(FieldError::new(name, FieldProblem::InvalidValue(value.to_string()))),
        }
    }

    /// Reads a required field that has one of several known values. The function `map` returns `None` for an
    /// unknown value.
    pub(super) fn known_value<T>(
        &self,
        name: &str,
        map: impl FnOnce(&'a str) -> Option<T>,
    ) -> Result<T, FieldError> {
        let value = self.required(name)?;
        map(value).ok_or_else(|| FieldError::new(name, FieldProblem::UnknownValue(value.to_string())))
    }
}
