//! Whether a request may still be written to its worker, checked just before its first byte.
//!
//! The decision to send was made earlier, and the connection may have taken long to come up since.

use super::endpoint::Availability;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use thiserror::Error;
use tokio::sync::watch;
use tokio::time::Instant;

/// Why a request may not be written any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum SendDenied {
    /// The worker is draining or was removed.
    #[error("the worker is draining or was removed")]
    WorkerDraining,
    /// Another process has taken over the worker's name.
    #[error("the worker was replaced by another process")]
    WorkerReplaced,
    /// The request has been answered, or its client has disconnected.
    #[error("the request is concluded")]
    RequestConcluded,
    /// The request's deadline has passed, or the window in which it may be retried.
    #[error("the deadline for the first byte has passed")]
    DeadlinePassed,
}

/// The conditions under which a request may be written.
#[derive(Clone)]
pub(super) struct SendPermission {
    /// The worker's availability; `None` where it does not matter.
    availability: Option<watch::Receiver<Availability>>,
    /// Set once nobody waits for the request any more.
    concluded: Arc<AtomicBool>,
    first_byte_deadline: Option<Instant>,
}

impl SendPermission {
    /// For a request that may always be written, such as the cancellation of a job.
    pub(super) fn always() -> SendPermission {
        SendPermission { availability: None, concluded: Arc::default(), first_byte_deadline: None }
    }

    /// For as long as the worker is available.
    pub(super) fn while_available(availability: watch::Receiver<Availability>) -> SendPermission {
        SendPermission { availability: Some(availability), ..SendPermission::always() }
    }

    /// Limits the permission to the time before `first_byte_deadline`, and before `concluded` is set.
    pub(super) fn until(self, first_byte_deadline: Instant, concluded: Arc<AtomicBool>) -> SendPermission {
        SendPermission { concluded, first_byte_deadline: Some(first_byte_deadline), ..self }
    }

    /// Checks whether the first byte may be written now.
    pub(super) fn check(&self) -> Result<(), SendDenied> {
        let availability = self.availability.as_ref().map(|availability| *availability.borrow());
        match availability {
            Some(Availability::Draining) => Err(SendDenied::WorkerDraining),
            Some(Availability::Replaced) => Err(SendDenied::WorkerReplaced),
            Some(Availability::Ready) | None => self.check_request(),
        }
    }

    /// Checks whether somebody still waits for the request, whatever has become of the worker.
    pub(super) fn check_request(&self) -> Result<(), SendDenied> {
        if self.concluded.load(Ordering::Relaxed) {
            return Err(SendDenied::RequestConcluded);
        }
        match self.first_byte_deadline {
            Some(deadline) if Instant::now() >= deadline => Err(SendDenied::DeadlinePassed),
            _ => Ok(()),
        }
    }
}

#[cfg(test)]
mod tests;
