//! Tests of parsing and displaying workers' addresses.

use super::*;

#[test]
fn an_address_is_displayed_as_it_was_parsed() {
    for text in ["10.0.0.1:80", "0.0.0.0:0", "255.255.255.255:65535"] {
        let worker = parse(text).expect(text);
        assert_eq!(WorkerAddress(worker).to_string(), text);
    }
    assert_eq!(parse("10.0.0.1:80"), Some(WorkerId(0x0a00_0001_0050)));
}

#[test]
fn any_other_form_is_rejected() {
    let malformed = [
        "",
        "10.0.0.1",
        "10.0.0.1:",
        "10.0.0:80",
        "10.0.0.0.1:80",
        "10.0.0.01:80",
        "10.0.0.256:80",
        "10.0.0.1:65536",
        "10.0.0.1:100000",
        "10.0.0.1.80",
        "10:0.0.1:80",
        "10.0.0.x:80",
        " 10.0.0.1:80",
    ];
    for text in malformed {
        assert_eq!(parse(text), None, "{text:?}");
    }
}
