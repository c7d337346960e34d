//! Troubles that happen to the platform, side by side: each lane plays its own kinds in an order drawn from the seed, again and
//! again, so that each kind happens and any two may meet.

use super::clients::Misbehaved;
use crate::runner::DOWN;
use crate::scheduler::Scheduler;
use crate::{machine, Failure};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::time::{sleep, sleep_until, Instant};
use vetchbridge_testbed::discovery::{Discovery, Health};
use vetchbridge_testbed::worker::{Act, Worker};

/// The latest that discovery learns of a change here.
pub(super) const LATEST_NEWS: Duration = Duration::from_millis(800);
/// Longest pause between two troubles of a lane.
const LONGEST_PAUSE: f64 = 0.8;
/// How long a worker is listed as draining: long enough for its news to count as told in spite of an outage.
const DRAINS_FOR: Duration = Duration::from_secs(13);
/// Connections of a crowd: more than a scheduler of the plan may hold.
const CROWD: usize = 300;

/// One kind of trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[allow(missing_docs)]
pub enum TroubleKind {
    SchedulerRestarts,
    SchedulerIsReplaced,
    SchedulerIsDrained,
    SchedulerReloads,
    SchedulerFollowsAnotherDiscovery,
    SchedulerDies,
    WorkerDies,
    WorkerDrains,
    WorkerMisbehaves,
    WorkerIsSlow,
    WorkerRefuses,
    ListRefuses,
    ListResets,
    ListIsMute,
    ListBreaksOff,
    ListComesLate,
    ClientLeaves,
    ClientStops,
    ClientsCrowd,
}

impl TroubleKind {
    /// Each of them.
    pub const ALL: &'static [TroubleKind] = &[
        TroubleKind::SchedulerRestarts,
        TroubleKind::SchedulerIsReplaced,
        TroubleKind::SchedulerIsDrained,
        TroubleKind::SchedulerReloads,
        TroubleKind::SchedulerFollowsAnotherDiscovery,
        TroubleKind::SchedulerDies,
        TroubleKind::WorkerDies,
        TroubleKind::WorkerDrains,
        TroubleKind::WorkerMisbehaves,
        TroubleKind::WorkerIsSlow,
        TroubleKind::WorkerRefuses,
        TroubleKind::ListRefuses,
        TroubleKind::ListResets,
        TroubleKind::ListIsMute,
        TroubleKind::ListBreaksOff,
        TroubleKind::ListComesLate,
        TroubleKind::ClientLeaves,
        TroubleKind::ClientStops,
        TroubleKind::ClientsCrowd,
    ];

    /// Whether discovery can't be reached meanwhile.
    pub fn hides_discovery(self) -> bool {
        use TroubleKind::*;
        matches!(self, ListRefuses | ListResets | ListIsMute | ListBreaksOff)
    }
}

/// One trouble that happened; times count from the beginning of the account.
#[derive(Clone, Debug)]
pub struct Episode {
    /// What it was.
    pub kind: TroubleKind,
    /// Whom it met: the worker's name, or the scheduler's number.
    pub whom: String,
    /// When it began.
    pub from: Duration,
    /// When it was over.
    pub until: Duration,
}

impl Episode {
    /// Whether there was a time at which both went on.
    pub fn overlaps(&self, other: &Episode) -> bool {
        self.from < other.until && other.from < self.until
    }
}

/// Notes each trouble once it is over.
pub(super) struct Journal {
    began: Instant,
    episodes: Mutex<Vec<Episode>>,
}

impl Journal {
    pub(super) fn new(began: Instant) -> Journal {
        Journal { began, episodes: Mutex::default() }
    }

    fn note(&self, kind: TroubleKind, whom: &str, from: Instant) {
        let (from, until) = (from.duration_since(self.began), self.began.elapsed());
        let mut episodes = self.episodes.lock().unwrap_or_else(PoisonError::into_inner);
        episodes.push(Episode { kind, whom: whom.to_string(), from, until });
    }

    pub(super) fn episodes(&self) -> Vec<Episode> {
        let mut episodes = self.episodes.lock().unwrap_or_else(PoisonError::into_inner).clone();
        episodes.sort_by_key(|episode| episode.from);
        episodes
    }
}

/// The kinds of a lane in an order of the seed's, over and over.
struct Turns {
    random: Pcg64,
    kinds: Vec<TroubleKind>,
    next: usize,
    until: Instant,
}

impl Turns {
    fn new(seed: u64, lane: u64, kinds: &[TroubleKind], until: Instant) -> Turns {
        let mut random = Pcg64::seed_from_u64(seed ^ (lane << 48));
        let mut kinds = kinds.to_vec();
        kinds.shuffle(&mut random);
        Turns { random, kinds, next: 0, until }
    }

