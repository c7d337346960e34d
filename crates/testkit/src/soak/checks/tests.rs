use super::*;
use vetchbridge_testbed::arrivals::{Arrival, Idempotency};
use vetchbridge_testbed::client::{Attempt, Outcome};

const WORKER: &str = "fast-1";

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn fault(kind: FaultKind, started: f64, ended: f64) -> InjectedFault {
    InjectedFault { kind, target: WORKER.to_string(), started: seconds(started), ended: seconds(ended) }
}

fn arrival(id: u64, at: f64, expires_in: f64) -> AttemptArrival {
    AttemptArrival { id, worker: WORKER.to_string(), at: seconds(at), expires_in: Some(seconds(expires_in)) }
}

fn class() -> ClassLoad {
    ClassLoad {
        name: "position".to_string(),
        share: 1.0,
        priority_weight: 1.0,
        work: Duration::ZERO,
        spread: 0.0,
        latency_objective: Duration::ZERO,
        objective_per_work: 0.0,
        deadline: seconds(3.0),
        idempotency: Idempotency::Idempotent,
        objects: 1,
        zipf: 0.0,
        slots: 1,
    }
}

fn job(id: u64, at: f64) -> JobRecord {
    let arrival = Arrival {
        job: 0,
        at: seconds(at),
        class: 0,
        object: String::new(),
        work: Duration::ZERO,
        tenant: None,
        hint: None,
        id_seed: 0,
    };
    let attempt =
        Attempt { id, sent: seconds(at), resent: None, ended: seconds(at + 1.0), outcome: Outcome::Rejected };
    JobRecord { arrival, key: None, attempts: vec![attempt] }
}

fn check(
    faults: &[InjectedFault],
    arrivals: &[AttemptArrival],
    disconnected: &[DisconnectedClient],
    stalled: &[StalledClient],
    log: &str,
) -> Vec<InvariantViolation> {
    let evidence = Evidence {
        faults,
        arrivals,
        jobs: &[job(1, 10.0)],
        classes: &[class()],
        disconnected,
        stalled,
        logs: &[log.to_string()],
        publication_delay: Duration::ZERO,
    };
    check_all(&evidence)
}

/// Each check of the soak test's invariants reports a violation for evidence just beyond the check's limit,
/// and none for evidence just within the limit.
#[test]
fn each_check_finds_its_violation_and_nothing_else() {
    let drain = fault(FaultKind::WorkerDrain, 10.0, 23.0);
    let outage = fault(FaultKind::DiscoveryError, 12.0, 14.0);
    let attempt_at = |faults: &[InjectedFault], at: f64| check(faults, &[arrival(9, at, 1.0)], &[], &[], "");
    let drain_only = std::slice::from_ref(&drain);
    assert!(attempt_at(drain_only, 16.8).is_empty());
    assert!(matches!(attempt_at(drain_only, 17.0)[..], [InvariantViolation::AttemptWhileDraining { .. }]));
    assert!(attempt_at(&[drain.clone(), outage.clone()], 20.8).is_empty());
    assert!(matches!(
        attempt_at(&[drain.clone(), outage], 21.0)[..],
        [InvariantViolation::AttemptWhileDraining { .. }]
    ));
    assert!(attempt_at(drain_only, 23.1).is_empty());

    let disconnected = [DisconnectedClient { request_id: 9, closed_at: seconds(5.0) }];
    assert!(check(&[], &[arrival(9, 5.4, 1.0)], &disconnected, &[], "").is_empty());
    assert!(matches!(
        check(&[], &[arrival(9, 5.6, 1.0)], &disconnected, &[], "")[..],
        [InvariantViolation::AttemptAfterDisconnect { .. }]
    ));

    assert!(check(&[], &[arrival(1, 11.0, 2.3)], &[], &[], "").is_empty());
    assert!(matches!(
        check(&[], &[arrival(1, 11.0, 2.5)], &[], &[], "")[..],
        [InvariantViolation::ExpiryAfterDeadline { .. }]
    ));

    let stalled =
        |after: Option<f64>| [StalledClient { stalled_at: seconds(1.0), ended_after: after.map(seconds) }];
    assert!(check(&[], &[], &[], &stalled(Some(3.3)), "").is_empty());
    assert!(matches!(
        check(&[], &[], &[], &stalled(Some(3.5)), "")[..],
        [InvariantViolation::StalledClientKept(_)]
    ));
    assert!(matches!(
        check(&[], &[], &[], &stalled(None), "")[..],
        [InvariantViolation::StalledClientKept(_)]
    ));

    assert!(check(&[], &[], &[], &[], "INFO daemon.stopped violations=0").is_empty());
    let log =
        "ERROR invariant.violated invariant=NonIdempotentJobSentOnce request=1\nthread 'main' panicked at src/x.rs";
    assert!(matches!(
        check(&[], &[], &[], &[], log)[..],
        [InvariantViolation::LoggedError { .. }, InvariantViolation::LoggedError { .. }]
    ));
}
