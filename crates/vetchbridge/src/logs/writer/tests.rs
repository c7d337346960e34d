//! Tests of the log writer with a reader that stops reading the log.

use super::*;
use crate::logs::LogFormat;
use std::io::Read;
use std::os::unix::net::UnixStream;

/// While the reader of the log does not read, the writer drops lines without blocking. The next line that can
/// be written is preceded by a line with the number of dropped lines.
#[test]
fn the_writer_drops_and_counts_lines_while_the_output_is_full() {
    let (writer, mut reader) = UnixStream::pair().expect("a socket pair is created");
    let mut log = LossyWriter::new(writer, LogFormat::Text.dropped_lines_notice());
    let line = [b'x'; 1000];
    // The lines together exceed the size of any socket buffer. A writer that blocks would never return from
    // this loop.
    for _ in 0..10_000 {
        log.write_all(&line).expect("the line is written or dropped");
    }
    let dropped = log.dropped.load(Ordering::Relaxed);
    assert!(dropped > 0);
    let mut read = vec![0; (10_000 - dropped as usize) * line.len()];
    reader.read_exact(&mut read).expect("the written lines are read");
    log.write_all(b"after\n").expect("the line is written");
    drop(log);
    let mut rest = String::new();
    reader.read_to_string(&mut rest).expect("the rest is UTF-8");
    assert_eq!(rest, format!("WARN log.lines_dropped lines={dropped}\nafter\n"));
}
