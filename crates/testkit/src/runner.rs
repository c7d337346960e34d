//! A load under way: its progress, its interruption, and troubles along it.
//!
//! Owns the bar or the lines of progress, and what Ctrl-C does: the first ends the load cleanly, the second ends the
//! program at once. It must never decide whether the load went well.

use crate::deployment::Deployment;
use crate::plan;
use crate::scheduler::PredecessorEnd;
use crate::{machine, Failure};
use indicatif::{ProgressBar, ProgressStyle};
use std::future::Future;
use std::io::IsTerminal;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, Instant};
use vetchbridge_testbed::account::Outage;
use vetchbridge_testbed::client::{Clients, LoadRecord, Standing};
use vetchbridge_testbed::discovery::Discovery;
use vetchbridge_testbed::worker::Worker;

/// Between two lines of progress where there is no terminal.
const LINE_EVERY: Duration = Duration::from_secs(5);
/// A killed scheduler comes back after this.
pub const DOWN: Duration = Duration::from_secs(2);
/// How long, beyond the front's notice, clients may still be sent to a dead scheduler: its last question and answer.
pub const NOTICE_SLACK: Duration = Duration::from_millis(700);

/// A drained scheduler stands so for this long.
const DRAINED: Duration = Duration::from_secs(2);

/// What a load meets on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// A scheduler is killed by SIGKILL, and is back after 2 s.
    Kill,
    /// A scheduler is replaced by a process that takes over.
    Upgrade,
    /// The same, but the old process is killed as soon as the new one can serve.
    CarelessUpgrade,
    /// A scheduler is drained, and takes clients again.
    Drain,
}

/// Turns signals into a wish to stop; a second one ends the program, and its children with it.
pub struct Interrupt {
    stop: watch::Sender<bool>,
    _watch: vetchbridge_testbed::Owned,
}

impl Interrupt {
    /// Listens for Ctrl-C and SIGTERM from now on; every child is killed when the program ends at once.
    pub fn listen() -> Result<Interrupt, Failure> {
        let mut interrupt = signal(SignalKind::interrupt()).map_err(machine("signals"))?;
        let mut terminate = signal(SignalKind::terminate()).map_err(machine("signals"))?;
        let stop = watch::Sender::new(false);
        let told = stop.clone();
        let watch = vetchbridge_testbed::Owned::spawn(async move {
            for times in 0.. {
                tokio::select! {
                    _ = interrupt.recv() => {}
                    _ = terminate.recv() => {}
                }
                if times > 0 {
                    crate::scheduler::kill_all();
                    std::process::exit(130);
                }
                eprintln!("stopping; once more ends at once");
                told.send_replace(true);
            }
        });
        Ok(Interrupt { stop, _watch: watch })
    }

    /// Resolves once it was asked to stop.
    pub async fn asked(&self) {
        let _ = self.stop.subscribe().wait_for(|stop| *stop).await;
    }

    /// Carries something out unless it is asked to stop meanwhile.
    pub async fn unless_asked<T>(
        &self,
        work: impl Future<Output = Result<T, Failure>>,
    ) -> Result<T, Failure> {
        tokio::select! {
            done = work => done,
            () = self.asked() => Err(Failure::Missed("stopped".to_string())),
        }
    }

    /// For whoever has to stop.
    pub fn subscribe(&self) -> watch::Receiver<bool> {
        self.stop.subscribe()
    }
}

/// Progress as a bar on a terminal and as plain lines elsewhere, on standard error.
pub struct Progress {
    bar: Option<ProgressBar>,
    total: Duration,
    last_line: Duration,
}

impl Progress {
    /// For something that takes so long.
    pub fn new(total: Duration) -> Progress {
        let bar = std::io::stderr().is_terminal().then(|| {
            let bar = ProgressBar::new(total.as_millis() as u64);
            if let Ok(style) = ProgressStyle::with_template("{bar:40} {msg}") {
                bar.set_style(style);
            }
            bar
        });
        Progress { bar, total, last_line: Duration::ZERO }
    }

    /// Shows how a load stands.
    pub fn show(&mut self, at: Standing) {
        let text = format!(
            "{:.0} of {:.0} s, {} sent, {} out",
            at.elapsed.as_secs_f64(),
            self.total.as_secs_f64(),
            at.sent,
            at.sent - at.ended
        );
        match &self.bar {
            Some(bar) => {
                bar.set_position(at.elapsed.min(self.total).as_millis() as u64);
                bar.set_message(text);
            }
            None if at.elapsed >= self.last_line + LINE_EVERY => {
                self.last_line = at.elapsed;
                eprintln!("{text}");
            }
            None => {}
        }
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        if let Some(bar) = &self.bar {
            bar.finish_and_clear();
        }
    }
}

