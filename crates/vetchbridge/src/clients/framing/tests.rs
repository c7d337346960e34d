//! Tests that requests are tracked correctly for every split of their bytes into two reads.

use super::*;

fn framing_after(parts: &[&str]) -> RequestFraming {
    let mut framing = RequestFraming::new();
    for part in parts {
        let mut bytes = part.as_bytes();
        while !bytes.is_empty() {
            bytes = &bytes[framing.advance(bytes)..];
        }
    }
    framing
}

/// If a request has a `Content-Length` and a `Transfer-Encoding`, hyper ignores the length. An intermediary
/// that trusts the length would see another request in the body.
#[test]
fn a_request_with_content_length_and_transfer_encoding_is_ambiguous_in_either_order() {
    let (length, chunked) = ("Content-Length: 4\r\n", "transfer-encoding: chunked\r\n");
    for (headers, is_ambiguous) in [
        (format!("{length}{chunked}"), true),
        (format!("{chunked}{length}"), true),
        (length.to_string(), false),
        (chunked.to_string(), false),
    ] {
        let first = "POST /a/b HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc";
        let requests = format!("{first}POST /a/b HTTP/1.1\r\n{headers}\r\n");
        for cut in 0..requests.len() {
            let framing = framing_after(&[&requests[..cut], &requests[cut..]]);
            assert_eq!(framing.is_ambiguous, is_ambiguous, "{requests} cut at {cut}");
        }
    }
    assert!(framing_after(&["GET /health/ready HTTP/1.1\r\n\r\n"]).is_between_requests());
    assert!(!framing_after(&["POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nx"]).is_between_requests());
    let too_long = framing_after(&["POST / HTTP/1.1\r\n", &"a: b\r\n".repeat(3000)]);
    assert_eq!(too_long.position, Position::Untracked);
}

#[test]
fn a_request_ends_where_the_next_one_begins() {
    let requests = ["GET /a HTTP/1.1\r\n\r\n", "POST /b HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", "GET /"];
    let stream = requests.concat();
    for cut in 0..=stream.len() {
        let (mut framing, mut offset, mut ends) = (RequestFraming::new(), 0, Vec::new());
        while offset < stream.len() {
            let end = if offset < cut { cut } else { stream.len() };
            offset += framing.advance(&stream.as_bytes()[offset..end]);
            if framing.is_between_requests() {
                ends.push(offset);
            }
        }
        assert_eq!(ends, [requests[0].len(), requests[0].len() + requests[1].len()], "cut at {cut}");
    }
}
