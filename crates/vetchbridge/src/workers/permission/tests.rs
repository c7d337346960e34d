use super::*;
use rstest::rstest;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

/// Returns the send permission of a request whose first byte must be written within one second.
fn permission(availability: Availability, concluded: bool) -> SendPermission {
    let availability = watch::Sender::new(availability).subscribe();
    let concluded = Arc::new(AtomicBool::new(concluded));
    SendPermission::while_available(availability).until(Instant::now() + SECOND, concluded)
}

#[rstest]
#[case::ready(Availability::Ready, false, Ok(()))]
#[case::draining(Availability::Draining, false, Err(SendDenied::WorkerDraining))]
#[case::replaced(Availability::Replaced, false, Err(SendDenied::WorkerReplaced))]
#[case::concluded(Availability::Ready, true, Err(SendDenied::RequestConcluded))]
#[tokio::test(start_paused = true)]
async fn a_request_may_be_sent_while_its_worker_is_ready_and_its_client_waits(
    #[case] availability: Availability,
    #[case] concluded: bool,
    #[case] expected: Result<(), SendDenied>,
) {
    assert_eq!(permission(availability, concluded).check(), expected);
}

#[tokio::test(start_paused = true)]
async fn a_request_may_be_sent_until_the_deadline_of_its_first_byte() {
    let permission = permission(Availability::Ready, false);
    tokio::time::advance(SECOND - Duration::from_millis(1)).await;
    assert_eq!(permission.check(), Ok(()));
    tokio::time::advance(Duration::from_millis(1)).await;
    assert_eq!(permission.check(), Err(SendDenied::DeadlinePassed));
}

#[tokio::test(start_paused = true)]
async fn check_request_ignores_the_availability_of_the_worker() {
    assert_eq!(permission(Availability::Draining, false).check_request(), Ok(()));
    assert_eq!(permission(Availability::Replaced, true).check_request(), Err(SendDenied::RequestConcluded));
}

/// Guards against attempts by a list that has long been replaced: discovery may take long to write an answer.
#[tokio::test(start_paused = true)]
async fn a_request_may_be_sent_until_the_endpoint_list_expires() {
    let expiry = ListExpiry::default();
    let permission = permission(Availability::Ready, false).while_list_is_current(expiry.clone());
    expiry.set(Some(Instant::now() + SECOND / 2));
    assert_eq!(permission.check(), Ok(()));
    tokio::time::advance(SECOND / 2).await;
    assert_eq!(permission.check(), Err(SendDenied::ListOutdated));
    expiry.set(None);
    assert_eq!(permission.check(), Ok(()));
}
