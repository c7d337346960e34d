use super::*;

const WORKER: WorkerId = WorkerId(0x0123_4567_89ab_cdef);

#[test]
fn every_message_is_decoded_as_it_was_encoded_and_takes_sixteen_bytes() {
    let messages = [
        PeerMessage::OccupancyQuery { work: 250_000 },
        PeerMessage::OccupancyReply(None),
        PeerMessage::OccupancyReply(Some(Occupancy { slots: 3.25, ejected_for: 8_000_000 })),
        PeerMessage::AttemptStarted { slots: 2.0, work: 250_000 },
        PeerMessage::AttemptFinished { served: true, connection_failed: false },
        PeerMessage::AttemptFinished { served: false, connection_failed: true },
    ];
    for message in messages {
        let data = message.encode(WORKER);
        assert_eq!(data.len(), 16);
        assert_eq!(PeerMessage::decode(&data), Some((message, WORKER)));
    }
}

#[test]
fn data_that_is_no_message_is_not_decoded() {
    let sound = PeerMessage::OccupancyQuery { work: 0 }.encode(WorkerId(1));
    for length in 0..sound.len() {
        assert_eq!(PeerMessage::decode(&sound[..length]), None, "cut to {length} bytes");
    }
    assert_eq!(PeerMessage::decode(&[sound.clone(), vec![0]].concat()), None, "a byte too many");
    assert_eq!(PeerMessage::decode(&[&[4][..], &sound[1..]].concat()), None, "an unknown kind");
}
