//! Tests the arrivals that are drawn from a seeded load: their distributions, their reproducibility, and the
//! errors for an invalid specification of a load.
#![allow(missing_docs)]

use std::time::Duration;
use vetchbridge_testbed::arrivals::{Arrival, Arrivals, ClassLoad, Idempotency, LoadSpec, TenantLoad};

/// Returns a load of 50 jobs per second with two classes, two tenants, and hints that equal the jobs' work.
fn spec() -> LoadSpec {
    let class = |name: &str, share, work_ms| ClassLoad {
        name: name.to_string(),
        share,
        priority_weight: 1.0,
        work: Duration::from_millis(work_ms),
        spread: 0.5,
        latency_objective: Duration::from_millis(200),
        objective_per_work: 2.0,
        deadline: Duration::from_secs(5),
        idempotency: Idempotency::Idempotent,
        objects: 100,
        zipf: 1.0,
        slots: 1,
    };
    let classes = vec![class("a", 3.0, 200), class("b", 1.0, 800)];
    let tenant = |name: &str, share| TenantLoad { name: name.to_string(), share };
    LoadSpec {
        seed: 7,
        rate: 50.0,
        classes,
        tenants: vec![tenant("x", 4.0), tenant("y", 1.0)],
        hint_spread: Some(0.0),
        retry_after_share: 1.0,
        marks_retries: true,
        max_retries: 0,
        retry_delay: Duration::ZERO,
    }
}

#[test]
fn a_load_has_the_configured_distributions_and_equal_seeds_yield_equal_loads() {
    let drawn: Vec<Arrival> = Arrivals::new(&spec()).expect("the load is valid").take(20_000).collect();
    assert_eq!(drawn, Arrivals::new(&spec()).expect("the load is valid").take(20_000).collect::<Vec<_>>());
    let rate = 20_000.0 / drawn[19_999].at.as_secs_f64();
    assert!((48.0..52.0).contains(&rate), "{rate}");
    let work_of_b: Vec<f64> = drawn.iter().filter(|a| a.class == 1).map(|a| a.work.as_secs_f64()).collect();
    assert!((0.24..0.26).contains(&(work_of_b.len() as f64 / 20_000.0)), "{}", work_of_b.len());
    let mean = work_of_b.iter().sum::<f64>() / work_of_b.len() as f64;
    assert!((0.77..0.83).contains(&mean), "{mean}");
    let hottest_share = drawn.iter().filter(|a| a.object == "a-1").count() as f64 / 15_000.0;
    let share_of_y = drawn.iter().filter(|a| a.tenant == Some(1)).count() as f64 / 20_000.0;
    assert!((0.19..0.21).contains(&share_of_y), "{share_of_y}");
    assert!(drawn.iter().all(|a| a.hint == Some(a.work)), "hints without a spread equal the work");
    assert!(
        (0.17..0.22).contains(&hottest_share),
        "the Zipf share of the first of 100 objects is 1/H(100) = 0.19: {hottest_share}"
    );
}

#[test]
fn a_change_to_one_distribution_does_not_change_the_draws_of_the_others() {
    let mut other = spec();
    other.classes[0].spread = 0.1;
    other.classes[0].zipf = 0.5;
    other.tenants.clear();
    other.hint_spread = Some(0.3);
    let times = |spec: &LoadSpec| {
        Arrivals::new(spec).expect("the load is valid").take(500).map(|a| (a.at, a.class)).collect::<Vec<_>>()
    };
    assert_eq!(times(&spec()), times(&other));
}

#[test]
fn an_invalid_load_is_rejected_with_the_name_of_the_invalid_field() {
    let rejected_field = |change: fn(&mut LoadSpec)| {
        let mut spec = spec();
        change(&mut spec);
        Arrivals::new(&spec).err().map(|error| error.key)
    };
    assert_eq!(rejected_field(|s| s.rate = 0.0).as_deref(), Some("rate"));
    assert_eq!(rejected_field(|s| s.rate = f64::NAN).as_deref(), Some("rate"));
    assert_eq!(rejected_field(|s| s.classes.clear()).as_deref(), Some("classes"));
    assert_eq!(rejected_field(|s| s.classes[0].share = -1.0).as_deref(), Some("share"));
    assert_eq!(rejected_field(|s| s.classes[1].spread = -1.0).as_deref(), Some("b.spread"));
    assert_eq!(rejected_field(|s| s.classes[1].zipf = -1.0).as_deref(), Some("b.zipf"));
    assert_eq!(rejected_field(|s| s.tenants[0].share = -1.0).as_deref(), Some("tenant"));
    assert_eq!(rejected_field(|s| s.hint_spread = Some(-1.0)).as_deref(), Some("hint_spread"));
}
