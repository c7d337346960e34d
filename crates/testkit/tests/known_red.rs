//! Tests how `make test` treats the tests that KNOWN-RED.txt lists as known to fail. The tests run in a
//! temporary workspace, whose own tests fail or hang as environment variables specify.
#![allow(missing_docs)]

use rstest::rstest;
use std::fs;
use std::path::Path;
use std::process::{Command, Output, Stdio};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};
use tempfile::TempDir;

const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");

/// The files of the temporary workspace. It has two packages, the first in a folder of another name. Both
/// packages have a test `stories fails`, and the name of another test starts with this name.
const FILES: &[(&str, &str)] = &[
    (
        "Cargo.toml",
        "[workspace]\nresolver = \"2\"\nmembers = [\"one\", \"two\"]\n[profile.dev]\ndebug = false\n",
    ),
    ("one/Cargo.toml", "[package]\nname = \"first\"\nversion = \"0.1.0\"\nedition = \"2021\"\n"),
    (
        "one/src/lib.rs",
        r#"
        /// ```
        /// first::run_named("first doc");
        /// ```
        pub fn run_named(name: &str) {
            let among = |key| std::env::var(key).unwrap_or_default().split(',').any(|listed| listed == name);
            assert!(!among("FAILING"), "{name} fails as configured");
            // Longer than any time limit of these tests; a run that waits by mistake ends nevertheless.
            if among("HANGING") {
                std::thread::sleep(std::time::Duration::from_secs(20));
            }
        }
        #[cfg(test)]
        mod what {
            #[test]
            fn case_1() { crate::run_named("first what::case_1") }
            #[test]
            fn case_10() { crate::run_named("first what::case_10") }
        }
        "#,
    ),
    (
        "one/tests/stories.rs",
        r#"
        #[test]
        fn fails() { first::run_named("first::stories fails") }
        #[test]
        fn fails_more() { first::run_named("first::stories fails_more") }
        mod what {
            #[test]
            fn fails() { first::run_named("first::stories what::fails") }
        }
        "#,
    ),
    (
        "two/Cargo.toml",
        "[package]\nname = \"two\"\nversion = \"0.1.0\"\nedition = \"2021\"\n\
         [dependencies]\nfirst = { path = \"../one\" }\n",
    ),
    ("two/src/main.rs", "fn main() {}\n#[test]\nfn starts() { first::run_named(\"two::bin/two starts\") }\n"),
    ("two/tests/stories.rs", "#[test]\nfn fails() { first::run_named(\"two::stories fails\") }\n"),
];

/// Locks the writing of scripts and the start of child processes. Between fork and exec, a child process that
/// another test starts holds a copy of every file that this process writes, and a script that is open for
/// writing can't be executed.
static SPAWN_LOCK: Mutex<()> = Mutex::new(());

/// Runs a command to its end and returns its output.
fn output(command: &mut Command) -> Output {
    let started = {
        let _lock = SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn()
    };
    started.expect("the command runs").wait_with_output().expect("the command ends")
}

struct Workspace(TempDir);

struct Run {
    success: bool,
    stdout: String,
    stderr: String,
}

impl Run {
    #[track_caller]
    fn assert_success(&self, success: bool) -> &Self {
        assert_eq!(self.success, success, "{}\n{}", self.stdout, self.stderr);
        self
    }

    #[track_caller]
    fn assert_prints(&self, line: &str) -> &Self {
        let times = self.stdout.lines().filter(|printed| *printed == line).count();
        assert_eq!(times, 1, "{line:?} is printed {times} times\n{}\n{}", self.stdout, self.stderr);
        self
    }

    #[track_caller]
    fn assert_reports(&self, line: &str) -> &Self {
        assert!(
            self.stderr.lines().any(|printed| printed == line),
            "no {line:?}\n{}\n{}",
            self.stdout,
            self.stderr
        );
        self
    }

    /// Returns the numbers of tests that passed, failed and were skipped, in this order, from the result
    /// lines of `cargo test`.
    fn counts(&self) -> [usize; 3] {
        let results = self.stdout.lines().filter(|line| line.starts_with("test result: "));
        results.fold([0; 3], |counts, line| {
            let number = |label: &str| -> usize {
                let before = &line[..line.find(label).expect("a result")];
                before.split_whitespace().last().expect("a number").parse().expect("a number")
            };
            [
                counts[0] + number(" passed"),
                counts[1] + number(" failed"),
                counts[2] + number(" filtered out"),
            ]
        })
    }
}

impl Workspace {
    fn new() -> Self {
        let folder = TempDir::new().expect("a folder");
        for (path, text) in FILES {
            let path = folder.path().join(path);
            fs::create_dir_all(path.parent().expect("a parent")).expect("a folder");
            fs::write(path, text).expect("the file is written");
        }
        let workspace = Self(folder);
        workspace.copy_files(&["Makefile", ".ci/test", ".ci/runner"]);
        let locked = output(&mut workspace.command("cargo", &["generate-lockfile", "--offline"]));
        assert!(locked.status.success(), "{locked:?}");
        workspace
    }

