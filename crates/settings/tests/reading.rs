//! Tests of reading the settings object: every key, the defaults and the errors.
#![allow(missing_docs)]

use rstest::rstest;
use vetchbridge_scheduling::*;
use vetchbridge_settings::{from_json, Expected, Problem, SettingsFormatError};

/// A settings object with the required keys only.
const MINIMAL: &str = r#"{"me": 0, "balancers": 1, "zone": 0, "discovery": "push", "services": [],
    "limits": {"max_attempts": 2},
    "rules": {"stop_sending_within": 1, "start_capacity": 0.2, "cold": 3, "tip_multiple": 2.5, "fall": 4}}"#;

/// A settings object with every known key and some unknown keys.
const FULL: &str = r#"{"me": 1, "balancers": 3, "zone": 2, "discovery": "ask", "tick": 2000, "weights": "live",
    "over_share_worth": 0.25, "counted_by": "work", "stats": {"via": "on_probe", "fields": ["x0"]},
    "future": [1, 2],
    "services": [
        {"repeat": "keyed", "group": "cell", "window": 15, "aim": 100, "aim_stretch": 1.5, "deadline": 900,
         "importance": 2.0, "late_share": 0.5, "stream": true, "future": 1},
        {"repeat": "unsafe", "aim": 200, "aim_stretch": 2.5, "deadline": 800}],
    "accounts": [{"allowance_per_s": 5, "future": 1}],
    "specifics": {"class_stretch": [null, 3.5], "class_kind": [4, -1], "class_priority": [-7],
        "queue_order": "priority", "tells_start": true, "progress": 250},
    "limits": {"max_attempts": 4, "dial_timeout": 30, "second_copies": true, "may_probe": true, "may_cancel": true,
        "retry_after": true, "max_retry_after": 60, "peers": true},
    "rules": {"answer_slack": 5, "stop_sending_within": 6, "ask_within": 7, "start_capacity": 0.31, "cold": 8,
        "tip_multiple": 3, "fall": 9.9},
    "charges": {"cross_zone": 0.1, "probe": 0.2, "waste": 0.3, "handshake": 0.4}}"#;

fn read_error(json: &str) -> SettingsFormatError {
    from_json(json).expect_err("the settings are invalid")
}

#[test]
fn every_key_sets_its_field() {
    let keyed = Class {
        latency_objective: 100,
        objective_per_work: 1.5,
        deadline: 900,
        priority_weight: 2.0,
        late_weight: 0.5,
        idempotency: Idempotency::Keyed { scope: DeduplicationScope::Cell, deduplication_window: 15 },
        machine_type: Some(MachineTypeId(4)),
        priority: -7,
        stream: true,
    };
    let non_idempotent = Class {
        latency_objective: 200,
        objective_per_work: 3.5,
        deadline: 800,
        priority_weight: 1.0,
        ..Class::default()
    };
    let expected = Settings {
        scheduler_index: 1,
        scheduler_count: 3,
        zone: ZoneId(2),
        classes: vec![keyed, non_idempotent],
        tenants: vec![Tenant { quota_per_second: 5.0 }],
        over_quota_weight: 0.25,
        weight_by_work: true,
        endpoint_delivery: EndpointDelivery::Poll,
        load_report_source: LoadReportSource::Probes,
        weights: WeightSource::Live,
        queue_order: QueueOrder::Priority,
        reports_start: true,
        progress_interval: 250,
        limits: Limits {
            max_attempts: 4,
            hedging: true,
            dial_timeout: 30,
            may_probe: true,
            may_cancel: true,
            retry_after: true,
            max_retry_after: 60,
            may_message_peers: true,
        },
        rules: Rules {
            answer_slack: 5,
            drain_grace: 6,
            poll_within: Some(7),
            slow_start_floor: 0.31,
            slow_start_time: 8,
            overload_factor: 3.0,
            overload_time: 9,
        },
        cost_weights: CostWeights { cross_zone: 0.1, probe: 0.2, waste: 0.3, handshake: 0.4 },
        tick: 2000,
    };
    assert_eq!(from_json(FULL), Ok(expected));
}

#[test]
fn optional_keys_have_defaults() {
    let settings = from_json(MINIMAL).expect("the settings are valid");
    assert_eq!((settings.classes, settings.tenants, settings.tick), (vec![], vec![], 0));
    assert_eq!((settings.over_quota_weight, settings.weight_by_work), (1.0, false));
    assert_eq!(settings.load_report_source, LoadReportSource::Never);
    assert_eq!((settings.weights, settings.queue_order), (WeightSource::Fixed, QueueOrder::Fifo));
    assert_eq!((settings.reports_start, settings.progress_interval), (false, 0));
    assert_eq!((settings.rules.answer_slack, settings.rules.poll_within), (0, None));
    assert_eq!(settings.cost_weights, CostWeights::default());
    let limits = Limits {
        max_attempts: 2,
        hedging: false,
        dial_timeout: 0,
        may_probe: false,
        may_cancel: false,
        retry_after: false,
        max_retry_after: 0,
        may_message_peers: false,
    };
    assert_eq!(settings.limits, limits);
}

