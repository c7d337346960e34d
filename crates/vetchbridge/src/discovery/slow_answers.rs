//! The answers of the discovery service that take long to arrive, while they arrive.

use crate::discovery::answer::{SlowAnswer, SlowProgress};
use futures_util::stream::{FuturesUnordered, StreamExt};
use std::future::Future;
use std::pin::Pin;

/// Maximum number of slow answers that are read at the same time. Each next call is made while the answers to
/// earlier calls are still arriving, so that the next list is not older than necessary.
const MAX_SLOW_ANSWERS: usize = 4;

/// What has become of an answer that takes long to arrive.
pub(super) struct SlowCallProgress {
    /// The generation of the watcher's endpoint list when the call to the discovery service was made.
    pub(super) base_generation: Option<u64>,
    pub(super) progress: SlowProgress,
}

/// The slow answers that are being read.
#[derive(Default)]
pub(super) struct SlowAnswers(FuturesUnordered<Pin<Box<dyn Future<Output = SlowCallProgress> + Send>>>);

impl SlowAnswers {
    /// Reads on an answer, unless too many answers are being read already; the answer is then given up.
    pub(super) fn read_on(&mut self, base_generation: Option<u64>, answer: SlowAnswer) {
        if self.0.len() < MAX_SLOW_ANSWERS {
            let progress = answer.read_on();
            self.0.push(Box::pin(
                async move { SlowCallProgress { base_generation, progress: progress.await } },
            ));
        }
    }

    /// Waits for the progress of any answer. Returns `None` if no answer is being read.
    pub(super) async fn next(&mut self) -> Option<SlowCallProgress> {
        self.0.next().await
    }

    /// Whether no answer is being read.
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Gives up all answers.
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }
}
