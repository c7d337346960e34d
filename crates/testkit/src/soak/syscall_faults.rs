//! Faults of system calls in the schedulers of a soak test: which calls fail, at which rates, and how often
//! they failed.
//!
//! A shared library injects these faults. The library lies beside the kit's executable and is preloaded into
//! the schedulers' processes only.

use crate::{io_failure, Failure};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::path::{Path, PathBuf};

/// The file name of the library that injects the faults.
const LIBRARY: &str = "libsyscall_faults.so";
/// The number of kinds of system call faults that the library counts.
const FAULT_KINDS: usize = 14;
/// The name of the fault that is configured by a step of the wall clock and a time instead of a rate.
const CLOCK_STEPPED: &str = "clock.stepped";

/// A kind of fault that the library can inject into system calls.
struct SyscallFault {
    name: &'static str,
    /// The highest rate at which the fault may be injected, as a share of the system calls that the fault
    /// applies to; 0 if the soak test never injects the fault at a rate.
    max_rate: f64,
}

const fn fault(name: &'static str, max_rate: f64) -> SyscallFault {
    SyscallFault { name, max_rate }
}

/// The kinds of faults, in the order in which the library counts them. Writes to files never fail, because
/// the soak test reads violations from the schedulers' log files.
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
/// The steps by which the wall clock of a scheduler may be moved, in seconds.
const CLOCK_STEPS_SECONDS: [f64; 4] = [-3600.0, -5.0, 5.0, 3600.0];
/// The latest time of a step of the wall clock, in seconds after the start of a scheduler's process.
const MAX_CLOCK_STEP_DELAY_SECONDS: f64 = 6.0;

/// The number of times that the library injected one kind of fault, over all schedulers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SyscallFaultCount {
    /// The name of the fault's kind.
    pub name: &'static str,
    /// A lower bound of the number of times that the fault was injected.
    pub count: u64,
}

/// The system call faults of one scheduler, in the library's configuration format.
pub(super) struct SyscallFaultPlan(String);

impl SyscallFaultPlan {
    /// Draws the system call faults of one scheduler. Each kind of fault is included with a probability of
    /// one half, at a random rate up to its maximum; a step of the wall clock is included with a probability
    /// of one half.
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

    /// Returns the environment variables that make the library inject these faults into a scheduler's
    /// process.
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

/// Returns the path of the library beside the kit's executable or in cargo's `deps` folder.
pub(super) fn find_library() -> Result<PathBuf, Failure> {
    let program = std::env::current_exe().map_err(io_failure("path of the kit's executable"))?;
    let beside = [program.with_file_name(LIBRARY), program.with_file_name("deps").join(LIBRARY)];
    let found = beside.iter().find(|path| path.is_file()).cloned();
    let remedy = "build it with `make kit`";
    found.ok_or_else(|| {
        Failure::System(format!("{}: the library was not found; {remedy}", beside[0].display()))
    })
}

/// Returns how often each kind of fault that may be drawn was injected. The counts are lower bounds, because
/// the counts of an upgrade's successor process replace those of its predecessor process.
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
