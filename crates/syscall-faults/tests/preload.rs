//! Tests of the fault injection library in a real process: this test program starts itself again with the
//! library preloaded.

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::Command;
use std::time::{SystemTime, UNIX_EPOCH};

fn library_path() -> PathBuf {
    let program = std::env::current_exe().expect("this program has a path");
    program.with_file_name("libsyscall_faults.so")
}

/// Runs `test`, one of the ignored tests of this file, in a child process into which `faults` are injected,
/// in the format of `SYSCALL_FAULTS`. Returns how often each fault was injected, in the order of the
/// library's list of faults.
fn run_with_faults(test: &str, faults: &str) -> Vec<u64> {
    let counts_path = std::env::temp_dir().join(format!("syscall-faults-{}-{test}", std::process::id()));
    let status = Command::new(std::env::current_exe().expect("this program has a path"))
        .args(["--ignored", "--exact", test])
        .env("LD_PRELOAD", library_path())
        .env("SYSCALL_FAULTS", faults)
        .env("SYSCALL_FAULTS_COUNTS", &counts_path)
        .status();
    assert!(status.expect("the test program runs").success(), "{test} with {faults}");
    let counts = std::fs::read(&counts_path).expect("the counts file is readable");
    std::fs::remove_file(&counts_path).expect("the counts file is removed");
    counts.chunks_exact(8).map(|count| u64::from_le_bytes(count.try_into().expect("8 bytes"))).collect()
}

/// Opens a TCP connection and returns the client's end and the server's end.
fn connected_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let client = TcpStream::connect(listener.local_addr().expect("a bound socket"))
        .expect("the connection is established");
    (client, listener.accept().expect("the connection is accepted").0)
}

#[test]
fn interrupted_and_short_reads_lose_no_bytes() {
    let counts = run_with_faults("child_reads", "seed=1,recv.interrupted=0.5,recv.short=0.5");
    assert!(counts[0] > 0 && counts[1] > 0, "{counts:?}");
}

#[test]
#[ignore = "run by the test above"]
fn child_reads() {
    let (mut client, mut server) = connected_pair();
    let sent: Vec<u8> = (0..=255).collect();
    client.write_all(&sent).expect("the write succeeds");
    drop(client);
    let (mut received, mut interrupted, mut buffer) = (Vec::new(), 0, [0; 256]);
    loop {
        match server.read(&mut buffer) {
            Ok(0) => break,
            Ok(read) => received.extend_from_slice(&buffer[..read]),
            Err(error) if error.kind() == ErrorKind::Interrupted => interrupted += 1,
            Err(error) => panic!("{error}"),
        }
    }
    assert!(interrupted > 0);
    assert_eq!(received, sent);
}

#[test]
fn the_wall_clock_is_stepped() {
    assert_eq!(run_with_faults("child_clock", "clock.step=-3600").last(), Some(&1));
}

#[test]
#[ignore = "run by the test above"]
fn child_clock() {
    let stepped = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_secs();
    let date = Command::new("date").arg("+%s").env_remove("LD_PRELOAD").output().expect("date runs");
    let real: u64 = String::from_utf8_lossy(&date.stdout).trim().parse().expect("seconds");
    assert!((3590..=3610).contains(&(real - stepped)), "{real} {stepped}");
}
