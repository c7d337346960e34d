use super::*;
use rstest::rstest;
use serde_json::json;

/// Returns a document with two classes, of which only the second has every key of a class.
fn in_force() -> Value {
    json!({"discovery": "127.0.0.1:1", "admin": null, "known": null, "peers": ["127.0.0.1:2"],
        "fields": [], "settings": {"specifics": {"class_kind": [-1, 0]}, "limits": {"peers": true}, "services": [
            {"name": "report", "repeat": "safe", "aim": 1},
            {"name": "pay", "repeat": "keyed", "group": "zone", "window": 2, "aim": 1, "late_share": 0.5}]}})
}

/// Returns the keys of the faults in the document in force with `new` in the place of the value at `pointer`;
/// `None` removes the key.
fn fault_keys(pointer: &str, new: Option<Value>) -> Vec<String> {
    let mut document = in_force();
    let (parent, key) = pointer.rsplit_once('/').expect("a pointer");
    if let Some(new) = new {
        *document.pointer_mut(pointer).expect("the document has the key") = new;
    } else {
        let parent = document.pointer_mut(parent).and_then(Value::as_object_mut).expect("an object");
        parent.remove(key).expect("the document has the key");
    }
    let faults = check(&in_force(), &document).err().map_or_else(Vec::new, |error| error.0);
    faults.into_iter().map(|fault| fault.key).collect()
}

/// Guards against a key of one class that a new file lacks unnoticed because another class in force lacks it.
#[rstest]
#[case::key_of_the_root("/discovery", "discovery")]
#[case::saved_list("/known", "known")]
#[case::nested_key("/settings/limits/peers", "settings.limits.peers")]
#[case::section("/settings/specifics", "settings.specifics")]
#[case::scope_of_a_keyed_class("/settings/services/1/group", "settings.services[1].group")]
#[case::window_of_a_keyed_class("/settings/services/1/window", "settings.services[1].window")]
#[case::key_that_another_class_lacks("/settings/services/1/late_share", "settings.services[1].late_share")]
#[case::key_that_every_class_has("/settings/services/0/aim", "settings.services[0].aim")]
fn a_key_that_the_new_document_lacks_is_a_fault(#[case] pointer: &str, #[case] key: &str) {
    assert_eq!(fault_keys(pointer, None), [key]);
}

/// Guards against a section that is replaced by null, which would be read as an absent section.
#[rstest]
#[case::section("/settings/specifics", json!(null), "settings.specifics")]
#[case::list("/settings/services", json!({}), "settings.services")]
#[case::list_of_values("/settings/specifics/class_kind", json!("-1"), "settings.specifics.class_kind")]
#[case::flag("/settings/limits/peers", json!(null), "settings.limits.peers")]
#[case::entry("/settings/services/0", json!(null), "settings.services[0]")]
fn a_value_of_another_kind_is_a_fault(#[case] pointer: &str, #[case] new: Value, #[case] key: &str) {
    assert_eq!(fault_keys(pointer, Some(new)), [key]);
}

#[rstest]
#[case::other_value("/discovery", json!("127.0.0.1:9"))]
#[case::value_in_place_of_null("/admin", json!("127.0.0.1:9"))]
#[case::shorter_list_of_values("/peers", json!([]))]
#[case::values_in_an_empty_list("/fields", json!(["x0"]))]
#[case::saved_list("/known", json!({}))]
#[case::classes_in_another_order("/settings/services", json!([
    {"name": "pay", "repeat": "keyed", "group": "cell", "window": 3, "aim": 1, "late_share": 0.5},
    {"name": "report", "repeat": "safe", "aim": 1}]))]
#[case::class_dropped_and_class_added("/settings/services", json!([
    {"name": "report", "repeat": "safe", "aim": 1}, {"name": "audit", "repeat": "unsafe", "aim": 1}]))]
#[case::class_no_longer_keyed("/settings/services/1", json!(
    {"name": "pay", "repeat": "safe", "aim": 1, "late_share": 0.5}))]
fn a_complete_document_may_differ(#[case] pointer: &str, #[case] new: Value) {
    assert_eq!(fault_keys(pointer, Some(new)), [""; 0]);
}

#[test]
fn an_added_class_needs_the_keys_that_every_class_in_force_has() {
    let services = json!([{"name": "audit", "repeat": "unsafe"}]);
    assert_eq!(fault_keys("/settings/services", Some(services)), ["settings.services[0].aim"]);
}
