//! Unit tests of the endpoint list; they need no endpoint watcher.

use super::*;
use serde_json::json;
use std::net::Ipv4Addr;

fn instance(name: &str, lifecycle: &str) -> Instance {
    serde_json::from_value(json!({"instanceId": name, "lifecycle": lifecycle})).expect("a valid entry")
}

fn names_and_generation(list: &EndpointList) -> (Vec<String>, Option<u64>) {
    let (instances, generation) = list.snapshot();
    (instances.into_iter().map(|instance| instance.instance_id).collect(), generation)
}

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(std::string::ToString::to_string).collect()
}

#[test]
fn a_snapshot_replaces_the_list_and_changes_modify_it() {
    let mut list = EndpointList::default();
    list.apply(EndpointUpdate::Snapshot, Some(3), &[instance("w-1", "up"), instance("w-0", "up")]);
    assert_eq!(names_and_generation(&list), (names(&["w-0", "w-1"]), Some(3)));
    list.apply(EndpointUpdate::Changes, Some(4), &[instance("w-0", "removed"), instance("w-2", "up")]);
    assert_eq!(names_and_generation(&list), (names(&["w-1", "w-2"]), Some(4)));
    list.apply(EndpointUpdate::Snapshot, Some(5), &[instance("w-9", "draining")]);
    assert_eq!(names_and_generation(&list), (names(&["w-9"]), Some(5)));
}

#[test]
fn an_update_from_a_failed_call_changes_entries_and_keeps_the_generation() {
    let mut list = EndpointList::default();
    list.apply(EndpointUpdate::Snapshot, Some(3), &[instance("w-0", "up"), instance("w-1", "up")]);
    list.apply(EndpointUpdate::Failed, None, &[instance("w-0", "removed")]);
    assert_eq!(names_and_generation(&list), (names(&["w-1"]), Some(3)));
}

#[test]
fn a_change_of_source_keeps_the_entries_and_clears_the_generation() {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 7000));
    let mut list = EndpointList::default();
    list.apply(EndpointUpdate::Snapshot, Some(3), &[instance("w-0", "up")]);
    list.change_source(&EndpointSource::Service(address));
    assert_eq!((names_and_generation(&list), list.source()), ((names(&["w-0"]), None), Some(address)));
}
