use super::*;
use vetchbridge_testbed::arrivals::{Arrival, Idempotency};
use vetchbridge_testbed::client::{Attempt, Outcome};

const WORKER: &str = "fast-1";

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn episode(kind: TroubleKind, from: f64, until: f64) -> Episode {
    Episode { kind, whom: WORKER.to_string(), from: seconds(from), until: seconds(until) }
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
        salt: 0,
    };
    let one =
        Attempt { id, sent: seconds(at), resent: None, ended: seconds(at + 1.0), outcome: Outcome::Rejected };
    JobRecord { arrival, key: None, attempts: vec![one] }
}

fn judged(
    episodes: &[Episode],
    arrivals: &[AttemptArrival],
    departures: &[Departure],
    stayed: &[Stayed],
    log: &str,
) -> Vec<Broken> {
    let evidence = Evidence {
        episodes,
        arrivals,
        jobs: &[job(1, 10.0)],
        classes: &[class()],
        departures,
        stayed,
        logs: &[log.to_string()],
        discovery_lateness: Duration::ZERO,
    };
    all(&evidence)
}

/// Each check finds what is planted for it, and lets pass what stands just inside the promise.
#[test]
fn each_check_finds_its_planted_fault_and_nothing_else() {
    let drain = episode(TroubleKind::WorkerDrains, 10.0, 23.0);
    let outage = episode(TroubleKind::ListRefuses, 12.0, 14.0);
    let drained = |episodes: &[Episode], at: f64| judged(episodes, &[arrival(9, at, 1.0)], &[], &[], "");
    let alone = std::slice::from_ref(&drain);
    assert!(drained(alone, 16.8).is_empty());
    assert!(matches!(drained(alone, 17.0)[..], [Broken::Drained(_)]));
    assert!(drained(&[drain.clone(), outage.clone()], 20.8).is_empty());
    assert!(matches!(drained(&[drain.clone(), outage], 21.0)[..], [Broken::Drained(_)]));
    assert!(drained(alone, 23.1).is_empty());

    let left = [Departure { id: 9, closed: seconds(5.0) }];
    assert!(judged(&[], &[arrival(9, 5.4, 1.0)], &left, &[], "").is_empty());
    assert!(matches!(judged(&[], &[arrival(9, 5.6, 1.0)], &left, &[], "")[..], [Broken::ClientGone(_)]));

    assert!(judged(&[], &[arrival(1, 11.0, 2.3)], &[], &[], "").is_empty());
    assert!(matches!(judged(&[], &[arrival(1, 11.0, 2.5)], &[], &[], "")[..], [Broken::Expiry(_)]));

    let stayed = |after: Option<f64>| [Stayed { since: seconds(1.0), ended_after: after.map(seconds) }];
    assert!(judged(&[], &[], &[], &stayed(Some(3.3)), "").is_empty());
    assert!(matches!(judged(&[], &[], &[], &stayed(Some(3.5)), "")[..], [Broken::Stopped(_)]));
    assert!(matches!(judged(&[], &[], &[], &stayed(None), "")[..], [Broken::Stopped(_)]));

    assert!(judged(&[], &[], &[], &[], "INFO daemon.stopped violations=0").is_empty());
    let log =
        "ERROR invariant.violated invariant=NonIdempotentJobSentOnce request=1\nthread 'main' panicked at src/x.rs";
    assert!(matches!(judged(&[], &[], &[], &[], log)[..], [Broken::Log(_), Broken::Log(_)]));
}
