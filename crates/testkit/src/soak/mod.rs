//! The soak test: a few dozen real schedulers under load, with faults that overlap in time and system calls that fail, all
//! drawn from one seed, judged by invariants.
//!
//! `troubles` happen to the platform, `clients` misbehave, `faults` are injected into the schedulers' own processes, and
//! [`checks`] compare what was seen with the promises. Nothing here excuses what a promise does not.

pub mod checks;
mod clients;
mod faults;
mod troubles;

use crate::plan::{self, Plan};
use crate::runner::{count_from_earlier, Interrupt, Progress, NOTICE_SLACK};
use crate::scheduler::{Launch, Scheduler};
use crate::stage::Stage;
use crate::Failure;
use checks::{Broken, Evidence};
use clients::Misbehaved;
use faults::FaultPlan;
use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;
use tokio::time::Instant;
use troubles::{Episode, Journal, TroubleKind};
use vetchbridge_testbed::arrivals::ClassLoad;
use vetchbridge_testbed::audit::{audit_jobs, Answers, Outage, Violation};
use vetchbridge_testbed::client::{Clients, LoadRecord};

/// From this span on, each kind of trouble and of fault must have happened.
const FULL_SPAN: Duration = Duration::from_secs(30);

/// What is to be soaked.
#[derive(Clone, Copy, Debug)]
pub struct SoakSpec {
    /// The seed of troubles and faults.
    pub seed: u64,
    /// How long the load lasts.
    pub span: Duration,
    /// How many schedulers there are; the plan's number where it is absent.
    pub schedulers: Option<usize>,
}

/// What came of it.
#[derive(Debug)]
pub struct SoakReport {
    /// Each trouble, with its time.
    pub episodes: Vec<Episode>,
    /// System calls that failed, by the fault's name.
    pub faults: Vec<(&'static str, u64)>,
    /// Answers to the load's tries, in words.
    pub answers: String,
    /// Broken promises.
    pub broken: Vec<Broken>,
    seed: u64,
    full: bool,
}

impl SoakReport {
    /// Pairs of troubles that overlapped in time.
    pub fn overlaps(&self) -> usize {
        let pair = |(at, one): (usize, &Episode)| {
            self.episodes[at + 1..].iter().filter(|other| one.overlaps(other)).count()
        };
        self.episodes.iter().enumerate().map(pair).sum()
    }

    /// What should have happened in a full span and did not.
    pub fn missing(&self) -> Vec<String> {
        if !self.full {
            return Vec::new();
        }
        let happened: BTreeSet<TroubleKind> = self.episodes.iter().map(|episode| episode.kind).collect();
        let troubles = TroubleKind::ALL.iter().filter(|kind| !happened.contains(*kind));
        let troubles = troubles.map(|kind| format!("no trouble {kind:?} happened"));
        let faults = self.faults.iter().filter(|(_, times)| *times == 0);
        troubles.chain(faults.map(|(name, _)| format!("no fault {name} was made"))).collect()
    }

    /// As text; the last line counts.
    pub fn text(&self) -> String {
        let mut text = format!("answers   {}\n", self.answers);
        for kind in TroubleKind::ALL {
            let times = self.episodes.iter().filter(|episode| episode.kind == *kind).count();
            text.push_str(&format!("trouble   {kind:?} {times}\n"));
        }
        for (name, times) in &self.faults {
            text.push_str(&format!("fault     {name} at least {times}\n"));
        }
        for broken in self.broken.iter().take(20) {
            text.push_str(&format!("broken    {broken}\n"));
        }
        for missing in self.missing() {
            text.push_str(&format!("missing   {missing}\n"));
        }
        let faults: u64 = self.faults.iter().map(|(_, times)| times).sum();
        text.push_str(&format!(
            "seed {}: {} troubles, {} overlaps, {faults} faults, {} violations\n",
            self.seed,
            self.episodes.len(),
            self.overlaps(),
            self.broken.len()
        ));
        text
    }

