//! Validation of a file's text against the JSON Schema of its format: all of its faults at once, each with its place.
//!
//! The validation never knows a key by name: all that it asks for stands in the schema, which is made from the format's types.

use super::text::Text;
use super::units;
use super::Fault;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use toml::de::{DeFloat, DeInteger, DeTable, DeValue};
use toml::Spanned;

/// Likeness (Jaro-Winkler, 0 to 1) above which an unknown key is taken for a misspelt one.
const MISSPELT_LIKENESS: f64 = 0.75;

/// The schema of a format, made from its types.
pub fn schema_of<T: schemars::JsonSchema>() -> Value {
    let settings = schemars::generate::SchemaSettings::draft2020_12();
    settings.with(|s| s.inline_subschemas = true).into_generator().into_root_schema_for::<T>().to_value()
}

/// Reads a text of a format.
///
/// # Errors
///
/// All faults that its schema finds, in the order of their places.
pub fn parse<T: DeserializeOwned>(source: &str, text: &str, schema: &Value) -> Result<T, Vec<Fault>> {
    let (parsed, mut faults) = Text::parse(source, text);
    faults.extend(validate(&parsed, schema));
    if !faults.is_empty() {
        faults.sort_by_key(|fault| fault.at);
        return Err(faults);
    }
    // The validation has seen every key; this fails only where schema and types differ.
    toml::from_str(text).map_err(|error| {
        let at = error.span().map(|span| parsed.place(span.start));
        let (source, key) = (source.to_string(), String::new());
        vec![Fault { source, at, key, what: error.message().to_string(), remedy: String::new() }]
    })
}

/// Everything that the schema finds wrong.
fn validate(text: &Text<'_>, schema: &Value) -> Vec<Fault> {
    let mut validation = Validation { text, faults: Vec::new() };
    let root = text.root();
    validation.table(schema, root.get_ref(), root.span().start, "");
    validation.faults
}

/// A walk over a text along its schema; collects faults on the way.
struct Validation<'v, 't> {
    text: &'v Text<'t>,
    faults: Vec<Fault>,
}

impl Validation<'_, '_> {
    fn add(&mut self, offset: usize, key: &str, what: impl Into<String>, remedy: impl Into<String>) {
        self.faults.push(Fault {
            source: self.text.source().to_string(),
            at: Some(self.text.place(offset)),
            key: key.to_string(),
            what: what.into(),
            remedy: remedy.into(),
        });
    }

    /// A table, whose keys have to be known and whose required keys have to be there.
    fn table(&mut self, schema: &Value, table: &DeTable<'_>, start: usize, path: &str) {
        let empty = Map::new();
        let known = schema["properties"].as_object().unwrap_or(&empty);
        for (name, value) in table {
            let key = join(path, name.get_ref());
            match known.get(name.get_ref().as_ref()) {
                Some(schema) => self.value(schema, value, &key),
                None => self.add(name.span().start, &key, "unknown key", known_keys(name.get_ref(), known)),
            }
        }
        for name in schema["required"].as_array().into_iter().flatten().filter_map(Value::as_str) {
            if !table.contains_key(name) {
                let meaning = known.get(name).and_then(|s| s["description"].as_str()).unwrap_or_default();
                self.add(start, &join(path, name), "missing", meaning);
            }
        }
    }

    /// Any value: a choice, one of an enum's values, or a value of a type.
    fn value(&mut self, schema: &Value, value: &Spanned<DeValue<'_>>, path: &str) {
        // An optional key's schema is a choice between its own and null.
        let variants = schema["anyOf"].as_array().or(schema["oneOf"].as_array());
        let named: Vec<&Value> = variants.into_iter().flatten().filter(|s| s["type"] != "null").collect();
        if let [only] = named[..] {
            if only.get("const").is_none() {
                return self.value(only, value, path);
            }
        }
        let allowed: Vec<&str> = match schema["enum"].as_array() {
            Some(values) => values.iter().filter_map(Value::as_str).collect(),
            None => named.iter().filter_map(|s| s["const"].as_str()).collect(),
        };
        if allowed.is_empty() {
            self.typed(schema, value, path);
        } else {
            self.one_of(&allowed, value, path);
        }
    }

