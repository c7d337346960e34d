use super::*;

#[test]
fn every_timer_is_read_back_from_its_token() {
    for sequence in [0, 1, SEQUENCE_MASK] {
        for timer in [Timer::Deadline(sequence), Timer::Placement(sequence), Timer::AttemptCheck(sequence)] {
            assert_eq!(Timer::from(timer.token()), timer);
        }
    }
    assert_eq!(Timer::from(Timer::EndpointPoll.token()), Timer::EndpointPoll);
}

#[test]
fn tokens_of_one_request_differ_by_kind() {
    let tokens = [Timer::Deadline(5), Timer::Placement(5), Timer::AttemptCheck(5)].map(Timer::token);
    assert_eq!(tokens, [TimerToken(5), TimerToken(1 << 56 | 5), TimerToken(3 << 56 | 5)]);
}
