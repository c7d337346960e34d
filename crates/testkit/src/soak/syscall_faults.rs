//! System calls that fail in each scheduler: which of them, at which rates, and how often they did.
//!
//! The library that injects these faults is beside the kit's program; it is preloaded into the schedulers alone.

use crate::{machine, Failure};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::path::{Path, PathBuf};

/// The file name of the library.
const LIBRARY: &str = "libsyscall_faults.so";
/// Fault kinds that the library counts, in its order.
const FAULT_KINDS: usize = 14;
/// The fault that has a step and a time in place of a rate.
const CLOCK_STEPPED: &str = "clock.stepped";

/// A fault of the library.
struct SyscallFault {
    name: &'static str,
    /// The highest rate, as a share of calls, that is drawn; 0 if the soak test never injects it.
    max_rate: f64,
}

const fn fault(name: &'static str, max_rate: f64) -> SyscallFault {
    SyscallFault { name, max_rate }
}

/// The faults in the library's order. Writes to files never fail, since violations are known from the logs.
const FAULTS: [SyscallFault; FAULT_KINDS] = [
    fault("recv.interrupted", 0.05),
    fault("recv.short", 0.2),
    fault("recv.broken", 0.002),
    fault("send.interrupted", 0.05),
    fault("send.short", 0.2),
    fault("send.stalled", 0.002),
    fault("datagram.unsent", 0.0),
    fault("accept.failed", 0.05),
    fault("connect.failed", 0.02),
    fault("socket.failed", 0.02),
    fault("wait.interrupted", 0.05),
    fault("file.write", 0.0),
    fault("file.sync", 0.0),
    fault(CLOCK_STEPPED, 0.0),
];
/// Steps of the wall clock, in seconds.
const CLOCK_STEPS_SECONDS: [f64; 4] = [-3600.0, -5.0, 5.0, 3600.0];
/// The latest time of such a step, in seconds after a scheduler's start.
const MAX_CLOCK_STEP_DELAY_SECONDS: f64 = 6.0;

/// How often a fault was injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SyscallFaultCount {
    /// The fault's name.
    pub name: &'static str,
    /// A lower bound of its occurrences.
    pub count: u64,
}

/// The faults of one scheduler, in the library's format.
pub(super) struct SyscallFaultPlan(String);

impl SyscallFaultPlan {
    /// Draws each fault with even odds, at a rate up to its highest, and a step of the clock with even odds.
    pub(super) fn draw(seed: u64, scheduler: usize) -> SyscallFaultPlan {
        let mut random = Pcg64::seed_from_u64(seed ^ ((scheduler as u64 + 1) << 32));
        let mut text = format!("seed={}", seed.wrapping_mul(1000).wrapping_add(scheduler as u64));
        for fault in &FAULTS {
            let rate = random.random_range(0.1..1.0) * fault.max_rate;
            if random.random_bool(0.5) && rate > 0.0 {
                text.push_str(&format!(",{}={rate:.5}", fault.name));
            }
        }
        let step = CLOCK_STEPS_SECONDS[random.random_range(0..CLOCK_STEPS_SECONDS.len())];
        let after = random.random_range(0.0..MAX_CLOCK_STEP_DELAY_SECONDS);
        if random.random_bool(0.5) {
            text.push_str(&format!(",clock.step={step},clock.after={after:.2}"));
        }
        SyscallFaultPlan(text)
    }

    /// The environment that injects them into a scheduler's process.
    pub(super) fn environment(
        &self,
        library: &Path,
        directory: &Path,
        scheduler: usize,
    ) -> Vec<(String, String)> {
        let counts = directory.join(format!("faults-{scheduler}.counts"));
        let pairs = [
            ("LD_PRELOAD", library.to_string_lossy().into_owned()),
            ("SYSCALL_FAULTS", self.0.clone()),
            ("SYSCALL_FAULTS_COUNTS", counts.to_string_lossy().into_owned()),
        ];
        pairs.map(|(name, value)| (name.to_string(), value)).into()
    }
}

/// The library beside this program, or in cargo's folder of dependencies.
pub(super) fn find_library() -> Result<PathBuf, Failure> {
    let program = std::env::current_exe().map_err(machine("the kit's own path"))?;
    let beside = [program.with_file_name(LIBRARY), program.with_file_name("deps").join(LIBRARY)];
    let found = beside.iter().find(|path| path.is_file()).cloned();
    let remedy = "build it with `make kit`";
    found.ok_or_else(|| {
        Failure::Machine(format!("{}: there is no such library; {remedy}", beside[0].display()))
    })
}

/// How often each fault that may be drawn was injected. A successor's counts replace its predecessor's, so that these are
/// lower bounds.
pub(super) fn read_counts(directory: &Path) -> Vec<SyscallFaultCount> {
    let mut sums = [0; FAULT_KINDS];
    let entries = std::fs::read_dir(directory).into_iter().flatten().flatten();
    for entry in entries.filter(|entry| entry.path().extension().is_some_and(|end| end == "counts")) {
        let bytes = std::fs::read(entry.path()).unwrap_or_default();
        for (sum, count) in sums.iter_mut().zip(bytes.chunks_exact(size_of::<u64>())) {
            *sum += count.try_into().map_or(0, u64::from_le_bytes);
        }
    }
    let may_be_drawn = |fault: &SyscallFault| fault.max_rate > 0.0 || fault.name == CLOCK_STEPPED;
    let counted = FAULTS.iter().zip(sums).filter(|(fault, _)| may_be_drawn(fault));
    counted.map(|(fault, count)| SyscallFaultCount { name: fault.name, count }).collect()
}
