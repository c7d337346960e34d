//! Checks of a plan beyond its schema: names that refer to other tables, and what the daemon would reject.

use super::fault::PlannedFaultKind;
use super::scheduler::SchedulerSpec;
use super::workers::WorkerGroup;
use super::Plan;
use crate::Failure;
use std::net::{Ipv4Addr, SocketAddr};
use vetchbridge::config::text::Text;
use vetchbridge::config::Fault;
use vetchbridge_testbed::arrivals::Arrivals;

/// An address for a configuration that is only checked, never used.
const PLACEHOLDER: (Ipv4Addr, u16) = (Ipv4Addr::LOCALHOST, 1);

/// The failure that lists faults, one a line.
pub(super) fn bad_input(faults: &[Fault]) -> Failure {
    let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
    Failure::BadInput(lines.join("\n"))
}

/// Every reference of a plan to a name that does not exist, or exists twice.
pub(super) fn references(plan: &Plan, source: &str, text: &str) -> Vec<Fault> {
    let (text, _) = Text::parse(source, text);
    let mut faults = workers(plan, &text);
    faults.extend(classes(plan, &text));
    faults.extend(tenants(plan, &text));
    faults.extend(planned_faults(plan, &text));
    if plan.workers.is_empty() {
        let remedy = "add a [[peers]] with prefix, count, kind and slots";
        faults.push(text.fault("peers", "the list of workers is empty", remedy));
    }
    faults
}

/// What the daemon or the clients would reject, found before anything is started.
pub(super) fn dry_run(plan: &Plan, source: &str) -> Result<(), Failure> {
    let address = SocketAddr::from(PLACEHOLDER);
    let first = SchedulerSpec { number: 0, listen: address, discovery: address, known: &[], handover: None };
    let config = plan.scheduler_config(first);
    vetchbridge::config::read_text(&format!("{source}, as a scheduler's configuration"), &config)
        .map_err(|error| bad_input(&error.0))?;
    Arrivals::new(&plan.load_spec())
        .map_err(|error| Failure::BadInput(format!("{source}: load.{}: {}", error.key, error.reason)))?;
    Ok(())
}

fn one_of(names: &[String]) -> String {
    format!("one of {}", names.join(", "))
}

fn workers(plan: &Plan, text: &Text<'_>) -> Vec<Fault> {
    let (zones, kinds) = (&plan.daemon.fleet.zones, &plan.daemon.fleet.kinds);
    let mut faults = Vec::new();
    for (at, workers) in plan.workers.iter().enumerate() {
        if !kinds.contains(&workers.kind) {
            let key = format!("peers[{at}].kind");
            faults.push(text.fault(&key, "not in daemon.fleet.kinds", one_of(kinds)));
        }
        if workers.zone.as_ref().is_some_and(|zone| !zones.contains(zone)) {
            let key = format!("peers[{at}].zone");
            faults.push(text.fault(&key, "not in daemon.fleet.zones", one_of(zones)));
        }
        if plan.workers[..at].iter().any(|other| other.prefix == workers.prefix) {
            let key = format!("peers[{at}].prefix");
            faults.push(text.fault(&key, "is there already", "a prefix of its own"));
        }
    }
    faults
}

fn classes(plan: &Plan, text: &Text<'_>) -> Vec<Fault> {
    let known: Vec<String> = plan.daemon.class.iter().map(|class| class.name.clone()).collect();
    let named = plan.load.classes.iter().map(|class| class.name.as_str());
    unknown_names(text, "load.class", named, "daemon.class", &known)
}

fn tenants(plan: &Plan, text: &Text<'_>) -> Vec<Fault> {
    let known: Vec<String> = plan.daemon.tenant.iter().map(|tenant| tenant.name.clone()).collect();
    let named = plan.load.tenants.iter().map(|tenant| tenant.name.as_str());
    unknown_names(text, "load.tenant", named, "daemon.tenant", &known)
}

/// Each entry of a list whose name is not among those that another list defines.
fn unknown_names<'n>(
    text: &Text<'_>,
    list: &str,
    named: impl Iterator<Item = &'n str>,
    defined_in: &str,
    known: &[String],
) -> Vec<Fault> {
    let unknown = named.enumerate().filter(|(_, name)| known.iter().all(|known| known != name));
    let fault =
        |(at, _)| text.fault(&format!("{list}[{at}].name"), format!("not in {defined_in}"), one_of(known));
    unknown.map(fault).collect()
}

fn planned_faults(plan: &Plan, text: &Text<'_>) -> Vec<Fault> {
    let names: Vec<String> = plan.workers.iter().flat_map(WorkerGroup::names).collect();
    let mut faults = Vec::new();
    for (at, fault) in plan.faults.iter().enumerate() {
        let named = fault.worker.as_ref().is_some_and(|worker| names.contains(worker));
        if fault.kind == PlannedFaultKind::WorkerCrash && !named {
            let remedy = "a prefix of [[peers]] and a number, such as prefix-0";
            faults.push(text.fault(&format!("trouble[{at}].peer"), "no such worker", remedy));
        }
    }
    faults
}
