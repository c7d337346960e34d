//! A job as clients write it: path and headers, and what each means to the module.
//!
//! Owns the names of the headers and the words of what is malformed in them. It must never let through what could be
//! read in two ways, nor open the body.

use crate::request::Job;
use crate::snapshot::Snapshot;
use crate::workers::{parse_request_id, Payload};
use axum::http::header::HOST;
use axum::http::request::Parts;
use axum::http::{HeaderMap, HeaderValue};
use bytes::Bytes;
use std::sync::Arc;
use tokio::sync::OwnedSemaphorePermit;
use vetchbridge_scheduling::interface::{ClassId, Idempotency, Micros, Request};

/// Reads a job; its time counts from `now` (microseconds), when its last byte is here.
pub(super) fn read(
    parts: &Parts,
    body: Bytes,
    room: OwnedSemaphorePermit,
    settings: Arc<Snapshot>,
    now: Micros,
) -> Result<Job, String> {
    let text = |name| only(&parts.headers, name);
    let id_text = text("x-trace-id")?.ok_or("x-trace-id: missing")?;
    let id = parse_request_id(id_text).ok_or("x-trace-id: not 16 hex digits")?;
    text(HOST.as_str())?;
    let target = parts.uri.path_and_query().filter(|target| {
        target.as_str().starts_with('/') && target.as_str().bytes().all(|byte| byte.is_ascii_graphic())
    });
    let target = target.ok_or("not a path of plain characters")?;
    let path = target.path().trim_start_matches('/');
    let (class_name, rest) = path.split_once('/').unwrap_or((path, ""));
    if text("x-qos")?.is_some_and(|name| name != class_name) {
        return Err("x-qos: not the class in the path".to_string());
    }
    let (number, class) = settings.class(class_name).ok_or_else(|| format!("no class {class_name:?}"))?;
    let idempotency_key = text("idempotency-key")?.map(str::to_string);
    if idempotency_key.is_none() && matches!(class.idempotency, Idempotency::Keyed { .. }) {
        return Err("idempotency-key: missing, its class needs one".to_string());
    }
    let key = rest.rsplit('/').next().filter(|key| !key.is_empty());
    let wait = match text("x-expires-in")? {
        Some(value) => parse_span(value).ok_or("x-expires-in: not a number with unit m or u")?,
        None => class.deadline,
    };
    let hint = match text("x-size-hint")? {
        Some(value) => Some(parse_number(value).ok_or("x-size-hint: unreadable")?),
        None => None,
    };
    // A tenant is for worth alone: one that is in doubt costs the job its tenant's share, never its answer.
    let mut customers = parts.headers.get_all("x-customer").iter();
    let customer = customers.next().filter(|_| customers.next().is_none()).map(HeaderValue::as_bytes);
    let props = text("x-props")?.unwrap_or("");
    let named = |name: &str| matches!(name.trim(), "slots" | "width");
    let mut slots = props.split(',').filter_map(|prop| prop.split_once('=')).filter(|prop| named(prop.0));
    let slots = slots.find_map(|(_, value)| parse_number(value.trim()).filter(|slots| *slots > 0.0));
    let request = Request {
        id,
        class: ClassId(number),
        tenant: settings.tenant(customer),
        key: key.map(str::to_string),
        // No client of a class waits longer than this, whatever it says.
        deadline: now.saturating_add(wait.min(class.deadline)),
        expected_work: hint.map(|hint| hint as Micros),
        slots: slots.unwrap_or(1.0),
        retry: text("x-second-try")? == Some("1"),
    };
    let payload = Payload { id: id_text.to_string(), target: target.clone(), idempotency_key, body };
    Ok(Job { request, payload, settings, body_permit: Some(room) })
}

/// A header's only value. Two of them are two clients' words in one request, and neither can be believed.
fn only<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, String> {
    let mut values = headers.get_all(name).iter();
    match (values.next().map(HeaderValue::to_str), values.next()) {
        (None, _) => Ok(None),
        (Some(Ok(value)), None) => Ok(Some(value)),
        (Some(Err(_)), None) => Err(format!("{name}: not plain text")),
        (Some(_), Some(_)) => Err(format!("{name}: given more than once")),
    }
}

/// Reads digits with or without a fraction; signs, exponents and words are none.
fn parse_number(text: &str) -> Option<f64> {
    let plain = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    text.parse::<f64>().ok().filter(|number| plain && number.is_finite())
}

