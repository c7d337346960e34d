//! The commented configuration file that `config default` prints, made from the format's schema and example.

use crate::config::file;
use serde_json::{Map, Value};

/// Every key with its meaning in a comment above it. Keys without a default are commented out.
pub(super) fn default_file() -> String {
    let schema = file::schema();
    let values = serde_json::to_value(file::example()).unwrap_or_default();
    let mut text = format!("# {}\n", schema["description"].as_str().unwrap_or_default());
    // Tables come last: keys below a table's head would belong to it.
    let mut tables = String::new();
    for (name, schema) in schema["properties"].as_object().unwrap_or(&Map::new()) {
        let value = &values[name];
        if let Some(keys) = schema["items"]["properties"].as_object() {
            tables.push_str(&table_list(name, schema, keys, value.get(0)));
        } else if let Some(keys) = schema["properties"].as_object() {
            tables.push_str(&format!("\n# {}\n[{name}]\n", description(schema)));
            keys.iter().for_each(|(key, schema)| tables.push_str(&key_line(key, schema, value.get(key))));
        } else {
            text.push_str(&format!("\n{}", key_line(name, schema, values.get(name))));
        }
    }
    text + &tables
}

/// A list of tables, shown by its first entry; commented out if the example has none.
fn table_list(name: &str, schema: &Value, keys: &Map<String, Value>, first: Option<&Value>) -> String {
    let hash = if first.is_some() { "" } else { "#" };
    let mut text = format!("\n# {}\n{hash}[[{name}]]\n", description(schema));
    for (key, schema) in keys {
        text.push_str(&key_line(key, schema, first.and_then(|entry| entry.get(key))));
    }
    text
}

/// A key with its value, or commented out with an example value.
fn key_line(name: &str, schema: &Value, value: Option<&Value>) -> String {
    match value {
        Some(value) => format!("# {}\n{name} = {value}\n", description(schema)),
        None => format!("# {}\n#{name} = {}\n", description(schema), example_value(schema)),
    }
}

fn description(schema: &Value) -> String {
    schema["description"].as_str().map(|text| text.replace('\n', " ")).unwrap_or_default()
}

/// A value of the right form for a key without a default.
fn example_value(schema: &Value) -> &'static str {
    match schema["format"].as_str() {
        Some("span") => "\"1s\"",
        Some("address") => "\"127.0.0.1:8500\"",
        Some("seed") => "\"8c1f30d27a5be964\"",
        _ => match schema["type"].as_str() {
            Some("string") => "\"\"",
            Some("integer" | "number") => "0",
            Some("boolean") => "false",
            Some("array") => "[]",
            _ => "\"\"",
        },
    }
}
