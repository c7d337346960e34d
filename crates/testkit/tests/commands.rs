//! Tests the kit's commands as a user runs them: real schedulers under load, killed schedulers, invalid
//! input, limits of the machine, and Ctrl-C.
#![allow(missing_docs)]

mod common;

use common::daemon;
use serde_json::Value;
use std::io::{BufRead, BufReader, Read};
use std::process::{Child, Command, Output, Stdio};

fn testkit(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_vetchbridge-testkit"));
    command.args(arguments).stdin(Stdio::null());
    command
}

fn run(arguments: &[&str]) -> Output {
    testkit(arguments).output().expect("the kit runs")
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn interrupt(child: &Child) {
    let pid = child.id().to_string();
    assert!(Command::new("kill").args(["-INT", &pid]).status().expect("kill runs").success());
}

/// Whether a process runs; a zombie process does not run.
fn is_running(pid: &str) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    status.lines().any(|line| line.starts_with("State:") && !line.contains('Z'))
}

#[test]
fn a_demo_gives_each_job_exactly_one_answer_while_two_schedulers_are_killed() {
    let daemon = daemon();
    let daemon = daemon.to_str().expect("text");
    let output = run(&["demo", "--for", "6s", "--kill", "2", "--json", "--daemon", daemon]);
    let report: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(report["violations"], serde_json::json!([]), "{report:#}");
    assert!(report["jobs"].as_u64().expect("jobs") > 200, "{report:#}");
    // Almost every job had an attempt of its own. Keyed jobs whose scheduler was killed were not run again.
    assert!(report["attempts_per_job"].as_f64().expect("attempts") >= 0.9, "{report:#}");
    assert!(matches!(output.status.code(), Some(0 | 3)), "{}: {report:#}", stderr(&output));
}

/// Clients must not notice upgrades and drains: no request loses its connection, and every scheduler stays
/// reachable.
#[test]
fn a_demo_loses_no_request_while_schedulers_are_upgraded_and_drained() {
    let daemon = daemon();
    let daemon = daemon.to_str().expect("text");
    let output =
        run(&["demo", "--for", "8s", "--upgrade", "2", "--drain", "1", "--json", "--daemon", daemon]);
    let report: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(report["violations"], serde_json::json!([]), "{report:#}");
    assert_eq!(report["answers"]["lost"], 0, "{report:#}");
    assert!(report["answers"]["served"].as_u64().expect("answers") > 200, "{report:#}");
    assert!(matches!(output.status.code(), Some(0 | 3)), "{}: {report:#}", stderr(&output));
}

/// The report must list the requests that an upgrade loses with the predecessor process as violations.
#[test]
fn requests_that_an_abrupt_upgrade_loses_are_reported() {
    let daemon = daemon();
    let daemon = daemon.to_str().expect("text");
    let output = run(&["demo", "--for", "4s", "--upgrade", "1", "--careless", "--json", "--daemon", daemon]);
    let report: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    let violations = report["violations"].as_array().expect("a list").iter();
    assert!(
        violations.filter(|violation| violation.to_string().contains("lost its connection")).count() > 0,
        "{report:#}"
    );
    assert_eq!(output.status.code(), Some(1), "{}", stderr(&output));
}

