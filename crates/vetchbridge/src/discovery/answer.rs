//! Reads the answers of the discovery service, however long they take.
//!
//! An answer that does not arrive whole within its time limit is not given up as long as it makes progress: it
//! becomes a [`SlowAnswer`], which returns the entries as they arrive and the document at the end.

use crate::discovery::document::EndpointDocument;
use crate::discovery::partial::PartialDocument;
use crate::net::ResponseLimit;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::Response;
use std::time::Duration;
use thiserror::Error;
use tokio::time::{timeout_at, Instant};

/// Maximum time to receive the body of the discovery service's response after the response's head. An answer
/// that takes longer is a [`SlowAnswer`]. The discovery service treats this scheduler as notified of an entry as
/// soon as the service has written the entry, so a slow body must not delay the use of the entries that have
/// arrived.
const BODY_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval at which the entries of a slow answer that have arrived are returned.
const SLOW_ANSWER_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a slow answer without further bytes is given up.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum length in bytes of an endpoint document.
const MAX_DOCUMENT_BYTES: usize = 4 * 1024 * 1024;
/// Maximum length in bytes of an endpoint document on the wire, with the framing of its chunks.
const MAX_FRAMED_DOCUMENT_BYTES: usize = 2 * MAX_DOCUMENT_BYTES;

/// A complete response of the discovery service.
#[derive(Debug)]
pub(super) struct Answer {
    /// The endpoint document in the response.
    pub(super) document: EndpointDocument,
    /// When the head of the response arrived.
    pub(super) answered_at: Instant,
}

/// Why the body of the discovery service's response could not be read.
#[derive(Debug, Error)]
pub(super) enum BodyError {
    /// The connection to the discovery service failed, or the body is longer than [`MAX_DOCUMENT_BYTES`].
    #[error("{0}")]
    Interrupted(Box<dyn std::error::Error + Send + Sync>),
    /// No byte of the body of the response arrived within [`STALL_TIMEOUT`].
    #[error("no byte of the response body arrived within {STALL_TIMEOUT:?}")]
    Stalled,
    /// The body of the response is not a valid endpoint document.
    #[error("invalid endpoint document: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// Why an answer of the discovery service has not arrived whole.
#[derive(Debug, Error)]
pub(super) enum IncompleteAnswer {
    /// The body of the response was truncated, stalled or malformed.
    #[error("{cause}")]
    Failed {
        /// Why the body of the response could not be read or decoded.
        cause: BodyError,
        /// The parts of the endpoint document that arrived whole before the failure.
        partial: PartialDocument,
    },
    /// The body of the response did not arrive whole within [`BODY_TIMEOUT`]. The rest may follow.
    #[error("the response body was not complete within {BODY_TIMEOUT:?}")]
    Slow {
        /// The parts of the endpoint document that have arrived whole.
        partial: PartialDocument,
        /// The answer, from which the rest can be read.
        answer: Box<SlowAnswer>,
    },
}

impl IncompleteAnswer {
    /// Returns the parts of the endpoint document that arrived whole, and the answer if the rest may follow.
    pub(super) fn into_parts(self) -> (PartialDocument, Option<SlowAnswer>) {
        match self {
            IncompleteAnswer::Failed { partial, .. } => (partial, None),
            IncompleteAnswer::Slow { partial, answer } => (partial, Some(*answer)),
        }
    }
}

/// Reads the endpoint document in a response of the discovery service. The error carries the parts of the
/// document that arrived whole.
pub(super) async fn read_answer(response: Response<Incoming>) -> Result<Answer, IncompleteAnswer> {
    if let Some(limit) = response.extensions().get::<ResponseLimit>() {
        limit.allow_body(MAX_FRAMED_DOCUMENT_BYTES);
    }
    let mut reader = DocumentReader::new(response.into_body());
    match reader.read_until(reader.answered_at + BODY_TIMEOUT).await {
        Ok(BodyProgress::Complete) => reader.into_answer(),
        Ok(BodyProgress::Incomplete) => {
            let partial = PartialDocument::parse(&reader.text);
            let published = partial.instances.len();
            Err(IncompleteAnswer::Slow { partial, answer: Box::new(SlowAnswer { reader, published }) })
        }
        Err(cause) => Err(reader.into_error(cause)),
    }
}

/// How far the body of a response has arrived.
enum BodyProgress {
    Complete,
    Incomplete,
}

/// Reads the body of a response of the discovery service.
#[derive(Debug)]
struct DocumentReader {
    body: Limited<Incoming>,
    text: Vec<u8>,
    answered_at: Instant,
    last_byte_at: Instant,
}

impl DocumentReader {
    /// Creates a reader of the body of a response whose head has just arrived.
    fn new(body: Incoming) -> DocumentReader {
        let now = Instant::now();
        let body = Limited::new(body, MAX_DOCUMENT_BYTES);
        DocumentReader { body, text: Vec::new(), answered_at: now, last_byte_at: now }
    }

