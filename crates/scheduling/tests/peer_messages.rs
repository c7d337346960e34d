//! Tests of the encoding of the messages between schedulers: compares the 16 bytes of each message with
//! literal bytes. Schedulers of different versions may run in one tier, so the encoding must not change.

use vetchbridge_scheduling::WorkerId;
use vetchbridge_scheduling::{Occupancy, PeerMessage};

const WORKER: WorkerId = WorkerId(0x0123_4567_89ab_cdef);
const WORKER_BYTES: [u8; 8] = [0xef, 0xcd, 0xab, 0x89, 0x67, 0x45, 0x23, 0x01];

#[test]
fn every_message_has_the_same_bytes_as_in_the_first_version() {
    let messages: [(PeerMessage, [u8; 8]); 6] = [
        (PeerMessage::OccupancyQuery { work: 250_000 }, [0, 0, 0, 0, 0x90, 0xd0, 0x03, 0]),
        (PeerMessage::OccupancyReply(None), [1, 0, 0, 0, 0, 0, 0, 0]),
        (
            PeerMessage::OccupancyReply(Some(Occupancy { slots: 3.25, ejected_for: 8_000_000 })),
            [1, 1, 52, 0, 0x00, 0x12, 0x7a, 0],
        ),
        (PeerMessage::AttemptStarted { slots: 2.0, work: 250_000 }, [2, 0, 32, 0, 0x90, 0xd0, 0x03, 0]),
        (PeerMessage::AttemptFinished { served: true, connection_failed: false }, [3, 1, 0, 0, 0, 0, 0, 0]),
        (PeerMessage::AttemptFinished { served: false, connection_failed: true }, [3, 2, 0, 0, 0, 0, 0, 0]),
    ];
    for (message, first_half) in messages {
        let expected_bytes = [first_half, WORKER_BYTES].concat();
        assert_eq!(message.encode(WORKER), expected_bytes, "{message:?}");
        assert_eq!(PeerMessage::decode(&expected_bytes), Some((message, WORKER)));
    }
}

#[test]
fn values_too_large_for_their_field_are_encoded_as_the_field_s_maximum() {
    let encoded = PeerMessage::AttemptStarted { slots: 1e9, work: u64::MAX }.encode(WORKER);
    assert_eq!(encoded[..8], [2, 0, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff]);
}
