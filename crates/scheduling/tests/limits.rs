//! Tests of the decision module's source files (the files of this crate that influence scheduling decisions):
//! limits on the size of each file, and a check that the deploy file names all of these files.
#![allow(missing_docs)]

use std::collections::BTreeSet;
use std::path::Path;

/// Largest number of lines that are not blank in one decision file.
const MAX_LINES: usize = 950;
/// Largest number of characters in one line of a decision file.
const MAX_COLUMNS: usize = 110;

/// Decision files: all source files that influence a scheduling decision, with their contents. A rule that no
/// longer fits into its file under the limits moves to a new file, which is named after the rule.
const DECISION_FILES: [(&str, &str); 20] = [
    ("admission.rs", include_str!("../src/admission.rs")),
    ("candidates.rs", include_str!("../src/candidates.rs")),
    ("completion.rs", include_str!("../src/completion.rs")),
    ("concurrency_limit.rs", include_str!("../src/concurrency_limit.rs")),
    ("coordination.rs", include_str!("../src/coordination.rs")),
    ("endpoint_refresh.rs", include_str!("../src/endpoint_refresh.rs")),
    ("fleet.rs", include_str!("../src/fleet.rs")),
    ("hash.rs", include_str!("../src/hash.rs")),
    ("hot_keys.rs", include_str!("../src/hot_keys.rs")),
    ("migration.rs", include_str!("../src/migration.rs")),
    ("outlier.rs", include_str!("../src/outlier.rs")),
    ("placement.rs", include_str!("../src/placement.rs")),
    ("random.rs", include_str!("../src/random.rs")),
    ("request.rs", include_str!("../src/request.rs")),
    ("retry.rs", include_str!("../src/retry.rs")),
    ("ring.rs", include_str!("../src/ring.rs")),
    ("scheduler.rs", include_str!("../src/scheduler.rs")),
    ("slow_start.rs", include_str!("../src/slow_start.rs")),
    ("timer.rs", include_str!("../src/timer.rs")),
    ("worker.rs", include_str!("../src/worker.rs")),
];

/// Source files without scheduling decisions: the interface, the encoding of messages between schedulers, and
/// the helpers of the unit tests.
const OTHER_FILES: [&str; 7] =
    ["actions.rs", "events.rs", "ids.rs", "lib.rs", "peer_message.rs", "settings.rs", "test_support.rs"];

const DEPLOY_FILE: &str = include_str!("../../../deploy/balancer.toml");

#[test]
fn each_decision_file_stays_within_the_limits_on_lines_and_columns() {
    for (name, text) in DECISION_FILES {
        let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!(lines <= MAX_LINES, "{name} has {lines} lines, more than allowed");
        for (number, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= MAX_COLUMNS, "{name}:{} has too many characters", number + 1);
        }
    }
}

#[test]
fn every_source_file_is_listed_as_a_decision_file_or_another_file() {
    let listed: BTreeSet<String> =
        DECISION_FILES.iter().map(|(name, _)| *name).chain(OTHER_FILES).map(String::from).collect();
    let sources = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let entries = std::fs::read_dir(sources)
        .expect("the source directory is readable")
        .map(|entry| entry.expect("the directory entry is readable").path());
    let files = entries.filter(|path| path.is_file());
    let found: BTreeSet<String> = files
        .map(|path| path.file_name().expect("the path has a file name").to_string_lossy().into_owned())
        .collect();
    assert_eq!(found, listed);
}

#[test]
fn the_deploy_file_names_exactly_the_decision_files() {
    let policy = DEPLOY_FILE
        .lines()
        .find_map(|line| line.strip_prefix("policy = "))
        .expect("the deploy file has a policy list");
    let named: BTreeSet<&str> = policy.split('"').filter(|part| part.starts_with("crates/")).collect();
    let paths: Vec<String> =
        DECISION_FILES.iter().map(|(name, _)| format!("crates/scheduling/src/{name}")).collect();
    assert_eq!(named, paths.iter().map(String::as_str).collect());
}
