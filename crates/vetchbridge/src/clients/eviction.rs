//! Which client connections can be spared, in the order in which they go to make room.
//!
//! The order is kept as connections change, so that the cost of a newcomer does not follow the number of connections. What
//! hangs on a connection's age is told by the time since when it is as it is, by which each group is sorted.

use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::Instant;

/// A connection younger than this may have its first bytes on the way.
pub(super) const YOUNG: Duration = Duration::from_millis(250);
/// A connection younger than this makes room for nobody: it has not had the time to send anything.
const FRESH: Duration = Duration::from_millis(10);

/// What a connection is to whoever looks for room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Group {
    /// Its last answer is out, and its client's end is waited for.
    Lingering,
    /// It has said nothing yet.
    Silent,
    /// A request that is no callback has begun and is not whole.
    Arriving,
    /// It has had one answer at most. One that has asked again and again is a better guest.
    IdleOnce,
    /// It has had several answers.
    IdleKept,
    /// A worker's, between callbacks: its next is worth more than a client that can connect again.
    IdleCallback,
}

/// How many groups there are.
const GROUPS: usize = 6;

/// Where a connection stands in the order, and since when it is as it is.
pub(super) type Standing = Option<(Group, Instant)>;

/// Whether those that have just been made may go too, as the last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Newcomers {
    /// For another newcomer.
    MayGo,
    /// For a worker's connection they may not.
    Stay,
}

/// The order, by the connections' numbers.
#[derive(Debug, Default)]
pub(super) struct SpareOrder {
    groups: [BTreeSet<(Instant, u64)>; GROUPS],
    /// How many connections have been chosen to make room and have not gone yet.
    pub(super) leaving: usize,
}

impl SpareOrder {
    fn group(&self, group: Group) -> &BTreeSet<(Instant, u64)> {
        &self.groups[group as usize]
    }

    /// A connection stands elsewhere from now on.
    pub(super) fn move_to(&mut self, number: u64, before: Standing, after: Standing) {
        if let Some((group, since)) = before {
            self.groups[group as usize].remove(&(since, number));
        }
        if let Some((group, since)) = after {
            self.groups[group as usize].insert((since, number));
        }
    }

    /// The longest in its group, if it is older than that.
    fn first(&self, group: Group, age: Duration, now: Instant) -> Option<u64> {
        self.group(group).first().filter(|(since, _)| now >= *since + age).map(|(_, number)| *number)
    }

    /// The connection that can best be spared.
    pub(super) fn best(&self, newcomers: Newcomers, now: Instant) -> Option<u64> {
        let newcomer = || match newcomers {
            Newcomers::MayGo => self.first(Group::Silent, FRESH, now),
            Newcomers::Stay => None,
        };
        self.first(Group::Lingering, Duration::ZERO, now)
            .or_else(|| self.first(Group::Silent, YOUNG, now))
            .or_else(|| self.first(Group::Arriving, YOUNG, now))
            .or_else(|| self.first(Group::IdleOnce, Duration::ZERO, now))
            .or_else(|| self.first(Group::IdleKept, Duration::ZERO, now))
            .or_else(|| self.first(Group::IdleCallback, Duration::ZERO, now))
            .or_else(newcomer)
    }

    /// Whether so many connections can be spared.
    pub(super) fn has(&self, wanted: usize, now: Instant) -> bool {
        let at_any_age = [Group::Lingering, Group::IdleOnce, Group::IdleKept, Group::IdleCallback];
        let known: usize = at_any_age.iter().map(|group| self.group(*group).len()).sum();
        let aged = |group, age| {
            self.group(group).iter().take_while(move |(since, _)| now >= *since + age).take(wanted).count()
        };
        known + aged(Group::Silent, FRESH) + aged(Group::Arriving, YOUNG) >= wanted
    }

    /// When the next of those that have just been made can be spared.
    pub(super) fn next_newcomer(&self, now: Instant) -> Option<Instant> {
        let silent = self.group(Group::Silent);
        let fresh = match now.checked_sub(FRESH) {
            Some(oldest) => silent.range((oldest, u64::MAX)..).next(),
            None => silent.first(),
        };
        fresh.map(|(since, _)| *since + FRESH)
    }
}