    fn path(&self) -> &Path {
        self.0.path()
    }

    /// Copies files of this repository to the same paths in the temporary workspace.
    fn copy_files(&self, files: &[&str]) {
        fs::create_dir_all(self.path().join(".ci")).expect("a folder");
        let _lock = SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        for file in files {
            fs::copy(Path::new(ROOT).join(file), self.path().join(file)).expect("the file is copied");
        }
    }

    fn command(&self, program: &str, arguments: &[&str]) -> Command {
        let mut command = Command::new(program);
        command.args(arguments).current_dir(self.path()).stdin(Stdio::null());
        command.env("CARGO_TARGET_DIR", self.path().join("target"));
        command
            .env("CARGO_NET_OFFLINE", "true")
            .env("CARGO_TERM_COLOR", "never")
            .env("CARGO_INCREMENTAL", "0");
        // The `make` that runs this test sets these variables; they must not reach the `make` under test.
        command.env_remove("MAKEFLAGS").env_remove("MFLAGS").env_remove("MAKELEVEL");
        command
    }

    fn write_known_red(&self, text: &str) {
        fs::write(self.path().join("KNOWN-RED.txt"), text).expect("the file is written");
    }

    /// Runs `make test` in the temporary workspace while the tests named in `failing` fail.
    fn test(&self, failing: &str) -> Run {
        Self::run(self.command("make", &["test"]).env("FAILING", failing))
    }

    fn run(command: &mut Command) -> Run {
        let output = output(command);
        let text = |bytes| String::from_utf8(bytes).expect("text");
        Run { success: output.status.success(), stdout: text(output.stdout), stderr: text(output.stderr) }
    }
}

#[test]
fn without_a_file_or_with_an_empty_one_all_tests_run_and_must_pass() {
    let workspace = Workspace::new();
    for text in [None, Some(""), Some("\n \n")] {
        if let Some(text) = text {
            workspace.write_known_red(text);
        }
        let run = workspace.test("");
        assert_eq!(run.assert_success(true).counts(), [8, 0, 0], "{}", run.stdout);
        assert!(!run.stdout.contains("known red"), "{}", run.stdout);
        workspace.test("two::stories fails").assert_success(false);
    }
}

#[test]
fn a_listed_test_that_fails_is_run_alone_and_printed_and_all_others_run() {
    let workspace = Workspace::new();
    workspace.write_known_red("first::stories fails | the cause | issue 7\n");
    let run = workspace.test("first::stories fails");
    run.assert_success(true)
        .assert_prints("known red: first::stories fails: failed as known (the cause; issue 7)");
    // The output of the test that KNOWN-RED.txt lists is shown, but not as a result that counts.
    assert!(run.stdout.contains("\n  | first::stories fails fails as configured\n"), "{}", run.stdout);
    // The counted tests include the doc test, and the tests elsewhere whose name equals the listed name or
    // starts with it.
    assert_eq!(run.counts(), [7, 0, 1], "{}", run.stdout);
    run.assert_prints("test fails_more ... ok")
        .assert_prints("test what::fails ... ok")
        .assert_prints("test fails ... ok");
    let last = run.stdout.lines().rfind(|line| !line.is_empty()).expect("a line");
    assert!(last.starts_with("test result: ok. 1 passed"), "{last}");
}

#[test]
fn up_to_three_tests_may_be_listed_including_cases_and_tests_of_a_program() {
    let workspace = Workspace::new();
    workspace.write_known_red(
        "first what::case_1 | a | 1\n\n  two::bin/two starts|b|2\ntwo::stories fails | c | see https://host/3 ",
    );
    let run = workspace.test("first what::case_1,two::bin/two starts,two::stories fails");
    run.assert_success(true).assert_prints("known red: first what::case_1: failed as known (a; 1)");
    run.assert_prints("known red: two::bin/two starts: failed as known (b; 2)");
    run.assert_prints("known red: two::stories fails: failed as known (c; see https://host/3)");
    run.assert_prints("test what::case_10 ... ok");
    assert_eq!(run.counts(), [5, 0, 3], "{}", run.stdout);
}

#[test]
fn a_failing_test_that_is_not_listed_fails_the_run() {
    let workspace = Workspace::new();
    workspace.write_known_red("first::stories fails | the cause | issue 7\n");
    for other in [
        "two::stories fails",
        "first::stories fails_more",
        "first::stories what::fails",
        "first what::case_10",
        "first doc",
    ] {
        let run = workspace.test(&format!("first::stories fails,{other}"));
        run.assert_success(false)
            .assert_prints("known red: first::stories fails: failed as known (the cause; issue 7)");
        assert_eq!(run.counts()[1], 1, "{other}: {}", run.stdout);
    }
}

