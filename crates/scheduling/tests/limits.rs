//! The size of the decision modules.
#![allow(missing_docs)]

/// Each file that decides something. A rule that no longer fits into one gets a file of its own, with a name of its own.
const DECISIONS: [(&str, &str); 6] = [
    ("hash.rs", include_str!("../src/hash.rs")),
    ("request.rs", include_str!("../src/request.rs")),
    ("scheduler.rs", include_str!("../src/scheduler.rs")),
    ("retry.rs", include_str!("../src/retry.rs")),
    ("slow_start.rs", include_str!("../src/slow_start.rs")),
    ("worker.rs", include_str!("../src/worker.rs")),
];

#[test]
fn each_decision_module_stays_within_its_lines_and_columns() {
    for (name, text) in DECISIONS {
        let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!(lines <= 950, "{name}: {lines} lines");
        for (number, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= 110, "{name}:{} is too long", number + 1);
        }
    }
}
