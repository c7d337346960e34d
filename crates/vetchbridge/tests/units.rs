//! Values with units: what is read, what is refused, and that each prints back as it is read.
#![allow(missing_docs)]

use vetchbridge::config::units::{HumanDuration, Size};

#[test]
fn a_unit_prints_back_as_it_is_read_and_nonsense_is_refused() {
    let spans = [("480ms", 480_000), ("1.5s", 1_500_000), ("250us", 250), ("2m 30s", 150_000_000), ("0s", 0)];
    for (text, micros) in spans {
        let span: HumanDuration = text.parse().expect(text);
        assert_eq!(span, HumanDuration(micros), "{text}");
        assert_eq!(span.to_string().parse(), Ok(span));
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
