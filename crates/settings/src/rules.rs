//! Reads the part `rules` of a settings object: the times and factors of the rules that the platform imposes
//! on schedulers.

use crate::error::SettingsFormatError;
use crate::json_object::JsonObject;
use vetchbridge_scheduling::Rules;

pub(crate) fn read(rules: &JsonObject<'_>) -> Result<Rules, SettingsFormatError> {
    Ok(Rules {
        answer_slack: rules.integer_or("answer_slack", 0)?,
        drain_grace: rules.integer("stop_sending_within")?,
        poll_within: rules.optional_integer("ask_within")?,
        slow_start_floor: rules.number("start_capacity")?,
        slow_start_time: rules.integer("cold")?,
        overload_factor: rules.number("tip_multiple")?,
        overload_time: rules.integer("fall")?,
    })
}
