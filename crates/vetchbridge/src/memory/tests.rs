//! Tests of the memory budget.

use super::*;
use proptest::prelude::*;

const LIMIT: usize = 32 * MIB;

fn capacity(other_use: OtherMemoryUse) -> usize {
    let budget = MemoryBudget::new(LIMIT);
    budget.set_other_use(other_use);
    capacity_of(&budget)
}

fn capacity_of(budget: &MemoryBudget) -> usize {
    budget.capacity(&budget.lock())
}

/// The order in which owners are refused: input that may be sent again first, callbacks last.
#[test]
fn an_owner_is_refused_at_its_own_fill_and_gets_what_others_release() {
    let budget = MemoryBudget::new(LIMIT);
    let capacity = capacity(OtherMemoryUse::default());
    let mut fill = budget.reservation(MemoryOwner::Callbacks);
    for (percent, refused) in [(25, 1), (80, 2), (90, 4), (100, 6)] {
        fill.try_resize(capacity / 100 * percent).expect("the budget has room");
        let owners = [
            MemoryOwner::UnfinishedInput,
            MemoryOwner::Jobs,
            MemoryOwner::ClientConnections,
            MemoryOwner::WorkerResponses,
            MemoryOwner::Callbacks,
            MemoryOwner::Responses,
        ];
        let refusals = owners.map(|owner| budget.reservation(owner).try_resize(1).is_err());
        assert_eq!(refusals, std::array::from_fn(|owner| owner < refused), "{percent} percent");
    }
    drop(fill);
    assert_eq!(budget.reservation(MemoryOwner::UnfinishedInput).try_resize(1), Ok(()));
}

/// The processes of an upgrade share one limit, and the list of workers and the connections to workers count.
#[test]
fn other_use_takes_from_the_capacity_down_to_a_minimum() {
    let alone = capacity(OtherMemoryUse::default());
    assert!(alone + PROCESS_BYTES < LIMIT * 9 / 10);
    let upgrade = OtherMemoryUse { other_processes: 1, ..OtherMemoryUse::default() };
    assert!(2 * (capacity(upgrade) + PROCESS_BYTES) < LIMIT * 9 / 10);
    let budget = MemoryBudget::new(LIMIT);
    budget.set_other_use(OtherMemoryUse { workers: 1000, ..OtherMemoryUse::default() });
    let connections: Vec<_> = (0..100).map(|_| budget.hold_worker_connection()).collect();
    assert_eq!(capacity_of(&budget), alone - 1000 * WORKER_BYTES - 100 * WORKER_CONNECTION_BYTES);
    drop(connections);
    assert_eq!(capacity_of(&budget), alone - 1000 * WORKER_BYTES);
    let many = OtherMemoryUse { workers: 1_000_000, ..OtherMemoryUse::default() };
    assert_eq!(capacity(many), LIMIT / MIN_CAPACITY_DIVISOR);
    let tiny = MemoryBudget::new(0);
    assert_eq!(tiny.reservation(MemoryOwner::Jobs).try_resize(MIN_CAPACITY_BYTES / 2), Ok(()));
}

/// What happens to one of the reservations of a property test.
#[derive(Clone, Debug)]
enum Step {
    TryResize(usize),
    Resize(usize),
    SetOwner(MemoryOwner),
    SplitOff(usize),
    Drop,
}

fn step() -> impl Strategy<Value = Step> {
    let owner = prop_oneof![
        Just(MemoryOwner::UnfinishedInput),
        Just(MemoryOwner::ClientConnections),
        Just(MemoryOwner::Jobs),
        Just(MemoryOwner::Callbacks),
        Just(MemoryOwner::Responses),
        Just(MemoryOwner::WorkerResponses),
    ];
    prop_oneof![
        (0..LIMIT).prop_map(Step::TryResize),
        (0..LIMIT).prop_map(Step::Resize),
        owner.prop_map(Step::SetOwner),
        (0..LIMIT).prop_map(Step::SplitOff),
        Just(Step::Drop),
    ]
}

proptest! {
    /// The budget counts exactly what its reservations hold, for each owner, and a reservation that asks never
    /// takes it beyond its capacity.
    #[test]
    fn the_budget_counts_what_is_held(steps in prop::collection::vec((0..4_usize, step()), 0..60)) {
        let budget = MemoryBudget::new(LIMIT);
        let mut reservations: Vec<_> = (0..4).map(|_| budget.reservation(MemoryOwner::Jobs)).collect();
        for (index, step) in steps {
            let held: usize = reservations.iter().map(MemoryReservation::bytes).sum();
            let before = reservations[index].bytes();
            match step {
                Step::TryResize(bytes) => {
                    let is_resized = reservations[index].try_resize(bytes).is_ok();
                    prop_assert_eq!(reservations[index].bytes(), if is_resized { bytes } else { before });
                    let fits = held - before + bytes <= capacity(OtherMemoryUse::default());
                    prop_assert!(fits || bytes <= before || !is_resized);
                }
                Step::Resize(bytes) => reservations[index].resize(bytes),
                Step::SetOwner(owner) => reservations[index].set_owner(owner),
                Step::SplitOff(bytes) => {
                    let part = reservations[index].split_off(bytes);
                    prop_assert_eq!(part.bytes() + reservations[index].bytes(), before);
                    reservations.push(part);
                }
                Step::Drop => reservations[index] = budget.reservation(MemoryOwner::Jobs),
            }
            for owner in [MemoryOwner::Jobs, MemoryOwner::Callbacks, MemoryOwner::UnfinishedInput] {
                let of_owner = reservations.iter().filter(|reservation| reservation.owner() == owner);
                prop_assert_eq!(budget.used(owner), of_owner.map(MemoryReservation::bytes).sum::<usize>());
            }
        }
    }
}
