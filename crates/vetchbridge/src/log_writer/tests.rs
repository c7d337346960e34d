//! The writer of the log against a reader that stops reading; it is private to the crate.

use super::*;
use std::io::Read;
use std::os::unix::net::UnixStream;

/// A reader that stops reading loses lines, and is told how many; the writer never waits.
#[test]
fn a_full_pipe_drops_lines_and_counts_them() {
    let (writer, mut reader) = UnixStream::pair().expect("a pair");
    let mut log = LossyWriter::new(writer, LogFormat::Text);
    let line = [b'x'; 1000];
    // More than any socket buffer holds; a writer that waits would stand here for good.
    for _ in 0..10_000 {
        log.write_all(&line).expect("taken or dropped");
    }
    let dropped = log.dropped.load(Ordering::Relaxed);
    assert!(dropped > 0);
    let mut read = vec![0; (10_000 - dropped as usize) * line.len()];
    reader.read_exact(&mut read).expect("what was taken");
    log.write_all(b"after\n").expect("taken");
    drop(log);
    let mut rest = String::new();
    reader.read_to_string(&mut rest).expect("text");
    assert_eq!(rest, format!("WARN log.dropped lines={dropped}\nafter\n"));
}