#[test]
fn a_listed_test_that_passes_is_reported_for_removal_and_does_not_fail_the_run() {
    let workspace = Workspace::new();
    workspace.write_known_red("\nfirst::stories fails | the cause | issue 7\n");
    workspace.test("").assert_success(true).assert_prints(
        "known red: first::stories fails: PASSES NOW; remove line 2 of KNOWN-RED.txt unless the test is flaky \
         (the cause; issue 7)",
    );
}

#[test]
fn a_listed_test_that_hangs_times_out_and_counts_as_failed() {
    let workspace = Workspace::new();
    workspace.write_known_red("first::stories fails | the cause | issue 7\n");
    let start = Instant::now();
    let mut command = workspace.command("make", &["test"]);
    let run = Workspace::run(command.env("HANGING", "first::stories fails").env("KNOWN_RED_LIMIT", "1"));
    run.assert_success(true).assert_prints(
        "known red: first::stories fails: timed out after 1 s, failed as known (the cause; issue 7)",
    );
    assert_eq!(run.counts(), [7, 0, 1], "{}", run.stdout);
    assert!(start.elapsed() < Duration::from_secs(60), "{:?}", start.elapsed());
}

#[rstest]
#[case::no_issue("a x | cause\n", "1: \"a x | cause\" is not of the form")]
#[case::empty_issue("a x | cause |\n", "1: \"a x | cause |\" is not of the form")]
#[case::empty_cause("\na x | | issue", "2: \"a x | | issue\" is not of the form")]
#[case::no_test("| cause | issue\n", "1: \"| cause | issue\" is not of the form")]
#[case::four_fields("a x | cause | issue | more\n", "1: \"a x | cause | issue | more\" is not of the form")]
#[case::twice("a x | b | c\na x | d | e\n", "2: \"a x\" stands on line 1 already; remove one of the two")]
#[case::a_fourth(
    "a x | b | c\na y | b | c\na z | b | c\na w | b | c\n",
    "4: a file of more than 3 tests is refused; mend one and remove its line"
)]
fn a_file_in_an_invalid_format_fails_the_run_before_any_test(#[case] text: &str, #[case] fault: &str) {
    let workspace = Workspace::new();
    workspace.write_known_red(text);
    let run = workspace.test("");
    assert!(run.assert_success(false).stderr.contains(&format!("KNOWN-RED.txt:{fault}")), "{}", run.stderr);
    assert_eq!(run.counts(), [0; 3], "{}", run.stdout);
}

#[test]
fn a_line_that_names_no_test_fails_the_run() {
    let workspace = Workspace::new();
    for name in [
        "first::stories fail",
        "first::stories FAILS",
        "first::stories what",
        "two::stories fails_more",
        "stories fails",
        "fails",
        "first::stories::fails",
        "first::stories .*",
        "first doc",
    ] {
        workspace.write_known_red(&format!("two::stories fails | a | 1\n{name} | b | 2\n"));
        let run = workspace.test("");
        run.assert_success(false).assert_reports(&format!(
            "KNOWN-RED.txt:2: there is no test \"{name}\"; write it as .ci/test --list prints it, or remove the line"
        ));
        assert_eq!(run.counts(), [0; 3], "{}", run.stdout);
    }
    let run = Workspace::run(&mut workspace.command(".ci/test", &["--list"]));
    run.assert_success(true)
        .assert_prints("first::stories fails")
        .assert_prints("two::stories fails")
        .assert_prints("two::bin/two starts");
    assert_eq!(run.stdout.lines().count(), 7, "{}", run.stdout);
    Workspace::run(&mut workspace.command(".ci/test", &["fails"])).assert_success(false);
}

#[test]
fn a_test_that_does_not_compile_fails_the_run() {
    let workspace = Workspace::new();
    workspace.write_known_red("first::stories fails | the cause | issue 7\n");
    fs::write(workspace.path().join("two/src/main.rs"), "fn main() { nothing() }\n")
        .expect("the file is written");
    assert!(workspace
        .test("first::stories fails")
        .assert_success(false)
        .stderr
        .contains("cannot find function `nothing`"));
}

/// CI runs the Makefile's targets in order and stops at the first target that fails.
#[rstest]
#[case::all_pass("true", true, &["lint", "test", "demo", "demo", "soak"])]
#[case::a_test_fails("false", false, &["lint", "test"])]
fn ci_runs_lint_and_test_of_the_makefile(
    #[case] result: &str,
    #[case] success: bool,
    #[case] steps: &[&str],
) {
    let workspace = Workspace::new();
    workspace.copy_files(&[".ci/run"]);
    let makefile = format!("lint demo soak:\n\t@echo step $@\ntest:\n\t@echo step $@\n\t@{result}\n");
    fs::write(workspace.path().join("Makefile"), makefile).expect("the file is written");
    let run = Workspace::run(&mut workspace.command(".ci/run", &[]));
    let run_steps: Vec<_> =
        run.assert_success(success).stdout.lines().filter_map(|line| line.strip_prefix("step ")).collect();
    assert_eq!(run_steps, steps);
}
