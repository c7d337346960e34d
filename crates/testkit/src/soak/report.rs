//! The result of a soak test, as data and as text.

use super::checks::InvariantViolation;
use super::fault::{FaultKind, InjectedFault};
use super::syscall_faults::SyscallFaultCount;
use std::collections::BTreeSet;
use vetchbridge_testbed::audit::Answers;

/// Violations that the text lists one by one.
const MAX_LISTED_VIOLATIONS: usize = 20;

/// What was injected, and which invariants were violated.
#[derive(Debug)]
pub struct SoakReport {
    /// The seed of all faults.
    pub seed: u64,
    /// Whether the test lasted long enough for each kind of fault to happen.
    pub is_full_length: bool,
    /// Jobs of the load.
    pub jobs: usize,
    /// Answers to their attempts.
    pub answers: Answers,
    /// Each injected fault, with its time.
    pub faults: Vec<InjectedFault>,
    /// System calls that failed, by fault.
    pub syscall_faults: Vec<SyscallFaultCount>,
    /// Violated invariants.
    pub violations: Vec<InvariantViolation>,
}

impl SoakReport {
    /// Pairs of injected faults that overlapped in time.
    pub fn overlaps(&self) -> usize {
        let pairs_with_later = |(index, fault): (usize, &InjectedFault)| {
            self.faults[index + 1..].iter().filter(|other| fault.overlaps(other)).count()
        };
        self.faults.iter().enumerate().map(pairs_with_later).sum()
    }

    /// What should have happened in a test of full length and did not.
    pub fn missing(&self) -> Vec<String> {
        if !self.is_full_length {
            return Vec::new();
        }
        let injected: BTreeSet<FaultKind> = self.faults.iter().map(|fault| fault.kind).collect();
        let kinds = FaultKind::ALL.iter().filter(|kind| !injected.contains(*kind));
        let kinds = kinds.map(|kind| format!("no trouble {kind} happened"));
        let syscalls = self.syscall_faults.iter().filter(|fault| fault.count == 0);
        kinds.chain(syscalls.map(|fault| format!("no fault {} was made", fault.name))).collect()
    }

    /// As text; the last line holds the totals.
    pub fn text(&self) -> String {
        let mut text = format!("answers   {}\n", self.answers_text());
        for kind in FaultKind::ALL {
            let count = self.faults.iter().filter(|fault| fault.kind == *kind).count();
            text.push_str(&format!("trouble   {kind} {count}\n"));
        }
        for fault in &self.syscall_faults {
            text.push_str(&format!("fault     {} at least {}\n", fault.name, fault.count));
        }
        for violation in self.violations.iter().take(MAX_LISTED_VIOLATIONS) {
            text.push_str(&format!("broken    {violation}\n"));
        }
        for missing in self.missing() {
            text.push_str(&format!("missing   {missing}\n"));
        }
        let syscall_faults: u64 = self.syscall_faults.iter().map(|fault| fault.count).sum();
        text.push_str(&format!(
            "seed {}: {} troubles, {} overlaps, {syscall_faults} faults, {} violations\n",
            self.seed,
            self.faults.len(),
            self.overlaps(),
            self.violations.len()
        ));
        text
    }

    /// Whether every invariant held and everything happened that was to.
    pub fn passed(&self) -> bool {
        self.violations.is_empty() && self.missing().is_empty()
    }

    fn answers_text(&self) -> String {
        let Answers { served, rejected, failed, lost, unreachable, unanswered } = self.answers;
        let jobs = self.jobs;
        format!(
            "{jobs} jobs: {served} served, {rejected} refused, {failed} failed, {lost} lost, {unreachable} unreachable, \
             {unanswered} timed out"
        )
    }
}
