//! Reads the part `accounts` of a settings object: the tenants, if the deployment has any.

use crate::error::SettingsFormatError;
use crate::json_object::JsonObject;
use vetchbridge_scheduling::Tenant;

pub(crate) fn read(root: &JsonObject<'_>) -> Result<Vec<Tenant>, SettingsFormatError> {
    if root.get("accounts").is_none() {
        return Ok(Vec::new());
    }
    root.objects("accounts", "accounts[].")?
        .map(|entry| Ok(Tenant { quota_per_second: entry?.number("allowance_per_s")? }))
        .collect()
}
