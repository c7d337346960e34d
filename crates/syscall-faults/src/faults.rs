//! The plan in force in this process, the numbers of its calls and the counts of its faults.

use crate::plan::{Fault, Plan, NAMES};
use std::ffi::CString;
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering};
use std::sync::OnceLock;

/// Descriptors of which it is known whether this process connected them.
const DESCRIPTORS: usize = 4096;

struct Faults {
    plan: Plan,
    calls: [AtomicU64; NAMES.len()],
    made: [AtomicU64; NAMES.len()],
    /// Where the counts go; negative: nowhere.
    counts: i32,
}

static FAULTS: OnceLock<Option<Faults>> = OnceLock::new();
static CONNECTED: [AtomicBool; DESCRIPTORS] = [const { AtomicBool::new(false) }; DESCRIPTORS];
/// The first reading of the monotonic clock, in microseconds; 0 before it.
static FIRST_LOOK: AtomicI64 = AtomicI64::new(0);

fn faults() -> Option<&'static Faults> {
    let read = || {
        let plan = match Plan::read(&std::env::var("SYSCALL_FAULTS").ok()?) {
            Ok(plan) => plan,
            // A run without its faults would pass for one that withstood them.
            Err(fault) => {
                eprintln!("SYSCALL_FAULTS: {fault}");
                std::process::abort();
            }
        };
        let counts = std::env::var("SYSCALL_FAULTS_COUNTS").ok().and_then(|path| CString::new(path).ok());
        let counts = counts.map_or(-1, |path| {
            let flags = libc::O_RDWR | libc::O_CREAT | libc::O_CLOEXEC;
            // SAFETY: the path is a terminated string that outlives the call.
            unsafe { libc::open(path.as_ptr(), flags, 0o600) }
        });
        let zeros = || [const { AtomicU64::new(0) }; NAMES.len()];
        Some(Faults { plan, calls: zeros(), made: zeros(), counts })
    };
    FAULTS.get_or_init(read).as_ref()
}

/// Whether this call, the next of its kind, meets the fault; if so it is counted.
pub(crate) fn draw(fault: Fault) -> Option<u64> {
    let faults = faults()?;
    let call = faults.calls[fault as usize].fetch_add(1, Ordering::Relaxed);
    let drawn = faults.plan.draw(fault, call)?;
    count(faults, fault);
    Some(drawn)
}

fn count(faults: &Faults, fault: Fault) {
    let made = faults.made[fault as usize].fetch_add(1, Ordering::Relaxed) + 1;
    if faults.counts < 0 {
        return;
    }
    let (bytes, at) = (made.to_le_bytes(), fault as usize * size_of::<u64>());
    // SAFETY: the buffer is as long as is said and outlives the call.
    unsafe { libc::syscall(libc::SYS_pwrite64, faults.counts, bytes.as_ptr(), bytes.len(), at) };
}

/// How far the wall clock is off, in microseconds, at this reading of the monotonic one.
pub(crate) fn clock_step(monotonic: i64) -> i64 {
    let Some(faults) = faults().filter(|faults| faults.plan.step_by != 0) else { return 0 };
    let first = match FIRST_LOOK.compare_exchange(0, monotonic, Ordering::Relaxed, Ordering::Relaxed) {
        Ok(_) => monotonic,
        Err(first) => first,
    };
    if monotonic - first < faults.plan.step_after {
        return 0;
    }
    if faults.made[Fault::ClockStepped as usize].load(Ordering::Relaxed) == 0 {
        count(faults, Fault::ClockStepped);
    }
    faults.plan.step_by
}

/// Notes whether this process made the connection of a descriptor.
pub(crate) fn note_connected(descriptor: i32, connected: bool) {
    if let Some(note) = usize::try_from(descriptor).ok().and_then(|at| CONNECTED.get(at)) {
        note.store(connected, Ordering::Relaxed);
    }
}

/// Whether this process made the connection of a descriptor.
pub(crate) fn connected(descriptor: i32) -> bool {
    let note = usize::try_from(descriptor).ok().and_then(|at| CONNECTED.get(at));
    note.is_some_and(|note| note.load(Ordering::Relaxed))
}
