//! Whether a request may still be written to its worker: the one place that is asked at its first byte.
//!
//! The decision was made earlier, and a connection may have taken long to come up since.

use super::Availability;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use tokio::sync::watch;
use tokio::time::Instant;

/// Why a request may not be written any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NotSent {
    /// The worker drains or has gone.
    WorkerLeaving,
    /// Another process goes by the worker's name.
    WorkerReplaced,
    /// Nobody waits for the request any more.
    RequestOver,
    /// The request's time, or the window in which it may be repeated, is over.
    TimeOver,
}

/// What a request is written under.
#[derive(Clone)]
pub(super) struct SendPermission {
    /// Whether the worker may be written to; absent where that does not matter.
    availability: Option<watch::Receiver<Availability>>,
    /// Set once nobody waits for the request any more.
    over: Arc<AtomicBool>,
    /// The first byte must be written by then.
    begin_by: Option<Instant>,
}

impl SendPermission {
    /// For a call that may always be written, such as one that gives an attempt up.
    pub(super) fn always() -> SendPermission {
        SendPermission { availability: None, over: Arc::default(), begin_by: None }
    }

    /// For as long as the worker may be written to.
    pub(super) fn while_available(availability: watch::Receiver<Availability>) -> SendPermission {
        SendPermission { availability: Some(availability), ..SendPermission::always() }
    }

    /// Also no later than this, and only while somebody waits.
    pub(super) fn until(self, begin_by: Instant, over: Arc<AtomicBool>) -> SendPermission {
        SendPermission { over, begin_by: Some(begin_by), ..self }
    }

    /// Whether the request itself is still wanted, whatever has become of the worker.
    pub(super) fn wanted(&self) -> bool {
        !matches!(self.request_withheld(), Some(NotSent::RequestOver | NotSent::TimeOver))
    }

    /// Why the first byte may not be written now, if it may not.
    pub(super) fn withheld(&self) -> Option<NotSent> {
        let availability = self.availability.as_ref().map(|availability| *availability.borrow());
        match availability {
            Some(Availability::Leaving) => Some(NotSent::WorkerLeaving),
            Some(Availability::Replaced) => Some(NotSent::WorkerReplaced),
            Some(Availability::Ready) | None => self.request_withheld(),
        }
    }

    fn request_withheld(&self) -> Option<NotSent> {
        if self.over.load(Ordering::Relaxed) {
            return Some(NotSent::RequestOver);
        }
        self.begin_by.is_some_and(|begin_by| Instant::now() >= begin_by).then_some(NotSent::TimeOver)
    }
}