    /// The next kind after a pause; none once the time is over.
    async fn next(&mut self) -> Option<TroubleKind> {
        let pause = Duration::from_secs_f64(self.random.random_range(0.0..LONGEST_PAUSE));
        sleep(pause).await;
        if Instant::now() >= self.until {
            return None;
        }
        if self.next == self.kinds.len() {
            self.kinds.shuffle(&mut self.random);
            self.next = 0;
        }
        self.next += 1;
        Some(self.kinds[self.next - 1])
    }

    fn one_of<'a, T>(&mut self, all: &'a [T]) -> &'a T {
        &all[self.random.random_range(0..all.len())]
    }

    fn span(&mut self, from: f64, to: f64) -> Duration {
        Duration::from_secs_f64(self.random.random_range(from..to))
    }
}

/// What the lanes share.
pub(super) struct Ground<'a> {
    pub(super) seed: u64,
    pub(super) until: Instant,
    pub(super) workers: &'a [Worker],
    pub(super) discovery: &'a Discovery,
    pub(super) journal: &'a Journal,
}

impl Ground<'_> {
    /// Plays all lanes to their end.
    pub(super) async fn all(
        &self,
        schedulers: &mut [Scheduler],
        addresses: &[SocketAddr],
        misbehaved: &Misbehaved,
    ) -> Result<(), Failure> {
        let third = schedulers.len().div_ceil(3).max(1);
        let lanes = schedulers.chunks_mut(third).enumerate();
        let lanes = lanes.map(|(lane, chunk)| self.schedulers(lane, lane * third, chunk));
        let (dying, drained) = self.workers.split_at(self.workers.len() / 3);
        let (drained, misbehaving) = drained.split_at(drained.len() / 2);
        tokio::try_join!(
            futures_util::future::try_join_all(lanes),
            self.workers_die(dying),
            self.workers_drain(drained),
            self.workers_misbehave(misbehaving),
            self.lists(),
            self.clients(0, addresses, misbehaved),
            self.clients(1, addresses, misbehaved),
        )?;
        Ok(())
    }

    async fn schedulers(
        &self,
        lane: usize,
        first: usize,
        schedulers: &mut [Scheduler],
    ) -> Result<(), Failure> {
        use TroubleKind::*;
        let mut kinds = vec![
            SchedulerRestarts,
            SchedulerIsReplaced,
            SchedulerIsDrained,
            SchedulerReloads,
            SchedulerFollowsAnotherDiscovery,
        ];
        if lane == 0 {
            kinds.push(SchedulerDies);
        }
        let mut turns = Turns::new(self.seed, 1 + lane as u64, &kinds, self.until);
        while let Some(kind) = turns.next().await {
            let number = turns.random.random_range(0..schedulers.len());
            let (scheduler, from) = (&mut schedulers[number], Instant::now());
            match kind {
                SchedulerRestarts => {
                    let ended = scheduler.end().await;
                    if !ended.is_some_and(|status| status.success()) {
                        return Err(Failure::Missed(format!(
                            "scheduler {} ended badly when it was told to: {ended:?}\n{}",
                            first + number,
                            scheduler.last_words()
                        )));
                    }
                    scheduler.restart()?;
                }
                SchedulerIsReplaced => scheduler.upgrade(false).await?,
                SchedulerIsDrained => scheduler.drain(turns.span(0.1, 1.0)).await?,
                SchedulerReloads => {
                    for _ in 0..turns.random.random_range(1..4) {
                        scheduler.hang_up();
                        sleep(turns.span(0.0, 0.3)).await;
                    }
                }
                SchedulerFollowsAnotherDiscovery => self.move_discovery(scheduler, first + number)?,
                _ => {
                    scheduler.kill().await;
                    sleep(DOWN).await;
                    scheduler.restart()?;
                }
            }
            self.journal.note(kind, &(first + number).to_string(), from);
        }
        Ok(())
    }

    /// Moves a scheduler's discovery to another address and has it told by its configuration.
    fn move_discovery(&self, scheduler: &Scheduler, number: usize) -> Result<(), Failure> {
        let old = self.discovery.address(number).to_string();
        let new = self.discovery.move_to_new_port(number).map_err(machine("another address of discovery"))?;
        let path = scheduler.config();
        let text = std::fs::read_to_string(path).map_err(machine("a scheduler's configuration"))?;
        let fresh = path.with_extension("fresh");
        std::fs::write(&fresh, text.replace(&old, &new.to_string())).map_err(machine("a configuration"))?;
        std::fs::rename(&fresh, path).map_err(machine("a configuration"))?;
        scheduler.hang_up();
        Ok(())
    }

    async fn workers_die(&self, workers: &[Worker]) -> Result<(), Failure> {
        let mut turns = Turns::new(self.seed, 10, &[TroubleKind::WorkerDies], self.until);
        while let Some(kind) = turns.next().await {
            let (worker, told) = (turns.one_of(workers), turns.random.random_bool(0.5));
            let from = Instant::now();
            worker.kill(told).await;
            if told {
                self.discovery.remove(worker);
            }
            sleep(turns.span(0.2, 3.0)).await;
            worker.restart().map_err(machine("a worker"))?;
            self.discovery.up(worker);
            self.journal.note(kind, &worker.spec().name, from);
        }
        Ok(())
    }

    async fn workers_drain(&self, workers: &[Worker]) -> Result<(), Failure> {
        let one = async |lane: u64, worker: &Worker| {
            let mut turns = Turns::new(self.seed, 20 + lane, &[TroubleKind::WorkerDrains], self.until);
            while let Some(kind) = turns.next().await {
                let from = Instant::now();
                self.discovery.draining(worker);
                // It takes what is sent to it all the same, so that what comes too late is seen.
                sleep_until((from + DRAINS_FOR).min(self.until)).await;
                self.journal.note(kind, &worker.spec().name, from);
                self.discovery.up(worker);
                sleep(turns.span(2.0, 5.0)).await;
            }
        };
        let half = workers.iter().take(workers.len().div_ceil(2)).enumerate();
        futures_util::future::join_all(half.map(|(lane, worker)| one(lane as u64, worker))).await;
        Ok(())
    }

    async fn workers_misbehave(&self, workers: &[Worker]) -> Result<(), Failure> {
        use TroubleKind::*;
        let acts = [
            Act::Answer { status: 500, never_ran: false },
            Act::Answer { status: 503, never_ran: true },
            Act::Answer { status: 429, never_ran: false },
            Act::NoResponse,
            Act::ResetInBody,
            Act::ResetBeforeAnswer,
            Act::HalfAnswer,
            Act::NoCallback,
            Act::Lose,
            Act::Fail,
            Act::ReturnUnstarted,
            Act::CallbackBeforeAnswer,
            Act::RepeatCallback(3),
            Act::InvalidCallback,
            Act::ByteByByte,
        ];
        let mut turns =
            Turns::new(self.seed, 30, &[WorkerMisbehaves, WorkerIsSlow, WorkerRefuses], self.until);
        while let Some(kind) = turns.next().await {
            let (worker, from) = (turns.one_of(workers), Instant::now());
            match kind {
                WorkerIsSlow => {
                    worker.slow(turns.random.random_range(2.0..20.0));
                    sleep(turns.span(0.5, 3.0)).await;
                    worker.slow(1.0);
                }
                WorkerRefuses => {
                    worker.reject_jobs(true);
                    sleep(turns.span(0.2, 1.5)).await;
                    worker.reject_jobs(false);
                }
                _ => {
                    let few = turns.random.random_range(1..8);
                    let chosen: Vec<Act> = (0..few).map(|_| turns.one_of(&acts).clone()).collect();
                    worker.script_jobs(chosen);
                    sleep(turns.span(0.2, 1.0)).await;
                }
            }
            self.journal.note(kind, &worker.spec().name, from);
        }
        Ok(())
    }

    async fn lists(&self) -> Result<(), Failure> {
        use TroubleKind::*;
        let kinds = [ListRefuses, ListResets, ListIsMute, ListBreaksOff, ListComesLate];
        let mut turns = Turns::new(self.seed, 40, &kinds, self.until);
        while let Some(kind) = turns.next().await {
            let (lasts, from) = (turns.span(0.3, 3.0), Instant::now());
            match kind {
                ListRefuses => self.discovery.fail_for(Health::Failing, lasts).await,
                ListResets => self.discovery.fail_for(Health::Resetting, lasts).await,
                ListIsMute => self.discovery.fail_for(Health::Unresponsive, lasts).await,
                ListBreaksOff => self.discovery.fail_for(Health::Truncating, lasts).await,
                _ => {
                    self.discovery.set_update_delay(LATEST_NEWS);
                    sleep(lasts).await;
                    self.discovery.set_update_delay(Duration::ZERO);
                }
            }
            self.journal.note(kind, "", from);
            sleep(turns.span(0.5, 4.0)).await;
        }
        Ok(())
    }

    async fn clients(
        &self,
        lane: u64,
        addresses: &[SocketAddr],
        misbehaved: &Misbehaved,
    ) -> Result<(), Failure> {
        use TroubleKind::*;
        let mut turns =
            Turns::new(self.seed, 50 + lane, &[ClientLeaves, ClientStops, ClientsCrowd], self.until);
        while let Some(kind) = turns.next().await {
            let (to, from) = (*turns.one_of(addresses), Instant::now());
            match kind {
                ClientLeaves => {
                    let few = (0..8).map(|_| (*turns.one_of(addresses), turns.span(0.0, 0.4)));
                    let few: Vec<_> = few.collect();
                    let leave = |(to, after)| misbehaved.leave(to, after, self.journal.began);
                    futures_util::future::join_all(few.into_iter().map(leave)).await;
                }
                ClientStops => {
                    let within_body = turns.random.random_bool(0.5);
                    misbehaved.stop(to, within_body, self.journal.began).await;
                }
                _ => misbehaved.crowd(to, CROWD, turns.span(0.3, 1.0)).await,
            }
            self.journal.note(kind, &to.to_string(), from);
        }
        Ok(())
    }
}
