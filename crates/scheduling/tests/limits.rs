//! The size of the decision module's files, and that the deploy file names all of them.
#![allow(missing_docs)]

use std::collections::BTreeSet;
use std::path::Path;

/// Lines that are not blank, at most, in one file that decides something.
const MAX_LINES: usize = 950;
/// Characters in one line, at most.
const MAX_COLUMNS: usize = 110;

/// Each file that decides something. A rule that no longer fits into one gets a file of its own, with a name
/// of its own.
const DECISIONS: [(&str, &str); 20] = [
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

/// Files that decide nothing: the interface, the encoding of messages, and what the unit tests share.
const OTHERS: [&str; 7] =
    ["actions.rs", "events.rs", "ids.rs", "lib.rs", "peer_message.rs", "settings.rs", "test_support.rs"];

const DEPLOY_FILE: &str = include_str!("../../../deploy/balancer.toml");

#[test]
fn each_decision_module_stays_within_its_lines_and_columns() {
    for (name, text) in DECISIONS {
        let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!(lines <= MAX_LINES, "{name}: {lines} lines");
        for (number, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= MAX_COLUMNS, "{name}:{} is too long", number + 1);
        }
    }
}

#[test]
fn every_source_file_is_known_as_one_that_decides_or_not() {
    let known: BTreeSet<String> =
        DECISIONS.iter().map(|(name, _)| *name).chain(OTHERS).map(String::from).collect();
    let sources = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let entries =
        std::fs::read_dir(sources).expect("the sources").map(|entry| entry.expect("an entry").path());
    let files = entries.filter(|path| path.is_file());
    let found: BTreeSet<String> =
        files.map(|path| path.file_name().expect("a name").to_string_lossy().into_owned()).collect();
    assert_eq!(found, known);
}

#[test]
fn the_deploy_file_names_every_file_that_decides() {
    let policy = DEPLOY_FILE.lines().find_map(|line| line.strip_prefix("policy = ")).expect("a policy list");
    let named: BTreeSet<&str> = policy.split('"').filter(|part| part.starts_with("crates/")).collect();
    let paths: Vec<String> =
        DECISIONS.iter().map(|(name, _)| format!("crates/scheduling/src/{name}")).collect();
    assert_eq!(named, paths.iter().map(String::as_str).collect());
}
