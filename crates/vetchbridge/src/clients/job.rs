//! Reads a request to run a job from the path and headers of its HTTP request.
//!
//! A request whose meaning is ambiguous is malformed. The body is passed on to the worker unparsed.

use super::protocol::{
    is_slots_property, CLASS, EXPECTED_WORK, HOST, IDEMPOTENCY_KEY, PROPERTIES, REQUEST_ID, RETRY, TENANT,
    TIMEOUT,
};
use crate::memory::MemoryReservation;
use crate::request::SubmittedRequest;
use crate::snapshot::SettingsSnapshot;
use crate::workers::{parse_request_id, Payload};
use axum::http::request::Parts;
use axum::http::uri::PathAndQuery;
use axum::http::{HeaderMap, HeaderValue, Uri};
use bytes::Bytes;
use std::sync::Arc;
use vetchbridge_scheduling::{Class, ClassId, Idempotency, Micros, Request};

/// Why a client's request is malformed. The text of this error is the body of the error response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum MalformedRequest {
    /// The value of a header is not printable ASCII.
    #[error("{0}: not plain text")]
    HeaderNotText(&'static str),
    /// A header is repeated, so that its value is ambiguous.
    #[error("{0}: given more than once")]
    RepeatedHeader(&'static str),
    /// The request has no header with a request id.
    #[error("{}: missing", REQUEST_ID)]
    MissingRequestId,
    /// The request's id is not 16 hex digits.
    #[error("{}: not 16 hex digits", REQUEST_ID)]
    InvalidRequestId,
    /// The target of the HTTP request is not a path, or contains characters that need escaping.
    #[error("not a path of plain characters")]
    InvalidPath,
    /// The path and the class header of the request name different classes.
    #[error("{}: not the class in the path", CLASS)]
    ClassMismatch,
    /// The settings have no request class of this name.
    #[error("no class {0:?}")]
    UnknownClass(String),
    /// The request's class requires an idempotency key, and the request has none.
    #[error("{}: missing, its class needs one", IDEMPOTENCY_KEY)]
    MissingIdempotencyKey,
    /// The client's timeout is not a number with the unit `m` or `u`.
    #[error("{}: not a number with unit m or u", TIMEOUT)]
    InvalidTimeout,
    /// The value of the header for the expected work is not a number.
    #[error("{}: unreadable", EXPECTED_WORK)]
    InvalidExpectedWork,
}

/// Reads a request to run a job. `now` is the time when the last byte of the request arrived, in microseconds
/// of the engine's clock; the request's deadline counts from `now`. The request holds `memory` until the request
/// ends.
pub(super) fn read(
    parts: &Parts,
    body: Bytes,
    memory: MemoryReservation,
    settings: Arc<SettingsSnapshot>,
    now: Micros,
) -> Result<SubmittedRequest, MalformedRequest> {
    let headers = &parts.headers;
    let id_text = single_header(headers, REQUEST_ID)?.ok_or(MalformedRequest::MissingRequestId)?;
    let id = parse_request_id(id_text).ok_or(MalformedRequest::InvalidRequestId)?;
    single_header(headers, HOST)?;
    let target = target(&parts.uri)?;
    let path = target.path().trim_start_matches('/');
    let (class_name, rest) = path.split_once('/').unwrap_or((path, ""));
    if single_header(headers, CLASS)?.is_some_and(|name| name != class_name) {
        return Err(MalformedRequest::ClassMismatch);
    }
    let (class_number, class) =
        settings.class(class_name).ok_or_else(|| MalformedRequest::UnknownClass(class_name.to_string()))?;
    let idempotency_key = idempotency_key(headers, class)?;
    let key = rest.rsplit('/').next().filter(|key| !key.is_empty());
    let request = Request {
        id,
        class: ClassId(class_number),
        tenant: settings.tenant(tenant_name(headers)),
        key: key.map(str::to_string),
        deadline: now.saturating_add(timeout(headers, class)?),
        expected_work: expected_work(headers)?,
        slots: slots(headers)?,
        retry: single_header(headers, RETRY)? == Some("1"),
    };
    let payload = Payload { id: id_text.to_string(), target: copy_of(target), idempotency_key, body };
    Ok(SubmittedRequest { request, payload, settings, memory: Some(memory) })
}

/// Returns the value of a request header that must not be repeated; `None` if the header is absent.
fn single_header<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
) -> Result<Option<&'a str>, MalformedRequest> {
    let mut values = headers.get_all(name).iter();
    match (values.next().map(HeaderValue::to_str), values.next()) {
        (None, _) => Ok(None),
        (Some(Ok(value)), None) => Ok(Some(value)),
        (Some(Err(_)), None) => Err(MalformedRequest::HeaderNotText(name)),
        (Some(_), Some(_)) => Err(MalformedRequest::RepeatedHeader(name)),
    }
}

