//! The state of fault injection in this process: the plan, how many calls were checked for each fault, how
//! often each fault was injected, and which descriptors belong to outbound connections.

use crate::plan::{Fault, Plan, FAULT_NAMES};
use std::ffi::CString;
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering};
use std::sync::OnceLock;

/// Number of descriptors that [`OUTBOUND`] tracks, from descriptor 0. Higher descriptors never count as
/// outbound connections.
const TRACKED_DESCRIPTORS: usize = 4096;

/// The plan of fault injection in this process (which faults to inject, and how often) and the counts of
/// calls.
struct FaultState {
    plan: Plan,
    /// For each fault, the number of calls so far that the fault could affect.
    calls: [AtomicU64; FAULT_NAMES.len()],
    /// For each fault, how often it was injected so far.
    injected: [AtomicU64; FAULT_NAMES.len()],
    /// The descriptor of the file that receives the counts in `injected`; negative if no file is open.
    counts_file: i32,
}

/// The plan and the counts, created by the first intercepted call; `None` if `SYSCALL_FAULTS` is unset.
static FAULT_STATE: OnceLock<Option<FaultState>> = OnceLock::new();
/// For each descriptor, whether this process called `connect` on it, so that it is an outbound connection.
static OUTBOUND: [AtomicBool; TRACKED_DESCRIPTORS] = [const { AtomicBool::new(false) }; TRACKED_DESCRIPTORS];
/// The time of the process's first reading of `CLOCK_REALTIME`, in microseconds of `CLOCK_MONOTONIC`; 0 until
/// then.
static FIRST_READING: AtomicI64 = AtomicI64::new(0);

/// Returns the state of fault injection. The first call creates the state from the environment variables.
fn fault_state() -> Option<&'static FaultState> {
    let initialize = || {
        let plan = match Plan::parse(&std::env::var("SYSCALL_FAULTS").ok()?) {
            Ok(plan) => plan,
            // Aborts if `SYSCALL_FAULTS` is invalid. A run without faults would look like a run that
            // tolerates the faults.
            Err(error) => {
                eprintln!("SYSCALL_FAULTS: {error}");
                std::process::abort();
            }
        };
        let counts_path =
            std::env::var("SYSCALL_FAULTS_COUNTS").ok().and_then(|path| CString::new(path).ok());
        let counts_file = counts_path.map_or(-1, |path| {
            let flags = libc::O_RDWR | libc::O_CREAT | libc::O_CLOEXEC;
            // SAFETY: `path` is a null-terminated string that is valid during `open`.
            unsafe { libc::open(path.as_ptr(), flags, 0o600) }
        });
        let zeros = || [const { AtomicU64::new(0) }; FAULT_NAMES.len()];
        Some(FaultState { plan, calls: zeros(), injected: zeros(), counts_file })
    };
    FAULT_STATE.get_or_init(initialize).as_ref()
}

/// Counts a system call that the fault can affect and decides whether the fault is injected. Returns a random
/// number that selects the call's error, length or delay, or `None` if the fault is not injected.
pub(crate) fn draw(fault: Fault) -> Option<u64> {
    let state = fault_state()?;
    let call = state.calls[fault as usize].fetch_add(1, Ordering::Relaxed);
    let random = state.plan.draw(fault, call)?;
    record_injection(state, fault);
    Some(random)
}

/// Increments the count of the fault's injections and writes the new count to the counts file, if one is
/// open.
fn record_injection(state: &FaultState, fault: Fault) {
    let injected = state.injected[fault as usize].fetch_add(1, Ordering::Relaxed) + 1;
    if state.counts_file < 0 {
        return;
    }
    let (bytes, offset) = (injected.to_le_bytes(), fault as usize * size_of::<u64>());
    // SAFETY: the pointer and the length are those of `bytes`, which is valid during `pwrite64`.
    unsafe { libc::syscall(libc::SYS_pwrite64, state.counts_file, bytes.as_ptr(), bytes.len(), offset) };
}

/// Returns the offset that is added to `CLOCK_REALTIME` when `CLOCK_MONOTONIC` reads `monotonic`; both are in
/// microseconds.
pub(crate) fn clock_offset(monotonic: i64) -> i64 {
    let Some(state) = fault_state().filter(|state| state.plan.clock_step_micros != 0) else { return 0 };
    let first = match FIRST_READING.compare_exchange(0, monotonic, Ordering::Relaxed, Ordering::Relaxed) {
        Ok(_) => monotonic,
        Err(first) => first,
    };
    if monotonic - first < state.plan.clock_step_after_micros {
        return 0;
    }
    if state.injected[Fault::ClockStepped as usize].load(Ordering::Relaxed) == 0 {
        record_injection(state, Fault::ClockStepped);
    }
    state.plan.clock_step_micros
}

/// Records whether a descriptor belongs to an outbound connection, which this process opened by `connect`.
pub(crate) fn set_outbound(descriptor: i32, outbound: bool) {
    if let Some(flag) = usize::try_from(descriptor).ok().and_then(|index| OUTBOUND.get(index)) {
        flag.store(outbound, Ordering::Relaxed);
    }
}

/// Whether a descriptor belongs to an outbound connection, which this process opened by `connect`.
pub(crate) fn is_outbound(descriptor: i32) -> bool {
    let flag = usize::try_from(descriptor).ok().and_then(|index| OUTBOUND.get(index));
    flag.is_some_and(|flag| flag.load(Ordering::Relaxed))
}