#[rstest]
#[case::safe(r#""repeat": "safe""#, Idempotency::Idempotent)]
#[case::keyed_in_all(
    r#""repeat": "keyed", "window": 9, "group": "all""#,
    Idempotency::Keyed { scope: DeduplicationScope::All, deduplication_window: 9 }
)]
#[case::keyed_in_a_zone(
    r#""repeat": "keyed", "window": 9, "group": "zone""#,
    Idempotency::Keyed { scope: DeduplicationScope::Zone, deduplication_window: 9 }
)]
#[case::non_idempotent(r#""repeat": "unsafe""#, Idempotency::NonIdempotent)]
fn repeat_and_group_set_the_idempotency_of_a_class(#[case] keys: &str, #[case] expected: Idempotency) {
    let services = format!(r#""services": [{{{keys}, "aim": 1, "deadline": 2}}]"#);
    let settings =
        from_json(&MINIMAL.replace(r#""services": []"#, &services)).expect("the settings are valid");
    assert_eq!(settings.classes[0].idempotency, expected);
}

/// Guards against a keyed job that runs twice: a class whose scope is not given must not get the widest one.
#[rstest]
#[case::without_a_group("", "missing; add one of all, zone, cell")]
#[case::null(r#", "group": null"#, "invalid value; expected one of all, zone, cell")]
#[case::number(r#", "group": 1"#, "invalid value; expected one of all, zone, cell")]
fn a_keyed_class_without_a_deduplication_scope_is_an_error(#[case] key: &str, #[case] problem: &str) {
    let class = format!(r#"{{"repeat": "keyed", "window": 9, "aim": 1, "deadline": 2{key}}}"#);
    let error = read_error(&MINIMAL.replace(r#""services": []"#, &format!(r#""services": [{class}]"#)));
    assert_eq!(error.to_string(), format!("settings.services[].group: {problem}"));
    let other = class.replace("keyed", "safe");
    let settings = from_json(&MINIMAL.replace(r#""services": []"#, &format!(r#""services": [{other}]"#)));
    assert!(settings.is_ok(), "a class that is not keyed needs no scope");
}

#[rstest]
#[case::root(r#""me": 0, "#, "me", Expected::SmallInteger)]
#[case::limits(r#""max_attempts": 2"#, "limits.max_attempts", Expected::SmallInteger)]
#[case::rules(r#", "fall": 4"#, "rules.fall", Expected::Integer)]
#[case::discovery(r#""discovery": "push", "#, "discovery", Expected::String)]
fn the_error_for_a_missing_key_names_the_path_and_the_expected_form(
    #[case] removed: &str,
    #[case] path: &str,
    #[case] expected: Expected,
) {
    assert!(MINIMAL.contains(removed));
    let error = read_error(&MINIMAL.replace(removed, ""));
    assert_eq!((error.path.as_str(), error.problem.clone()), (path, Problem::Missing(expected)));
    assert_eq!(error.to_string(), format!("settings.{path}: missing; add {expected}"));
}

#[rstest]
#[case::negative(r#""me": 1"#, r#""me": -1"#, "me", "a number from 0 to 4294967295")]
#[case::too_large(r#""me": 1"#, r#""me": 4294967296"#, "me", "a number from 0 to 4294967295")]
#[case::discovery(r#""ask""#, r#""pull""#, "discovery", "one of push, ask")]
#[case::stats(r#""on_probe""#, r#""never""#, "stats.via", "one of off, inline, on_probe")]
#[case::weights(r#""live""#, r#""dead""#, "weights", "one of off, nominal, rough, live")]
#[case::repeat(r#""unsafe""#, r#""maybe""#, "services[].repeat", "one of safe, keyed, unsafe")]
#[case::group(r#""cell""#, r#""hall""#, "services[].group", "one of all, zone, cell")]
#[case::class(r#""deadline": 800}"#, r#""deadline": 800}, 5"#, "services", "a list of objects")]
#[case::account(
    r#""allowance_per_s": 5"#,
    r#""allowance_per_s": "5""#,
    "accounts[].allowance_per_s",
    "a number"
)]
#[case::flag(r#""peers": true"#, r#""peers": 1"#, "limits.peers", "true or false")]
#[case::integer(r#""ask_within": 7"#, r#""ask_within": -7"#, "rules.ask_within", "a non-negative number")]
#[case::no_kind_for_a_class(
    r#""class_kind": [4, -1]"#,
    r#""class_kind": [4]"#,
    "specifics.class_kind",
    "a list with a number for each class"
)]
#[case::kind_that_is_no_number(
    r#""class_kind": [4, -1]"#,
    r#""class_kind": ["4", -1]"#,
    "specifics.class_kind",
    "a list with a number for each class"
)]
#[case::kinds_that_are_no_list(
    r#""class_kind": [4, -1]"#,
    r#""class_kind": null"#,
    "specifics.class_kind",
    "a list with a number for each class"
)]
#[case::number(r#""waste": 0.3"#, r#""waste": null"#, "charges.waste", "a number")]
#[case::object(r#""limits": {"#, r#""limits": 1, "unlimited": {"#, "limits", "an object")]
fn the_error_for_an_invalid_value_names_the_path_and_the_expected_form(
    #[case] before: &str,
    #[case] after: &str,
    #[case] path: &str,
    #[case] expected: &str,
) {
    assert!(FULL.contains(before));
    let error = read_error(&FULL.replacen(before, after, 1));
    assert_eq!(error.path, path);
    assert_eq!(error.to_string(), format!("settings.{path}: invalid value; expected {expected}"));
}

#[test]
fn the_error_for_a_value_other_than_an_object_has_an_empty_path() {
    assert_eq!(read_error("[]").to_string(), "settings: not an object");
    assert!(read_error("{").to_string().starts_with("settings: not JSON: "));
    assert_eq!(read_error("[]").key_under("setup"), "setup");
}
