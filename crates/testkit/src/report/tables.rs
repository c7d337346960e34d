//! Formats the report on a load as tables for people.

use super::{ClassSummary, Report, TenantSummary};
use comfy_table::{presets, Table};
use vetchbridge_testbed::audit::Answers;

/// The largest number of violations that the text of a report lists.
const MAX_LISTED_VIOLATIONS: usize = 10;

impl Report {
    /// Returns the report as tables, followed by the connection errors and the violations.
    pub fn text(&self) -> String {
        let mut text = format!("{}\n{}\n", self.totals_table(), classes_table(&self.classes));
        if !self.tenants.is_empty() {
            text.push_str(&format!("{}\n", tenants_table(&self.tenants)));
        }
        for (cause, count) in &self.causes {
            text.push_str(&format!("connection error, {count} times: {cause}\n"));
        }
        for violation in self.violations.iter().take(MAX_LISTED_VIOLATIONS) {
            text.push_str(&format!("violation: {violation}\n"));
        }
        if self.violations.len() > MAX_LISTED_VIOLATIONS {
            text.push_str(&format!(
                "and {} more violations\n",
                self.violations.len() - MAX_LISTED_VIOLATIONS
            ));
        }
        text
    }

    fn totals_table(&self) -> Table {
        let mut table = new_table();
        let mut row = |name: &str, value: String| {
            table.add_row(vec![name.to_string(), value]);
        };
        let Answers { served, rejected, failed, lost, unreachable, unanswered } = self.answers;
        row("jobs", self.jobs.to_string());
        row("tries", self.requests.to_string());
        row("answers", format!("{served} served, {rejected} rejected, {failed} failed"));
        row("without an answer", format!("{lost} lost, {unreachable} unreachable, {unanswered} timed out"));
        row("exactly once", exactly_once_text(self.violations.len()));
        row(
            "service",
            format!("{:.3} of the requested priority weight was served in time", self.in_time_share),
        );
        if let Some(attempts) = self.attempts_per_job {
            row("attempts per job", format!("{attempts:.3}"));
        }
        if let Some(dropped) = self.repeats_dropped {
            row("keyed repeats dropped", dropped.to_string());
        }
        if let Some(affinity) = self.affinity {
            row("affinity", format!("{affinity:.3} of an object's jobs ran at the same worker"));
        }
        if let Some(probes) = self.probes_per_job {
            row("probes per job", format!("{probes:.3}"));
        }
        row("load sent late by", format!("{:.1} ms at most", self.lag_ms));
        table
    }
}

fn exactly_once_text(violations: usize) -> String {
    match violations {
        0 => "yes: each job had one final answer".to_string(),
        count => format!("VIOLATED {count} times"),
    }
}

fn classes_table(classes: &[ClassSummary]) -> Table {
    let mut table = new_table();
    table.set_header(vec!["class", "jobs", "served", "in time", "p50 ms", "p90 ms", "p99 ms", "max ms"]);
    for class in classes {
        let mut cells = vec![class.name.clone()];
        cells.extend([class.jobs, class.served, class.in_time].map(|count| count.to_string()));
        let latencies = [class.p50_ms, class.p90_ms, class.p99_ms, class.max_ms];
        cells.extend(latencies.map(|latency| format!("{latency:.1}")));
        table.add_row(cells);
    }
    table
}

fn tenants_table(tenants: &[TenantSummary]) -> Table {
    let mut table = new_table();
    table.set_header(vec!["tenant", "jobs", "served", "in time"]);
    for tenant in tenants {
        let mut cells = vec![tenant.name.clone()];
        cells.extend([tenant.jobs, tenant.served, tenant.in_time].map(|count| count.to_string()));
        table.add_row(cells);
    }
    table
}

/// Returns an empty table with the borders that all tables of the kit have.
pub(crate) fn new_table() -> Table {
    let mut table = Table::new();
    table.load_style(presets::UTF8_BORDERS_ONLY);
    table
}
