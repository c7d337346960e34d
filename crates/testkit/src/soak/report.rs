//! The result of a soak test, as a data structure and as text.

use super::checks::InvariantViolation;
use super::fault::{FaultKind, InjectedFault};
use super::syscall_faults::SyscallFaultCount;
use std::collections::BTreeSet;
use vetchbridge_testbed::audit::Answers;

/// The largest number of violations that the text of a report lists.
const MAX_LISTED_VIOLATIONS: usize = 20;

/// The result of a soak test: the injected faults and the violated invariants.
#[derive(Debug)]
pub struct SoakReport {
    /// The seed from which all faults of the test were drawn.
    pub seed: u64,
    /// Whether the test lasted long enough that every kind of fault must have happened.
    pub is_full_length: bool,
    /// The number of jobs that the load's clients sent.
    pub jobs: usize,
    /// The numbers of clients' requests by outcome.
    pub answers: Answers,
    /// The injected platform faults, in the order of their start.
    pub faults: Vec<InjectedFault>,
    /// The number of injected system call faults, for each kind of fault that may be injected.
    pub syscall_faults: Vec<SyscallFaultCount>,
    /// The violations of invariants, including those that the exactly-once audit found.
    pub violations: Vec<InvariantViolation>,
}

impl SoakReport {
    /// Returns the number of pairs of injected platform faults that overlapped in time.
    pub fn overlaps(&self) -> usize {
        let pairs_with_later = |(index, fault): (usize, &InjectedFault)| {
            self.faults[index + 1..].iter().filter(|other| fault.overlaps(other)).count()
        };
        self.faults.iter().enumerate().map(pairs_with_later).sum()
    }

    /// Returns a line for each kind of fault that was never injected; empty if the test was too short to
    /// require all kinds.
    pub fn missing(&self) -> Vec<String> {
        if !self.is_full_length {
            return Vec::new();
        }
        let injected: BTreeSet<FaultKind> = self.faults.iter().map(|fault| fault.kind).collect();
        let kinds = FaultKind::ALL.iter().filter(|kind| !injected.contains(*kind));
        let kinds = kinds.map(|kind| format!("fault {kind} was never injected"));
        let syscalls = self.syscall_faults.iter().filter(|fault| fault.count == 0);
        kinds
            .chain(syscalls.map(|fault| format!("system call fault {} was never injected", fault.name)))
            .collect()
    }

    /// Returns the report as text; the last line contains the seed and the total numbers of faults and
    /// violations.
    pub fn text(&self) -> String {
        let mut text = format!("answers   {}\n", self.answers_text());
        for kind in FaultKind::ALL {
            let count = self.faults.iter().filter(|fault| fault.kind == *kind).count();
            text.push_str(&format!("injected  {kind} {count}\n"));
        }
        for fault in &self.syscall_faults {
            text.push_str(&format!("syscall   {} at least {}\n", fault.name, fault.count));
        }
        for violation in self.violations.iter().take(MAX_LISTED_VIOLATIONS) {
            text.push_str(&format!("violation {violation}\n"));
        }
        for missing in self.missing() {
            text.push_str(&format!("missing   {missing}\n"));
        }
        let syscall_faults: u64 = self.syscall_faults.iter().map(|fault| fault.count).sum();
        text.push_str(&format!(
            "seed {}: {} platform faults, {} overlaps, {syscall_faults} system call faults, {} violations\n",
            self.seed,
            self.faults.len(),
            self.overlaps(),
            self.violations.len()
        ));
        text
    }

    /// Whether no invariant was violated and every kind of fault happened, if the test was long enough to
    /// require all kinds.
    pub fn passed(&self) -> bool {
        self.violations.is_empty() && self.missing().is_empty()
    }

    fn answers_text(&self) -> String {
        let Answers { served, rejected, failed, lost, unreachable, unanswered } = self.answers;
        let jobs = self.jobs;
        format!(
            "{jobs} jobs: {served} served, {rejected} rejected, {failed} failed, {lost} lost, \
             {unreachable} unreachable, {unanswered} timed out"
        )
    }
}
