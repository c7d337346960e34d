//! The kit as its users meet it: real schedulers under load and under SIGKILL, bad input, a machine that can't, Ctrl-C.
#![allow(missing_docs)]

mod common;

use common::daemon;
use serde_json::Value;
use std::io::{BufRead, BufReader, Read};
use std::process::{Child, Command, Output, Stdio};

fn vetchbridge_testkit(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_vetchbridge-testkit"));
    command.args(arguments).stdin(Stdio::null());
    command
}

fn run(arguments: &[&str]) -> Output {
    vetchbridge_testkit(arguments).output().expect("it runs")
}

fn words(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn interrupt(child: &Child) {
    let pid = child.id().to_string();
    assert!(Command::new("kill").args(["-INT", &pid]).status().expect("kill runs").success());
}

/// Whether a process is there; one that has ended and was waited for is not.
fn lives(pid: &str) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    status.lines().any(|line| line.starts_with("State:") && !line.contains('Z'))
}

#[test]
fn the_demo_holds_exactly_once_while_two_schedulers_are_killed() {
    let daemon = daemon();
    let daemon = daemon.to_str().expect("text");
    let output = run(&["demo", "--for", "6s", "--kill", "2", "--json", "--daemon", daemon]);
    let report: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(report["violations"], serde_json::json!([]), "{report:#}");
    assert!(report["jobs"].as_u64().expect("jobs") > 200, "{report:#}");
    // Each had at least one attempt, and the killed ones' keyed jobs were not run again.
    assert!(report["attempts_per_job"].as_f64().expect("attempts") >= 0.9, "{report:#}");
    assert!(matches!(output.status.code(), Some(0 | 3)), "{}: {report:#}", words(&output));
}

/// Upgrades and drains are to be noticed by nobody: no try loses its connection, no scheduler is ever down.
#[test]
fn the_demo_holds_while_schedulers_are_replaced_and_drained() {
    let daemon = daemon();
    let daemon = daemon.to_str().expect("text");
    let output =
        run(&["demo", "--for", "8s", "--upgrade", "2", "--drain", "1", "--json", "--daemon", daemon]);
    let report: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(report["violations"], serde_json::json!([]), "{report:#}");
    assert_eq!(report["answers"]["lost"], 0, "{report:#}");
    assert!(report["answers"]["served"].as_u64().expect("answers") > 200, "{report:#}");
    assert!(matches!(output.status.code(), Some(0 | 3)), "{}: {report:#}", words(&output));
}

/// A hand-over that loses what the old process had is not excused.
#[test]
fn the_account_tells_what_a_careless_upgrade_lost() {
    let daemon = daemon();
    let daemon = daemon.to_str().expect("text");
    let output = run(&["demo", "--for", "4s", "--upgrade", "1", "--careless", "--json", "--daemon", daemon]);
    let report: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    let lost = report["violations"].as_array().expect("a list").iter();
    assert!(
        lost.filter(|broken| broken.to_string().contains("lost its connection")).count() > 0,
        "{report:#}"
    );
    assert_eq!(output.status.code(), Some(1), "{}", words(&output));
}

#[test]
fn a_faulty_plan_tells_every_fault_and_starts_nothing() {
    let plan = run(&["plan", "show", "demo"]).stdout;
    let other = run(&["plan", "show", "scans"]).stdout;
    assert_eq!(run(&["plan", "check", "demo", "scans"]).status.code(), Some(0));
    let (demo, other) = (String::from_utf8(plan).expect("text"), String::from_utf8(other).expect("text"));
    let cases = [
        (
            "rate = 63.0",
            "rate = 0.0\nrat = 1.0",
            &["load.rate: 0 is out of range", "load.rat: unknown key; did you mean"][..],
        ),
        (
            "kind = \"fast\"\nslots",
            "kind = \"fastt\"\nslots",
            &["peers[0].kind: not in daemon.fleet.kinds; one of fast"],
        ),
        (
            "name = \"handover\"\nshare",
            "name = \"hand\"\nshare",
            &["load.class[1].name: not in daemon.class"],
        ),
        ("window = \"15s\"", "", &["class[1].window: missing"]),
        (
            "name = \"museum\"\nshare",
            "name = \"museums\"\nshare",
            &["load.tenant[2].name: not in daemon.tenant"],
        ),
        ("peer = \"drum-2\"", "peer = \"drum-4\"", &["trouble[1].peer: no such worker"]),
        ("\"inflight\", \"x0\"", "\"inflight\", \"x1\"", &["stats.fields"]),
        ("[daemon.limits]", "[daemon.limitz]", &["daemon.limitz: unknown key; did you mean \"limits\"?"]),
    ];
    for (number, (old, new, expected)) in cases.iter().enumerate() {
        let path = format!("{}/plan-{}-{number}.toml", env!("CARGO_TARGET_TMPDIR"), std::process::id());
        let plan = if demo.contains(old) { &demo } else { &other };
        assert!(plan.contains(old), "{old}");
        std::fs::write(&path, plan.replacen(old, new, 1)).expect("written");
        let output = run(&["demo", &path, "--daemon", "/nowhere"]);
        assert_eq!(output.status.code(), Some(2), "{}", words(&output));
        for sentence in *expected {
            assert!(words(&output).contains(sentence), "{sentence} in {}", words(&output));
        }
    }
}

