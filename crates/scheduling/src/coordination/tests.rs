use super::*;
use crate::test_support::{settings, NOW};

fn coordinating_settings(scheduler_count: u32) -> Settings {
    let mut settings = Settings { scheduler_count, ..settings() };
    settings.limits.may_message_peers = true;
    settings.load_report_source = LoadReportSource::Never;
    settings
}

#[test]
fn schedulers_coordinate_only_if_messages_are_allowed_and_no_worker_reports_its_load() {
    assert!(is_enabled(&coordinating_settings(2)));
    assert!(!is_enabled(&coordinating_settings(1)));
    let reporting = Settings { load_report_source: LoadReportSource::Probes, ..coordinating_settings(2) };
    assert!(!is_enabled(&reporting));
    let mut isolated = coordinating_settings(2);
    isolated.limits.may_message_peers = false;
    assert!(!is_enabled(&isolated));
    assert_eq!(Coordinators::default().coordinator_of(NOW, WorkerId(1), &isolated), None);
}

#[test]
fn an_unresponsive_coordinator_is_replaced_for_a_while_and_other_coordinators_stay() {
    let settings = coordinating_settings(5);
    let mut coordinators = Coordinators::default();
    let coordinators_of_workers = |coordinators: &mut Coordinators, now| -> Vec<Option<SchedulerIndex>> {
        (0..100).map(|n| coordinators.coordinator_of(now, WorkerId(n), &settings)).collect()
    };
    let before = coordinators_of_workers(&mut coordinators, NOW);
    coordinators.mark_unresponsive(NOW, 3);
    let without = coordinators_of_workers(&mut coordinators, NOW);
    for (before, without) in before.iter().zip(&without) {
        assert!(*without != Some(3));
        assert!(before == without || *before == Some(3));
    }
    assert_eq!(coordinators_of_workers(&mut coordinators, NOW + UNRESPONSIVE_TIME), before);
    coordinators.mark_unresponsive(NOW, 3);
    coordinators.mark_responsive(3);
    assert_eq!(coordinators_of_workers(&mut coordinators, NOW), before);
}

#[test]
fn the_budget_share_is_equal_without_coordination_and_else_covers_all_responsive_schedulers() {
    let mut coordinators = Coordinators::default();
    assert_eq!(coordinators.budget_share(&Settings { scheduler_count: 4, ..settings() }), 0.25);
    assert_eq!(coordinators.budget_share(&coordinating_settings(4)), 1.0);
    coordinators.mark_unresponsive(NOW, 1);
    assert_eq!(coordinators.budget_share(&coordinating_settings(4)), 0.75);
}

#[test]
fn a_peer_s_attempt_is_counted_until_the_attempt_ends_or_is_too_old() {
    let mut occupancy = PeerOccupancy::default();
    occupancy.record_start(NOW, 1, 2.0);
    occupancy.record_start(NOW + 1, 2, 3.0);
    assert_eq!(occupancy.slots_in_flight(NOW + 1), 5.0);
    occupancy.record_end(1);
    occupancy.record_end(1);
    assert_eq!(occupancy.slots_in_flight(NOW + 1), 3.0);
    assert_eq!(occupancy.slots_in_flight(NOW + 1 + MAX_PEER_ATTEMPT_AGE), 0.0);
}

#[test]
fn a_reservation_lasts_until_the_peer_sends_an_attempt_or_the_reservation_expires() {
    let capacity = WarmingCapacity { slots: 2.0, work: 1e6 };
    let mut occupancy = PeerOccupancy::default();
    let mut reserve = |now, peer| occupancy.reserve(now, peer, 10, 0.0, &capacity);
    assert_eq!(reserve(NOW, 1), Some(0.0));
    assert_eq!(reserve(NOW, 2), Some(1.0));
    assert_eq!(reserve(NOW, 3), None, "both slots are reserved");
    assert_eq!(reserve(NOW, 2), Some(1.0), "a new query replaces the peer's earlier reservation");
    assert_eq!(reserve(NOW + QUERY_TIMEOUT, 3), Some(0.0));
    occupancy.record_start(NOW + QUERY_TIMEOUT, 3, 1.0);
    assert!(occupancy.reservations.is_empty());
}

#[test]
fn no_work_is_reserved_beyond_the_worker_s_remaining_capacity() {
    let reserve = |occupancy: &mut PeerOccupancy, peer, work| {
        occupancy.reserve(NOW, peer, 600, 0.0, &WarmingCapacity { slots: 9.0, work })
    };
    let mut occupancy = PeerOccupancy::default();
    assert_eq!(reserve(&mut occupancy, 1, -1.0), None, "too much work was sent to the worker already");
    assert!(reserve(&mut occupancy, 1, 1000.0).is_some());
    assert!(reserve(&mut occupancy, 2, 1000.0).is_some());
    assert_eq!(reserve(&mut occupancy, 3, 1000.0), None);
}
