use super::*;

const REQUEST: RequestId = RequestId(0xab);
const REQUEST_ID: &str = "00000000000000ab";

fn callback(id: &str, worker: &str) -> Callback {
    Callback {
        id: id.to_string(),
        worker: worker.to_string(),
        state: CallbackState::Started,
        fraction: 0.0,
        result: String::new(),
        load: None,
    }
}

#[test]
fn a_callback_is_dispatched_to_the_attempt_of_its_request_at_its_worker() {
    let router = CallbackRouter::default();
    let mut subscription = router.subscribe(REQUEST, worker_id("s-0"));
    assert!(!router.dispatch(&callback(REQUEST_ID, "s-1")), "another worker");
    assert!(!router.dispatch(&callback("00000000000000cd", "s-0")), "another request");
    assert!(subscription.callbacks.try_recv().is_err());
    assert!(router.dispatch(&callback(REQUEST_ID, "s-0")));
    assert!(subscription.callbacks.try_recv().is_ok());
    drop(subscription);
    assert!(!router.dispatch(&callback(REQUEST_ID, "s-0")), "the attempt has ended");
}

#[test]
fn a_callback_with_a_malformed_id_is_dropped() {
    assert!(CallbackRouter::default().dispatch(&callback("ab", "s-0")));
}

#[tokio::test(start_paused = true)]
async fn the_callback_that_ended_an_attempt_is_remembered_for_the_retry_window() {
    let router = CallbackRouter::default();
    router.subscribe(REQUEST, worker_id("s-0")).record_end_state(CallbackState::Lost);
    tokio::time::advance(CALLBACK_RETRY_WINDOW - Duration::from_millis(1)).await;
    let second = router.subscribe(REQUEST, worker_id("s-0"));
    assert!(second.ended_earlier_attempt(CallbackState::Lost));
    assert!(!second.ended_earlier_attempt(CallbackState::Failed));
    assert!(!router.subscribe(REQUEST, worker_id("s-1")).ended_earlier_attempt(CallbackState::Lost));
    drop(second);
    tokio::time::advance(Duration::from_millis(1)).await;
    assert!(!router.subscribe(REQUEST, worker_id("s-0")).ended_earlier_attempt(CallbackState::Lost));
}
