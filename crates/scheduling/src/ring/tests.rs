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
fn the_walk_starts_at_the_place_goes_clockwise_and_sees_every_point_once() {
    let ring = ring_of(&mut workers(&[1.0; 3]));
    for place in [0, 1 << 62, u64::MAX] {
        let places: Vec<u64> = ring.clockwise_from(place).map(|point| point.position).collect();
        assert_eq!(places.len(), 3 * 96);
        let wraps = places.windows(2).filter(|pair| pair[0] > pair[1]).count();
        assert!(wraps <= 1, "ascending but for the wrap");
        assert!(places[0] >= place || wraps == 0);
    }
}

#[test]
fn points_are_in_proportion_to_weight_up_to_a_maximum() {
    let mut all = workers(&[1.0, 1.0, 1.0, 1.0, 0.5, 1.5, 100.0, 0.001]);
    let mut ring = Ring { weight_scale: 1.0, ..Ring::default() };
    ring.place_points(&mut all[..6], (0..6).collect());
    assert_eq!([all[0].points, all[4].points, all[5].points], [96, 48, 144]);
    let mut ring = Ring { weight_scale: 16.0, ..Ring::default() };
    ring.place_points(&mut all, (0..8).collect());
    assert_eq!([all[6].points, all[7].points], [600, 1]);
    let mut ring = Ring { weight_scale: 8.0, ..Ring::default() };
    ring.place_points(&mut all, (0..8).collect());
    assert_eq!(all[6].points, 96 * 8, "the mean is within the tolerance, 100 is above the maximum");
}

#[test]
fn a_resized_worker_moves_no_point_of_another() {
    let mut all = workers(&[1.0; 4]);
    let mut ring = ring_of(&mut all);
    let others = |ring: &Ring| -> Vec<Point> {
        ring.clockwise_from(0).filter(|point| point.worker_index() != 2).collect()
    };
    let before = others(&ring);
    all[2].weight = 2.0;
    ring.place_points(&mut all, vec![2]);
    assert_eq!(others(&ring), before);
    assert_eq!(all[2].points, 192);
}

#[test]
fn the_order_in_which_workers_came_does_not_change_the_walk() {
    let mut forward = workers(&[1.0, 1.0, 2.0, 1.0]);
    let mut backward = workers(&[1.0, 1.0, 2.0, 1.0]);
    backward.reverse();
    let (one, other) = (ring_of(&mut forward), ring_of(&mut backward));
    let walk = |ring: &Ring, workers: &[Worker]| -> Vec<WorkerId> {
        ring.clockwise_from(7).map(|point| workers[point.worker_index()].endpoint.worker).collect()
    };
    assert_eq!(walk(&one, &forward), walk(&other, &backward));
}

#[test]
fn a_worker_that_warms_up_has_as_many_active_points_as_it_is_warm() {
    let ring = ring_of(&mut workers(&[1.0]));
    for (fraction, active) in [(0.0, 0), (0.25, 24), (0.5, 48), (1.0, 96)] {
        assert_eq!(ring.clockwise_from(0).filter(|point| point.is_active(fraction, 96)).count(), active);
    }
}
