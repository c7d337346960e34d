use super::*;

/// A request as hyper writes it.
fn request(wait: Duration) -> (Request<()>, Vec<u8>) {
    let mut request = Request::post("/safe/k?x=1").body(()).expect("a request");
    for (name, text) in [
        ("host", "127.0.0.1:80".to_string()),
        (EXPIRES_IN, value(wait)),
        ("idempotency-key", "5c0f".to_string()),
    ] {
        request.headers_mut().insert(name, text.parse().expect("a value"));
    }
    let headers: String =
        request.headers().iter().map(|(n, v)| format!("{n}: {}\r\n", v.to_str().expect("text"))).collect();
    let bytes = format!("POST /safe/k?x=1 HTTP/1.1\r\n{headers}\r\nwork").into_bytes();
    (request, bytes)
}

/// However the bytes are cut, over pieces and over writes, one value goes out, at its place, and all else as it was.
#[tokio::test(start_paused = true)]
async fn the_time_left_at_the_first_byte_stands_in_its_place_however_the_request_is_cut() {
    let wait = Duration::from_micros(5_000_000);
    let (request, bytes) = request(wait);
    for cut in 0..bytes.len() {
        let mut expiry = Expiry::of(&request, Instant::now() + wait).expect("the header");
        tokio::time::advance(Duration::from_micros(4_100_000)).await;
        let first =
            expiry.stamp(0, [&bytes[..cut / 2], &bytes[cut / 2..]].into_iter()).expect("it stands there");
        // The kernel took the bytes up to the cut; the rest follows later.
        tokio::time::advance(Duration::from_micros(300_000)).await;
        let rest = if cut == 0 {
            first.clone()
        } else {
            expiry.stamp(cut, [&bytes[cut..]].into_iter()).unwrap_or(bytes[cut..].to_vec())
        };
        let written = [&first[..cut], &rest].concat();
        let expected = String::from_utf8_lossy(&bytes).replace("5000000u", "0900000u");
        assert_eq!(String::from_utf8_lossy(&written), expected, "cut at {cut}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_without_the_header_and_bytes_past_it_are_left_alone() {
    let wait = Duration::from_secs(5);
    let (mut request, bytes) = request(wait);
    let mut expiry = Expiry::of(&request, Instant::now() + wait).expect("the header");
    assert!(expiry.stamp(0, [&bytes[..]].into_iter()).is_some());
    assert!(expiry.stamp(bytes.len() - 4, [&b"work"[..]].into_iter()).is_none());
    request.headers_mut().remove(EXPIRES_IN);
    assert!(Expiry::of(&request, Instant::now() + wait).is_none());
}
