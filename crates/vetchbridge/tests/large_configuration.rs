//! Tests that the configuration of a large deployment is valid and is read in time proportional to its
//! length.
#![allow(missing_docs)]

mod common;
mod fleet;

use common::*;
use fleet::*;
use rstest::rstest;
use rustix::time::{clock_gettime, ClockId};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use vetchbridge::config::read_text;

fn run_check(name: &str, text: &str) {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("the file is written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_vetchbridge"));
    command.arg("check").arg(&path).env_clear().stdout(Stdio::piped()).stderr(Stdio::piped());
    let started = {
        let _lock = spawn_lock();
        command.spawn()
    };
    let checked = started.and_then(Child::wait_with_output).expect("vetchbridge runs");
    assert!(checked.status.success(), "{}", String::from_utf8_lossy(&checked.stderr));
    let output = String::from_utf8(checked.stdout).expect("the output is UTF-8");
    assert!(output.contains(&worker_name(WORKERS - 1, 8)), "the last worker is named");
}

/// `vetchbridge check` accepts a large configuration in either format.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_large_configuration_is_valid() {
    let fleet = Fleet::new(8, ListFormat::Compact).await;
    let mut document = fleet.config.clone();
    document["known"] = fleet.endpoint_list.clone();
    run_check("large.json", &document.to_string());

    run_check("large.toml", &configuration_file(WORKERS));
}

/// Returns a TOML configuration file with `size` workers and `size` schedulers.
fn configuration_file(size: usize) -> String {
    let addresses: Vec<String> = (0..size).map(|n| worker_address(n, 7000).to_string()).collect();
    let mut file = format!(
        "name = \"n0\"\nlisten = \"127.0.0.1:0\"\nseed = \"1\"\n\
         [attempts]\nmessages = true\n[tier]\nme = {}\nschedulers = {size}\nmessages = \"127.0.0.1:7000\"\neach = {addresses:?}\n\
         [[class]]\nname = \"safe\"\nrepeat = \"safe\"\naim = \"1s\"\ndeadline = \"2s\"\n",
        size - 1
    );
    for number in 0..size {
        let (name, address) = (worker_name(number, 8), worker_address(number, 8000));
        file.push_str(&format!("[[peer]]\nname = \"{name}\"\naddress = \"{address}\"\n"));
    }
    file
}

/// Returns the processor time of reading a configuration with `size` workers and `size` schedulers: the
/// minimum of three measurements.
fn read_time(size: usize) -> Duration {
    let now = || Duration::try_from(clock_gettime(ClockId::ThreadCPUTime)).expect("the time is not negative");
    let file = configuration_file(size);
    let measure = || {
        let started_at = now();
        let read = read_text("large.toml", &file).expect("the configuration is valid");
        assert_eq!(read.config.peers.map(|peers| peers.addresses.len()), Some(size));
        now() - started_at
    };
    (0..3).map(|_| measure()).min().expect("three measurements")
}

/// The time to read a configuration is proportional to its length and not to the square of its length. Four
/// times as many workers and schedulers must take less than eight times as long; a quadratic time would be
/// sixteen times as long.
#[test]
fn the_time_to_read_a_configuration_is_not_quadratic() {
    let (quarter, whole) = (read_time(WORKERS / 4), read_time(WORKERS));
    assert!(whole < 8 * quarter, "{quarter:?} for a quarter, {whole:?} for the whole");
}
