//! Validation of a configuration file's text against the JSON Schema of its format. The validation reports
//! all errors in the text at once, each with its position.
//!
//! The validation has no rules for particular keys: all rules are in the schema, which is generated from the
//! types of the format.

use super::text::Text;
use super::units;
use super::Fault;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use toml::de::{DeFloat, DeInteger, DeTable, DeValue};
use toml::Spanned;

/// Jaro-Winkler similarity (0 to 1) above which an unknown configuration key counts as a misspelling of a
/// known key.
const MISSPELLING_SIMILARITY: f64 = 0.75;

/// Generates the JSON Schema of a file format from its type.
pub fn schema_of<T: schemars::JsonSchema>() -> Value {
    let settings = schemars::generate::SchemaSettings::draft2020_12();
    settings.with(|s| s.inline_subschemas = true).into_generator().into_root_schema_for::<T>().to_value()
}

/// Validates a TOML text against a JSON Schema and deserializes the text. `source` is the name that error
/// reports give the text.
///
/// # Errors
///
/// Returns all syntax errors in the text and all errors that the schema finds, in the order of their
/// positions.
pub fn parse<T: DeserializeOwned>(source: &str, text: &str, schema: &Value) -> Result<T, Vec<Fault>> {
    let (parsed, mut faults) = Text::parse(source, text);
    faults.extend(validate(&parsed, schema));
    if !faults.is_empty() {
        faults.sort_by_key(|fault| fault.at);
        return Err(faults);
    }
    // The validation has already checked every key, so deserialization fails only if the schema and the Rust
    // types disagree.
    toml::from_str(text).map_err(|error| {
        let at = error.span().map(|span| parsed.place(span.start));
        let (source, key) = (source.to_string(), String::new());
        vec![Fault { source, at, key, what: error.message().to_string(), remedy: String::new() }]
    })
}

/// Returns all errors that the schema finds in a parsed configuration text.
fn validate(text: &Text<'_>, schema: &Value) -> Vec<Fault> {
    let mut validation = Validation { text, faults: Vec::new() };
    let root = text.root();
    validation.table(schema, root.get_ref(), root.span().start, "");
    validation.faults
}

/// Walks through a TOML text and its JSON Schema in parallel and collects the errors in the text.
struct Validation<'v, 't> {
    text: &'v Text<'t>,
    faults: Vec<Fault>,
}

impl Validation<'_, '_> {
    fn add_fault(&mut self, offset: usize, key: &str, what: impl Into<String>, remedy: impl Into<String>) {
        self.faults.push(Fault {
            source: self.text.source().to_string(),
            at: Some(self.text.place(offset)),
            key: key.to_string(),
            what: what.into(),
            remedy: remedy.into(),
        });
    }

    /// Validates a TOML table: the JSON Schema must know each key of the table, and each required key must be
    /// present.
    fn table(&mut self, schema: &Value, table: &DeTable<'_>, start: usize, path: &str) {
        let empty = Map::new();
        let known = schema["properties"].as_object().unwrap_or(&empty);
        for (name, value) in table {
            let key = join_path(path, name.get_ref());
            match known.get(name.get_ref().as_ref()) {
                Some(schema) => self.value(schema, value, &key),
                None => self.add_fault(
                    name.span().start,
                    &key,
                    "unknown key",
                    unknown_key_remedy(name.get_ref(), known),
                ),
            }
        }
        for name in schema["required"].as_array().into_iter().flatten().filter_map(Value::as_str) {
            if !table.contains_key(name) {
                let meaning = known.get(name).and_then(|s| s["description"].as_str()).unwrap_or_default();
                self.add_fault(start, &join_path(path, name), "missing", meaning);
            }
        }
    }

    /// Validates a TOML value against a JSON Schema of any form: of an optional value, an enum or a type.
    fn value(&mut self, schema: &Value, value: &Spanned<DeValue<'_>>, path: &str) {
        // The JSON Schema of an optional configuration key is a choice between the schema of its value and
        // null.
        let variants = schema["anyOf"].as_array().or(schema["oneOf"].as_array());
        let choices: Vec<&Value> = variants.into_iter().flatten().filter(|s| s["type"] != "null").collect();
        if let [single] = choices[..] {
            if single.get("const").is_none() {
                return self.value(single, value, path);
            }
        }
        let allowed: Vec<&str> = match schema["enum"].as_array() {
            Some(values) => values.iter().filter_map(Value::as_str).collect(),
            None => choices.iter().filter_map(|s| s["const"].as_str()).collect(),
        };
        if allowed.is_empty() {
            self.typed_value(schema, value, path);
        } else {
            self.enum_value(&allowed, value, path);
        }
    }

    /// Validates a TOML value that must be one of the names `allowed`.
    fn enum_value(&mut self, allowed: &[&str], value: &Spanned<DeValue<'_>>, path: &str) {
        let found = value.get_ref().as_str();
        if found.is_some_and(|found| allowed.contains(&found)) {
            return;
        }
        let found = found.map_or_else(|| value.get_ref().type_str().to_string(), |text| format!("{text:?}"));
        let remedy = format!("use one of {}", allowed.join(", "));
        self.add_fault(value.span().start, path, format!("found {found}, expected an allowed value"), remedy);
    }

