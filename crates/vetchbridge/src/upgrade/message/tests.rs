//! Tests of the length limits and the encoding of handover messages.

use super::*;

#[test]
fn a_callback_of_maximum_size_fits_into_one_message() {
    let result = "\\".repeat(64 * 1024 - 130);
    let text = format!(
        "{{\"id\":\"00000000000000ab\",\"from\":\"s\",\"state\":\"done\",\"load\":{{\"queue\":1e999}},\"result\":{result:?}}}"
    );
    let callback: Callback = serde_json::from_str(&text).expect("a callback");
    let encoded = HandoverMessage::ForwardedCallback { number: u64::MAX, callback }.encode();
    assert!(encoded.len() <= MAX_MESSAGE_BYTES, "{}", encoded.len());
    assert!(
        matches!(HandoverMessage::decode(&encoded), Ok(HandoverMessage::ForwardedCallback { callback, .. }) if callback.result == result && callback.load.is_some())
    );
}

/// Decoding an encoded message returns the original message; an incomplete message can't be decoded.
#[test]
fn a_message_is_decoded_completely_or_not_at_all() {
    let offer = Offer {
        quiesced: true,
        source: None,
        generation: Some(7),
        confirmed: false,
        connections: 3,
        replies_to_sync: true,
        configuration: None,
    };
    let messages = [
        HandoverMessage::Offer(offer),
        HandoverMessage::Endpoints(Vec::new()),
        HandoverMessage::Rejected("no".to_string()),
        HandoverMessage::ClientConnection { is_kept_alive: true },
        HandoverMessage::RequestOpened(u64::MAX),
        HandoverMessage::Sync(u64::MAX),
        HandoverMessage::SyncReply(0),
    ];
    for message in messages {
        let encoded = message.encode();
        assert_eq!(HandoverMessage::decode(&encoded).expect("a message").encode(), encoded, "{message:?}");
        for end in 0..encoded.len() {
            assert!(HandoverMessage::decode(&encoded[..end]).is_err(), "{message:?} cut at {end}");
        }
    }
    assert!(
        HandoverMessage::decode(b"\"Unheard\"").is_err()
            && HandoverMessage::decode(b"{\"Holds\":-1}").is_err()
    );
}
