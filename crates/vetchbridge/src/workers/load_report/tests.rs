use super::*;
use rstest::rstest;

#[rstest]
#[case::text("TEXT inflight=7, queue=2, util=0.61")]
#[case::no_prefix("inflight=7,queue=2,util=0.61")]
#[case::lower_case_prefix(" text\tinflight = 7 , queue=2,util=0.61, eps=3\r\n")]
#[case::json(r#"{"inflight":7,"queue":2.0,"util":0.61}"#)]
#[case::json_prefix(r#"JSON {"inflight":7,"queue":2,"util":6.1e-1,"qps":12,"named":{"queue":9}}"#)]
#[case::simulator("busy_reqs=7, pending=2, cpu_share=0.61, served_ps=4")]
fn a_report_is_parsed_in_each_of_its_forms(#[case] text: &str) {
    let expected = LoadReport {
        in_flight: Some(7.0),
        queued: Some(2.0),
        utilisation: Some(0.61),
        ..LoadReport::default()
    };
    assert_eq!(parse(text, FreeSlotsField::X0), Some(expected), "{text}");
}

#[test]
fn an_invalid_value_is_ignored_and_the_others_are_kept() {
    let expected = LoadReport { service_ms: Some(4.5), ..LoadReport::default() };
    for bad in ["nan", "inf", "-1", "1e999", "", "7 jobs", "0x7", "--1"] {
        let text = format!("inflight={bad}, latency_ms=4.5");
        assert_eq!(parse(&text, FreeSlotsField::X0), Some(expected), "{text}");
    }
    for bad in ["-1", "1e999", "null", "\"7\"", "[7]", "true"] {
        let text = format!("{{\"svc_ms\":4.5,\"queue\":{bad}}}");
        assert_eq!(parse(&text, FreeSlotsField::X0), Some(expected), "{text}");
    }
}

#[rstest]
#[case("")]
#[case("TEXT")]
#[case("TEXT qps=3")]
#[case("BIN CAESEg==")]
#[case("<html>busy</html>")]
#[case("{\"queue\":")]
#[case("[1,2]")]
#[case("{}")]
#[case("JSO\u{e9} =,=,==,\u{0}")]
fn text_without_a_known_field_is_not_a_report(#[case] text: &str) {
    assert_eq!(parse(text, FreeSlotsField::X0), None);
}

/// The deployment's descriptions of the fields `x0` and `x1` decide which field holds the worker's free
/// slots.
#[rstest]
#[case(None, None, Some(3.0))]
#[case(Some("free slots"), Some("free memory"), Some(3.0))]
#[case(Some("free memory"), Some(" Free slots"), Some(4.0))]
#[case(Some("free memory"), None, None)]
fn x0_holds_free_slots_unless_it_is_described_otherwise(
    #[case] x0: Option<&str>,
    #[case] x1: Option<&str>,
    #[case] expected: Option<f64>,
) {
    let report = parse("x0=3, x1=4, queue=0", FreeSlotsField::from_descriptions(x0, x1))
        .expect("the report has a queue length");
    assert_eq!(report.free_slots, expected);
}

#[test]
fn reports_are_used_only_from_the_configured_source() {
    for (source, from_response, from_probe) in [
        (LoadReportSource::Never, false, false),
        (LoadReportSource::Probes, false, true),
        (LoadReportSource::Responses, true, true),
    ] {
        let settings = LoadReportSettings { source, free_slots: FreeSlotsField::X0 };
        assert_eq!(settings.report_from_response(Some(b"queue=1")).is_some(), from_response, "{source:?}");
        assert_eq!(settings.report_from_probe(Some(b"queue=1")).is_some(), from_probe, "{source:?}");
        assert_eq!(settings.report_from_probe(Some(b"\xff\xfe")), None);
    }
}
