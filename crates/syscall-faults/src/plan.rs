//! The list of system call faults, the parser of the variable `SYSCALL_FAULTS`, and the decision whether a
//! fault is injected into a call. This module makes no system calls.

/// A way in which a system call can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub(crate) enum Fault {
    /// `recv` and `readv` return EINTR.
    ReceiveInterrupted,
    /// `recv` reads at most 63 bytes, and fewer bytes than the caller requested. A call that requests one
    /// byte is not shortened.
    ReceiveShort,
    /// `recv` on a connection that this process opened shuts it down and returns ETIMEDOUT or EHOSTUNREACH.
    ReceiveBroken,
    /// `send` and `writev` return EINTR.
    SendInterrupted,
    /// `send` and `writev` write fewer bytes than the caller requested. A call that writes one byte is not
    /// shortened.
    SendShort,
    /// `send` and `writev` are delayed by less than [`LONGEST_STALL_MICROS`] before they write.
    SendStalled,
    /// `sendto` of a datagram returns ENOBUFS.
    DatagramUnsent,
    /// `accept4` returns ECONNABORTED, EMFILE, ENFILE or ENOBUFS.
    AcceptFailed,
    /// `connect` returns EADDRNOTAVAIL, ENETUNREACH or ENOBUFS.
    ConnectFailed,
    /// `socket` returns EMFILE, ENFILE or ENOBUFS.
    SocketFailed,
    /// `epoll_wait` returns EINTR.
    WaitInterrupted,
    /// `write` to a regular file returns ENOSPC or EIO.
    FileWriteFailed,
    /// `fsync` and `fdatasync` return EIO.
    FileSyncFailed,
    /// `CLOCK_REALTIME` is stepped forward or back by a fixed number of seconds.
    ClockStepped,
}

/// The names of the faults in `SYSCALL_FAULTS`, in the order of [`Fault`].
pub(crate) const FAULT_NAMES: [&str; 14] = [
    "recv.interrupted",
    "recv.short",
    "recv.broken",
    "send.interrupted",
    "send.short",
    "send.stalled",
    "datagram.unsent",
    "accept.failed",
    "connect.failed",
    "socket.failed",
    "wait.interrupted",
    "file.write",
    "file.sync",
    "clock.stepped",
];

/// Exclusive upper limit of the delay that [`Fault::SendStalled`] adds before a write, in microseconds.
pub(crate) const LONGEST_STALL_MICROS: u64 = 150_000;

/// The faults to inject into one process, and how often.
#[derive(Debug, PartialEq)]
pub(crate) struct Plan {
    seed: u64,
    /// For each fault, the probability (0 to 1) that it is injected into a call that it can affect.
    rates: [f64; FAULT_NAMES.len()],
    /// The step of the wall clock (`CLOCK_REALTIME`), in microseconds; 0 for no step.
    pub(crate) clock_step_micros: i64,
    /// The time from the process's first reading of `CLOCK_REALTIME` to the step of this clock, in
    /// microseconds.
    pub(crate) clock_step_after_micros: i64,
}

impl Plan {
    /// Parses the text of `SYSCALL_FAULTS`: `name=value` pairs that are separated by commas. The values of
    /// `clock.step` and `clock.after` are in seconds.
    pub(crate) fn parse(text: &str) -> Result<Plan, String> {
        let mut plan = Plan {
            seed: 0,
            rates: [0.0; FAULT_NAMES.len()],
            clock_step_micros: 0,
            clock_step_after_micros: 0,
        };
        for pair in text.split(',').map(str::trim).filter(|pair| !pair.is_empty()) {
            let (name, value) =
                pair.split_once('=').ok_or_else(|| format!("{pair:?}: expected name=value"))?;
            let number = value.parse::<f64>().ok().filter(|number| number.is_finite());
            let number = number.ok_or_else(|| format!("{name}: {value:?} is not a finite number"))?;
            match name {
                "seed" => {
                    plan.seed =
                        value.parse().map_err(|_| format!("seed: {value:?} is not a non-negative integer"))?
                }
                "clock.step" => plan.clock_step_micros = (number * 1e6) as i64,
                "clock.after" => plan.clock_step_after_micros = (number * 1e6) as i64,
                _ => {
                    let index = FAULT_NAMES.iter().position(|known| *known == name);
                    let index =
                        index.ok_or_else(|| format!("{name}: expected one of {}", FAULT_NAMES.join(", ")))?;
                    if !(0.0..=1.0).contains(&number) {
                        return Err(format!("{name}: the rate must be from 0 to 1"));
                    }
                    plan.rates[index] = number;
                }
            }
        }
        Ok(plan)
    }

    /// Decides whether the fault is injected into its call number `call`, counted from 0 over the calls that
    /// the fault can affect. Returns a random number that selects the call's error, length or delay, or
    /// `None` if the fault is not injected.
    pub(crate) fn draw(&self, fault: Fault, call: u64) -> Option<u64> {
        let rate = self.rates[fault as usize];
        if rate <= 0.0 {
            return None;
        }
        let random = mix(self.seed ^ mix(call ^ mix(fault as u64 + 1)));
        let fraction = (random >> 11) as f64 / (1u64 << 53) as f64;
        (fraction < rate).then(|| mix(random))
    }
}

/// Mixes the bits of a number with one step of splitmix64.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

#[cfg(test)]
mod tests;
