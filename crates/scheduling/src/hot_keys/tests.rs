use super::*;

const SECOND: Micros = 1_000_000;
const TWENTY_WORKERS: FleetView = FleetView { ready_workers: 20, schedulers: 10, load_is_known: true };

#[test]
fn a_key_that_was_requested_once_goes_to_one_worker() {
    assert_eq!(HotKeys::default().record(SECOND, 1, &TWENTY_WORKERS), 1);
    let no_worker = FleetView { ready_workers: 0, ..TWENTY_WORKERS };
    assert_eq!(HotKeys::default().record(SECOND, 1, &no_worker), 1);
}

#[test]
fn a_key_that_makes_up_all_traffic_is_spread_over_half_of_the_workers() {
    let mut keys = HotKeys::default();
    let spread = (0..1000).map(|_| keys.record(SECOND, 1, &TWENTY_WORKERS)).last();
    assert_eq!(spread, Some(10));
}

#[test]
fn a_key_s_count_decays_when_later_traffic_has_other_keys() {
    let mut keys = HotKeys::default();
    (0..200).for_each(|_| _ = keys.record(SECOND, 1, &TWENTY_WORKERS));
    let later = SECOND + 10 * DECAY_TIME as Micros;
    (0..200).for_each(|key| _ = keys.record(later, 1000 + key, &TWENTY_WORKERS));
    assert_eq!(keys.record(later, 1, &TWENTY_WORKERS), 1);
}

#[test]
fn keys_whose_counts_have_decayed_below_one_are_removed_when_there_are_too_many_keys() {
    let mut keys = HotKeys::default();
    (0..MAX_KEYS as u64).for_each(|key| _ = keys.record(0, key, &TWENTY_WORKERS));
    keys.record(SECOND, 5, &TWENTY_WORKERS);
    keys.record(SECOND, u64::MAX, &TWENTY_WORKERS);
    assert_eq!(keys.keys.keys().copied().collect::<Vec<_>>(), [5, u64::MAX]);
}
