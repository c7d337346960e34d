use super::*;

#[tokio::test(start_paused = true)]
async fn ids_are_forgotten_after_their_time_and_beyond_their_number() {
    let (mut closed, start) = (ClosedRequests::default(), Instant::now());
    assert_eq!(closed.remember(RequestId(0), start), []);
    assert!(closed.contains(RequestId(0)) && !closed.contains(RequestId(1)));
    assert_eq!(closed.remember(RequestId(1), start + RETENTION), [RequestId(0)]);
    assert!(!closed.contains(RequestId(0)));
    let later = start + RETENTION;
    let forgotten: Vec<_> =
        (2..3 + MAX_CLOSED_REQUESTS as u64).flat_map(|id| closed.remember(RequestId(id), later)).collect();
    assert_eq!(forgotten, [RequestId(1), RequestId(2)]);
    assert_eq!(closed.ids().count(), MAX_CLOSED_REQUESTS);
    assert_eq!(closed.ids.len(), MAX_CLOSED_REQUESTS);
}
