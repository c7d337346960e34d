//! The commented configuration file that `config default` prints, generated from the JSON Schema and the
//! example of the configuration file.

use crate::config::file;
use serde_json::{Map, Value};

/// Returns the text of a configuration file with every key, preceded by a comment with the key's meaning.
/// Keys that the example of the configuration file lacks are commented out.
pub(super) fn default_file() -> String {
    let schema = file::schema();
    let values = serde_json::to_value(file::example()).unwrap_or_default();
    let mut text = format!("# {}\n", schema["description"].as_str().unwrap_or_default());
    // Tables come last in a TOML file, since every key after a table's header belongs to that table.
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

/// Formats a list of tables of the configuration file, such as `[[class]]`, by the list's first entry. The
/// list is commented out if the example of the configuration file has no entry.
fn table_list(name: &str, schema: &Value, keys: &Map<String, Value>, first: Option<&Value>) -> String {
    let comment_marker = if first.is_some() { "" } else { "#" };
    let mut text = format!("\n# {}\n{comment_marker}[[{name}]]\n", description(schema));
    for (key, schema) in keys {
        text.push_str(&key_line(key, schema, first.and_then(|entry| entry.get(key))));
    }
    text
}

/// Formats a configuration key with its value. A key without a default value is commented out and gets an
/// example value.
fn key_line(name: &str, schema: &Value, value: Option<&Value>) -> String {
    match value {
        Some(value) => format!("# {}\n{name} = {value}\n", description(schema)),
        None => format!("# {}\n#{name} = {}\n", description(schema), example_value(schema)),
    }
}

fn description(schema: &Value) -> String {
    schema["description"].as_str().map(|text| text.replace('\n', " ")).unwrap_or_default()
}

/// Returns an example value for a configuration key without a default value.
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