/// A plan may have as many schedulers and workers as a large deployment.
#[test]
fn a_plan_of_many_schedulers_and_workers_is_accepted() {
    let demo = String::from_utf8(run(&["plan", "show", "demo"]).stdout).expect("text");
    let table = |name: &str| demo.find(name).expect("a table");
    let mut plan = demo.clone();
    // From the end on, so that the places before it stay.
    let mut tables = [table("[schedulers]"), table("[[peers]]")];
    tables.sort_unstable();
    for table in tables.into_iter().rev() {
        let count = table + plan[table..].find("count = ").expect("a number");
        let line_end = count + plan[count..].find('\n').expect("a line");
        plan.replace_range(count..line_end, "count = 1200");
    }
    let path = format!("{}/plan-{}-large.toml", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    std::fs::write(&path, plan).expect("written");
    let output = run(&["plan", "check", &path]);
    assert_eq!(output.status.code(), Some(0), "{}", words(&output));
}

#[test]
fn what_the_machine_cannot_do_is_told_apart_from_bad_input() {
    let cases: [(&[&str], i32, &str); 4] = [
        (&["demo", "--daemon", "/nowhere/vetchbridge"], 3, "there is no daemon here; build it with"),
        (
            &["load", "--to", "127.0.0.1:1", "--connections", "900000000"],
            3,
            "descriptors are needed and the limit is",
        ),
        (&["load", "--to", "127.0.0.1:1", "--connections", "0"], 2, "at least 1"),
        (&["load", "--to", "127.0.0.1:1", "--rate", "0"], 2, "--rate 0"),
    ];
    for (arguments, code, sentence) in cases {
        let output = run(arguments);
        assert_eq!(output.status.code(), Some(code), "{arguments:?}: {}", words(&output));
        assert!(words(&output).contains(sentence), "{sentence} in {}", words(&output));
    }
}

#[test]
fn a_load_that_nobody_answers_has_missed() {
    let unused = vetchbridge_testbed::Port::reserve().expect("a port");
    let to = unused.address().to_string();
    let output = run(&["load", "--to", &to, "--rate", "50", "--for", "500ms", "--json"]);
    let report: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(report["answers"]["served"], 0);
    assert_eq!(
        (&report["answers"]["unreachable"], &report["violations"]),
        (&report["tries"], &serde_json::json!([]))
    );
    assert!(report["causes"].to_string().contains("refused"), "{report:#}");
}

#[test]
fn ctrl_c_ends_a_platform_cleanly_and_its_schedulers_with_it() {
    let daemon = daemon();
    let mut kit = vetchbridge_testkit(&["up", "--daemon", daemon.to_str().expect("text")]);
    let mut kit = kit.stdout(Stdio::piped()).spawn().expect("it starts");
    let mut lines = BufReader::new(kit.stdout.take().expect("piped")).lines();
    let line = lines.find(|line| line.as_ref().is_ok_and(|line| line.contains("vetchbridge-testkit load")));
    assert!(line.is_some(), "it came up");
    let of_kit = format!("/proc/{0}/task/{0}/children", kit.id());
    let children = std::fs::read_to_string(of_kit).unwrap_or_default();
    interrupt(&kit);
    assert_eq!(kit.wait().expect("it ends").code(), Some(0));
    assert!(children.split_whitespace().all(|pid| !lives(pid)), "{children}");
}

#[test]
fn a_first_ctrl_c_prints_what_was_done_and_a_second_ends_at_once() {
    let daemon = daemon();
    let arguments = ["demo", "--for", "600s", "--json", "--daemon", daemon.to_str().expect("text")];
    for twice in [false, true] {
        let mut kit = vetchbridge_testkit(&arguments)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("it starts");
        let mut lines = BufReader::new(kit.stderr.take().expect("piped")).lines().map_while(Result::ok);
        // The first line of progress says that the load runs.
        lines.find(|line| line.contains(" sent, ")).expect("progress");
        interrupt(&kit);
        lines.find(|line| line.contains("once more ends at once")).expect("it heard");
        if twice {
            interrupt(&kit);
        }
        let mut printed = String::new();
        kit.stdout.take().expect("piped").read_to_string(&mut printed).expect("text");
        let code = kit.wait().expect("it ends").code();
        if twice && code == Some(130) {
            assert!(printed.is_empty(), "{printed}");
        } else {
            // The second may come when all is done already.
            let report: Value = serde_json::from_str(&printed).expect("JSON");
            assert!(report["jobs"].as_u64().expect("jobs") > 0);
            assert!(matches!(code, Some(0 | 3)), "{code:?}: {printed}");
        }
    }
}
