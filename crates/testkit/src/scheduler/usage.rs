//! The processor time and memory that a process uses, as the kernel reports them.

use std::time::Duration;

/// Returns the processor time of a process's main thread, which is the daemon's only thread.
pub fn cpu_time(pid: u32) -> Option<Duration> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/schedstat")).ok()?;
    text.split(' ').next()?.parse().ok().map(Duration::from_nanos)
}

/// Returns the resident memory of a process, in KiB.
pub fn resident_memory_kib(pid: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
