//! Load reports of workers: the forms and names that they come in, and what they mean to the module.
//!
//! Owns the reading of one report's text, and which reports count by the settings in force. It must never fail on
//! what a worker says, hold a socket, or judge a worker by its load.

use serde_json::value::RawValue;
use std::collections::BTreeMap;
use tracing::debug;
use vetchbridge_scheduling::interface::{LoadReport, LoadReportSource};

/// The header that carries a report on an answer.
pub const HEADER: &str = "endpoint-load-metrics";

/// The fields whose meaning a deployment chooses; one of them may tell free slots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FreeSlots {
    /// `x0`.
    #[default]
    X0,
    /// `x1`.
    X1,
    /// Neither.
    Untold,
}

impl FreeSlots {
    /// From what the deployment says, in words, of both. Where it says nothing of `x0`, that is what it tells.
    pub fn of(x0: Option<&str>, x1: Option<&str>) -> FreeSlots {
        let means = |words: &str| words.trim().eq_ignore_ascii_case("free slots");
        match (x0.is_none_or(means), x1.is_some_and(means)) {
            (true, _) => FreeSlots::X0,
            (false, true) => FreeSlots::X1,
            (false, false) => FreeSlots::Untold,
        }
    }
}

/// Which reports count, and what their fields mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reports {
    /// Where they come from.
    pub via: LoadReportSource,
    /// The field that tells free slots.
    pub free_slots: FreeSlots,
}

impl Default for Reports {
    fn default() -> Reports {
        Reports { via: LoadReportSource::Never, free_slots: FreeSlots::default() }
    }
}

impl Reports {
    /// The report on an answer or callback that ended an attempt, if such reports count.
    pub fn of_answer(&self, text: Option<&[u8]>) -> Option<LoadReport> {
        self.told(text.filter(|_| self.via == LoadReportSource::Responses))
    }

    /// The report on the answer to a probe, if reports count at all.
    pub fn of_probe(&self, text: Option<&[u8]>) -> Option<LoadReport> {
        self.told(text.filter(|_| self.via != LoadReportSource::Never))
    }

    fn told(&self, text: Option<&[u8]>) -> Option<LoadReport> {
        let text = text.filter(|text| !text.is_empty())?;
        let report = std::str::from_utf8(text).ok().and_then(|text| read(text, self.free_slots));
        if report.is_none() {
            let start = String::from_utf8_lossy(&text[..text.len().min(80)]);
            debug!(?start, "load.unreadable");
        }
        report
    }
}

/// Reads a report: an object of JSON, or `name=value, name=value`, with or without the word `JSON` or `TEXT` before it.
/// What is no number from 0 up is passed over; `None` if nothing is left that has a meaning here.
pub fn read(text: &str, free_slots: FreeSlots) -> Option<LoadReport> {
    let mut text = text.trim();
    for word in ["TEXT", "JSON"] {
        let after = text.get(..word.len()).filter(|start| start.eq_ignore_ascii_case(word));
        let rest = after.map(|_| &text[word.len()..]);
        text = rest.filter(|rest| rest.starts_with([' ', '\t'])).map_or(text, str::trim_start);
    }
    let mut report = LoadReport::default();
    let mut take = |name: &str, value: &str| {
        let field = match name {
            "inflight" | "busy_reqs" => &mut report.in_flight,
            "queue" | "pending" => &mut report.queued,
            "util" | "cpu_share" => &mut report.utilisation,
            "latency_ms" | "svc_ms" => &mut report.service_ms,
            "x0" if free_slots == FreeSlots::X0 => &mut report.free_slots,
            "x1" if free_slots == FreeSlots::X1 => &mut report.free_slots,
            _ => return,
        };
        *field = value.parse().ok().filter(|number: &f64| number.is_finite() && *number >= 0.0);
    };
    if text.starts_with('{') {
        // Each value by itself, and as it was written: one out of range must not spoil the others.
        let object: BTreeMap<String, &RawValue> = serde_json::from_str(text).ok()?;
        object.iter().for_each(|(name, value)| take(name, value.get()));
    } else {
        let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
        pairs.for_each(|(name, value)| take(name.trim(), value.trim()));
    }
    (report != LoadReport::default()).then_some(report)
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    #[rstest]
    #[case::text("TEXT inflight=7, queue=2, util=0.61")]
    #[case::no_word("inflight=7,queue=2,util=0.61")]
    #[case::small_word(" text\tinflight = 7 , queue=2,util=0.61, eps=3\r\n")]
    #[case::json(r#"{"inflight":7,"queue":2.0,"util":0.61}"#)]
    #[case::json_word(r#"JSON {"inflight":7,"queue":2,"util":6.1e-1,"qps":12,"named":{"queue":9}}"#)]
    #[case::simulator("busy_reqs=7, pending=2, cpu_share=0.61, served_ps=4")]
    fn a_report_is_read_in_each_of_its_forms(#[case] text: &str) {
        let expected = LoadReport {
            in_flight: Some(7.0),
            queued: Some(2.0),
            utilisation: Some(0.61),
            ..LoadReport::default()
        };
        assert_eq!(read(text, FreeSlots::X0), Some(expected), "{text}");
    }

    #[test]
    fn a_figure_that_makes_no_sense_is_left_out_and_the_others_stay() {
        let expected = LoadReport { service_ms: Some(4.5), ..LoadReport::default() };
        for bad in ["nan", "inf", "-1", "1e999", "", "7 jobs", "0x7", "--1"] {
            let text = format!("inflight={bad}, latency_ms=4.5");
            assert_eq!(read(&text, FreeSlots::X0), Some(expected), "{text}");
        }
        for bad in ["-1", "1e999", "null", "\"7\"", "[7]", "true"] {
            let text = format!("{{\"svc_ms\":4.5,\"queue\":{bad}}}");
            assert_eq!(read(&text, FreeSlots::X0), Some(expected), "{text}");
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
    fn what_is_no_report_is_none(#[case] text: &str) {
        assert_eq!(read(text, FreeSlots::X0), None);
    }

    /// The deployment's words decide which field tells free slots.
    #[rstest]
    #[case(None, None, Some(3.0))]
    #[case(Some("free slots"), Some("free memory"), Some(3.0))]
    #[case(Some("free memory"), Some(" Free slots"), Some(4.0))]
    #[case(Some("free memory"), None, None)]
    fn x0_tells_free_slots_unless_something_else_is_said(
        #[case] x0: Option<&str>,
        #[case] x1: Option<&str>,
        #[case] expected: Option<f64>,
    ) {
        let report = read("x0=3, x1=4, queue=0", FreeSlots::of(x0, x1)).expect("queue is there");
        assert_eq!(report.free_slots, expected);
    }

    #[test]
    fn only_reports_that_the_settings_name_count() {
        for (via, of_answer, of_probe) in [
            (LoadReportSource::Never, false, false),
            (LoadReportSource::Probes, false, true),
            (LoadReportSource::Responses, true, true),
        ] {
            let reports = Reports { via, free_slots: FreeSlots::X0 };
            assert_eq!(reports.of_answer(Some(b"queue=1")).is_some(), of_answer, "{via:?}");
            assert_eq!(reports.of_probe(Some(b"queue=1")).is_some(), of_probe, "{via:?}");
            assert_eq!(reports.of_probe(Some(b"\xff\xfe")), None);
        }
    }
}
