//! A request that is owed its final answer, and its attempts.

use crate::interface::*;
use crate::retry::Repeats;

/// Late answers with a smaller share of their worth are worth nothing: the peer is to work on others.
const WORTHLESS: f64 = 0.01;

/// An attempt of an open request.
pub(crate) struct Attempt {
    pub(crate) worker: WorkerId,
    /// Slots in hand there per unit of size, its own included, if that was known.
    pub(crate) crowd: Option<f64>,
    /// `None` while out; else whether it may have run.
    pub(crate) may_have_run: Option<bool>,
    pub(crate) sent: Micros,
}

/// A request that is owed its final answer.
#[derive(Default)]
pub(crate) struct Open {
    /// As it was when the request came; newer settings don't touch it.
    pub(crate) class: Class,
    /// Attempts allowed, by the settings then and by any since.
    pub(crate) most: u32,
    pub(crate) key: u64,
    pub(crate) slots: f64,
    /// Expected work; 0 without a hint.
    pub(crate) work: Micros,
    pub(crate) arrived: Micros,
    pub(crate) deadline: Micros,
    pub(crate) sequence: u64,
    /// Over how many workers its key is spread.
    pub(crate) width: usize,
    pub(crate) attempts: Vec<Attempt>,
    /// Waiting for keepers' reports until this time.
    pub(crate) asking_until: Option<Micros>,
    pub(crate) holding: bool,
}

impl Open {
    /// From when on it can't be in time any more with so many times its hinted work still to do.
    pub(crate) fn late_from(&self, rest: f64) -> Micros {
        self.arrived
            + self.class.latency_objective
            + ((self.class.objective_per_work - rest).max(0.0) * self.work as f64) as Micros
    }

    /// Whether a late answer is worth nothing, and its work is known so far as that says when it is late.
    pub(crate) fn all_or_nothing(&self) -> bool {
        self.class.late_weight < WORTHLESS && (self.work > 0 || self.class.objective_per_work == 0.0)
    }

    pub(crate) fn retry(&self) -> Repeats {
        let first = self.attempts.iter().find(|attempt| attempt.may_have_run != Some(false));
        Repeats { idempotency: self.class.idempotency, first: first.map(|attempt| attempt.sent) }
    }

    /// Its work as hinted; without a hint, its class is made for jobs of about its aim.
    pub(crate) fn likely_work(&self) -> Micros {
        Some(self.work).filter(|work| *work > 0).unwrap_or(self.class.latency_objective)
    }
}
