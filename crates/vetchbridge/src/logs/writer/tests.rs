//! The log's writer with a reader that stops reading.

use super::*;
use crate::logs::LogFormat;
use std::io::Read;
use std::os::unix::net::UnixStream;

/// A reader that stops reading loses lines and gets their number; the writer never waits.
#[test]
fn a_full_pipe_drops_lines_and_counts_them() {
    let (writer, mut reader) = UnixStream::pair().expect("a pair");
    let mut log = LossyWriter::new(writer, LogFormat::Text.dropped_lines_notice());
    let line = [b'x'; 1000];
    // More than any socket buffer has space for; a writer that waits would block here for good.
    for _ in 0..10_000 {
        log.write_all(&line).expect("written or dropped");
    }
    let dropped = log.dropped.load(Ordering::Relaxed);
    assert!(dropped > 0);
    let mut read = vec![0; (10_000 - dropped as usize) * line.len()];
    reader.read_exact(&mut read).expect("what was written");
    log.write_all(b"after\n").expect("written");
    drop(log);
    let mut rest = String::new();
    reader.read_to_string(&mut rest).expect("text");
    assert_eq!(rest, format!("WARN log.lines_dropped lines={dropped}\nafter\n"));
}
