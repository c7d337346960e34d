//! Tests that a body is collected whole, in one buffer, for any cut into chunks.

use super::*;
use http_body_util::{Full, StreamBody};
use hyper::body::Frame;
use proptest::prelude::*;
use std::convert::Infallible;

const MAX_BYTES: usize = 64 * 1024;

/// A body that arrives in these chunks and does not announce its length.
fn chunked(chunks: &[Vec<u8>]) -> impl Body<Data = Bytes, Error = Infallible> + Unpin {
    let frames: Vec<_> = chunks.iter().map(|chunk| Ok(Frame::data(Bytes::from(chunk.clone())))).collect();
    StreamBody::new(futures_util::stream::iter(frames))
}

proptest! {
    /// The buffer of a chunked body has at most one growth step more than the bytes that have arrived, also
    /// if each chunk has one byte.
    #[test]
    fn a_chunked_body_is_held_in_one_buffer_of_its_length(
        chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 0..3000),
    ) {
        let body = chunks.concat();
        let mut buffer = BodyBuffer::new(&chunked(&[]), MAX_BYTES);
        let mut result = Ok(());
        for chunk in &chunks {
            result = result.and_then(|()| buffer.append(chunk));
            prop_assert!(buffer.bytes.capacity() < buffer.bytes.len() + GROWTH_BYTES);
        }
        if body.len() <= MAX_BYTES {
            prop_assert_eq!(result, Ok(()));
            prop_assert_eq!(buffer.into_bytes(), body);
        } else {
            prop_assert_eq!(result, Err(BodyReadError::TooLong));
        }
    }
}

/// A body of announced length is held in a buffer that is never longer than announced.
#[test]
fn a_body_of_announced_length_takes_no_more_than_that() {
    let mut buffer = BodyBuffer::new(&Full::new(Bytes::from(vec![0; 20_000])), MAX_BYTES);
    assert_eq!(buffer.capacity_with(1), Ok(GROWTH_BYTES));
    assert_eq!(buffer.capacity_with(20_000), Ok(20_000));
    buffer.append(&vec![1; 20_000]).expect("it fits");
    assert_eq!(buffer.bytes.capacity(), 20_000);
}

/// The error tells a body that is too long from one that can't be read.
#[tokio::test]
async fn a_body_of_the_maximum_length_is_collected_and_a_longer_one_is_not() {
    let whole = collect(chunked(&[vec![1; MAX_BYTES - 1], vec![2]]), MAX_BYTES, |_| Ok(())).await;
    assert_eq!(whole.expect("it fits").len(), MAX_BYTES);
    let too_long = collect(chunked(&[vec![1; MAX_BYTES], vec![2]]), MAX_BYTES, |_| Ok(())).await;
    assert_eq!(too_long, Err(BodyReadError::TooLong));
    let failing = StreamBody::new(futures_util::stream::iter([Err::<Frame<Bytes>, &str>("reset")]));
    assert_eq!(collect(failing, MAX_BYTES, |_| Ok(())).await, Err(BodyReadError::Failed));
}

/// The error tells a body for which no memory is free, and memory is asked for before it is taken.
#[tokio::test]
async fn a_body_is_collected_only_as_far_as_memory_is_free() {
    let reserve = |bytes| if bytes <= 2 * GROWTH_BYTES { Ok(()) } else { Err(MemoryExhausted) };
    let chunk = vec![1; GROWTH_BYTES];
    let fitting = collect(chunked(&[chunk.clone(), chunk.clone()]), MAX_BYTES, reserve).await;
    assert_eq!(fitting.expect("it fits").len(), 2 * GROWTH_BYTES);
    let too_large = collect(chunked(&[chunk.clone(), chunk.clone(), chunk]), MAX_BYTES, reserve).await;
    assert_eq!(too_large, Err(BodyReadError::NoMemory));
}
