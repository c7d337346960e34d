//! Reads the part `limits` of a settings object: limits on what a scheduler may do.

use crate::error::SettingsFormatError;
use crate::json_object::JsonObject;
use vetchbridge_scheduling::Limits;

pub(crate) fn read(limits: &JsonObject<'_>) -> Result<Limits, SettingsFormatError> {
    Ok(Limits {
        max_attempts: limits.small_integer("max_attempts")?,
        dial_timeout: limits.integer_or("dial_timeout", 0)?,
        hedging: limits.boolean_or("second_copies", false)?,
        may_probe: limits.boolean_or("may_probe", false)?,
        may_cancel: limits.boolean_or("may_cancel", false)?,
        retry_after: limits.boolean_or("retry_after", false)?,
        max_retry_after: limits.integer_or("max_retry_after", 0)?,
        may_message_peers: limits.boolean_or("peers", false)?,
    })
}
