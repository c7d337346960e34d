//! Tests of the eviction order, which need no client connections.

use super::*;

/// All groups of connections, in the order in which the groups are evicted.
const GROUPS: [EvictionGroup; EvictionGroup::COUNT] = [
    EvictionGroup::Lingering,
    EvictionGroup::New,
    EvictionGroup::ReceivingRequest,
    EvictionGroup::IdleAfterOneResponse,
    EvictionGroup::IdleKeepAlive,
    EvictionGroup::IdleCallback,
    EvictionGroup::ReceivingCallback,
];

fn order_of(ranks: &[EvictionRank]) -> EvictionOrder {
    let mut order = EvictionOrder::default();
    for (id, rank) in (1..).zip(ranks) {
        order.update(id, None, Some(*rank));
    }
    order
}

#[test]
fn groups_are_evicted_in_order_and_the_oldest_connection_of_a_group_first() {
    let since = Instant::now();
    let younger = since + Duration::from_millis(1);
    let ranks: Vec<EvictionRank> = GROUPS
        .iter()
        .flat_map(|group| [younger, since].map(|since| EvictionRank { group: *group, since }))
        .collect();
    let mut order = order_of(&ranks);
    let now = younger + MIN_AGE;
    let mut evicted = Vec::new();
    while let Some(id) = order.next_to_evict(NewConnections::Protected, now) {
        order.update(id, Some(ranks[id as usize - 1]), None);
        evicted.push(id);
    }
    assert_eq!(evicted, [2, 1, 4, 3, 6, 5, 8, 7, 10, 9, 12, 11]);
}

/// Input that can be sent again is lost before idle connections, unless it has begun to arrive only now.
#[test]
fn incomplete_requests_are_evicted_for_memory_before_idle_connections() {
    let since = Instant::now();
    let ranks: Vec<EvictionRank> =
        GROUPS.iter().rev().map(|group| EvictionRank { group: *group, since }).collect();
    let evicted_at = |now| {
        let mut order = order_of(&ranks);
        let mut evicted = Vec::new();
        while let Some(id) = order.next_to_evict_for_memory(now) {
            let rank = ranks[id as usize - 1];
            order.update(id, Some(rank), None);
            evicted.push(rank.group);
        }
        evicted
    };
    let (receiving, callback) = (EvictionGroup::ReceivingRequest, EvictionGroup::ReceivingCallback);
    let idle =
        [EvictionGroup::IdleAfterOneResponse, EvictionGroup::IdleKeepAlive, EvictionGroup::IdleCallback];
    let [one_response, kept_alive, idle_callback] = idle;
    let all = [receiving, callback, EvictionGroup::New, one_response, kept_alive, idle_callback];
    assert_eq!(evicted_at(since + MIN_AGE), all);
    assert_eq!(evicted_at(since), idle);
}

#[test]
fn a_young_connection_is_evicted_only_for_another_new_connection() {
    let since = Instant::now();
    let order = order_of(&[EvictionRank { group: EvictionGroup::New, since }]);
    let eviction_at = since + MIN_AGE_FOR_NEW_CONNECTION;
    assert_eq!(order.next_new_connection_evictable_at(since), Some(eviction_at));
    assert_eq!(order.next_to_evict(NewConnections::Evictable, since), None);
    assert!(!order.can_evict(1, since));
    assert_eq!(order.next_to_evict(NewConnections::Evictable, eviction_at), Some(1));
    assert_eq!(order.next_to_evict(NewConnections::Protected, eviction_at), None);
    assert!(order.can_evict(1, eviction_at) && !order.can_evict(2, eviction_at));
    assert_eq!(order.next_new_connection_evictable_at(eviction_at), None);
    assert_eq!(order.next_to_evict(NewConnections::Protected, since + MIN_AGE), Some(1));
}