    /// A value of an enum.
    fn one_of(&mut self, allowed: &[&str], value: &Spanned<DeValue<'_>>, path: &str) {
        let found = value.get_ref().as_str();
        if found.is_some_and(|found| allowed.contains(&found)) {
            return;
        }
        let found = found.map_or_else(|| value.get_ref().type_str().to_string(), |text| format!("{text:?}"));
        let remedy = format!("one of {}", allowed.join(", "));
        self.add(value.span().start, path, format!("{found} is none of its values"), remedy);
    }

    /// A value of the type that the schema names.
    fn typed(&mut self, schema: &Value, value: &Spanned<DeValue<'_>>, path: &str) {
        let start = value.span().start;
        match (type_of(schema), value.get_ref()) {
            ("object", DeValue::Table(table)) => self.table(schema, table, start, path),
            ("array", DeValue::Array(list)) => self.list(schema, list, start, path),
            ("string", DeValue::String(text)) => {
                let format = schema["format"].as_str().unwrap_or_default();
                if let Some((what, example)) = units::fault(format, text) {
                    self.add(start, path, what, example);
                }
            }
            ("boolean", DeValue::Boolean(_)) => {}
            ("integer" | "number", DeValue::Integer(number)) => self.integer(schema, number, start, path),
            ("number", DeValue::Float(number)) => self.float(schema, number, start, path),
            (wanted, found) => {
                let format = schema["format"].as_str().unwrap_or_default();
                let remedy = units::fault(format, "")
                    .map_or(format!("a {wanted} is wanted"), |(_, example)| example.to_string());
                self.add(start, path, format!("{} where a {wanted} belongs", found.type_str()), remedy);
            }
        }
    }

    fn list(&mut self, schema: &Value, list: &[Spanned<DeValue<'_>>], start: usize, path: &str) {
        let least = schema["minItems"].as_u64().unwrap_or(0);
        if (list.len() as u64) < least {
            self.add(start, path, "empty", format!("at least {least} entry"));
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
                    self.add(start, path, format!("{number} is out of range"), limit);
                }
            }
            Err(error) => self.add(start, path, format!("{text}: {error}"), ""),
        }
    }

    fn float(&mut self, schema: &Value, number: &DeFloat<'_>, start: usize, path: &str) {
        match number.as_str().replace('_', "").parse::<f64>() {
            Ok(number) if number.is_finite() => {
                if let Some(limit) = out_of_range(schema, number) {
                    self.add(start, path, format!("{number} is out of range"), limit);
                }
            }
            _ => self.add(start, path, format!("{} is no number that can be used", number.as_str()), ""),
        }
    }
}

/// The type that a schema asks for.
fn type_of(schema: &Value) -> &str {
    let types: Vec<&str> = match &schema["type"] {
        Value::String(one) => vec![one],
        Value::Array(several) => several.iter().filter_map(Value::as_str).filter(|t| *t != "null").collect(),
        _ => Vec::new(),
    };
    types.first().copied().unwrap_or("object")
}

/// The remedy for an unknown key.
fn known_keys(name: &str, known: &Map<String, Value>) -> String {
    match nearest(name, known.keys()) {
        Some(near) => format!("did you mean {near:?}?"),
        None => format!("known here: {}", known.keys().cloned().collect::<Vec<_>>().join(", ")),
    }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        return name.to_string();
    }
    format!("{path}.{name}")
}

/// The known key that someone may have meant.
fn nearest<'a>(name: &str, known: impl Iterator<Item = &'a String>) -> Option<&'a str> {
    let scored = known.map(|known| (strsim::jaro_winkler(name, known), known.as_str()));
    let best = scored.max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(a.1)));
    best.filter(|(likeness, _)| *likeness > MISSPELT_LIKENESS).map(|(_, known)| known)
}

fn out_of_range(schema: &Value, number: f64) -> Option<String> {
    let (least, most) = (schema["minimum"].as_f64(), schema["maximum"].as_f64());
    let out = least.is_some_and(|least| number < least) || most.is_some_and(|most| number > most);
    out.then(|| match (least, most) {
        (Some(least), Some(most)) => format!("from {least} to {most}"),
        (Some(least), None) => format!("at least {least}"),
        (_, most) => format!("at most {}", most.unwrap_or(f64::MAX)),
    })
}