    /// Validates a TOML value against the type that the JSON Schema names.
    fn typed_value(&mut self, schema: &Value, value: &Spanned<DeValue<'_>>, path: &str) {
        let start = value.span().start;
        match (type_of(schema), value.get_ref()) {
            ("object", DeValue::Table(table)) => self.table(schema, table, start, path),
            ("array", DeValue::Array(list)) => self.list(schema, list, start, path),
            ("string", DeValue::String(text)) => {
                let format = schema["format"].as_str().unwrap_or_default();
                if let Some((what, remedy)) = units::fault(format, text) {
                    self.add_fault(start, path, what, remedy);
                }
            }
            ("boolean", DeValue::Boolean(_)) => {}
            ("integer" | "number", DeValue::Integer(number)) => self.integer(schema, number, start, path),
            ("number", DeValue::Float(number)) => self.float(schema, number, start, path),
            (expected, found) => {
                let format = schema["format"].as_str().unwrap_or_default();
                let remedy = units::fault(format, "")
                    .map_or(format!("write a value of type {expected}"), |(_, remedy)| remedy.to_string());
                self.add_fault(
                    start,
                    path,
                    format!("found {}, expected {expected}", found.type_str()),
                    remedy,
                );
            }
        }
    }

    fn list(&mut self, schema: &Value, list: &[Spanned<DeValue<'_>>], start: usize, path: &str) {
        let min_items = schema["minItems"].as_u64().unwrap_or(0);
        if (list.len() as u64) < min_items {
            self.add_fault(start, path, "too few entries", format!("list at least {min_items}"));
        }
        for (index, item) in list.iter().enumerate() {
            self.value(&schema["items"], item, &format!("{path}[{index}]"));
        }
    }

    fn integer(&mut self, schema: &Value, number: &DeInteger<'_>, start: usize, path: &str) {
        let text = number.as_str().replace('_', "");
        match i64::from_str_radix(text.trim_start_matches('+'), number.radix()) {
            Ok(number) => {
                if let Some(limit) = out_of_range(schema, number as f64) {
                    self.add_fault(start, path, format!("{number} is out of range"), limit);
                }
            }
            Err(error) => self.add_fault(start, path, format!("{text}: {error}"), "write a 64-bit integer"),
        }
    }

    fn float(&mut self, schema: &Value, number: &DeFloat<'_>, start: usize, path: &str) {
        match number.as_str().replace('_', "").parse::<f64>() {
            Ok(number) if number.is_finite() => {
                if let Some(limit) = out_of_range(schema, number) {
                    self.add_fault(start, path, format!("{number} is out of range"), limit);
                }
            }
            _ => self.add_fault(
                start,
                path,
                format!("found {}, expected a finite number", number.as_str()),
                "write a finite number",
            ),
        }
    }
}

/// Returns the type of value that a JSON Schema requires; the type of an optional value is the one that is
/// not null.
fn type_of(schema: &Value) -> &str {
    let types: Vec<&str> = match &schema["type"] {
        Value::String(single) => vec![single],
        Value::Array(several) => several.iter().filter_map(Value::as_str).filter(|t| *t != "null").collect(),
        _ => Vec::new(),
    };
    types.first().copied().unwrap_or("object")
}

/// Returns the advice to the user who wrote an unknown configuration key: the most similar known key, or all
/// known keys.
fn unknown_key_remedy(name: &str, known: &Map<String, Value>) -> String {
    match nearest_key(name, known.keys()) {
        Some(nearest) => format!("did you mean {nearest:?}?"),
        None => format!("known keys: {}", known.keys().cloned().collect::<Vec<_>>().join(", ")),
    }
}

fn join_path(path: &str, name: &str) -> String {
    if path.is_empty() {
        return name.to_string();
    }
    format!("{path}.{name}")
}

/// Returns the known configuration key of which an unknown key is probably a misspelling, if there is one.
fn nearest_key<'a>(name: &str, known: impl Iterator<Item = &'a String>) -> Option<&'a str> {
    let scored = known.map(|known| (strsim::jaro_winkler(name, known), known.as_str()));
    let best = scored.max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(a.1)));
    best.filter(|(similarity, _)| *similarity > MISSPELLING_SIMILARITY).map(|(_, known)| known)
}

fn out_of_range(schema: &Value, number: f64) -> Option<String> {
    let (minimum, maximum) = (schema["minimum"].as_f64(), schema["maximum"].as_f64());
    let is_outside =
        minimum.is_some_and(|minimum| number < minimum) || maximum.is_some_and(|maximum| number > maximum);
    is_outside.then(|| match (minimum, maximum) {
        (Some(minimum), Some(maximum)) => format!("use a number from {minimum} to {maximum}"),
        (Some(minimum), None) => format!("use at least {minimum}"),
        (_, maximum) => format!("use at most {}", maximum.unwrap_or(f64::MAX)),
    })
}
