//! The consistent ring: every worker has virtual points in proportion to its weight.

use crate::hash::mix;
use crate::worker::Worker;
use std::collections::BTreeSet;
use std::ops::RangeInclusive;

/// Virtual points of a worker of mean weight: keeps arcs within about a tenth of their fair share.
const POINTS_PER_MEAN_WEIGHT: f64 = 96.0;
/// A worker has at most this many times the mean's points, so that one absurd weight can't take over the
/// ring.
const MAX_POINTS_FACTOR: f64 = 8.0;
/// The scale stays as long as the mean weight is within these factors of it.
const SCALE_TOLERANCE: RangeInclusive<f64> = 0.5..=2.0;
/// Separates the hashes of points from those of keys.
const POINT_SALT: u64 = 0x5350;

/// A virtual point.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Point {
    /// Its place on the ring.
    place: u64,
    /// Index of its worker.
    worker: u32,
    /// Which of the worker's points it is.
    number: u32,
}

impl Point {
    /// Index of its worker.
    pub(crate) fn worker_index(self) -> usize {
        self.worker as usize
    }

    /// Whether it counts at this warm-up fraction of its worker, which has so many points. All schedulers
    /// agree on that without a message.
    pub(crate) fn is_active(self, warm_up_fraction: f64, worker_points: u32) -> bool {
        warm_up_fraction >= 1.0 || f64::from(self.number) < warm_up_fraction * f64::from(worker_points)
    }
}

/// The points of all workers in the order of their places.
#[derive(Default)]
pub(crate) struct Ring {
    points: Vec<Point>,
    /// Weight that gets [`POINTS_PER_MEAN_WEIGHT`] points, a power of two so that schedulers agree on it; 0
    /// at first.
    weight_scale: f64,
}

impl Ring {
    /// Places the points of new or resized workers, given by index; all others keep theirs, unless the mean
    /// weight has changed much.
    pub(crate) fn place(&mut self, workers: &mut [Worker], mut changed: Vec<usize>) {
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
        self.points.sort_by_key(|point| (point.place, point.worker));
    }

    /// Places the points of all workers anew, as their indices have changed.
    pub(crate) fn rebuild(&mut self, workers: &mut [Worker]) {
        self.points.clear();
        self.place(workers, (0..workers.len()).collect());
    }

    fn add_points(&mut self, index: usize, worker: &mut Worker) {
        let relative_weight = (worker.weight / self.weight_scale).min(MAX_POINTS_FACTOR);
        worker.points = (POINTS_PER_MEAN_WEIGHT * relative_weight).round().max(1.0) as u32;
        let seed = mix(worker.endpoint.worker.0);
        self.points.extend((0..worker.points).map(|number| Point {
            place: mix(seed ^ (u64::from(number) << 32 | POINT_SALT)),
            worker: index as u32,
            number,
        }));
    }

    /// All points, clockwise from a place.
    pub(crate) fn clockwise_from(&self, place: u64) -> impl Iterator<Item = Point> + '_ {
        let start = self.points.partition_point(|point| point.place < place);
        self.points[start..].iter().chain(&self.points[..start]).copied()
    }
}

#[cfg(test)]
mod tests;
