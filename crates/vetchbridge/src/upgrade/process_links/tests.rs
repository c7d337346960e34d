//! Tests of the state that other processes of a scheduler report, and of forwarding callbacks to these
//! processes.

use super::*;
use crate::workers::CallbackState;

fn callback() -> Callback {
    let (id, worker) = ("00000000000000ab".to_string(), "s-0".to_string());
    Callback { id, worker, state: CallbackState::Started, fraction: 0.0, result: String::new(), load: None }
}

/// Removing a link drops the reported state of the process at the other end; removing the successor's link
/// also means that this process has no successor any more.
#[test]
fn removing_a_link_drops_the_requests_and_connections_of_its_process() {
    let process_links = ProcessLinks::default();
    let ((old, _old_queue), (new, _new_queue)) = (Link::new(true), Link::new(true));
    process_links.add(old.clone());
    process_links.add(new.clone());
    process_links.set_successor(new.clone());
    for (link, message) in [
        (&old, HandoverMessage::RequestOpened(1)),
        (&old, HandoverMessage::RequestOpened(2)),
        (&old, HandoverMessage::RequestClosed(1)),
        (&old, HandoverMessage::ConnectionCount(5)),
        (&old, HandoverMessage::ClientConnection { is_kept_alive: true }),
        (&new, HandoverMessage::ConnectionCount(3)),
    ] {
        link.record(&message);
    }
    assert_eq!(
        (
            process_links.has_open_request(RequestId(1)),
            process_links.has_open_request(RequestId(2)),
            process_links.connection_count()
        ),
        (false, true, 7)
    );
    process_links.remove(&old);
    assert_eq!(
        (
            process_links.has_open_request(RequestId(2)),
            process_links.connection_count(),
            process_links.has_successor()
        ),
        (false, 3, true)
    );
    process_links.remove(&new);
    assert_eq!((process_links.connection_count(), process_links.has_successor()), (0, false));
    assert!(process_links.is_remembered(RequestId(2)), "the job of the other process may have run");
    assert!(!process_links.is_remembered(RequestId(1)));
}

/// Guards against a request that both processes of an upgrade send, because the message that one of them has
/// opened it is still under way. A process that hangs, or that does not know the message, is not waited for.
#[tokio::test(start_paused = true)]
async fn a_synchronization_ends_after_the_earlier_messages_of_the_other_process() {
    let process_links = ProcessLinks::default();
    let (link, mut queue) = Link::new(true);
    process_links.add(link.clone());
    let other_process = async {
        let envelope = queue.recv().await.expect("a message");
        let HandoverMessage::Sync(number) = envelope.message else { panic!("{envelope:?}") };
        assert!(!process_links.has_open_request(RequestId(1)));
        link.record(&HandoverMessage::RequestOpened(1));
        link.record(&HandoverMessage::SyncReply(number));
    };
    let started_at = Instant::now();
    tokio::join!(process_links.synchronize(), other_process);
    assert!(process_links.has_open_request(RequestId(1)));
    assert_eq!(started_at.elapsed(), Duration::ZERO);
    process_links.synchronize().await;
    assert_eq!(started_at.elapsed(), SYNC_TIMEOUT);
    let (old_version, mut queue) = Link::new(false);
    process_links.remove(&link);
    process_links.add(old_version);
    process_links.synchronize().await;
    assert_eq!(started_at.elapsed(), SYNC_TIMEOUT);
    assert!(queue.try_recv().is_err(), "an older version gets no message that it does not know");
}

/// A callback is forwarded to each process except the process that sent it. A process that hangs delays the
/// forwarding only until the time limit; a process that has ended does not delay it.
#[tokio::test(start_paused = true)]
async fn a_callback_is_forwarded_to_each_other_process_in_turn() {
    let process_links = ProcessLinks::default();
    assert_eq!(
        process_links.forward(&callback(), None).await,
        ForwardOutcome::Unknown,
        "there is no other process"
    );
    let links: Vec<_> = (0..4).map(|_| Link::new(true)).collect();
    let mut queues = Vec::new();
    for (link, queue) in links {
        process_links.add(link.clone());
        queues.push((link, Some(queue)));
    }
    // The first process has ended, the second process hangs, the third process sent the callback, and the
    // fourth process has the callback's attempt.
    queues[0].1 = None;
    let (with_attempt, mut forwarded) = (queues[3].0.clone(), queues[3].1.take().expect("a queue"));
    let replying = async {
        while let Some(envelope) = forwarded.recv().await {
            if let HandoverMessage::ForwardedCallback { number, .. } = envelope.message {
                return with_attempt.record(&HandoverMessage::CallbackReply { number, known: true });
            }
        }
    };
    let callback = callback();
    let (known, ()) = tokio::join!(process_links.forward(&callback, Some(&queues[2].0)), replying);
    assert_eq!(known, ForwardOutcome::Known);
    assert!(
        queues[2].1.as_mut().expect("a queue").try_recv().is_err(),
        "the callback is not sent back to the third process"
    );
    // In this second round, the fourth process sent the callback; the second process may have the attempt and
    // does not reply.
    let outcome = process_links.forward(&callback, Some(&queues[3].0)).await;
    assert_eq!(outcome, ForwardOutcome::NoReply, "no reply from the second process");
}