    /// Reads the body until its end, but no longer than until `deadline`.
    async fn read_until(&mut self, deadline: Instant) -> Result<BodyProgress, BodyError> {
        loop {
            match timeout_at(deadline, self.body.frame()).await {
                Ok(Some(Ok(frame))) => self.append(frame.data_ref().map_or(&[], |data| data)),
                Ok(None) => return Ok(BodyProgress::Complete),
                Ok(Some(Err(error))) => return Err(BodyError::Interrupted(error)),
                Err(_) => return Ok(BodyProgress::Incomplete),
            }
        }
    }

    fn append(&mut self, data: &[u8]) {
        if !data.is_empty() {
            self.text.extend_from_slice(data);
            self.last_byte_at = Instant::now();
        }
    }

    /// Returns the answer whose body has arrived completely.
    fn into_answer(self) -> Result<Answer, IncompleteAnswer> {
        match serde_json::from_slice(&self.text) {
            Ok(document) => Ok(Answer { document, answered_at: self.answered_at }),
            Err(error) => Err(self.into_error(error.into())),
        }
    }

    fn into_error(self, cause: BodyError) -> IncompleteAnswer {
        IncompleteAnswer::Failed { cause, partial: PartialDocument::parse(&self.text) }
    }
}

/// An answer of the discovery service that takes long to arrive, but makes progress.
#[derive(Debug)]
pub(super) struct SlowAnswer {
    reader: DocumentReader,
    /// The number of entries that have been returned.
    published: usize,
}

/// What has become of a slow answer.
pub(super) enum SlowProgress {
    /// Further entries have arrived whole, possibly none; the rest may follow.
    Arrived(PartialDocument, SlowAnswer),
    /// The answer has ended.
    Ended(Result<Answer, IncompleteAnswer>),
}

impl SlowAnswer {
    /// Reads the answer for [`SLOW_ANSWER_INTERVAL`], or to its end.
    pub(super) async fn read_on(mut self) -> SlowProgress {
        match self.reader.read_until(Instant::now() + SLOW_ANSWER_INTERVAL).await {
            Ok(BodyProgress::Complete) => SlowProgress::Ended(self.reader.into_answer()),
            Ok(BodyProgress::Incomplete) if self.reader.last_byte_at.elapsed() >= STALL_TIMEOUT => {
                SlowProgress::Ended(Err(self.reader.into_error(BodyError::Stalled)))
            }
            Ok(BodyProgress::Incomplete) => {
                let mut partial = PartialDocument::parse(&self.reader.text);
                let further = partial.instances.split_off(self.published.min(partial.instances.len()));
                self.published += further.len();
                partial.instances = further;
                SlowProgress::Arrived(partial, self)
            }
            Err(cause) => SlowProgress::Ended(Err(self.reader.into_error(cause))),
        }
    }
}
