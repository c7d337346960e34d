//! Unit tests of reading truncated endpoint documents. They are unit tests because the reader is private to
//! the discovery module.

use super::*;
use serde_json::json;

fn instance(name: &str) -> serde_json::Value {
    json!({"instanceId": name, "hostPort": "127.0.0.1:9", "lifecycle": "up"})
}

fn names(partial: &PartialDocument) -> Vec<&str> {
    partial.instances.iter().map(|instance| instance.instance_id.as_str()).collect()
}

/// Truncates an endpoint document at every length. The parser returns a prefix of the document's entries and
/// never a value that the document does not contain.
#[test]
fn every_prefix_of_a_document_yields_only_its_complete_parts() {
    let document =
        json!({"generation": 1234, "reset": true, "instances": [instance("w-0"), instance("w-1")]});
    let text = document.to_string();
    for length in 0..=text.len() {
        let partial = PartialDocument::parse(&text.as_bytes()[..length]);
        assert!(matches!(partial.generation, None | Some(1234)), "{partial:?} of {length} bytes");
        assert!(["w-0", "w-1"].starts_with(&names(&partial)), "{partial:?} of {length} bytes");
    }
    let complete = PartialDocument::parse(text.as_bytes());
    assert_eq!((complete.generation, names(&complete)), (Some(1234), vec!["w-0", "w-1"]));
}

/// In a truncated document, a number at the very end of the text may lack its last digits.
#[test]
fn a_generation_at_the_end_of_the_text_is_ignored() {
    assert_eq!(PartialDocument::parse(br#"{"generation":12"#).generation, None);
    assert_eq!(PartialDocument::parse(br#"{"generation":12,"#).generation, Some(12));
}

#[test]
fn text_that_is_not_a_document_yields_no_parts() {
    for text in ["", "busy", r#"{"instances""#, r#"{"generation":"x","instances":7}"#] {
        let partial = PartialDocument::parse(text.as_bytes());
        assert!(partial.generation.is_none() && partial.instances.is_empty(), "{partial:?} of {text}");
    }
}
