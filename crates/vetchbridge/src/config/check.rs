//! Holds a file's text against the schema of the format, and finds all of its faults at once, each with its place.
//!
//! Owns the walk over the text, the places of its keys and the wording of faults. It must never know a key by name:
//! all that it asks for stands in the schema.

use super::units;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::fmt;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// One thing that is wrong with a configuration.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Fault {
    /// The file, or the variable or flag, at fault.
    pub source: String,
    /// Line and column, from 1, where the source has them.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub at: Option<(usize, usize)>,
    /// The key, by its path; empty for the text as a whole.
    pub key: String,
    /// What is wrong.
    pub what: String,
    /// What would be right; may be empty.
    pub remedy: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.source)?;
        if let Some((line, column)) = self.at {
            write!(f, ":{line}:{column}")?;
        }
        if !self.key.is_empty() {
            write!(f, ": {}", self.key)?;
        }
        write!(f, ": {}", self.what)?;
        if !self.remedy.is_empty() {
            write!(f, "; {}", self.remedy)?;
        }
        Ok(())
    }
}

/// The schema of a format, made from its types.
pub fn schema_of<T: schemars::JsonSchema>() -> Value {
    let settings = schemars::generate::SchemaSettings::draft2020_12();
    settings.with(|s| s.inline_subschemas = true).into_generator().into_root_schema_for::<T>().to_value()
}

/// Reads a text of a format; all that its schema finds wrong otherwise, in the order of its places.
pub fn hold<T: DeserializeOwned>(source: &str, text: &str, schema: &Value) -> Result<T, Vec<Fault>> {
    let (parsed, mut faults) = Text::parse(source, text);
    faults.extend(parsed.hold_against(schema));
    if !faults.is_empty() {
        faults.sort_by_key(|fault| fault.at);
        return Err(faults);
    }
    // The walk has seen every key, so this is a second lock on the same door.
    toml::from_str(text).map_err(|error| {
        let at = error.span().map(|span| parsed.place(span.start));
        let (source, key) = (source.to_string(), String::new());
        vec![Fault { source, at, key, what: error.message().to_string(), remedy: String::new() }]
    })
}

/// A file's text with the places of its keys.
pub struct Text<'t> {
    source: &'t str,
    text: &'t str,
    /// Where each line begins, by its offset.
    line_starts: Vec<usize>,
    root: Spanned<DeTable<'t>>,
}

impl<'t> Text<'t> {
    /// Parses a text; what is no TOML becomes faults, and the rest is still there to look at.
    pub fn parse(source: &'t str, text: &'t str) -> (Text<'t>, Vec<Fault>) {
        let (root, errors) = DeTable::parse_recoverable(text);
        let line_starts =
            std::iter::once(0).chain(text.match_indices('\n').map(|(end, _)| end + 1)).collect();
        let parsed = Text { source, text, line_starts, root };
        let faults = errors
            .iter()
            .map(|error| Fault {
                source: source.to_string(),
                at: error.span().map(|span| parsed.place(span.start)),
                key: String::new(),
                what: error.message().to_string(),
                remedy: String::new(),
            })
            .collect();
        (parsed, faults)
    }

    fn place(&self, offset: usize) -> (usize, usize) {
        let offset = offset.min(self.text.len());
        let line = self.line_starts.partition_point(|start| *start <= offset);
        let before = &self.text.as_bytes()[self.line_starts[line - 1]..offset];
        (line, String::from_utf8_lossy(before).chars().count() + 1)
    }

    /// A fault at a key's value, or at the nearest table around it that the text has.
    pub fn fault(&self, key: &str, what: impl Into<String>, remedy: impl Into<String>) -> Fault {
        let at = self.locate(key).1;
        let (source, key) = (self.source.to_string(), key.to_string());
        Fault { source, at: Some(at), key, what: what.into(), remedy: remedy.into() }
    }

    /// Whether the text has this key, and where it or the nearest table around it stands.
    pub fn locate(&self, key: &str) -> (bool, (usize, usize)) {
        let mut offset = self.root.span().start;
        let mut table = Some(self.root.get_ref());
        let mut value: Option<&Spanned<DeValue<'_>>> = None;
        for part in key.split('.') {
            let (name, index) = match part.split_once('[') {
                Some((name, rest)) => (name, rest.trim_end_matches(']').parse::<usize>().ok()),
                None => (part, None),
            };
            value = table.and_then(|table| table.get(name));
            if let Some(index) = index {
                value = value.and_then(|list| list.get_ref().get(index));
            }
            let Some(found) = value else { break };
            offset = found.span().start;
            table = found.get_ref().as_table();
        }
        (value.is_some(), self.place(offset))
    }

    /// Everything that the schema finds wrong.
    pub fn hold_against(&self, schema: &Value) -> Vec<Fault> {
        let mut faults = Vec::new();
        self.table(schema, self.root.get_ref(), self.root.span().start, "", &mut faults);
        faults
    }

