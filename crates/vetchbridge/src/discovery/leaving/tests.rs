use super::*;

fn instance(name: &str, lifecycle: &str) -> Instance {
    let entry = serde_json::json!({"instanceId": name, "lifecycle": lifecycle});
    serde_json::from_value(entry).expect("a valid entry")
}

/// Guards against an older answer that ends after the first entries of a newer one have arrived.
#[test]
fn a_worker_stays_leaving_until_a_list_as_new_as_its_entry_is_complete() {
    let mut leaving = LeavingWorkers::default();
    leaving.record(43, &[instance("s-a", "up"), instance("s-b", "draining")]);
    leaving.record(42, &[instance("s-b", "removed")]);
    assert!(leaving.contains_after(42, "s-b") && !leaving.contains_after(43, "s-b"));
    assert!(!leaving.contains_after(42, "s-a"));
    let kept = leaving.retain_after(42);
    assert_eq!(kept.len(), 1);
    assert_eq!((kept[0].instance_id.as_str(), kept[0].lifecycle), ("s-b", InstanceState::Draining));
    assert!(leaving.retain_after(43).is_empty());
}
