//! A deployment that shares nothing with the demonstration's: real schedulers on the built-in plan `scans`, its workers
//! misbehaving and its list out of reach.
#![allow(missing_docs)]

mod common;

use common::daemon;
use std::path::Path;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};
use vetchbridge::config::file;
use vetchbridge_testbed::account::{judge, Verdict, Violation};
use vetchbridge_testbed::client::Clients;
use vetchbridge_testbed::discovery::Health;
use vetchbridge_testbed::worker::Act;
use vetchbridge_testkit::deployment::Deployment;
use vetchbridge_testkit::plan::Plan;

/// Nothing here takes so long unless something hangs.
const HANG: Duration = Duration::from_secs(60);
const LOAD: Duration = Duration::from_secs(3);
/// The list is out of reach from here ...
const OUT_AT: Duration = Duration::from_millis(500);
/// ... for so long.
const OUT_FOR: Duration = Duration::from_secs(2);

/// Every way in which a worker leaves it open, or says, whether a job ran, at each worker and more than once.
fn acts() -> Vec<Act> {
    let once = [
        Act::Lose,
        Act::CutBeforeAnswer,
        Act::HandBack,
        Act::Fail,
        Act::Answer { status: 503, never_ran: true },
        Act::Answer { status: 500, never_ran: false },
        Act::HalfAnswer,
        Act::CutInBody,
    ];
    once.iter().chain(&once).cloned().collect()
}

/// Plays the deployment while its list is out of reach and each worker misbehaves; what the account says of it. The
/// schedulers believe `told`, the clients and the account the plan.
async fn play(told: &Plan, plan: &Plan, how: Health) -> Verdict {
    let mut deployment = Deployment::start(told, Some(&daemon()), None, &[]).await.expect("a deployment");
    let (began, spec) = (Instant::now(), plan.load_spec());
    let (_stop, stopped) = watch::channel(false);
    let clients = Clients::new(spec.clone(), vec![deployment.front.address()]).expect("a load");
    let load = clients.run(began, LOAD, stopped, |_| {});
    let troubles = async {
        deployment.workers.iter().for_each(|worker| worker.next(acts()));
        sleep(OUT_AT).await;
        deployment.discovery.out_for(how, OUT_FOR).await;
        let asked = deployment.discovery.calls();
        // Each spreads its next call by itself; this story goes on until the first has come.
        while deployment.discovery.calls() == asked {
            sleep(Duration::from_millis(20)).await;
        }
    };
    let (record, ()) = tokio::join!(load, troubles);
    let record = record.expect("a load");
    assert!(record.jobs.len() > 150 && record.jobs.iter().all(|job| !job.tries.is_empty()));
    deployment.check_running().expect("every scheduler lives");
    let verdict = judge(&spec.classes, &record.jobs, Some(&deployment.runs.all()), &[]);
    assert_eq!(deployment.shut_down().await, Vec::<String>::new(), "every scheduler ended well");
    verdict
}

fn scans() -> Plan {
    let mut plan = Plan::read(Some(Path::new("scans"))).expect("a plan");
    plan.faults.clear();
    for class in &mut plan.load.class {
        class.spread = 0.3;
    }
    plan
}

#[tokio::test(flavor = "multi_thread")]
async fn no_unsafe_job_runs_twice_and_each_has_one_answer_while_the_list_is_out_of_reach() {
    let plan = scans();
    let plays =
        async { tokio::join!(play(&plan, &plan, Health::Failing), play(&plan, &plan, Health::Resetting)) };
    let (failing, resetting) = timeout(HANG, plays).await.expect("it ends");
    for verdict in [failing, resetting] {
        assert_eq!(verdict.violations, [], "{verdict:?}");
        let answers = verdict.answers;
        assert_eq!((answers.lost, answers.none, answers.unreachable), (0, 0, 0), "{verdict:?}");
        // Those that may have run and must not again are failed; all others are served.
        assert!(answers.failed > 0 && answers.served > 5 * answers.failed, "{verdict:?}");
    }
}

/// The verdict can be a bad one: schedulers that take the unsafe class for a safe one are found out.
#[tokio::test(flavor = "multi_thread")]
async fn schedulers_that_repeat_what_they_must_not_are_found_out() {
    let (mut told, plan) = (scans(), scans());
    told.daemon.class.iter_mut().for_each(|class| class.repeat = file::Repeat::Safe);
    let verdict = timeout(HANG, play(&told, &plan, Health::Failing)).await.expect("it ends");
    assert!(verdict.violations.iter().any(|v| matches!(v, Violation::UnsafeTwice(_))), "{verdict:?}");
}
