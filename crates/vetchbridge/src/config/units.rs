//! Values that people write with units: their text forms, both ways. Nothing here knows which key a value is for.

use schemars::{json_schema, JsonSchema, Schema, SchemaGenerator};
use serde::{de, Deserialize, Deserializer, Serialize, Serializer};
use std::borrow::Cow;
use std::fmt;
use std::net::SocketAddr;
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::Duration;
use vetchbridge_scheduling::Micros;

/// Why a text is no value of a unit. What would be right is [`Unit::EXAMPLE`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnitError {
    /// Not a span of time.
    #[error("{0:?} is no span of time")]
    NoSpan(String),
    /// A span of more microseconds than 64 bits hold.
    #[error("{0:?} is too long")]
    SpanTooLong(String),
    /// Not a number of bytes.
    #[error("{0:?} is no size")]
    NoSize(String),
    /// Not an IP address with a port.
    #[error("{0:?} is no address with a port")]
    NoAddress(String),
    /// Not a hexadecimal number of 64 bits.
    #[error("{text:?}: {reason}")]
    NoSeed {
        /// The text.
        text: String,
        /// What is wrong with it.
        reason: ParseIntError,
    },
    /// Not a log filter.
    #[error("{0}")]
    NoFilter(String),
}

/// A text form: how it is read, what the schema calls it, and an example for whoever got it wrong.
pub trait Unit: Sized {
    /// The `format` of the schema.
    const FORMAT: &'static str;
    /// What would be right.
    const EXAMPLE: &'static str;
}

/// Longest span that is read with a fraction, in microseconds.
const MAX_FRACTION_MICROS: f64 = 1e18;

/// A span of time such as `480ms`, `1.5s`, `2m 30s` or `250us`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HumanDuration(pub Micros);

impl HumanDuration {
    /// In milliseconds.
    pub const fn from_millis(ms: u64) -> HumanDuration {
        HumanDuration(ms * 1_000)
    }

    /// In seconds.
    pub const fn from_secs(s: u64) -> HumanDuration {
        HumanDuration(s * 1_000_000)
    }

    /// As the standard library has it.
    pub fn duration(self) -> Duration {
        Duration::from_micros(self.0)
    }
}

impl Unit for HumanDuration {
    const FORMAT: &'static str = "span";
    const EXAMPLE: &'static str = "a number with a unit, such as \"480ms\", \"2s\" or \"250us\"";
}

impl FromStr for HumanDuration {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<HumanDuration, UnitError> {
        match humantime::parse_duration(text) {
            Ok(span) => u64::try_from(span.as_micros())
                .map(HumanDuration)
                .map_err(|_| UnitError::SpanTooLong(text.to_string())),
            Err(_) => parse_fraction(text).ok_or_else(|| UnitError::NoSpan(text.to_string())),
        }
    }
}

/// Reads a span with a fraction, which humantime does not, in the three units that are written that way.
fn parse_fraction(text: &str) -> Option<HumanDuration> {
    let number = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    let micros_per_unit = match &text[number.len()..] {
        "s" => 1e6,
        "ms" => 1e3,
        "us" => 1.0,
        _ => return None,
    };
    let plain = number.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let micros = number.parse::<f64>().ok()? * micros_per_unit;
    (plain && micros < MAX_FRACTION_MICROS).then_some(HumanDuration(micros.round() as Micros))
}

impl fmt::Display for HumanDuration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            0 => f.write_str("0s"),
            us if us % 1_000_000 == 0 => write!(f, "{}s", us / 1_000_000),
            us if us % 1_000 == 0 => write!(f, "{}ms", us / 1_000),
            us => write!(f, "{us}us"),
        }
    }
}

/// A number of bytes such as `64KiB` or `192MiB`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Size(pub u64);

impl Unit for Size {
    const FORMAT: &'static str = "size";
    const EXAMPLE: &'static str = "a number with a unit, such as \"64KiB\" or \"192MiB\"";
}

impl FromStr for Size {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Size, UnitError> {
        text.parse::<bytesize::ByteSize>()
            .map(|size| Size(size.0))
            .map_err(|_| UnitError::NoSize(text.to_string()))
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let units = [(30, "GiB"), (20, "MiB"), (10, "KiB")];
        let unit = units.iter().find(|(shift, _)| self.0 >= 1 << shift && self.0 % (1 << shift) == 0);
        match unit {
            Some((shift, unit)) => write!(f, "{}{unit}", self.0 >> shift),
            None => write!(f, "{}B", self.0),
        }
    }
}

/// An IP address with a port; no names are looked up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Address(pub SocketAddr);

impl Unit for Address {
    const FORMAT: &'static str = "address";
    const EXAMPLE: &'static str =
        "an IP address with a port, such as \"127.0.0.1:8080\" (names are not looked up)";
}

impl FromStr for Address {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Address, UnitError> {
        text.parse().map(Address).map_err(|_| UnitError::NoAddress(text.to_string()))
    }
}

impl fmt::Display for Address {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A seed: up to 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Seed(pub u64);

impl Unit for Seed {
    const FORMAT: &'static str = "seed";
    const EXAMPLE: &'static str = "up to 16 hexadecimal digits, such as \"8c1f30d27a5be964\"";
}

impl FromStr for Seed {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Seed, UnitError> {
        u64::from_str_radix(text, 16)
            .map(Seed)
            .map_err(|reason| UnitError::NoSeed { text: text.to_string(), reason })
    }
}

impl fmt::Display for Seed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// What is logged, in the form of `RUST_LOG`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Filter(pub String);

impl Unit for Filter {
    const FORMAT: &'static str = "filter";
    const EXAMPLE: &'static str =
        "directives as in RUST_LOG, such as \"info\" or \"info,vetchbridge::workers=debug\"";
}

impl FromStr for Filter {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Filter, UnitError> {
        match crate::logs::parse_filter(text) {
            Ok(_) => Ok(Filter(text.to_string())),
            Err(error) => Err(UnitError::NoFilter(error.to_string())),
        }
    }
}

impl fmt::Display for Filter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// What is wrong with a text of this format, and what would be right; `None` if nothing is, or no unit has it.
pub fn fault(format: &str, text: &str) -> Option<(String, &'static str)> {
    fn of<U: Unit + FromStr<Err = UnitError>>(text: &str) -> Option<(String, &'static str)> {
        text.parse::<U>().err().map(|error| (error.to_string(), U::EXAMPLE))
    }
    match format {
        HumanDuration::FORMAT => of::<HumanDuration>(text),
        Size::FORMAT => of::<Size>(text),
        Address::FORMAT => of::<Address>(text),
        Seed::FORMAT => of::<Seed>(text),
        Filter::FORMAT => of::<Filter>(text),
        _ => None,
    }
}

macro_rules! as_text {
    ($($unit:ident),*) => {$(
        impl Serialize for $unit {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $unit {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<$unit, D::Error> {
                String::deserialize(deserializer)?.parse().map_err(de::Error::custom)
            }
        }

        impl JsonSchema for $unit {
            fn inline_schema() -> bool {
                true
            }

            fn schema_name() -> Cow<'static, str> {
                stringify!($unit).into()
            }

            fn json_schema(_: &mut SchemaGenerator) -> Schema {
                json_schema!({"type": "string", "format": $unit::FORMAT})
            }
        }
    )*};
}

as_text!(HumanDuration, Size, Address, Seed, Filter);
