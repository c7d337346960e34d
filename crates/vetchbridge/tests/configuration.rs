//! Tests of the configuration from an operator's point of view: the position, problem and remedy of each
//! fault, the precedence of sources, and the exit codes.
#![allow(missing_docs)]

use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU32, Ordering};
use vetchbridge::config::{load, read_file, Flags};
use vetchbridge::workers::load_report::{FreeSlotsField, LoadReportSettings};
use vetchbridge_scheduling::LoadReportSource;

fn write_file(name: &str, text: &str) -> PathBuf {
    static NEXT_FILE_NUMBER: AtomicU32 = AtomicU32::new(0);
    let number = NEXT_FILE_NUMBER.fetch_add(1, Ordering::Relaxed);
    let path =
        PathBuf::from(format!("{}/{}-{number}-{name}", env!("CARGO_TARGET_TMPDIR"), std::process::id()));
    std::fs::write(&path, text).expect("the file is written");
    path
}

fn run_vetchbridge(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_vetchbridge"))
        .args(arguments)
        .env_clear()
        .output()
        .expect("vetchbridge runs")
}

fn default_file() -> String {
    String::from_utf8(run_vetchbridge(&["config", "default"]).stdout).expect("valid UTF-8")
}

/// Each file has one fault that the schema finds. The error message names the position, the key, the problem
/// and the remedy.
#[rstest]
#[case::unknown("[attempts]\nmaks = 3", "2:1: attempts.maks: unknown key; did you mean \"max\"?")]
#[case::unknown_without_similar_key(
    "[attempts]\nzzz = 3",
    "2:1: attempts.zzz: unknown key; known keys: max, dial_timeout"
)]
#[case::duration_without_unit(
    "[rules]\ncold_time = 24",
    "2:13: rules.cold_time: found integer, expected string; write a number with a unit"
)]
#[case::duration_text(
    "[rules]\ncold_time = \"soon\"",
    "2:13: rules.cold_time: found \"soon\", expected a duration; write a number"
)]
#[case::size(
    "[limits]\nmemory = \"much\"",
    "2:10: limits.memory: found \"much\", expected a size; write a number with a unit"
)]
#[case::enum_value(
    "[fleet]\nweights = \"heavy\"",
    "2:11: fleet.weights: found \"heavy\", expected an allowed value; use one of off,"
)]
#[case::range(
    "[rules]\ncold_share = 1.5",
    "2:14: rules.cold_share: 1.5 is out of range; use a number from 0 to 1"
)]
#[case::hexadecimal("[attempts]\nmax = 0x0", "2:7: attempts.max: 0 is out of range; use at least 1")]
#[case::address(
    "listen = \"localhost:80\"",
    "1:10: listen: found \"localhost:80\", expected an IP address with a port; write an IP"
)]
#[case::seed("seed = \"xyz\"", "1:8: seed: found \"xyz\", expected a hexadecimal number: invalid digit")]
#[case::filter("[log]\nfilter = \"a=b=c=d\"", "2:10: log.filter: found \"a=b=c=d\", expected a log filter")]
#[case::missing(
    "[[class]]\nname = \"c\"\nrepeat = \"safe\"\naim = \"1s\"",
    "1:1: class[0].deadline: missing; The client's"
)]
#[case::no_worker(
    "[[class]]\nname = \"c\"\nrepeat = \"safe\"\naim = \"1s\"\ndeadline = \"2s\"",
    "1:1: discovery: no discovery service and no worker"
)]
#[case::syntax("name = \"n\nlisten = 3", "1:")]
fn a_schema_fault_is_reported_with_its_position_and_its_remedy(#[case] text: &str, #[case] expected: &str) {
    let path = write_file("shape.toml", text);
    let fault = read_file(&path).err().expect("a fault").to_string();
    std::fs::remove_file(&path).expect("the file is removed");
    assert!(fault.contains(&format!("shape.toml:{expected}")), "{fault}");
}

/// Each file is valid under the schema but has a value that is invalid or contradicts another value of the
/// file.
#[rstest]
#[case::kind(
    "repeat = \"unsafe\"",
    "repeat = \"unsafe\"\nkind = \"fasst\"",
    "class[0].kind: \"fasst\" is not in fleet.kinds; use one of any"
)]
#[case::window(
    "repeat = \"unsafe\"",
    "repeat = \"keyed\"",
    "class[0].window: missing; write how long workers drop"
)]
#[case::group(
    "\n[[peer]]",
    "\n[[class]]\nname = \"pay\"\nrepeat = \"keyed\"\nwindow = \"1s\"\naim = \"1s\"\ndeadline = \"2s\"\n[[peer]]",
    "class[1].group: missing; write which workers drop"
)]
#[case::aim("aim = \"500ms\"", "aim = \"11s\"", "class[0].aim: longer than the deadline; use at most 10s")]
#[case::scheduler_number("me = 0", "me = 4", "tier.me: must be below tier.schedulers; use 0 to 0")]
#[case::probes(
    "load = \"off\"",
    "load = \"probes\"",
    "fleet.load: attempts.probe does not permit probes; set attempts.probe = true, or"
)]
#[case::tenants(
    "\n[[peer]]",
    "\n[[tenant]]\nname = \"acme\"\nallowance_per_s = 1.0\n[[tenant]]\nname = \"acme\"\nallowance_per_s = 2.0\n[[peer]]",
    "tenant[1].name: \"acme\" is already in use"
)]
#[case::duplicate_workers(
    "\n[[peer]]",
    "\n[[peer]]\nname = \"p0\"\naddress = \"127.0.0.1:1\"\n[[peer]]",
    "peer[1].name: \"p0\" is already in use"
)]
fn a_fault_that_the_schema_cannot_find_is_reported(
    #[case] old: &str,
    #[case] new: &str,
    #[case] expected: &str,
) {
    let path = write_file("meaning.toml", &default_file().replacen(old, new, 1));
    let fault = read_file(&path).err().expect("a fault").to_string();
    std::fs::remove_file(&path).expect("the file is removed");
    assert!(fault.contains(expected), "{fault}");
}

