//! Reads the part `charges` of a settings object: the weights by which costs are compared, as fractions of
//! the overall result.

use crate::error::SettingsFormatError;
use crate::json_object::JsonObject;
use vetchbridge_scheduling::CostWeights;

pub(crate) fn read(charges: &JsonObject<'_>) -> Result<CostWeights, SettingsFormatError> {
    Ok(CostWeights {
        cross_zone: charges.number_or("cross_zone", 0.0)?,
        probe: charges.number_or("probe", 0.0)?,
        waste: charges.number_or("waste", 0.0)?,
        handshake: charges.number_or("handshake", 0.0)?,
    })
}
