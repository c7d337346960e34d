use super::*;
use crate::test_support::{rules, NOW};

const SECOND: Micros = 1_000_000;

#[test]
fn a_worker_warms_up_from_the_floor_to_its_full_capacity() {
    let fraction = |age| warm_up_fraction(Some(NOW - age), NOW, &rules());
    assert_eq!(fraction(0), 0.25);
    assert_eq!(fraction(5 * SECOND), 0.625);
    assert_eq!(fraction(10 * SECOND), 1.0);
    assert_eq!(fraction(60 * SECOND), 1.0);
    assert_eq!(warm_up_fraction(None, NOW, &rules()), 1.0, "started long ago");
    let without_slow_start = Rules { slow_start_time: 0, ..rules() };
    assert_eq!(warm_up_fraction(Some(NOW), NOW, &without_slow_start), 1.0);
}

#[test]
fn half_of_the_slots_are_usable_at_first_and_all_slots_from_a_warm_up_fraction_of_one_half() {
    assert_eq!(usable_slot_fraction(0.0), 0.5);
    assert_eq!(usable_slot_fraction(0.25), 0.75);
    assert_eq!(usable_slot_fraction(0.5), 1.0);
    assert_eq!(usable_slot_fraction(1.0), 1.0);
}

#[test]
fn a_listed_start_is_limited_to_the_time_between_the_last_response_and_now() {
    let mut bounds = StartBounds::default();
    assert_eq!(bounds.started_at(NOW, 0), None, "started long ago");
    assert_eq!(
        bounds.started_at(NOW, NOW - 50 * SECOND),
        Some(NOW - 50 * SECOND),
        "discovery has not responded yet"
    );
    assert_eq!(bounds.started_at(NOW, NOW + SECOND), Some(NOW));
    bounds.record_response(NOW - 2 * SECOND);
    assert_eq!(bounds.started_at(NOW, NOW - SECOND), Some(NOW - SECOND));
    assert_eq!(bounds.started_at(NOW, NOW - 4 * SECOND), Some(NOW - 2 * SECOND), "the notification is late");
    assert_eq!(
        bounds.started_at(NOW, NOW - 60 * SECOND),
        Some(NOW),
        "the clock of the listed start was stepped back"
    );
}

#[test]
fn charged_work_drains_at_the_sustained_rate_until_the_bucket_is_empty() {
    let (rate, overload_time) = (3.0, SECOND);
    let mut budget = WorkBudget::default();
    let empty = budget.remaining(NOW, rate, overload_time);
    assert!(
        (empty - 0.6e6).abs() < 1.0,
        "should be a fifth of the work that overloads the worker within the overload time, but is {empty}"
    );
    budget.charge(NOW, rate, SECOND);
    assert_eq!(budget.remaining(NOW, rate, overload_time), empty - 1e6);
    let later = budget.remaining(NOW + SECOND / 10, rate, overload_time);
    assert!((later - (empty - 1e6 + 0.18e6)).abs() < 1.0, "{later}");
    assert_eq!(budget.remaining(NOW + 60 * SECOND, rate, overload_time), empty);
}
