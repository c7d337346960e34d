use super::*;
use crate::events::Endpoint;
use crate::ids::WorkerId;

fn workers(weights: &[f64]) -> Vec<Worker> {
    let worker = |(n, weight): (u64, &f64)| {
        Worker::new(Endpoint { worker: WorkerId(n), ..Endpoint::default() }, *weight, None)
    };
    (1..).zip(weights).map(worker).collect()
}

fn ring_of(workers: &mut [Worker]) -> Ring {
    let mut ring = Ring::default();
    ring.place_points(workers, (0..workers.len()).collect());
    ring
}

#[test]
fn iteration_starts_at_the_position_goes_clockwise_and_visits_every_point_once() {
    let ring = ring_of(&mut workers(&[1.0; 3]));
    for position in [0, 1 << 62, u64::MAX] {
        let positions: Vec<u64> = ring.clockwise_from(position).map(|point| point.position).collect();
        assert_eq!(positions.len(), 3 * 96);
        let wraps = positions.windows(2).filter(|pair| pair[0] > pair[1]).count();
        assert!(wraps <= 1, "positions ascend except where the ring wraps around");
        assert!(positions[0] >= position || wraps == 0);
    }
}

#[test]
fn the_number_of_points_is_proportional_to_weight_up_to_a_maximum() {
    let mut fleet = workers(&[1.0, 1.0, 1.0, 1.0, 0.5, 1.5, 100.0, 0.001]);
    let mut ring = Ring { weight_scale: 1.0, ..Ring::default() };
    ring.place_points(&mut fleet[..6], (0..6).collect());
    assert_eq!([fleet[0].points, fleet[4].points, fleet[5].points], [96, 48, 144]);
    let mut ring = Ring { weight_scale: 16.0, ..Ring::default() };
    ring.place_points(&mut fleet, (0..8).collect());
    assert_eq!([fleet[6].points, fleet[7].points], [600, 1]);
    let mut ring = Ring { weight_scale: 8.0, ..Ring::default() };
    ring.place_points(&mut fleet, (0..8).collect());
    assert_eq!(
        fleet[6].points,
        96 * 8,
        "the mean is within the tolerance, and the weight 100 exceeds the maximum"
    );
}

#[test]
fn resizing_a_worker_moves_no_point_of_another_worker() {
    let mut fleet = workers(&[1.0; 4]);
    let mut ring = ring_of(&mut fleet);
    let points_of_others = |ring: &Ring| -> Vec<Point> {
        ring.clockwise_from(0).filter(|point| point.worker_index() != 2).collect()
    };
    let before = points_of_others(&ring);
    fleet[2].weight = 2.0;
    ring.place_points(&mut fleet, vec![2]);
    assert_eq!(points_of_others(&ring), before);
    assert_eq!(fleet[2].points, 192);
}

#[test]
fn the_order_in_which_workers_were_added_does_not_change_the_iteration_order() {
    let mut forward = workers(&[1.0, 1.0, 2.0, 1.0]);
    let mut backward = workers(&[1.0, 1.0, 2.0, 1.0]);
    backward.reverse();
    let (forward_ring, backward_ring) = (ring_of(&mut forward), ring_of(&mut backward));
    let worker_order = |ring: &Ring, workers: &[Worker]| -> Vec<WorkerId> {
        ring.clockwise_from(7).map(|point| workers[point.worker_index()].endpoint.worker).collect()
    };
    assert_eq!(worker_order(&forward_ring, &forward), worker_order(&backward_ring, &backward));
}

#[test]
fn the_active_points_of_a_warming_worker_are_proportional_to_its_warm_up_fraction() {
    let ring = ring_of(&mut workers(&[1.0]));
    for (fraction, active) in [(0.0, 0), (0.25, 24), (0.5, 48), (1.0, 96)] {
        assert_eq!(ring.clockwise_from(0).filter(|point| point.is_active(fraction, 96)).count(), active);
    }
}
