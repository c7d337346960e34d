//! The transitions of the state machine for the daemon's lifecycle (starting, serving, draining, shutting
//! down), and what each state allows.
#![allow(missing_docs)]

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use std::time::Duration;
use vetchbridge::lifecycle::state::{LifecycleMachine, LifecycleState, ShutdownPhase, Unavailable};

/// Returns the time `ms` milliseconds after the start of the lifecycle's clock.
fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Follows a daemon process from its start to its shutdown. The process is not ready for new clients before
/// it can serve, while an operator drains it, or while it shuts down.
#[test]
fn a_drain_can_be_resumed_and_a_shutdown_cannot() {
    let mut machine = LifecycleMachine::new(false);
    assert!(!machine.state().is_ready() && machine.state().ensure_can_serve() == Err(Unavailable::Starting));
    machine.start_serving(at(10));
    assert!(machine.state().is_ready() && !machine.state().closes_after_response());
    machine.quiesce(at(100));
    assert!(
        !machine.state().is_ready()
            && machine.state().closes_after_response()
            && !machine.state().closes_idle_connections()
    );
    assert_eq!(machine.state().ensure_can_serve(), Ok(()));
    machine.quiesce(at(500));
    machine.advance(at(600));
    assert_eq!(machine.state(), LifecycleState::Drained, "a second quiesce does not extend the drain");
    assert_eq!(
        (machine.next_transition_at(), machine.resume(), machine.state()),
        (None, Ok(()), LifecycleState::Serving)
    );
    machine.quiesce(at(700));
    machine.begin_shutdown(at(800), at(60_000));
    assert_eq!(machine.resume(), Err(Unavailable::ShuttingDown));
    machine.advance(at(800 + 3_300));
    assert!(!machine.state().accepts_requests() && machine.state().closes_idle_connections());
}

/// An operator's commands during the start of a daemon process take effect once the process can serve.
#[test]
fn a_process_quiesced_while_it_starts_drains_as_soon_as_it_serves() {
    for (calls, ready) in [("q", false), ("qr", true), ("rq", false), ("", true)] {
        let mut machine = LifecycleMachine::new(false);
        for call in calls.chars() {
            match call {
                'q' => machine.quiesce(at(1)),
                _ => machine.resume().expect("the process is not shutting down"),
            }
        }
        machine.start_serving(at(2));
        assert_eq!(machine.state().is_ready(), ready, "{calls}");
    }
    let mut successor = LifecycleMachine::new(true);
    successor.start_serving(at(2));
    assert_eq!(successor.state(), LifecycleState::Draining);
}

/// The platform kills a process (SIGKILL) 0.7 s after the longest deadline of its classes has passed since
/// SIGTERM; at most 3 s of the deadline count. The process must send its final responses before SIGKILL.
/// Clients may use open connections until 1 s before the final responses.
#[test]
fn a_shutdown_serves_open_connections_and_is_complete_before_sigkill() {
    for (deadline_ms, connections_close_ms, terminates_ms) in
        [(60_000, 2_300, 3_300), (3_000, 2_300, 3_300), (1_500, 800, 1_800), (200, 0, 500)]
    {
        let mut machine = LifecycleMachine::new(false);
        machine.start_serving(at(10));
        machine.begin_shutdown(at(20), at(deadline_ms));
        let mut state = |ms: u64| {
            machine.advance(at(20 + ms));
            machine.state()
        };
        if connections_close_ms > 0 {
            let serving = state(connections_close_ms - 1);
            assert!(
                !serving.is_ready()
                    && serving.accepts_requests()
                    && !serving.closes_after_response()
                    && !serving.closes_idle_connections()
            );
        }
        let closing = state(connections_close_ms);
        assert!(
            closing.accepts_requests()
                && closing.closes_after_response()
                && closing.closes_idle_connections(),
            "{deadline_ms}"
        );
        assert!(
            state(terminates_ms - 1).accepts_requests() && !state(terminates_ms).accepts_requests(),
            "{deadline_ms}"
        );
    }
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    })]

    /// For calls in any order: a shutdown is final and its phase never goes back, a process is ready exactly
    /// when it can serve and is not quiesced, and without further calls the process reaches a state that no
    /// timer ends.
    #[test]
    fn the_lifecycle_stays_consistent_for_calls_in_any_order(calls in prop::collection::vec((0..5u8, 0..900u64), 1..40)) {
        let mut machine = LifecycleMachine::new(false);
        let (mut now, mut started, mut resumed, mut shutting_down) = (0, false, true, false);
        let shutdown_rank = |state: LifecycleState| match state {
            LifecycleState::ShuttingDown(ShutdownPhase::Draining) => 1,
            LifecycleState::ShuttingDown(ShutdownPhase::Drained) => 2,
            LifecycleState::ShuttingDown(ShutdownPhase::Terminating) => 3,
            _ => 0,
        };
        for (call, pause) in calls {
            let before = shutdown_rank(machine.state());
            now += pause;
            machine.advance(at(now));
            match call {
                0 => { machine.start_serving(at(now)); started = true }
                1 => { machine.quiesce(at(now)); resumed = false }
                2 => resumed |= machine.resume().is_ok(),
                3 => { machine.begin_shutdown(at(now), at(5_000)); shutting_down = true }
                _ => {}
            }
            prop_assert!(shutdown_rank(machine.state()) >= before);
            prop_assert_eq!(machine.state().is_ready(), started && resumed && !shutting_down);
            prop_assert_eq!(machine.state().ensure_can_serve().is_ok(), started && !shutting_down);
        }
        machine.advance(at(now + 3_300));
        prop_assert_eq!(machine.next_transition_at(), None);
    }
}
