use super::*;

/// Returns a request, and the bytes that hyper writes for it.
fn request(timeout: Duration) -> (Request<()>, Vec<u8>) {
    let mut request = Request::post("/safe/k?x=1").body(()).expect("a request");
    for (name, text) in [
        ("host", "127.0.0.1:80".to_string()),
        (EXPIRES_IN_HEADER, header_value(timeout)),
        ("idempotency-key", "5c0f".to_string()),
    ] {
        request.headers_mut().insert(name, text.parse().expect("a value"));
    }
    let headers: String =
        request.headers().iter().map(|(n, v)| format!("{n}: {}\r\n", v.to_str().expect("text"))).collect();
    let bytes = format!("POST /safe/k?x=1 HTTP/1.1\r\n{headers}\r\nwork").into_bytes();
    (request, bytes)
}

/// The expiry header's value is replaced correctly, and all other bytes of the request stay unchanged,
/// however the bytes are split over pieces and writes.
#[tokio::test(start_paused = true)]
async fn the_time_remaining_at_the_first_byte_is_written_however_the_request_is_split() {
    let timeout = Duration::from_micros(5_000_000);
    let (request, bytes) = request(timeout);
    for split in 0..bytes.len() {
        let mut expiry = ExpiryHeader::locate(&request, Instant::now() + timeout).expect("the header");
        tokio::time::advance(Duration::from_micros(4_100_000)).await;
        let first = expiry
            .replace_value(0, [&bytes[..split / 2], &bytes[split / 2..]].into_iter())
            .expect("the header's value is not written yet");
        // The first write accepts the bytes up to the split; the second write contains the remaining bytes.
        tokio::time::advance(Duration::from_micros(300_000)).await;
        let rest = if split == 0 {
            first.clone()
        } else {
            expiry.replace_value(split, [&bytes[split..]].into_iter()).unwrap_or(bytes[split..].to_vec())
        };
        let written = [&first[..split], &rest].concat();
        let expected = String::from_utf8_lossy(&bytes).replace("5000000u", "0900000u");
        assert_eq!(String::from_utf8_lossy(&written), expected, "split at {split}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_without_the_header_and_bytes_past_it_are_unchanged() {
    let timeout = Duration::from_secs(5);
    let (mut request, bytes) = request(timeout);
    let mut expiry = ExpiryHeader::locate(&request, Instant::now() + timeout).expect("the header");
    assert!(expiry.replace_value(0, [&bytes[..]].into_iter()).is_some());
    assert!(expiry.replace_value(bytes.len() - 4, [&b"work"[..]].into_iter()).is_none());
    request.headers_mut().remove(EXPIRES_IN_HEADER);
    assert!(ExpiryHeader::locate(&request, Instant::now() + timeout).is_none());
}
