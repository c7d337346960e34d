//! Checks just before a request's first byte whether the request may still be written to its worker.
//!
//! The check is needed because the decision module decides to send a request before the request has a
//! connection, and connecting to the worker may take so long that the decision no longer holds.

use super::endpoint::Availability;
use super::lock_ignoring_poison;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use thiserror::Error;
use tokio::sync::watch;
use tokio::time::Instant;

/// The reason why a request may no longer be written to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum SendDenied {
    /// The worker is draining or was removed.
    #[error("the worker is draining or was removed")]
    WorkerDraining,
    /// Another process has taken over the worker's name.
    #[error("the worker was replaced by another process")]
    WorkerReplaced,
    /// The endpoint list is too old to be used.
    #[error("the endpoint list is outdated")]
    ListOutdated,
    /// The request has been answered, or its client has disconnected.
    #[error("the request is concluded")]
    RequestConcluded,
    /// The request's deadline has passed, or the time window in which the request may be retried has ended.
    #[error("the deadline for the first byte has passed")]
    DeadlinePassed,
}

/// When the endpoint list expires; shared by all attempts.
#[derive(Clone, Debug, Default)]
pub(super) struct ListExpiry(Arc<Mutex<Option<Instant>>>);

impl ListExpiry {
    /// Sets when the list expires; `None` if it does not expire.
    pub(super) fn set(&self, expires_at: Option<Instant>) {
        *lock_ignoring_poison(&self.0) = expires_at;
    }

    fn is_expired(&self) -> bool {
        lock_ignoring_poison(&self.0).is_some_and(|expires_at| Instant::now() >= expires_at)
    }
}

/// The conditions under which a request may be written to its worker.
#[derive(Clone)]
pub(super) struct SendPermission {
    /// The worker's availability; `None` if the request may be written whatever the availability is.
    availability: Option<watch::Receiver<Availability>>,
    /// The expiry of the list that the worker comes from.
    list_expiry: ListExpiry,
    /// Set once the request has been answered or its client has disconnected.
    concluded: Arc<AtomicBool>,
    /// The time before which the request's first byte must be written; `None` for no limit.
    first_byte_deadline: Option<Instant>,
}

impl SendPermission {
    /// Returns a send permission without conditions, such as for the cancellation of a job.
    pub(super) fn always() -> SendPermission {
        SendPermission {
            availability: None,
            list_expiry: ListExpiry::default(),
            concluded: Arc::default(),
            first_byte_deadline: None,
        }
    }

    /// Returns a send permission that holds for as long as the worker is available.
    pub(super) fn while_available(availability: watch::Receiver<Availability>) -> SendPermission {
        SendPermission { availability: Some(availability), ..SendPermission::always() }
    }

    /// Returns this send permission with one more condition: the endpoint list must not be expired.
    pub(super) fn while_list_is_current(self, list_expiry: ListExpiry) -> SendPermission {
        SendPermission { list_expiry, ..self }
    }

    /// Returns this send permission with two more conditions: the request's first byte must be written before
    /// `first_byte_deadline` and before `concluded` is set.
    pub(super) fn until(self, first_byte_deadline: Instant, concluded: Arc<AtomicBool>) -> SendPermission {
        SendPermission { concluded, first_byte_deadline: Some(first_byte_deadline), ..self }
    }

    /// Checks whether the request's first byte may be written at the moment of this call.
    pub(super) fn check(&self) -> Result<(), SendDenied> {
        let availability = self.availability.as_ref().map(|availability| *availability.borrow());
        match availability {
            Some(Availability::Draining) => Err(SendDenied::WorkerDraining),
            Some(Availability::Replaced) => Err(SendDenied::WorkerReplaced),
            Some(Availability::Ready) | None => self.check_request(),
        }
    }

    /// Checks the conditions of the request, without the worker's availability: the client still waits, the
    /// endpoint list is not expired, and the deadline for the first byte has not passed.
    pub(super) fn check_request(&self) -> Result<(), SendDenied> {
        if self.concluded.load(Ordering::Relaxed) {
            return Err(SendDenied::RequestConcluded);
        }
        if self.list_expiry.is_expired() {
            return Err(SendDenied::ListOutdated);
        }
        match self.first_byte_deadline {
            Some(deadline) if Instant::now() >= deadline => Err(SendDenied::DeadlinePassed),
            _ => Ok(()),
        }
    }
}

#[cfg(test)]
mod tests;
