//! Paths and header names of the protocol. The names of the constants are the terms that the code uses.

/// Path of the readiness check.
pub(super) const READINESS_PATH: &str = "/health/ready";
/// Path of workers' callbacks.
pub(super) const CALLBACK_PATH: &str = "/callback";
/// Start of a callback's request line: the method, the path and the space after them.
pub(super) const CALLBACK_REQUEST_LINE: &[u8] = b"POST /callback ";

/// Host of the request. The header is read only to reject requests that have more than one.
pub(super) const HOST: &str = "host";
/// Id of the request, 16 hex digits.
pub(super) const REQUEST_ID: &str = "x-trace-id";
/// Class of the request; must be equal to the first segment of the path.
pub(super) const CLASS: &str = "x-qos";
/// Idempotency key, which some classes require.
pub(super) const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// How long the client waits for the response.
pub(super) const TIMEOUT: &str = "x-expires-in";
/// Expected work in microseconds.
pub(super) const EXPECTED_WORK: &str = "x-size-hint";
/// Name of the tenant.
pub(super) const TENANT: &str = "x-customer";
/// Further properties as `name=value` pairs, separated by commas.
pub(super) const PROPERTIES: &str = "x-props";
/// `1` if the request is a client's retry.
pub(super) const RETRY: &str = "x-second-try";

/// Whether a property gives the number of worker slots that the request takes.
pub(super) fn is_slots_property(name: &str) -> bool {
    matches!(name, "slots" | "width")
}