/// Returns the path and query of a request's target.
fn target(uri: &Uri) -> Result<&PathAndQuery, MalformedRequest> {
    let is_plain = |target: &&PathAndQuery| {
        target.as_str().starts_with('/') && target.as_str().bytes().all(|byte| byte.is_ascii_graphic())
    };
    uri.path_and_query().filter(is_plain).ok_or(MalformedRequest::InvalidPath)
}

/// Returns a copy of a target that shares no memory with it: a target of the HTTP server keeps the whole buffer
/// that its request's head arrived in.
fn copy_of(target: &PathAndQuery) -> PathAndQuery {
    // Parsing the text of a target can't fail.
    target.as_str().parse().unwrap_or_else(|_| target.clone())
}

/// Returns the request's idempotency key; an error if the request's class requires a key and the request has
/// none.
fn idempotency_key(headers: &HeaderMap, class: &Class) -> Result<Option<String>, MalformedRequest> {
    let key = single_header(headers, IDEMPOTENCY_KEY)?.map(str::to_string);
    if key.is_none() && matches!(class.idempotency, Idempotency::Keyed { .. }) {
        return Err(MalformedRequest::MissingIdempotencyKey);
    }
    Ok(key)
}

/// Returns the name of the request's tenant. The tenant affects only the priority, so a request with a
/// repeated tenant header is not rejected but treated as a request without a tenant.
fn tenant_name(headers: &HeaderMap) -> Option<&[u8]> {
    let mut names = headers.get_all(TENANT).iter();
    names.next().filter(|_| names.next().is_none()).map(HeaderValue::as_bytes)
}

/// Returns how long the client waits for the response, in microseconds, limited to the deadline of the
/// request's class.
fn timeout(headers: &HeaderMap, class: &Class) -> Result<Micros, MalformedRequest> {
    let timeout = match single_header(headers, TIMEOUT)? {
        Some(value) => parse_duration(value).ok_or(MalformedRequest::InvalidTimeout)?,
        None => class.deadline,
    };
    Ok(timeout.min(class.deadline))
}

/// Returns the amount of work that the client expects the job to take, in microseconds; `None` if the request
/// does not state any.
fn expected_work(headers: &HeaderMap) -> Result<Option<Micros>, MalformedRequest> {
    let Some(value) = single_header(headers, EXPECTED_WORK)? else { return Ok(None) };
    let work = parse_number(value).ok_or(MalformedRequest::InvalidExpectedWork)?;
    Ok(Some(work as Micros))
}

/// Returns the number of worker slots that the request takes: the first positive number among the values of
/// slots properties, or 1 if the request states no such number.
fn slots(headers: &HeaderMap) -> Result<f64, MalformedRequest> {
    let properties = single_header(headers, PROPERTIES)?.unwrap_or("");
    let mut values = properties
        .split(',')
        .filter_map(|property| property.split_once('='))
        .filter(|(name, _)| is_slots_property(name.trim()));
    let slots = values.find_map(|(_, value)| parse_number(value.trim()).filter(|slots| *slots > 0.0));
    Ok(slots.unwrap_or(1.0))
}

/// Parses a decimal number with an optional fraction. Signs, exponents and names such as `inf` are not
/// accepted.
fn parse_number(text: &str) -> Option<f64> {
    let is_plain = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    text.parse::<f64>().ok().filter(|number| is_plain && number.is_finite())
}

/// Parses a duration such as `480m` (milliseconds) or `480000u` (microseconds). Returns microseconds.
fn parse_duration(text: &str) -> Option<Micros> {
    let (number, micros_per_unit) = match text.strip_suffix('m') {
        Some(number) => (number, 1000.0),
        None => (text.strip_suffix('u')?, 1.0),
    };
    Some((parse_number(number)? * micros_per_unit) as Micros)
}

#[cfg(test)]
mod tests;
