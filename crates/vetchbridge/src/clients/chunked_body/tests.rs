//! Tests that chunked bodies are tracked correctly for every split of their bytes into two reads.

use super::*;
use rstest::rstest;

/// Returns the result of advancing over the bytes before `cut` and, if the body is incomplete by then, over
/// the bytes after `cut`.
fn read_in_two_pieces(bytes: &[u8], cut: usize) -> Progress {
    let mut body = ChunkedBody::new();
    match body.advance(&bytes[..cut]) {
        Progress::Incomplete => match body.advance(&bytes[cut..]) {
            Progress::Complete { length } => Progress::Complete { length: cut + length },
            other => other,
        },
        other => other,
    }
}

#[rstest]
#[case::empty("0\r\n\r\n")]
#[case::one_chunk("3\r\nabc\r\n0\r\n\r\n")]
#[case::hex_size("0A\r\n0123456789\r\n0\r\n\r\n")]
#[case::extension("3;name=value\r\nabc\r\n0\r\n\r\n")]
#[case::trailer("3\r\nabc\r\n0\r\nname: value\r\n\r\n")]
fn a_body_ends_with_its_last_chunk(#[case] body: &str) {
    let bytes = format!("{body}GET / HTTP/1.1\r\n");
    for cut in 0..=bytes.len() {
        assert_eq!(
            read_in_two_pieces(bytes.as_bytes(), cut),
            Progress::Complete { length: body.len() },
            "cut at {cut}"
        );
    }
    assert_eq!(read_in_two_pieces(&body.as_bytes()[..body.len() - 1], 0), Progress::Incomplete);
}

#[rstest]
#[case::no_size("\r\nabc")]
#[case::not_hex("x\r\nabc")]
#[case::size_overflow("11111111111111111\r\n")]
#[case::line_feed_alone("3\nabc")]
#[case::line_feed_in_an_extension("3;a\n")]
#[case::too_much_data("3\r\nabcd\r\n0\r\n\r\n")]
fn a_malformed_body_is_detected(#[case] body: &str) {
    for cut in 0..=body.len() {
        assert_eq!(read_in_two_pieces(body.as_bytes(), cut), Progress::Malformed, "cut at {cut}");
    }
}

/// Guards against framing without data and without an end, which a client sent at full speed until a timer
/// ended its request.
#[rstest]
#[case::zeros_of_a_size("", "0")]
#[case::blanks_after_a_size("1", " ")]
#[case::extension("1;", "a")]
#[case::trailers("0\r\n", "a: b\r\n")]
fn framing_without_end_exceeds_its_limit(#[case] start: &str, #[case] repeated: &str) {
    let mut body = ChunkedBody::new();
    assert_eq!(body.advance(start.as_bytes()), Progress::Incomplete);
    let piece = repeated.repeat(1024);
    let mut pieces = (0..=MAX_FRAMING_BYTES as usize / piece.len()).map(|_| body.advance(piece.as_bytes()));
    assert!(pieces.any(|progress| progress == Progress::TooMuchFraming));
}

/// The smallest chunks that a client can send are valid, however many of them there are.
#[test]
fn a_body_of_one_byte_chunks_stays_within_the_limit_of_framing() {
    let chunks = "1\r\nx\r\n".repeat(64 * 1024);
    let body = format!("{chunks}0\r\n\r\n");
    assert_eq!(ChunkedBody::new().advance(body.as_bytes()), Progress::Complete { length: body.len() });
}