/// Reads a span such as `480m` (milliseconds) or `480000u` (microseconds).
fn parse_span(text: &str) -> Option<Micros> {
    let (number, scale) = match text.strip_suffix('m') {
        Some(number) => (number, 1000.0),
        None => (text.strip_suffix('u')?, 1.0),
    };
    Some((parse_number(number)? * scale) as Micros)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::config::read_text;
    use tokio::sync::Semaphore;

    const NOW: Micros = 1_000_000;

    /// Two tenants, one class; nothing of it ever touches a socket.
    fn settings(accounts: &str) -> Arc<Snapshot> {
        let text = format!(
            r#"{{"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1",
            "settings": {{"me": 0, "balancers": 1, "areas": ["a"], "kinds": ["m"], "zone": 0, "discovery": "ask",
            "accounts": {accounts}, "limits": {{"max_attempts": 2}},
            "services": [{{"name": "safe", "repeat": "safe", "aim": 1000, "deadline": 9000000}}],
            "rules": {{"stop_sending_within": 1, "start_capacity": 0.2, "cold": 1, "tip_multiple": 2.5, "fall": 1}}}}}}"#
        );
        Arc::new(read_text("test", &text).expect("it reads").config.snapshot)
    }

    fn job(settings: &Arc<Snapshot>, headers: &[(&str, &[u8])]) -> Result<Job, String> {
        let mut request = hyper::Request::post("/safe/k").body(()).expect("a request");
        request.headers_mut().insert("x-trace-id", HeaderValue::from_static("00000000000000ab"));
        for (name, value) in headers {
            let name: hyper::header::HeaderName = name.parse().expect("a name");
            request.headers_mut().append(name, HeaderValue::from_bytes(value).expect("a value"));
        }
        let room = Arc::new(Semaphore::new(1)).try_acquire_owned().expect("room");
        read(&request.into_parts().0, Bytes::new(), room, settings.clone(), NOW)
    }

    /// Who names no tenant that the settings know is served all the same, and uses up nobody's share.
    #[test]
    fn a_tenant_is_known_by_its_name_and_a_stranger_has_no_share() {
        let named = settings(
            r#"[{"name": "acme", "allowance_per_s": 5}, {"name": "caf\u00e9", "allowance_per_s": 3}]"#,
        );
        let tenants = named.settings.tenants.clone();
        assert_eq!(tenants.iter().map(|t| t.quota_per_second).collect::<Vec<_>>(), [5.0, 3.0, 0.0]);
        let cases: [(&[&[u8]], u32); 7] = [
            (&[b"acme"], 0),
            (&["caf\u{e9}".as_bytes()], 1),
            (&[b"Acme"], 2),
            (&[b""], 2),
            (&[b"\xff"], 2),
            (&[], 2),
            (&[b"acme", b"caf\xc3\xa9"], 2),
        ];
        for (names, tenant) in cases {
            let headers: Vec<(&str, &[u8])> = names.iter().map(|name| ("x-customer", *name)).collect();
            let request = job(&named, &headers).expect("a job").request;
            assert_eq!(request.tenant.0, tenant, "{names:?}");
        }
        let without = settings("[]");
        assert_eq!(job(&without, &[("x-customer", b"acme")]).expect("a job").request.tenant.0, 0);
        assert!(without.settings.tenants.is_empty());
    }

    #[test]
    fn the_headers_of_a_job_reach_the_module() {
        let settings = settings("[]");
        let request =
            |name: &str, value: &str| job(&settings, &[(name, value.as_bytes())]).map(|job| job.request);
        let hint = |value| request("x-size-hint", value).map(|request| request.expected_work);
        assert_eq!((hint("12000"), hint("12000.7")), (Ok(Some(12_000)), Ok(Some(12_000))));
        assert!(hint("-1").is_err() && hint("nan").is_err());
        assert_eq!(request("host", "x").map(|request| request.expected_work), Ok(None));
        for (value, retry) in [("1", true), ("0", false)] {
            assert_eq!(request("x-second-try", value).map(|request| request.retry), Ok(retry));
        }
        for (value, slots) in [
            ("slots=2", 2.0),
            ("memory=3, slots = 0.5", 0.5),
            ("width=4", 4.0),
            ("slots=nan,slots=3", 3.0),
            ("slots=0", 1.0),
            ("slots=-2", 1.0),
            ("slots=inf", 1.0),
            ("slots,=,", 1.0),
            ("", 1.0),
        ] {
            assert_eq!(request("x-props", value).map(|request| request.slots), Ok(slots), "{value}");
        }
        for (value, wait) in [("480m", 480_000), ("1.5m", 1500), ("480000u", 480_000), ("99999m", 9_000_000)]
        {
            assert_eq!(
                request("x-expires-in", value).map(|request| request.deadline),
                Ok(NOW + wait),
                "{value}"
            );
        }
        assert!(request("x-expires-in", "480").is_err() && request("x-expires-in", "480s").is_err());
    }
}