    /// Whether every promise was kept and everything happened that was to.
    pub fn held(&self) -> bool {
        self.broken.is_empty() && self.missing().is_empty()
    }
}

/// Plays it.
pub async fn run(
    spec: SoakSpec,
    daemon: Option<&Path>,
    logs: Option<&Path>,
    log_filter: &str,
) -> Result<SoakReport, Failure> {
    let mut plan = Plan::parse("the built-in plan soak", plan::SOAK)?;
    plan.schedulers.count = spec.schedulers.unwrap_or(plan.schedulers.count);
    let library = faults::library()?;
    let interrupt = Interrupt::listen()?;
    let launch = |number: usize, folder: &Path| Launch {
        extra: vec!["--log-filter".to_string(), log_filter.to_string()],
        environment: FaultPlan::drawn(spec.seed, number).environment(&library, folder, number),
    };
    let mut stage = interrupt.unless_asked(Stage::set_with(&plan, daemon, logs, launch)).await?;
    let load = plan.load_spec();
    let clients = Clients::new(load.clone(), vec![stage.front.address()]);
    let clients = clients.map_err(|error| Failure::BadInput(error.to_string()))?;
    let began = Instant::now();
    let offset = began.duration_since(stage.began);
    let journal = Journal::new(stage.began);
    let misbehaved = Misbehaved::default();
    let mut progress = Progress::new(spec.span);
    let load_runs = clients.run(began, spec.span, interrupt.subscribe(), |at| progress.show(at));
    let addresses: Vec<_> = stage.schedulers.iter().map(Scheduler::address).collect();
    let (record, ()) = {
        let ground = troubles::Ground {
            seed: spec.seed,
            until: began + spec.span,
            workers: &stage.workers,
            discovery: &stage.discovery,
            journal: &journal,
        };
        let all = ground.all(&mut stage.schedulers, &addresses, &misbehaved);
        tokio::try_join!(
            async { load_runs.await.map_err(|error| Failure::BadInput(error.to_string())) },
            interrupt.unless_asked(all)
        )?
    };
    let mut record = record;
    count_from_earlier(&mut record, offset);
    let unasked = stage.all_live().err().map(|failure| failure.to_string());
    let seen = Seen { episodes: journal.episodes(), record, classes: load.classes, misbehaved };
    let judged = judge_stage(stage, seen, unasked).await;
    Ok(SoakReport { seed: spec.seed, full: spec.span >= FULL_SPAN, ..judged })
}

/// What was seen from outside the schedulers.
struct Seen {
    episodes: Vec<Episode>,
    record: LoadRecord,
    classes: Vec<ClassLoad>,
    misbehaved: Misbehaved,
}

/// Ends the stage and judges what was seen; `unasked`: which scheduler had ended by itself. Logs are read after the end, which
/// tells of violations too.
async fn judge_stage(mut stage: Stage, seen: Seen, unasked: Option<String>) -> SoakReport {
    let log_paths: Vec<_> = stage.schedulers.iter().map(|scheduler| scheduler.log().to_path_buf()).collect();
    let (folder, runs, notice) =
        (stage.folder().to_path_buf(), stage.runs.clone(), stage.front.detection_delay());
    // Dropped with this function's end, after the logs and counts in it have been read.
    let _kept = stage.take_folder();
    let bad_ends = stage.end().await;
    let outages = outages(&seen.episodes, notice);
    let verdict = audit_jobs(&seen.classes, &seen.record.jobs, Some(&runs.all()), &outages);
    let strangers = seen.misbehaved.ids();
    let of_a_stranger = |violation: &&Violation| match violation {
        Violation::UnknownRequest(id) => strangers.contains(id),
        _ => false,
    };
    let account = verdict.violations.iter().filter(|violation| !of_a_stranger(violation));
    let mut broken: Vec<Broken> = account.map(|violation| Broken::Account(violation.to_string())).collect();
    broken.extend(unasked.into_iter().chain(bad_ends).map(Broken::Process));
    let logs: Vec<String> =
        log_paths.iter().map(|path| std::fs::read_to_string(path).unwrap_or_default()).collect();
    broken.extend(checks::all(&Evidence {
        episodes: &seen.episodes,
        arrivals: &runs.arrivals(),
        jobs: &seen.record.jobs,
        classes: &seen.classes,
        departures: &seen.misbehaved.departures(),
        stayed: &seen.misbehaved.stayed(),
        logs: &logs,
        discovery_lateness: troubles::LATEST_NEWS,
    }));
    let answers = answers_text(seen.record.jobs.len(), verdict.answers);
    let faults = faults::counts(&folder);
    SoakReport { episodes: seen.episodes, faults, answers, broken, seed: 0, full: false }
}

/// The times in which tries may be lost, since a scheduler had been killed.
fn outages(episodes: &[Episode], notice: Duration) -> Vec<Outage> {
    let killed = episodes.iter().filter(|episode| episode.kind == TroubleKind::SchedulerDies);
    let outage =
        |episode: &Episode| Outage { from: episode.from, until: episode.from + notice + NOTICE_SLACK };
    killed.map(outage).collect()
}

fn answers_text(jobs: usize, answers: Answers) -> String {
    let Answers { served, rejected, failed, lost, unreachable, none } = answers;
    format!(
        "{jobs} jobs: {served} served, {rejected} refused, {failed} failed, {lost} lost, {unreachable} unreachable, {none} timed out"
    )
}