#[test]
fn an_invalid_plan_is_rejected_with_every_fault_and_starts_nothing() {
    let plan = run(&["plan", "show", "demo"]).stdout;
    let scans = run(&["plan", "show", "scans"]).stdout;
    assert_eq!(run(&["plan", "check", "demo", "scans"]).status.code(), Some(0));
    let (demo, scans) = (String::from_utf8(plan).expect("text"), String::from_utf8(scans).expect("text"));
    let cases = [
        (
            "rate = 63.0",
            "rate = 0.0\nrat = 1.0",
            &["load.rate: 0 is out of range", "load.rat: unknown key; did you mean"][..],
        ),
        (
            "kind = \"fast\"\nslots",
            "kind = \"fastt\"\nslots",
            &["peers[0].kind: not in daemon.fleet.kinds; use one of fast"],
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
        let plan = if demo.contains(old) { &demo } else { &scans };
        assert!(plan.contains(old), "{old}");
        std::fs::write(&path, plan.replacen(old, new, 1)).expect("written");
        let output = run(&["demo", &path, "--daemon", "/nowhere"]);
        assert_eq!(output.status.code(), Some(2), "{}", stderr(&output));
        for message in *expected {
            assert!(stderr(&output).contains(message), "{message} in {}", stderr(&output));
        }
    }
}

/// A plan may contain as many schedulers and workers as a large deployment has, such as 1200 of each.
#[test]
fn a_plan_of_many_schedulers_and_workers_is_accepted() {
    let demo = String::from_utf8(run(&["plan", "show", "demo"]).stdout).expect("text");
    let table = |name: &str| demo.find(name).expect("a table");
    let mut plan = demo.clone();
    // The replacement starts at the end of the plan's text, so that the positions of earlier tables stay
    // valid.
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
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
}

#[test]
fn machine_failures_and_bad_input_have_different_exit_codes() {
    let cases: [(&[&str], i32, &str); 4] = [
        (
            &["demo", "--daemon", "/nowhere/vetchbridge"],
            3,
            "the daemon's binary was not found; build it with",
        ),
        (
            &["load", "--to", "127.0.0.1:1", "--connections", "900000000"],
            3,
            "file descriptors are needed, but the limit is",
        ),
        (&["load", "--to", "127.0.0.1:1", "--connections", "0"], 2, "at least 1"),
        (&["load", "--to", "127.0.0.1:1", "--rate", "0"], 2, "--rate 0"),
    ];
    for (arguments, code, message) in cases {
        let output = run(arguments);
        assert_eq!(output.status.code(), Some(code), "{arguments:?}: {}", stderr(&output));
        assert!(stderr(&output).contains(message), "{message} in {}", stderr(&output));
    }
}

#[test]
fn a_load_without_any_answer_fails() {
    let unused_port = vetchbridge_testbed::Port::reserve().expect("a port");
    let to = unused_port.address().to_string();
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
fn ctrl_c_shuts_down_a_deployment_and_its_schedulers() {
    let daemon = daemon();
    let mut kit = testkit(&["up", "--daemon", daemon.to_str().expect("text")]);
    let mut kit = kit.stdout(Stdio::piped()).spawn().expect("the kit starts");
    let mut lines = BufReader::new(kit.stdout.take().expect("piped")).lines();
    let line = lines.find(|line| line.as_ref().is_ok_and(|line| line.contains("vetchbridge-testkit load")));
    assert!(line.is_some(), "the deployment started");
    let children_path = format!("/proc/{0}/task/{0}/children", kit.id());
    let children = std::fs::read_to_string(children_path).unwrap_or_default();
    interrupt(&kit);
    assert_eq!(kit.wait().expect("the kit exits").code(), Some(0));
    assert!(children.split_whitespace().all(|pid| !is_running(pid)), "{children}");
}

#[test]
fn the_first_ctrl_c_prints_the_report_and_the_second_exits_at_once() {
    let daemon = daemon();
    let arguments = ["demo", "--for", "600s", "--json", "--daemon", daemon.to_str().expect("text")];
    for interrupt_twice in [false, true] {
        let mut kit = testkit(&arguments)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the kit starts");
        let mut lines = BufReader::new(kit.stderr.take().expect("piped")).lines().map_while(Result::ok);
        // The first line about the load's progress shows that the load is running.
        lines.find(|line| line.contains(" sent, ")).expect("progress");
        interrupt(&kit);
        lines
            .find(|line| line.contains("press Ctrl-C again to exit immediately"))
            .expect("the signal is acknowledged");
        if interrupt_twice {
            interrupt(&kit);
        }
        let mut printed = String::new();
        kit.stdout.take().expect("piped").read_to_string(&mut printed).expect("text");
        let code = kit.wait().expect("the kit exits").code();
        if interrupt_twice && code == Some(130) {
            assert!(printed.is_empty(), "{printed}");
        } else {
            // The second Ctrl-C may reach the kit after the load has ended; the kit then prints a complete
            // report.
            let report: Value = serde_json::from_str(&printed).expect("JSON");
            assert!(report["jobs"].as_u64().expect("jobs") > 0);
            assert!(matches!(code, Some(0 | 3)), "{code:?}: {printed}");
        }
    }
}
