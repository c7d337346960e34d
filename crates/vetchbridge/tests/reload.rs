//! Stories over loopback sockets of a SIGHUP that meets a start: it is heard, and changes what it would have changed later.
//! No bench is needed.
#![allow(missing_docs)]

mod common;

use common::*;
use rstest::rstest;
use serde_json::json;
use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command};
use tokio::net::TcpListener;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::task::spawn_blocking;
use vetchbridge_testbed::wire::Wire;

/// How far a start has come when the signal arrives.
#[derive(Clone, Copy, PartialEq)]
enum Moment {
    ReadsItsConfiguration,
    WaitsForItsAddress,
}

/// A process that is starting; killed when dropped.
struct Starting {
    child: Child,
    log: UnboundedReceiver<String>,
}

impl Drop for Starting {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Starting {
    fn spawn(command: &mut Command) -> Starting {
        let mut child = {
            let _alone = alone();
            command.spawn().expect("it starts")
        };
        let lines = BufReader::new(child.stderr.take().expect("piped")).lines();
        let (sender, log) = unbounded_channel();
        std::thread::spawn(move || lines.map_while(Result::ok).for_each(|line| drop(sender.send(line))));
        Starting { child, log }
    }

    async fn logs(&mut self, event: &str) {
        let mut seen = Vec::new();
        while let Some(line) = self.log.recv().await {
            if line.contains(event) {
                return;
            }
            seen.push(line);
        }
        panic!("it ended before {event}: {seen:?}");
    }
}

/// Puts a file in another's place in one step.
fn replace(path: &Path, text: &str) {
    let fresh = path.with_extension("fresh");
    fs::write(&fresh, text).expect("written");
    fs::rename(fresh, path).expect("replaced");
}

fn run(program: &str, arguments: &[&str]) {
    let started = {
        let _alone = alone();
        Command::new(program).args(arguments).spawn()
    };
    assert!(started.and_then(|mut child| child.wait()).expect("it runs").success(), "{program}");
}

/// Whoever changes the configuration sends SIGHUP, and can't know that a process is only starting: it must not end by that,
/// nor go on by what it read before.
#[rstest]
#[case::reads_its_configuration(Moment::ReadsItsConfiguration)]
#[case::waits_for_its_address(Moment::WaitsForItsAddress)]
#[timeout(HANG)]
#[tokio::test]
async fn a_sighup_during_the_start_is_heard_once_the_daemon_is_up(#[case] moment: Moment) {
    let bind = || async { TcpListener::bind("127.0.0.1:0").await.expect("a port") };
    let (before, after, held) = (bind().await, bind().await, bind().await);
    let address = |listener: &TcpListener| listener.local_addr().expect("bound");
    let listen: SocketAddr = address(&held);
    let text = |discovery: &TcpListener| {
        let mut config = config(address(discovery), json!([]));
        config["listen"] = listen.to_string().into();
        config.to_string()
    };
    let folder = tempfile::tempdir().expect("a folder");
    let (mut command, path) = daemon(&text(&before));
    command.env("BALANCER_DISCOVERY", address(&before).to_string()).env("TMPDIR", folder.path());
    let mut process = match moment {
        Moment::ReadsItsConfiguration => {
            // The process reads from a pipe, whose writer is there once it has begun to.
            fs::remove_file(&path).expect("it is there");
            run("mkfifo", &[path.to_str().expect("text")]);
            let process = Starting::spawn(&mut command);
            let pipe = path.clone();
            let opened = spawn_blocking(move || fs::OpenOptions::new().write(true).open(pipe));
            let mut writer = opened.await.expect("no panic").expect("it is opened");
            replace(&path, &text(&after));
            run("kill", &["-HUP", &process.child.id().to_string()]);
            writer.write_all(text(&before).as_bytes()).expect("it reads on");
            process
        }
        Moment::WaitsForItsAddress => {
            let mut process = Starting::spawn(&mut command);
            process.logs("address.in_use").await;
            replace(&path, &text(&after));
            run("kill", &["-HUP", &process.child.id().to_string()]);
            process
        }
    };
    drop(held);
    process.logs("daemon.listening").await;
    process.logs("configuration.applied").await;
    let mut wire = Wire::new(after.accept().await.expect("a call").0);
    assert_eq!(wire.asked().await, "/registry/instances", "it follows the discovery that is named now");
}

/// The settings give zones and kinds their numbers, and may number them anew. The list in hand follows in the same step, also
/// while discovery says nothing: a job bound to a kind must not go to the other one.
#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn kinds_that_are_numbered_anew_are_followed_without_a_word_of_discovery() {
    let mut workers = Vec::new();
    for _ in 0..2 {
        workers.push(TcpListener::bind("127.0.0.1:0").await.expect("a port"));
    }
    let listed = |(number, kind): (usize, &str)| {
        let mut instance = instance(number, workers[number].local_addr().expect("bound"), "up");
        instance["machineType"] = kind.into();
        instance
    };
    let known: Vec<_> = ["small", "large"].into_iter().enumerate().map(listed).collect();
    let mut config = config("127.0.0.1:1".parse().expect("an address"), json!(known));
    config["settings"]["kinds"] = json!(["small", "large"]);
    config["settings"]["specifics"] = json!({"class_kind": [1, -1, -1]});
    let folder = tempfile::tempdir().expect("a folder");
    let (mut daemon, _silent) = Process::serving(&mut config, folder.path()).await;
    config["settings"]["kinds"] = json!(["large", "small"]);
    config["settings"]["specifics"] = json!({"class_kind": [0, -1, -1]});
    for round in 0..2 {
        for number in 0..8 {
            let id = format!("{:016x}", 0xab00 + 16 * round + number);
            let mut client = dial(daemon.address).await;
            client.hand_in(&format!("/safe/{number}"), &format!("X-Trace-Id: {id}\r\n"), "work").await;
            let (worker, accepted) = tokio::select! {
                accepted = workers[0].accept() => (0, accepted),
                accepted = workers[1].accept() => (1, accepted),
            };
            assert_eq!(worker, 1, "round {round}, job {number}: it is bound to large machines");
            let mut wire = Wire::new(accepted.expect("a connection").0);
            wire.read().await.expect("the job");
            wire.send("HTTP/1.1 202 Accepted\r\nconnection: close\r\ncontent-length: 0\r\n\r\n").await;
            let mut callback = dial(daemon.address).await;
            let body = json!({"id": id, "from": "s-1", "state": "done", "result": "made"}).to_string();
            callback.hand_in("/callback", "", &body).await;
            assert_eq!(status(&callback.read().await), "200");
            assert_eq!(status(&client.read().await), "200");
        }
        replace(&daemon.config, &config.to_string());
        daemon.signal("-HUP");
        daemon.logs("configuration.applied").await;
    }
}
