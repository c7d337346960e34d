//! Checks of a plan beyond its schema: references to names that other tables of the plan define, and values
//! that the daemon would reject.

use super::fault::PlannedFaultKind;
use super::scheduler::SchedulerSpec;
use super::workers::WorkerGroup;
use super::Plan;
use crate::Failure;
use std::net::{Ipv4Addr, SocketAddr};
use vetchbridge::config::text::Text;
use vetchbridge::config::Fault;
use vetchbridge_testbed::arrivals::Arrivals;

/// The address of the scheduler and of discovery in a configuration that is checked but never used.
const PLACEHOLDER: (Ipv4Addr, u16) = (Ipv4Addr::LOCALHOST, 1);

/// Returns a failure that lists the faults of a plan, one per line.
pub(super) fn bad_input(faults: &[Fault]) -> Failure {
    let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
    Failure::BadInput(lines.join("\n"))
}

/// Checks the references within a plan. Returns a fault for each reference to an undefined name, for each
/// prefix that two tables of workers use, and for an empty list of workers.
pub(super) fn check_references(plan: &Plan, source: &str, text: &str) -> Vec<Fault> {
    let (text, _) = Text::parse(source, text);
    let mut faults = check_workers(plan, &text);
    faults.extend(check_classes(plan, &text));
    faults.extend(check_tenants(plan, &text));
    faults.extend(check_planned_faults(plan, &text));
    if plan.workers.is_empty() {
        let remedy = "add a [[peers]] with prefix, count, kind and slots";
        faults.push(text.fault("peers", "the list of workers is empty", remedy));
    }
    faults
}

/// Checks the plan as the daemon and the clients would when they read it, before the kit starts any process.
pub(super) fn check_as_daemon(plan: &Plan, source: &str) -> Result<(), Failure> {
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
    format!("use one of {}", names.join(", "))
}

fn check_workers(plan: &Plan, text: &Text<'_>) -> Vec<Fault> {
    let (zones, kinds) = (&plan.daemon.fleet.zones, &plan.daemon.fleet.kinds);
    let mut faults = Vec::new();
    for (index, workers) in plan.workers.iter().enumerate() {
        if !kinds.contains(&workers.kind) {
            let key = format!("peers[{index}].kind");
            faults.push(text.fault(&key, "not in daemon.fleet.kinds", one_of(kinds)));
        }
        if workers.zone.as_ref().is_some_and(|zone| !zones.contains(zone)) {
            let key = format!("peers[{index}].zone");
            faults.push(text.fault(&key, "not in daemon.fleet.zones", one_of(zones)));
        }
        if plan.workers[..index].iter().any(|other| other.prefix == workers.prefix) {
            let key = format!("peers[{index}].prefix");
            faults.push(text.fault(
                &key,
                "already in use by another table of [[peers]]",
                "use a unique prefix",
            ));
        }
    }
    faults
}

fn check_classes(plan: &Plan, text: &Text<'_>) -> Vec<Fault> {
    let known: Vec<String> = plan.daemon.class.iter().map(|class| class.name.clone()).collect();
    let names = plan.load.classes.iter().map(|class| class.name.as_str());
    unknown_names(text, "load.class", names, "daemon.class", &known)
}

fn check_tenants(plan: &Plan, text: &Text<'_>) -> Vec<Fault> {
    let known: Vec<String> = plan.daemon.tenant.iter().map(|tenant| tenant.name.clone()).collect();
    let names = plan.load.tenants.iter().map(|tenant| tenant.name.as_str());
    unknown_names(text, "load.tenant", names, "daemon.tenant", &known)
}

/// Returns a fault for each of `names`, which the tables `list` contain, that is not among the `known` names,
/// which the tables `table` define.
fn unknown_names<'n>(
    text: &Text<'_>,
    list: &str,
    names: impl Iterator<Item = &'n str>,
    table: &str,
    known: &[String],
) -> Vec<Fault> {
    let unknown = names.enumerate().filter(|(_, name)| known.iter().all(|known| known != name));
    let fault =
        |(index, _)| text.fault(&format!("{list}[{index}].name"), format!("not in {table}"), one_of(known));
    unknown.map(fault).collect()
}

fn check_planned_faults(plan: &Plan, text: &Text<'_>) -> Vec<Fault> {
    let names: Vec<String> = plan.workers.iter().flat_map(WorkerGroup::names).collect();
    let mut faults = Vec::new();
    for (index, fault) in plan.faults.iter().enumerate() {
        let worker_exists = fault.worker.as_ref().is_some_and(|worker| names.contains(worker));
        if fault.kind == PlannedFaultKind::WorkerCrash && !worker_exists {
            let remedy = "use a prefix of [[peers]] and a number, such as prefix-0";
            faults.push(text.fault(&format!("trouble[{index}].peer"), "no such worker", remedy));
        }
    }
    faults
}
