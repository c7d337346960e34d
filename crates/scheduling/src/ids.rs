//! Types that identify requests, workers, attempts and timers, and the type of times and durations.

/// A point in time on the scheduler's clock, or a duration, in microseconds.
pub type Micros = u64;

/// Identifies one request of a client; a client's retry is a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Identifies a worker. All schedulers must use the same number for a worker, or their rings differ.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub u64);

/// Index into [`Settings::classes`](crate::Settings::classes).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub u32);

/// Index into [`Settings::tenants`](crate::Settings::tenants); 0 if the deployment has no tenants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub u32);

/// Identifies a zone (a site or a hall) of the network.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u32);

impl ZoneId {
    /// The zone of a worker whose zone is not known. Two workers with this id may be in different zones.
    pub const UNKNOWN: ZoneId = ZoneId(u32::MAX);

    /// Whether both ids are the same zone; `false` if the zone is unknown.
    pub(crate) fn is_known_and_equal(self, other: ZoneId) -> bool {
        self != ZoneId::UNKNOWN && self == other
    }
}

/// Identifies a machine type of workers; a class may require one machine type.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineTypeId(pub u32);

impl MachineTypeId {
    /// The machine type of a worker whose machine type is not known. No class requires this machine type.
    pub const UNKNOWN: MachineTypeId = MachineTypeId(u32::MAX);
}

/// Identifies a cell: a group of workers that share the idempotency keys that they have seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u32);

impl CellId {
    /// The cell of a worker whose cell is not known. Two workers with this id may be in different cells.
    pub const UNKNOWN: CellId = CellId(u32::MAX);

    /// Whether both ids are the same cell; `false` if the cell is unknown.
    pub(crate) fn is_known_and_equal(self, other: CellId) -> bool {
        self != CellId::UNKNOWN && self == other
    }
}

/// Number of an attempt within its request: 0, 1, 2 and so on, in the order of the request's
/// [`Action::Send`](crate::Action::Send)s.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNo(pub u32);

/// Identifies a timer that the scheduler has set. The embedding program returns the opaque value with
/// [`Event::Timer`](crate::Event::Timer); only the scheduler interprets the value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerToken(pub u64);
