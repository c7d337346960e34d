//! The system calls that fail in each scheduler: which, how often, and how often they did.
//!
//! The library that makes them fail stands beside the kit's program; it is preloaded into the schedulers and into nothing else.

use crate::{machine, Failure};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::path::{Path, PathBuf};

/// The library's file.
const LIBRARY: &str = "libsyscall_faults.so";
/// The faults in the library's order, with the highest rate that is drawn; 0: not made here. Logs are how violations are
/// known, so that writes to files are left alone.
const FAULTS: [(&str, f64); 14] = [
    ("recv.interrupted", 0.05),
    ("recv.short", 0.2),
    ("recv.broken", 0.002),
    ("send.interrupted", 0.05),
    ("send.short", 0.2),
    ("send.stalled", 0.002),
    ("datagram.unsent", 0.0),
    ("accept.failed", 0.05),
    ("connect.failed", 0.02),
    ("socket.failed", 0.02),
    ("wait.interrupted", 0.05),
    ("file.write", 0.0),
    ("file.sync", 0.0),
    ("clock.stepped", 0.0),
];
/// Steps of the wall clock, in seconds.
const STEPS: [f64; 4] = [-3600.0, -5.0, 5.0, 3600.0];

/// The faults of one scheduler.
pub(super) struct FaultPlan(String);

impl FaultPlan {
    /// Each fault with even odds, at a rate up to its highest, and the clock stepped at every other scheduler.
    pub(super) fn drawn(seed: u64, scheduler: usize) -> FaultPlan {
        let mut random = Pcg64::seed_from_u64(seed ^ ((scheduler as u64 + 1) << 32));
        let mut text = format!("seed={}", seed.wrapping_mul(1000).wrapping_add(scheduler as u64));
        for (name, highest) in FAULTS {
            let rate = random.random_range(0.1..1.0) * highest;
            if random.random_bool(0.5) && rate > 0.0 {
                text.push_str(&format!(",{name}={rate:.5}"));
            }
        }
        let step = STEPS[random.random_range(0..STEPS.len())];
        let after = random.random_range(0.0..6.0);
        if random.random_bool(0.5) {
            text.push_str(&format!(",clock.step={step},clock.after={after:.2}"));
        }
        FaultPlan(text)
    }

    /// The environment in which a scheduler meets them.
    pub(super) fn environment(
        &self,
        library: &Path,
        folder: &Path,
        scheduler: usize,
    ) -> Vec<(String, String)> {
        let counts = folder.join(format!("faults-{scheduler}.counts"));
        let pairs = [
            ("LD_PRELOAD", library.to_string_lossy().into_owned()),
            ("SYSCALL_FAULTS", self.0.clone()),
            ("SYSCALL_FAULTS_COUNTS", counts.to_string_lossy().into_owned()),
        ];
        pairs.map(|(name, value)| (name.to_string(), value)).into()
    }
}

/// The library beside this program, or among what the tests were built from.
pub(super) fn library() -> Result<PathBuf, Failure> {
    let program = std::env::current_exe().map_err(machine("the kit's own path"))?;
    let beside = [program.with_file_name(LIBRARY), program.with_file_name("deps").join(LIBRARY)];
    let found = beside.iter().find(|path| path.is_file()).cloned();
    let remedy = "build it with `make kit`";
    found.ok_or_else(|| {
        Failure::Machine(format!("{}: there is no such library; {remedy}", beside[0].display()))
    })
}

/// How often each fault was made, of those that may be drawn. A process that follows another counts anew, so that these are
/// the least there were.
pub(super) fn counts(folder: &Path) -> Vec<(&'static str, u64)> {
    let mut sums = [0; FAULTS.len()];
    let entries = std::fs::read_dir(folder).into_iter().flatten().flatten();
    for entry in entries.filter(|entry| entry.path().extension().is_some_and(|end| end == "counts")) {
        let bytes = std::fs::read(entry.path()).unwrap_or_default();
        for (sum, count) in sums.iter_mut().zip(bytes.chunks_exact(8)) {
            *sum += count.try_into().map_or(0, u64::from_le_bytes);
        }
    }
    let drawn = |name: &str, highest: f64| highest > 0.0 || name == "clock.stepped";
    FAULTS
        .iter()
        .zip(sums)
        .filter(|((name, highest), _)| drawn(name, *highest))
        .map(|((name, _), sum)| (*name, sum))
        .collect()
}