#[test]
fn all_faults_are_reported_at_once_and_nothing_is_started() {
    let path =
        write_file("many.toml", "listen = 1\n[attempts]\nmaks = 3\nmax = 0\n[rules]\ncold_time = \"x\"\n");
    let path = path.to_str().expect("valid UTF-8");
    for arguments in [&["check", path][..], &["serve", "--config", path]] {
        let output = run_vetchbridge(arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        let errors = String::from_utf8_lossy(&output.stderr).to_string();
        for key in ["listen", "attempts.maks", "attempts.max", "rules.cold_time"] {
            assert!(errors.contains(&format!(": {key}: ")), "{key} in {errors}");
        }
    }
    let json = run_vetchbridge(&["check", "--json", path]).stdout;
    let report: serde_json::Value = serde_json::from_slice(&json).expect("valid JSON");
    assert_eq!(report[0]["faults"].as_array().map(Vec::len), Some(4));
    assert_eq!(report[0]["faults"][1]["at"], serde_json::json!([3, 1]));
}

#[test]
fn the_example_and_the_default_file_are_valid() {
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/lima-callao.toml");
    let default = write_file("default.toml", &default_file());
    let output = run_vetchbridge(&["check", example, default.to_str().expect("valid UTF-8")]);
    let text = String::from_utf8_lossy(&output.stdout).to_string();
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let line = |start: &str| text.lines().find(|line| line.starts_with(start)).expect("printed").to_string();
    assert!(line("class[1].window = \"15s\"").contains("lima-callao.toml:"), "{text}");
    assert!(line("class[0].priority = 0").ends_with("# default"), "{text}");
}

#[test]
fn a_flag_overrides_the_file_and_the_file_overrides_the_default() {
    let path = write_file("wins.toml", &default_file().replace("name = \"n0\"", "name = \"file\""));
    let flags = Flags { config: Some(path), ..Flags::default() };
    assert_eq!(load(&flags).expect("the configuration is valid").name, "file");
    let flags = Flags { name: Some("flag".to_string()), ..flags };
    assert_eq!(load(&flags).expect("the configuration is valid").name, "flag");
}

/// The settings for probes and load reports in a TOML file reach the scheduler's settings and the code that
/// reads workers' load reports.
#[test]
fn settings_for_probes_and_load_reports_take_effect() {
    let text = default_file().replace("load = \"off\"", "load = \"probes\"").replace("\"x0\"", "\"x1\"");
    let path = write_file(
        "probes.toml",
        &text.replace("probe = false", "probe = true").replace("probe = 0.0", "probe = 0.01"),
    );
    let snapshot = read_file(&path).expect("the configuration is valid").config.settings_snapshot;
    assert_eq!(
        snapshot.load_reports,
        LoadReportSettings { source: LoadReportSource::Probes, free_slots: FreeSlotsField::X1 }
    );
    let settings = snapshot.settings;
    assert_eq!((settings.load_report_source, settings.limits.may_probe), (LoadReportSource::Probes, true));
    assert_eq!(settings.cost_weights.probe, 0.01);
}

#[test]
fn the_schema_contains_every_key_of_the_default_file() {
    let schema = String::from_utf8(run_vetchbridge(&["config", "schema"]).stdout).expect("valid UTF-8");
    let schema: serde_json::Value = serde_json::from_str(&schema).expect("valid JSON");
    let table: toml::Table = default_file().parse().expect("valid TOML");
    assert!(table.len() > 8);
    for key in table.keys() {
        assert!(schema["properties"].get(key).is_some(), "{key}");
    }
}

#[test]
fn an_address_that_is_in_use_is_a_system_error() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound").to_string();
    let path = write_file("taken.toml", &default_file());
    let output =
        run_vetchbridge(&["serve", "--config", path.to_str().expect("valid UTF-8"), "--listen", &address]);
    assert_eq!(output.status.code(), Some(3));
    assert!(String::from_utf8_lossy(&output.stderr).contains(&address));
}

/// The configuration check accepts any text or rejects it with a message that says what is wrong, and never
/// panics. The texts are random edits of the default file.
#[test]
fn no_text_makes_the_check_panic() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner =
        TestRunner::new_with_rng(Config { cases: 400, failure_persistence: None, ..Config::default() }, rng);
    let text = default_file();
    let path = write_file("any.toml", "");
    let edits = (0..text.len(), 0..text.len(), "[\\[\\]={}\"'\\n#a-z0-9.-]{0,4}");
    let outcome = runner.run(&edits, |(a, b, insert)| {
        let (from, to) = (a.min(b), a.max(b).min(a.min(b) + 40));
        let edited = format!("{}{insert}{}", &text[..from], &text[to..]);
        std::fs::write(&path, edited).expect("the file is written");
        if let Err(error) = read_file(&path) {
            assert!(error.0.iter().all(|fault| !fault.what.is_empty()));
        }
        Ok(())
    });
    outcome.expect("no panic");
}
