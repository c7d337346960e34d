//! What a process uses of the machine, as the kernel counts it.

use std::time::Duration;

/// Processor time of a process's main thread; the daemon has no other thread.
pub fn cpu_time(pid: u32) -> Option<Duration> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/schedstat")).ok()?;
    text.split(' ').next()?.parse().ok().map(Duration::from_nanos)
}

/// Resident memory of a process, in KiB.
pub fn resident_memory_kib(pid: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
