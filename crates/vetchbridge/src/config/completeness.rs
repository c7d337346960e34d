//! Checks at a reload that a new platform document is complete, by comparing it with the document in force.
//!
//! A document that was written only in part may still be valid, and an absent key would then get its default.
//! Therefore the new document must have every key that the document in force has, with a value of the same
//! kind.

use super::{ConfigError, Fault};
use serde_json::{Map, Value};

/// The name that error reports give the new document.
const SOURCE: &str = "configuration";
/// The remedy for a key that the new document lacks.
const REMEDY: &str = "add the key, or restart the process to remove the key on purpose";
/// The key of a list entry's name. Entries with the same name are compared with one another.
const NAME: &str = "name";
/// The key of a class's idempotency, and the value for classes whose jobs have an idempotency key.
const REPEAT: &str = "repeat";
const KEYED: &str = "keyed";
/// The keys that only a keyed class needs: its deduplication scope and its deduplication window.
const KEYED_ONLY: [&str; 2] = ["group", "window"];

type Object = Map<String, Value>;

/// Checks that the platform document `new` has every key that the document `in_force` has. Of a key that is
/// null in the document in force, such as the saved endpoint list, only the presence is required.
///
/// # Errors
///
/// Returns a fault for each key that is missing, and for each value of another kind than in the document in
/// force.
pub(super) fn check(in_force: &Value, new: &Value) -> Result<(), ConfigError> {
    let mut comparison = Comparison::default();
    if let (Value::Object(in_force), Value::Object(new)) = (in_force, new) {
        for (key, value) in in_force {
            comparison.compare_key(key, value, new.get(key));
        }
    }
    if comparison.faults.is_empty() {
        Ok(())
    } else {
        Err(ConfigError(comparison.faults))
    }
}

/// Compares two documents and collects the faults of the new one.
#[derive(Default)]
struct Comparison {
    faults: Vec<Fault>,
}

impl Comparison {
    fn add_fault(&mut self, path: &str, what: impl Into<String>) {
        let (source, key, remedy) = (SOURCE.to_string(), path.to_string(), REMEDY.to_string());
        self.faults.push(Fault { source, at: None, key, what: what.into(), remedy });
    }

    /// Compares the values that both documents have at `path`; `new` is `None` if the new document has none.
    fn compare_key(&mut self, path: &str, in_force: &Value, new: Option<&Value>) {
        match new {
            None => self.add_fault(path, "missing; the configuration in force has it"),
            Some(new) => self.compare(path, in_force, new),
        }
    }

    fn compare(&mut self, path: &str, in_force: &Value, new: &Value) {
        match (in_force, new) {
            (Value::Null, _) => {}
            (Value::Object(in_force), Value::Object(new)) => self.compare_objects(path, in_force, new),
            (Value::Array(in_force), Value::Array(new)) => self.compare_lists(path, in_force, new),
            _ if kind(in_force) == kind(new) => {}
            _ => {
                let what = format!("found {}, the configuration in force has {}", kind(new), kind(in_force));
                self.add_fault(path, what);
            }
        }
    }

    fn compare_objects(&mut self, path: &str, in_force: &Object, new: &Object) {
        for (key, value) in in_force.iter().filter(|(key, _)| may_need(new, key)) {
            self.compare_key(&format!("{path}.{key}"), value, new.get(key));
        }
    }

    /// Compares two lists of objects, entry by entry. An entry whose name the list in force lacks needs the
    /// keys that every entry in force has. A list that is empty in force says nothing about its entries.
    fn compare_lists(&mut self, path: &str, in_force: &[Value], new: &[Value]) {
        let Some(in_force) = in_force.iter().map(Value::as_object).collect::<Option<Vec<_>>>() else {
            return;
        };
        if in_force.is_empty() {
            return;
        }
        for (index, entry) in new.iter().enumerate() {
            let path = format!("{path}[{index}]");
            let Some(entry) = entry.as_object() else {
                self.add_fault(&path, format!("found {}, expected an object", kind(entry)));
                continue;
            };
            match in_force.iter().find(|known| has_same_name(known, entry)) {
                Some(known) => self.compare_objects(&path, known, entry),
                None => self.compare_added_entry(&path, &in_force, entry),
            }
        }
    }

    fn compare_added_entry(&mut self, path: &str, in_force: &[&Object], entry: &Object) {
        let keys = in_force.first().into_iter().flat_map(|first| first.keys());
        let common = keys.filter(|key| in_force.iter().all(|known| known.contains_key(*key)));
        for key in common.filter(|key| may_need(entry, key) && !entry.contains_key(*key)) {
            self.add_fault(
                &format!("{path}.{key}"),
                "missing; every entry of the configuration in force has it",
            );
        }
    }
}

/// Whether an object may need a key: only keyed classes need the keys of [`KEYED_ONLY`].
fn may_need(object: &Object, key: &str) -> bool {
    let may_be_keyed = object.get(REPEAT).is_none_or(|repeat| repeat == KEYED);
    may_be_keyed || !KEYED_ONLY.contains(&key)
}

fn has_same_name(one: &Object, other: &Object) -> bool {
    one.get(NAME).is_some_and(|name| other.get(NAME) == Some(name))
}

/// Returns the kind of a JSON value, as error reports name it.
fn kind(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "true or false",
        Value::Number(_) => "a number",
        Value::String(_) => "a string",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}

#[cfg(test)]
mod tests;