    fn table(&self, schema: &Value, table: &DeTable<'_>, start: usize, path: &str, faults: &mut Vec<Fault>) {
        let fault = |offset: usize, key: String, what: String, remedy: String| Fault {
            source: self.source.to_string(),
            at: Some(self.place(offset)),
            key,
            what,
            remedy,
        };
        let empty = serde_json::Map::new();
        let known = schema["properties"].as_object().unwrap_or(&empty);
        for (name, value) in table {
            let key = join(path, name.get_ref());
            match known.get(name.get_ref().as_ref()) {
                Some(schema) => self.value(schema, value, &key, faults),
                None => {
                    let remedy = match nearest(name.get_ref(), known.keys()) {
                        Some(near) => format!("did you mean {near:?}?"),
                        None => {
                            format!("known here: {}", known.keys().cloned().collect::<Vec<_>>().join(", "))
                        }
                    };
                    faults.push(fault(name.span().start, key, "unknown key".to_string(), remedy));
                }
            }
        }
        for name in schema["required"].as_array().into_iter().flatten().filter_map(Value::as_str) {
            if !table.contains_key(name) {
                let meaning = known.get(name).and_then(|s| s["description"].as_str()).unwrap_or_default();
                faults.push(fault(start, join(path, name), "missing".to_string(), meaning.to_string()));
            }
        }
    }

    fn value(&self, schema: &Value, value: &Spanned<DeValue<'_>>, path: &str, faults: &mut Vec<Fault>) {
        let at = Some(self.place(value.span().start));
        let mut fault = |what: String, remedy: String| {
            faults.push(Fault { source: self.source.to_string(), at, key: path.to_string(), what, remedy });
        };
        // An optional key's schema is a choice between its own and null.
        let variants = schema["anyOf"].as_array().or(schema["oneOf"].as_array());
        let named: Vec<&Value> = variants.into_iter().flatten().filter(|s| s["type"] != "null").collect();
        if let [only] = named[..] {
            if only.get("const").is_none() {
                return self.value(only, value, path, faults);
            }
        }
        let words: Vec<&str> = match schema["enum"].as_array() {
            Some(words) => words.iter().filter_map(Value::as_str).collect(),
            None => named.iter().filter_map(|s| s["const"].as_str()).collect(),
        };
        if !words.is_empty() {
            let is = value.get_ref().as_str();
            if !is.is_some_and(|is| words.contains(&is)) {
                let is = is.map_or_else(|| value.get_ref().type_str().to_string(), |is| format!("{is:?}"));
                fault(format!("{is} is none of its values"), format!("one of {}", words.join(", ")));
            }
            return;
        }
        let types: Vec<&str> = match &schema["type"] {
            Value::String(one) => vec![one],
            Value::Array(several) => {
                several.iter().filter_map(Value::as_str).filter(|t| *t != "null").collect()
            }
            _ => Vec::new(),
        };
        let wanted = types.first().copied().unwrap_or("object");
        match (wanted, value.get_ref()) {
            ("object", DeValue::Table(table)) => self.table(schema, table, value.span().start, path, faults),
            ("array", DeValue::Array(list)) => {
                let least = schema["minItems"].as_u64().unwrap_or(0);
                if (list.len() as u64) < least {
                    fault("empty".to_string(), format!("at least {least} entry"));
                }
                for (index, item) in list.iter().enumerate() {
                    self.value(&schema["items"], item, &format!("{path}[{index}]"), faults);
                }
            }
            ("string", DeValue::String(text)) => {
                let format = schema["format"].as_str().unwrap_or_default();
                if let Some((what, example)) = units::fault(format, text) {
                    fault(what, example.to_string());
                }
            }
            ("boolean", DeValue::Boolean(_)) => {}
            ("integer" | "number", DeValue::Integer(number)) => {
                let text = number.as_str().replace('_', "");
                match i64::from_str_radix(text.trim_start_matches('+'), number.radix()) {
                    Ok(number) => {
                        if let Some(limit) = out_of_range(schema, number as f64) {
                            fault(format!("{number} is out of range"), limit);
                        }
                    }
                    Err(error) => fault(format!("{text}: {error}"), String::new()),
                }
            }
            ("number", DeValue::Float(number)) => match number.as_str().replace('_', "").parse::<f64>() {
                Ok(number) if number.is_finite() => {
                    if let Some(limit) = out_of_range(schema, number) {
                        fault(format!("{number} is out of range"), limit);
                    }
                }
                _ => fault(format!("{} is no number that can be used", number.as_str()), String::new()),
            },
            (wanted, is) => {
                let format = schema["format"].as_str().unwrap_or_default();
                let remedy =
                    units::fault(format, "").map_or(format!("a {wanted} is wanted"), |(_, e)| e.to_string());
                fault(format!("{} where a {wanted} belongs", is.type_str()), remedy);
            }
        }
    }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        return name.to_string();
    }
    format!("{path}.{name}")
}

/// The known key that someone may have meant.
pub fn nearest<'a>(name: &str, known: impl Iterator<Item = &'a String>) -> Option<&'a str> {
    let scored = known.map(|known| (strsim::jaro_winkler(name, known), known.as_str()));
    let best = scored.max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(a.1)));
    best.filter(|(score, _)| *score > 0.75).map(|(_, known)| known)
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
