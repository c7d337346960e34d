//! Paths and header names of the HTTP protocol in which clients, workers that send callbacks, and load
//! balancers talk to this daemon. The names of the constants are the terms that the code uses.

/// Path at which load balancers check whether this daemon is ready for new clients.
pub(super) const READINESS_PATH: &str = "/health/ready";
/// Path to which workers send their callbacks.
pub(super) const CALLBACK_PATH: &str = "/callback";
/// Start of the HTTP request line of a callback: the method, the path and the space after them.
pub(super) const CALLBACK_REQUEST_LINE: &[u8] = b"POST /callback ";

/// Header with the host of the request. The header is read only to reject requests that have more than one.
pub(super) const HOST: &str = "host";
/// Header with the id of the request, 16 hex digits.
pub(super) const REQUEST_ID: &str = "x-trace-id";
/// Header with the class of the request; the value must be equal to the first segment of the request's path.
pub(super) const CLASS: &str = "x-qos";
/// Header with the idempotency key of the request, which some classes require.
pub(super) const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header with the time that the client waits for the response.
pub(super) const TIMEOUT: &str = "x-expires-in";
/// Header with the amount of work that the client expects the job to take, in microseconds.
pub(super) const EXPECTED_WORK: &str = "x-size-hint";
/// Header with the name of the tenant that the request belongs to.
pub(super) const TENANT: &str = "x-customer";
/// Header with further properties of the request as `name=value` pairs, separated by commas.
pub(super) const PROPERTIES: &str = "x-props";
/// Header whose value is `1` if the request is a client's retry of an earlier request.
pub(super) const RETRY: &str = "x-second-try";

/// Whether the property of this name gives the number of worker slots that the request takes.
pub(super) fn is_slots_property(name: &str) -> bool {
    matches!(name, "slots" | "width")
}