/// Everything of the plan that goes wrong at its time; none of it excuses anything of the schedulers.
async fn planned(
    troubles: &[plan::Trouble],
    discovery: &Discovery,
    workers: &[Worker],
    began: Instant,
) -> Result<(), Failure> {
    let one = async |trouble: &plan::Trouble| {
        sleep_until(began + trouble.at.duration()).await;
        let lasts = trouble.lasts.duration();
        match (trouble.what.health(), trouble.what) {
            (Some(health), _) => discovery.out_for(health, lasts).await,
            (None, plan::TroubleKind::StatsLate) => {
                for worker in workers {
                    worker.tell_late(trouble.late.duration());
                }
                sleep(lasts).await;
                for worker in workers {
                    worker.tell_late(worker.spec().stats.as_ref().map_or(Duration::ZERO, |stats| stats.late));
                }
            }
            (None, _) => {
                let named = |worker: &&Worker| Some(&worker.spec().name) == trouble.worker.as_ref();
                let Some(worker) = workers.iter().find(named) else { return Ok(()) };
                worker.kill(true).await;
                discovery.remove(worker);
                sleep(lasts).await;
                worker.restart().map_err(machine("a worker"))?;
                discovery.up(worker);
            }
        }
        Ok(())
    };
    futures_util::future::try_join_all(troubles.iter().map(one)).await.map(drop)
}

/// Runs a load against a deployment, with troubles at even distances along it, each at the next scheduler in turn, and with
/// those of the plan at their times.
pub async fn run(
    deployment: &mut Deployment,
    clients: Clients,
    duration: Duration,
    troubles: &[Trouble],
    set: &[plan::Trouble],
    interrupt: &Interrupt,
) -> Result<(LoadRecord, Vec<Outage>), Failure> {
    let mut progress = Progress::new(duration);
    let began = Instant::now();
    let offset = began.duration_since(deployment.epoch);
    let load = clients.run(began, duration, interrupt.subscribe(), move |standing| progress.show(standing));
    let mut outages = Vec::new();
    let Deployment { schedulers, workers, discovery, front, .. } = &mut *deployment;
    let met = async {
        for (number, trouble) in troubles.iter().enumerate() {
            sleep_until(began + duration.mul_f64((number + 1) as f64 / (troubles.len() + 1) as f64)).await;
            let victim = number % schedulers.len();
            let scheduler = &mut schedulers[victim];
            match trouble {
                Trouble::Kill => {
                    let from = began.elapsed();
                    scheduler.kill().await;
                    let noticed = from + front.notice() + NOTICE_SLACK;
                    outages.push(Outage { from, until: noticed });
                    sleep(DOWN).await;
                    scheduler.restart()?;
                }
                // Nothing is excused: no scheduler is ever down.
                Trouble::Upgrade => scheduler.upgrade(PredecessorEnd::Graceful).await?,
                Trouble::CarelessUpgrade => scheduler.upgrade(PredecessorEnd::Killed).await?,
                Trouble::Drain => scheduler.drain(DRAINED).await?,
            }
        }
        Ok::<(), Failure>(())
    };
    tokio::pin!(load);
    let record = tokio::select! {
        record = &mut load => record,
        troubled = async { tokio::try_join!(met, planned(set, discovery, workers, began)).map(drop) } => {
            troubled?;
            load.await
        }
    };
    let mut record = record.map_err(|error| Failure::BadInput(error.to_string()))?;
    deployment.check_running()?;
    count_from_earlier(&mut record, offset);
    for outage in &mut outages {
        (outage.from, outage.until) = (outage.from + offset, outage.until + offset);
    }
    Ok((record, outages))
}

/// Has a record's times count from so much before the load: the workers' account began with the deployment.
pub fn count_from_earlier(record: &mut LoadRecord, offset: Duration) {
    for job in &mut record.jobs {
        job.arrival.at += offset;
        for one in &mut job.tries {
            (one.sent, one.ended) = (one.sent + offset, one.ended + offset);
            one.resent = one.resent.map(|resent| resent + offset);
        }
    }
}
