//! Which calls fail: the list of faults, the form of their rates, and the decision for one call. No call is made here.

/// One way in which a call fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub(crate) enum Fault {
    /// `recv` and `readv` return EINTR.
    ReceiveInterrupted,
    /// `recv` and `readv` give less than there is.
    ReceiveShort,
    /// `recv` on a connection that this process made returns ETIMEDOUT or EHOSTUNREACH, and the connection is broken.
    ReceiveBroken,
    /// `send` and `writev` return EINTR.
    SendInterrupted,
    /// `send` and `writev` take less than they are given.
    SendShort,
    /// `send` and `writev` begin up to [`LONGEST_STALL_MICROS`] late.
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
    /// `CLOCK_REALTIME` reads as if it had been stepped.
    ClockStepped,
}

/// The faults by the words of the plan, in the order of the enum.
pub(crate) const NAMES: [&str; 14] = [
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

/// The longest delay between a decision and its write.
pub(crate) const LONGEST_STALL_MICROS: u64 = 150_000;

/// The faults of one process.
#[derive(Debug, PartialEq)]
pub(crate) struct Plan {
    seed: u64,
    rates: [f64; NAMES.len()],
    /// How far the wall clock is stepped, in microseconds.
    pub(crate) step_by: i64,
    /// When it is stepped, in microseconds from the first look at any clock.
    pub(crate) step_after: i64,
}

impl Plan {
    /// Reads `name=value` pairs between commas. `clock.step` and `clock.after` are seconds.
    pub(crate) fn read(text: &str) -> Result<Plan, String> {
        let mut plan = Plan { seed: 0, rates: [0.0; NAMES.len()], step_by: 0, step_after: 0 };
        for pair in text.split(',').map(str::trim).filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once('=').ok_or_else(|| format!("{pair:?}: not name=value"))?;
            let number = value.parse::<f64>().ok().filter(|number| number.is_finite());
            let number = number.ok_or_else(|| format!("{name}: {value:?} is no number"))?;
            match name {
                "seed" => {
                    plan.seed = value.parse().map_err(|_| format!("seed: {value:?} is no whole number"))?
                }
                "clock.step" => plan.step_by = (number * 1e6) as i64,
                "clock.after" => plan.step_after = (number * 1e6) as i64,
                _ => {
                    let place = NAMES.iter().position(|known| *known == name);
                    let place =
                        place.ok_or_else(|| format!("{name}: no such fault; one of {}", NAMES.join(", ")))?;
                    if !(0.0..=1.0).contains(&number) {
                        return Err(format!("{name}: a rate is from 0 to 1"));
                    }
                    plan.rates[place] = number;
                }
            }
        }
        Ok(plan)
    }

    /// Whether the call of this number meets the fault, and a number by which to draw its further terms.
    pub(crate) fn draw(&self, fault: Fault, call: u64) -> Option<u64> {
        let rate = self.rates[fault as usize];
        if rate <= 0.0 {
            return None;
        }
        let drawn = mix(self.seed ^ mix(call ^ mix(fault as u64 + 1)));
        let share = (drawn >> 11) as f64 / (1u64 << 53) as f64;
        (share < rate).then(|| mix(drawn))
    }
}

/// Finaliser of splitmix64.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

#[cfg(test)]
mod tests;
