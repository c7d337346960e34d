//! Load reports of workers: how reports are parsed, and which reports the settings in force allow to be used.
//!
//! Load reports are advisory: a load report that cannot be parsed is logged and ignored.

use serde_json::value::RawValue;
use std::collections::BTreeMap;
use tracing::debug;
use vetchbridge_scheduling::{LoadReport, LoadReportSource};

/// The header of a worker's response that carries the worker's load report.
pub const LOAD_REPORT_HEADER: &str = "endpoint-load-metrics";

/// The optional prefixes of a worker's load report that name the report's format.
const FORMAT_PREFIXES: [&str; 2] = ["TEXT", "JSON"];
/// Maximum length of the start of a malformed load report that is logged, in bytes.
const MAX_LOGGED_BYTES: usize = 80;

/// The field of a load report that holds the worker's free slots. Each deployment defines the meaning of
/// the fields `x0` and `x1`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FreeSlotsField {
    /// The field `x0` holds the free slots.
    #[default]
    X0,
    /// The field `x1` holds the free slots.
    X1,
    /// Neither field holds the free slots.
    Unreported,
}

impl FreeSlotsField {
    /// Chooses the field that holds the free slots from the deployment's descriptions of the fields `x0` and
    /// `x1`. Without a description, `x0` holds the free slots.
    pub fn from_descriptions(x0: Option<&str>, x1: Option<&str>) -> FreeSlotsField {
        let means_free_slots = |description: &str| description.trim().eq_ignore_ascii_case("free slots");
        match (x0.is_none_or(means_free_slots), x1.is_some_and(means_free_slots)) {
            (true, _) => FreeSlotsField::X0,
            (false, true) => FreeSlotsField::X1,
            (false, false) => FreeSlotsField::Unreported,
        }
    }
}

/// Settings that define which load reports of workers are used, and how the reports' fields are interpreted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReportSettings {
    /// The kinds of worker messages that load reports are taken from.
    pub source: LoadReportSource,
    /// The field of a load report that holds the worker's free slots.
    pub free_slots: FreeSlotsField,
}

impl Default for LoadReportSettings {
    fn default() -> LoadReportSettings {
        LoadReportSettings { source: LoadReportSource::Never, free_slots: FreeSlotsField::default() }
    }
}

impl LoadReportSettings {
    /// Parses the worker's load report on the response or callback that ended an attempt. Returns `None` if
    /// the settings exclude such reports, or if the report is absent or malformed.
    pub fn report_from_response(self, text: Option<&[u8]>) -> Option<LoadReport> {
        self.parse_or_log(text.filter(|_| self.source == LoadReportSource::Responses))
    }

    /// Parses the worker's load report on the response to a probe. Returns `None` if the settings exclude all
    /// load reports, or if the report is absent or malformed.
    pub fn report_from_probe(self, text: Option<&[u8]>) -> Option<LoadReport> {
        self.parse_or_log(text.filter(|_| self.source != LoadReportSource::Never))
    }

    fn parse_or_log(self, text: Option<&[u8]>) -> Option<LoadReport> {
        let text = text.filter(|text| !text.is_empty())?;
        let report = std::str::from_utf8(text).ok().and_then(|text| parse(text, self.free_slots));
        if report.is_none() {
            let start = String::from_utf8_lossy(&text[..text.len().min(MAX_LOGGED_BYTES)]);
            debug!(?start, "load_report.malformed");
        }
        report
    }
}

/// Parses a worker's load report: a JSON object, or `name=value, name=value`, optionally prefixed with the
/// name of its format.
///
/// Ignores values that are not finite numbers of at least 0. Returns `None` if no field with a known name is
/// left.
pub fn parse(text: &str, free_slots: FreeSlotsField) -> Option<LoadReport> {
    let text = strip_format_prefixes(text);
    let mut report = LoadReport::default();
    let mut set_field = |name: &str, value: &str| {
        let field = match name {
            "inflight" | "busy_reqs" => &mut report.in_flight,
            "queue" | "pending" => &mut report.queued,
            "util" | "cpu_share" => &mut report.utilisation,
            "latency_ms" | "svc_ms" => &mut report.service_ms,
            "x0" if free_slots == FreeSlotsField::X0 => &mut report.free_slots,
            "x1" if free_slots == FreeSlotsField::X1 => &mut report.free_slots,
            _ => return,
        };
        *field = value.parse().ok().filter(|number: &f64| number.is_finite() && *number >= 0.0);
    };
    if text.starts_with('{') {
        // The values of the JSON object stay unparsed at first, since a value that is out of range must not
        // invalidate the other values.
        let object: BTreeMap<String, &RawValue> = serde_json::from_str(text).ok()?;
        for (name, value) in &object {
            set_field(name, value.get());
        }
    } else {
        let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
        for (name, value) in pairs {
            set_field(name.trim(), value.trim());
        }
    }
    (report != LoadReport::default()).then_some(report)
}

/// Strips the prefixes that name a load report's format. A prefix counts only if white space follows it.
fn strip_format_prefixes(text: &str) -> &str {
    let mut text = text.trim();
    for prefix in FORMAT_PREFIXES {
        let matches = text.get(..prefix.len()).is_some_and(|start| start.eq_ignore_ascii_case(prefix));
        let rest = matches.then(|| &text[prefix.len()..]);
        text = rest.filter(|rest| rest.starts_with([' ', '\t'])).map_or(text, str::trim_start);
    }
    text
}

#[cfg(test)]
mod tests;
