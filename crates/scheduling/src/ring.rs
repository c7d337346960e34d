//! The consistent-hashing ring, on which every worker has virtual points in proportion to its weight.

use crate::hash::mix;
use crate::worker::Worker;
use std::collections::BTreeSet;
use std::ops::RangeInclusive;

/// Number of virtual points on the ring of a worker of mean weight. With 96 points, each worker's part of the
/// ring differs from its fair share by at most about a tenth.
const POINTS_PER_MEAN_WEIGHT: f64 = 96.0;
/// Maximum number of virtual points of a worker, as a multiple of [`POINTS_PER_MEAN_WEIGHT`]. Without the
/// maximum, a worker with an absurdly large weight would take over the ring.
const MAX_POINTS_FACTOR: f64 = 8.0;
/// Range of the workers' mean weight divided by the weight scale of the ring. The ring keeps its weight scale
/// while the quotient is within this range.
const SCALE_TOLERANCE: RangeInclusive<f64> = 0.5..=2.0;
/// Salt in the hash of a virtual point, so that points are hashed differently from keys.
const POINT_SALT: u64 = 0x5350;

/// A virtual point of a worker on the ring.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Point {
    /// The point's position on the ring.
    position: u64,
    /// Index of the point's worker in the fleet.
    worker: u32,
    /// Number of the point among the virtual points of its worker, from 0.
    number: u32,
}

impl Point {
    /// Returns the index of the point's worker in the fleet.
    pub(crate) fn worker_index(self) -> usize {
        self.worker as usize
    }

    /// Whether this point takes part in the choice of a worker, given the warm-up fraction and the number of
    /// points of its worker. A warming worker has a part of its points active; all schedulers compute the
    /// same active points without exchanging messages.
    pub(crate) fn is_active(self, warm_up_fraction: f64, worker_points: u32) -> bool {
        warm_up_fraction >= 1.0 || f64::from(self.number) < warm_up_fraction * f64::from(worker_points)
    }
}

/// The consistent-hashing ring: the virtual points of all workers, sorted by position.
#[derive(Default)]
pub(crate) struct Ring {
    points: Vec<Point>,
    /// Weight of a worker that gets [`POINTS_PER_MEAN_WEIGHT`] points; 0 before the first worker is added.
    /// The weight scale is a power of two near the workers' mean weight, so that all schedulers agree on its
    /// value.
    weight_scale: f64,
}

impl Ring {
    /// Places the points of workers that are new or whose weight has changed; `changed` holds the indices of
    /// these workers. The points of all other workers stay, unless the mean weight divided by the weight
    /// scale has left [`SCALE_TOLERANCE`]: the points of all workers are then placed anew.
    pub(crate) fn place_points(&mut self, workers: &mut [Worker], mut changed: Vec<usize>) {
        if changed.is_empty() {
            return;
        }
        let mean = workers.iter().map(|worker| worker.weight).sum::<f64>() / workers.len() as f64;
        if self.weight_scale == 0.0 || !SCALE_TOLERANCE.contains(&(mean / self.weight_scale)) {
            self.weight_scale = mean.log2().round().exp2();
            changed = (0..workers.len()).collect();
            self.points.clear();
        }
        let moved: BTreeSet<u32> = changed.iter().map(|index| *index as u32).collect();
        self.points.retain(|point| !moved.contains(&point.worker));
        for index in changed {
            self.add_points(index, &mut workers[index]);
        }
        self.points.sort_by_key(|point| (point.position, point.worker));
    }

    /// Places the points of all workers anew, after the workers' indices in the fleet have changed.
    pub(crate) fn rebuild(&mut self, workers: &mut [Worker]) {
        self.points.clear();
        self.place_points(workers, (0..workers.len()).collect());
    }

    fn add_points(&mut self, index: usize, worker: &mut Worker) {
        let relative_weight = (worker.weight / self.weight_scale).min(MAX_POINTS_FACTOR);
        worker.points = (POINTS_PER_MEAN_WEIGHT * relative_weight).round().max(1.0) as u32;
        let seed = mix(worker.endpoint.worker.0);
        self.points.extend((0..worker.points).map(|number| Point {
            position: mix(seed ^ (u64::from(number) << 32 | POINT_SALT)),
            worker: index as u32,
            number,
        }));
    }

    /// Iterates over the points of all workers, clockwise from a position on the ring.
    pub(crate) fn clockwise_from(&self, position: u64) -> impl Iterator<Item = Point> + '_ {
        let start = self.points.partition_point(|point| point.position < position);
        self.points[start..].iter().chain(&self.points[..start]).copied()
    }
}

#[cfg(test)]
mod tests;
