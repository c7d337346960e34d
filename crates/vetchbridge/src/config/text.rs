//! The text of a configuration file with the positions of its keys, from which error reports get their line
//! and column.

use super::Fault;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// The parsed text of a configuration file, with the positions of its keys.
pub struct Text<'t> {
    source: &'t str,
    content: &'t str,
    /// Byte offset in the configuration file's text at which each line begins.
    line_starts: Vec<usize>,
    root: Spanned<DeTable<'t>>,
}

impl<'t> Text<'t> {
    /// Returns the name of the configuration file, which error reports name as the source of an error.
    pub(super) fn source(&self) -> &str {
        self.source
    }

    /// Returns the root table of the configuration file's TOML text.
    pub(super) fn root(&self) -> &Spanned<DeTable<'t>> {
        &self.root
    }

    /// Parses a TOML text; `source` is the name of its file. Returns the syntax errors as faults. The parts
    /// of the text that are valid TOML can still be examined.
    pub fn parse(source: &'t str, text: &'t str) -> (Text<'t>, Vec<Fault>) {
        let (root, errors) = DeTable::parse_recoverable(text);
        let line_starts =
            std::iter::once(0).chain(text.match_indices('\n').map(|(end, _)| end + 1)).collect();
        let parsed = Text { source, content: text, line_starts, root };
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

    /// Returns the line and column of a byte offset in the configuration file's text, both counted from 1.
    pub(super) fn place(&self, offset: usize) -> (usize, usize) {
        let offset = offset.min(self.content.len());
        let line = self.line_starts.partition_point(|start| *start <= offset);
        let before = &self.content.as_bytes()[self.line_starts[line - 1]..offset];
        (line, String::from_utf8_lossy(before).chars().count() + 1)
    }

    /// Returns the error report (fault) for a configuration key, positioned at the key's value or, if the
    /// text lacks the key, at the innermost enclosing table that the text has.
    pub fn fault(&self, key: &str, what: impl Into<String>, remedy: impl Into<String>) -> Fault {
        let at = self.locate(key).1;
        let (source, key) = (self.source.to_string(), key.to_string());
        Fault { source, at: Some(at), key, what: what.into(), remedy: remedy.into() }
    }

    /// Returns whether the text has a configuration key, and the position of the key's value or, if the text
    /// lacks the key, of the innermost enclosing table that the text has.
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
}
