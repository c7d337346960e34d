//! The state of fault injection in this process: the plan, how many calls were checked for each fault and how
//! many failed, and which descriptors belong to outbound connections.

use crate::plan::{Fault, Plan, FAULT_NAMES};
use std::ffi::CString;
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering};
use std::sync::OnceLock;

/// Descriptors below this number are tracked in [`OUTBOUND`]. Higher descriptors never count as outbound.
const TRACKED_DESCRIPTORS: usize = 4096;

/// The state of fault injection in this process.
struct FaultState {
    plan: Plan,
    /// For each fault, the number of calls that it could affect.
    calls: [AtomicU64; FAULT_NAMES.len()],
    /// For each fault, how often it was injected.
    injected: [AtomicU64; FAULT_NAMES.len()],
    /// The descriptor of the file that receives the counts in `injected`; negative if no file is open.
    counts_file: i32,
}

/// `None` if `SYSCALL_FAULTS` is unset.
static FAULT_STATE: OnceLock<Option<FaultState>> = OnceLock::new();
/// For each descriptor, whether this process called `connect` on it.
static OUTBOUND: [AtomicBool; TRACKED_DESCRIPTORS] = [const { AtomicBool::new(false) }; TRACKED_DESCRIPTORS];
/// The monotonic time of the process's first reading of `CLOCK_REALTIME`, in microseconds; 0 until then.
static FIRST_READING: AtomicI64 = AtomicI64::new(0);

/// Returns the state of fault injection, which the first call creates from the environment.
fn fault_state() -> Option<&'static FaultState> {
    let initialize = || {
        let plan = match Plan::parse(&std::env::var("SYSCALL_FAULTS").ok()?) {
            Ok(plan) => plan,
            // Aborts, because a run without faults would look like a run that tolerates them.
            Err(error) => {
                eprintln!("SYSCALL_FAULTS: {error}");
                std::process::abort();
            }
        };
        let counts_path =
            std::env::var("SYSCALL_FAULTS_COUNTS").ok().and_then(|path| CString::new(path).ok());
        let counts_file = counts_path.map_or(-1, |path| {
            let flags = libc::O_RDWR | libc::O_CREAT | libc::O_CLOEXEC;
            // SAFETY: the path is a null-terminated string that outlives the call.
            unsafe { libc::open(path.as_ptr(), flags, 0o600) }
        });
        let zeros = || [const { AtomicU64::new(0) }; FAULT_NAMES.len()];
        Some(FaultState { plan, calls: zeros(), injected: zeros(), counts_file })
    };
    FAULT_STATE.get_or_init(initialize).as_ref()
}

/// Counts a call that the fault can affect and decides whether the fault is injected. Returns a random number
/// that selects the call's error, length or delay, or `None` if the fault is not injected.
pub(crate) fn draw(fault: Fault) -> Option<u64> {
    let state = fault_state()?;
    let call = state.calls[fault as usize].fetch_add(1, Ordering::Relaxed);
    let random = state.plan.draw(fault, call)?;
    record_injection(state, fault);
    Some(random)
}

/// Increments the fault's count and writes the new count to the counts file.
fn record_injection(state: &FaultState, fault: Fault) {
    let injected = state.injected[fault as usize].fetch_add(1, Ordering::Relaxed) + 1;
    if state.counts_file < 0 {
        return;
    }
    let (bytes, offset) = (injected.to_le_bytes(), fault as usize * size_of::<u64>());
    // SAFETY: the buffer has the given length and outlives the call.
    unsafe { libc::syscall(libc::SYS_pwrite64, state.counts_file, bytes.as_ptr(), bytes.len(), offset) };
}

/// Returns the offset of the wall clock at a reading of the monotonic clock, both in microseconds.
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

/// Records whether this process called `connect` on a descriptor.
pub(crate) fn set_outbound(descriptor: i32, outbound: bool) {
    if let Some(flag) = usize::try_from(descriptor).ok().and_then(|index| OUTBOUND.get(index)) {
        flag.store(outbound, Ordering::Relaxed);
    }
}

/// Whether this process called `connect` on a descriptor.
pub(crate) fn is_outbound(descriptor: i32) -> bool {
    let flag = usize::try_from(descriptor).ok().and_then(|index| OUTBOUND.get(index));
    flag.is_some_and(|flag| flag.load(Ordering::Relaxed))
}
