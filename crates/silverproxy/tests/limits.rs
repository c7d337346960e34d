//! The module's own size.
#![allow(missing_docs)]

#[test]
fn the_module_stays_within_its_lines_and_columns() {
    let text = include_str!("../src/policy.rs");
    let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
    assert!(lines <= 950, "{lines} lines");
    for (number, line) in text.lines().enumerate() {
        assert!(line.chars().count() <= 110, "line {} is too long", number + 1);
    }
}
