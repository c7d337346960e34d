//! The lifecycle of the process by itself: what leads from one state to the next, and what each state allows.
#![allow(missing_docs)]

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use std::time::Duration;
use vetchbridge::lifecycle::state::{End, LifecycleMachine, Refusal, State};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The whole way there and back: nothing is ready before it can serve, while clients are sent away, or at the end.
#[test]
fn a_drain_ends_with_resume_and_an_end_with_nothing() {
    let mut life = LifecycleMachine::new(false);
    assert!(!life.state().ready() && life.state().can_serve() == Err(Refusal::Starting));
    life.started(at(10));
    assert!(life.state().ready() && !life.state().hangs_up());
    life.quiesce(at(100));
    assert!(!life.state().ready() && life.state().hangs_up() && !life.state().closes_idle());
    assert_eq!(life.state().can_serve(), Ok(()));
    life.quiesce(at(500));
    life.advance(at(600));
    assert_eq!(life.state(), State::Drained, "a second call does not put the end of a drain off");
    assert_eq!((life.wakes(), life.resume(), life.state()), (None, Ok(()), State::Serving));
    life.quiesce(at(700));
    life.terminate(at(800), at(60_000));
    assert_eq!(life.resume(), Err(Refusal::Ending));
    life.advance(at(800 + 3_300));
    assert!(!life.state().takes() && life.state().closes_idle());
}

/// What is asked before the process can serve holds once it can.
#[test]
fn quiesced_before_its_start_it_begins_drained() {
    for (calls, ready) in [("q", false), ("qr", true), ("rq", false), ("", true)] {
        let mut life = LifecycleMachine::new(false);
        for call in calls.chars() {
            match call {
                'q' => life.quiesce(at(1)),
                _ => life.resume().expect("nothing ends"),
            }
        }
        life.started(at(2));
        assert_eq!(life.state().ready(), ready, "{calls}");
    }
    let mut successor = LifecycleMachine::new(true);
    successor.started(at(2));
    assert_eq!(successor.state(), State::Draining);
}

/// SIGKILL comes 0.7 s after the longest deadline, or after 3 s; clients use what stays open until shortly before.
#[test]
fn told_to_end_it_serves_on_and_is_done_before_it_is_killed() {
    for (deadline, hangs_up, leaves) in
        [(60_000, 2_300, 3_300), (3_000, 2_300, 3_300), (1_500, 800, 1_800), (200, 0, 500)]
    {
        let mut life = LifecycleMachine::new(false);
        life.started(at(10));
        life.terminate(at(20), at(deadline));
        let mut state = |ms: u64| {
            life.advance(at(20 + ms));
            life.state()
        };
        if hangs_up > 0 {
            let serving = state(hangs_up - 1);
            assert!(!serving.ready() && serving.takes() && !serving.hangs_up() && !serving.closes_idle());
        }
        let ending = state(hangs_up);
        assert!(ending.takes() && ending.hangs_up() && ending.closes_idle(), "{deadline}");
        assert!(state(leaves - 1).takes() && !state(leaves).takes(), "{deadline}");
    }
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Whatever is called in whatever order: an end is final and goes forward alone, a process is ready exactly
    /// when it can serve and its clients are wanted, and time leads to rest.
    #[test]
    fn no_order_of_calls_confuses_it(calls in prop::collection::vec((0..5u8, 0..900u64), 1..40)) {
        let mut life = LifecycleMachine::new(false);
        let (mut now, mut started, mut wanted, mut ended) = (0, false, true, false);
        let rank = |state: State| match state {
            State::Ending(End::Draining) => 1,
            State::Ending(End::Drained) => 2,
            State::Ending(End::Leaving) => 3,
            _ => 0,
        };
        for (call, pause) in calls {
            let before = rank(life.state());
            now += pause;
            life.advance(at(now));
            match call {
                0 => { life.started(at(now)); started = true }
                1 => { life.quiesce(at(now)); wanted = false }
                2 => wanted |= life.resume().is_ok(),
                3 => { life.terminate(at(now), at(5_000)); ended = true }
                _ => {}
            }
            prop_assert!(rank(life.state()) >= before);
            prop_assert_eq!(life.state().ready(), started && wanted && !ended);
            prop_assert_eq!(life.state().can_serve().is_ok(), started && !ended);
        }
        life.advance(at(now + 3_300));
        prop_assert_eq!(life.wakes(), None);
    }
}
