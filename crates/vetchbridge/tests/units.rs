//! Tests that durations and sizes in the configuration are parsed and printed with units, and that invalid
//! texts are rejected.
#![allow(missing_docs)]

use vetchbridge::config::units::{HumanDuration, Size};

#[test]
fn values_with_units_round_trip_and_invalid_texts_are_rejected() {
    let durations =
        [("480ms", 480_000), ("1.5s", 1_500_000), ("250us", 250), ("2m 30s", 150_000_000), ("0s", 0)];
    for (text, micros) in durations {
        let duration: HumanDuration = text.parse().expect(text);
        assert_eq!(duration, HumanDuration(micros), "{text}");
        assert_eq!(duration.to_string().parse(), Ok(duration));
    }
    for text in
        ["480", "-1s", "1e3s", "s", "inf s", "nans", "1.2.3s", "", "99999999999999999999s", "1.5s\u{e9}"]
    {
        assert!(text.parse::<HumanDuration>().is_err(), "{text:?}");
    }
    for (text, bytes) in [("64KiB", 65_536), ("192MiB", 192 << 20), ("10B", 10), ("1GiB", 1 << 30)] {
        let size: Size = text.parse().expect(text);
        assert_eq!((size, size.to_string()), (Size(bytes), text.to_string()));
    }
    for text in ["much", "-1KiB", "64 parsecs"] {
        assert!(text.parse::<Size>().is_err(), "{text:?}");
    }
}
