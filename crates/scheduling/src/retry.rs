//! Whether a job may run again: sent by this scheduler, or by its client after a refusal, which
//! promises that trying again is harmless.

use crate::interface::{DeduplicationScope, Idempotency, Micros};

/// A client that was refused is back this long after the time it was told, at the latest, microseconds.
const CLIENT_RETURNS: Micros = 500_000;

/// What is known of a job's attempts.
#[derive(Clone, Copy)]
pub(crate) struct Repeats {
    /// What a second run does.
    pub(crate) idempotency: Idempotency,
    /// When the first attempt that may have run was sent; `None`: surely none has run.
    pub(crate) first: Option<Micros>,
}

impl Repeats {
    /// Whether a further attempt that begins by then does no harm.
    pub(crate) fn may_begin_by(self, by: Micros) -> bool {
        let Some(first) = self.first else { return true };
        match self.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed { window, .. } => by < first + window,
            Idempotency::NonIdempotent => false,
        }
    }

    /// Whether the client may be told that trying again, so long from now, is harmless. It may come back to
    /// any scheduler, and its request may go to any worker.
    pub(crate) fn may_be_refused(self, now: Micros, retry_after: Micros) -> bool {
        let anywhere =
            !matches!(self.idempotency, Idempotency::Keyed { group, .. } if group != DeduplicationScope::All);
        (anywhere || self.first.is_none()) && self.may_begin_by(now + retry_after + CLIENT_RETURNS)
    }
}
