//! Tests of reading requests to run jobs, with valid and invalid values of each header.

use super::*;
use crate::config::read_text;
use crate::memory::{MemoryBudget, MemoryOwner};

const NOW: Micros = 1_000_000;

/// Returns settings with one request class and these tenants; `accounts` is the JSON list of tenants in the
/// configuration file.
fn settings(accounts: &str) -> Arc<SettingsSnapshot> {
    let text = format!(
        r#"{{"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1",
        "settings": {{"me": 0, "balancers": 1, "areas": ["a"], "kinds": ["m"], "zone": 0, "discovery": "ask",
        "accounts": {accounts}, "limits": {{"max_attempts": 2}},
        "services": [{{"name": "safe", "repeat": "safe", "aim": 1000, "deadline": 9000000}}],
        "rules": {{"stop_sending_within": 1, "start_capacity": 0.2, "cold": 1, "tip_multiple": 2.5, "fall": 1}}}}}}"#
    );
    Arc::new(read_text("test", &text).expect("a valid configuration").config.settings_snapshot)
}

fn parse(
    settings: &Arc<SettingsSnapshot>,
    headers: &[(&str, &[u8])],
) -> Result<SubmittedRequest, MalformedRequest> {
    let mut request = hyper::Request::post("/safe/k").body(()).expect("a request");
    request.headers_mut().insert("x-trace-id", HeaderValue::from_static("00000000000000ab"));
    for (name, value) in headers {
        let name: hyper::header::HeaderName = name.parse().expect("a name");
        request.headers_mut().append(name, HeaderValue::from_bytes(value).expect("a value"));
    }
    let memory = MemoryBudget::new(0).reservation(MemoryOwner::Jobs);
    read(&request.into_parts().0, Bytes::new(), memory, settings.clone(), NOW)
}

#[test]
fn a_tenant_is_identified_by_its_name_and_an_unknown_one_has_no_quota() {
    let with_tenants =
        settings(r#"[{"name": "acme", "allowance_per_s": 5}, {"name": "caf\u00e9", "allowance_per_s": 3}]"#);
    let tenants = with_tenants.settings.tenants.clone();
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
        let request = parse(&with_tenants, &headers).expect("a valid request").request;
        assert_eq!(request.tenant.0, tenant, "{names:?}");
    }
    let without_tenants = settings("[]");
    assert_eq!(
        parse(&without_tenants, &[("x-customer", b"acme")]).expect("a valid request").request.tenant.0,
        0
    );
    assert!(without_tenants.settings.tenants.is_empty());
}

#[test]
fn headers_become_the_properties_of_a_request() {
    let settings = settings("[]");
    let request =
        |name: &str, value: &str| parse(&settings, &[(name, value.as_bytes())]).map(|parsed| parsed.request);
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
    for (value, wait) in [("480m", 480_000), ("1.5m", 1500), ("480000u", 480_000), ("99999m", 9_000_000)] {
        assert_eq!(request("x-expires-in", value).map(|request| request.deadline), Ok(NOW + wait), "{value}");
    }
    assert!(request("x-expires-in", "480").is_err() && request("x-expires-in", "480s").is_err());
}
