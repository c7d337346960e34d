use super::*;

const WORKER: WorkerId = WorkerId(0x0123_4567_89ab_cdef);

#[test]
fn every_message_is_encoded_in_sixteen_bytes_and_decoded_to_an_equal_message() {
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
fn data_of_the_wrong_length_or_kind_is_not_decoded() {
    let valid = PeerMessage::OccupancyQuery { work: 0 }.encode(WorkerId(1));
    for length in 0..valid.len() {
        assert_eq!(PeerMessage::decode(&valid[..length]), None, "cut to {length} bytes");
    }
    assert_eq!(PeerMessage::decode(&[valid.clone(), vec![0]].concat()), None, "one byte too many");
    assert_eq!(PeerMessage::decode(&[&[4][..], &valid[1..]].concat()), None, "an unknown kind");
}
