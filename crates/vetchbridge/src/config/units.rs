//! Configuration values with a text form, such as durations and sizes: parsing, printing and their JSON
//! Schema. This module does not know which configuration key a value belongs to.

use schemars::{json_schema, JsonSchema, Schema, SchemaGenerator};
use serde::{de, Deserialize, Deserializer, Serialize, Serializer};
use std::borrow::Cow;
use std::fmt;
use std::net::SocketAddr;
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::Duration;
use vetchbridge_scheduling::Micros;

/// Why a text does not parse as a configuration value. [`TextFormat::REMEDY`] describes a valid text of the
/// type.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TextFormatError {
    /// The text of the configuration value is not a duration.
    #[error("found {0:?}, expected a duration")]
    InvalidDuration(String),
    /// The duration in the configuration does not fit in 64 bits as a number of microseconds.
    #[error("the duration {0:?} is too long")]
    DurationTooLong(String),
    /// The text of the configuration value is not a number of bytes.
    #[error("found {0:?}, expected a size")]
    InvalidSize(String),
    /// The text of the configuration value is not an IP address with a port.
    #[error("found {0:?}, expected an IP address with a port")]
    InvalidAddress(String),
    /// The text of the configuration value is not a hexadecimal number of at most 64 bits.
    #[error("found {text:?}, expected a hexadecimal number: {reason}")]
    InvalidSeed {
        /// The text that does not parse as a seed.
        text: String,
        /// Why the text does not parse as a seed.
        reason: ParseIntError,
    },
    /// The text of the configuration value is not a log filter.
    #[error("{0}")]
    InvalidFilter(String),
}

/// A type of configuration value that is written as a text.
pub trait TextFormat: Sized {
    /// The value of the keyword `format` for this type in the JSON Schema.
    const FORMAT: &'static str;
    /// Tells users what a valid text of this type is, with an example.
    const REMEDY: &'static str;
}

/// Exclusive upper limit of a duration that is written with a fraction, in microseconds.
const MAX_FRACTION_MICROS: f64 = 1e18;

/// A duration in microseconds, written as `480ms`, `1.5s`, `2m 30s` or `250us`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HumanDuration(pub Micros);

impl HumanDuration {
    /// Returns a duration of `ms` milliseconds.
    pub const fn from_millis(ms: u64) -> HumanDuration {
        HumanDuration(ms * 1_000)
    }

    /// Returns a duration of `s` seconds.
    pub const fn from_secs(s: u64) -> HumanDuration {
        HumanDuration(s * 1_000_000)
    }

    /// Converts the duration to the standard library's type.
    pub fn duration(self) -> Duration {
        Duration::from_micros(self.0)
    }
}

impl TextFormat for HumanDuration {
    const FORMAT: &'static str = "span";
    const REMEDY: &'static str = "write a number with a unit, such as \"480ms\", \"2s\" or \"250us\"";
}

impl FromStr for HumanDuration {
    type Err = TextFormatError;

    fn from_str(text: &str) -> Result<HumanDuration, TextFormatError> {
        match humantime::parse_duration(text) {
            Ok(duration) => u64::try_from(duration.as_micros())
                .map(HumanDuration)
                .map_err(|_| TextFormatError::DurationTooLong(text.to_string())),
            Err(_) => parse_fraction(text).ok_or_else(|| TextFormatError::InvalidDuration(text.to_string())),
        }
    }
}

/// Parses a duration that is written with a fraction, in seconds, milliseconds or microseconds. The crate
/// humantime, which parses all other durations, does not accept fractions.
fn parse_fraction(text: &str) -> Option<HumanDuration> {
    let number = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    let micros_per_unit = match &text[number.len()..] {
        "s" => 1e6,
        "ms" => 1e3,
        "us" => 1.0,
        _ => return None,
    };
    let is_plain_decimal = number.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let micros = number.parse::<f64>().ok()? * micros_per_unit;
    (is_plain_decimal && micros < MAX_FRACTION_MICROS).then_some(HumanDuration(micros.round() as Micros))
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

/// A size in bytes, written as `64KiB` or `192MiB`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Size(pub u64);

impl TextFormat for Size {
    const FORMAT: &'static str = "size";
    const REMEDY: &'static str = "write a number with a unit, such as \"64KiB\" or \"192MiB\"";
}

impl FromStr for Size {
    type Err = TextFormatError;

    fn from_str(text: &str) -> Result<Size, TextFormatError> {
        text.parse::<bytesize::ByteSize>()
            .map(|size| Size(size.0))
            .map_err(|_| TextFormatError::InvalidSize(text.to_string()))
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

/// An IP address with a port. Host names are not resolved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Address(pub SocketAddr);

impl TextFormat for Address {
    const FORMAT: &'static str = "address";
    const REMEDY: &'static str =
        "write an IP address with a port, such as \"127.0.0.1:8080\" (host names are not resolved)";
}

impl FromStr for Address {
    type Err = TextFormatError;

    fn from_str(text: &str) -> Result<Address, TextFormatError> {
        text.parse().map(Address).map_err(|_| TextFormatError::InvalidAddress(text.to_string()))
    }
}

impl fmt::Display for Address {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A seed of the scheduler's random numbers, written as up to 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Seed(pub u64);

impl TextFormat for Seed {
    const FORMAT: &'static str = "seed";
    const REMEDY: &'static str = "write up to 16 hexadecimal digits, such as \"8c1f30d27a5be964\"";
}

impl FromStr for Seed {
    type Err = TextFormatError;

    fn from_str(text: &str) -> Result<Seed, TextFormatError> {
        u64::from_str_radix(text, 16)
            .map(Seed)
            .map_err(|reason| TextFormatError::InvalidSeed { text: text.to_string(), reason })
    }
}

impl fmt::Display for Seed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A filter of log events, written as in the environment variable `RUST_LOG`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Filter(pub String);

impl TextFormat for Filter {
    const FORMAT: &'static str = "filter";
    const REMEDY: &'static str =
        "write directives as in RUST_LOG, such as \"info\" or \"info,vetchbridge::workers=debug\"";
}

impl FromStr for Filter {
    type Err = TextFormatError;

    fn from_str(text: &str) -> Result<Filter, TextFormatError> {
        match crate::logs::parse_filter(text) {
            Ok(_) => Ok(Filter(text.to_string())),
            Err(error) => Err(TextFormatError::InvalidFilter(error.to_string())),
        }
    }
}

impl fmt::Display for Filter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Checks a text against the type of value whose schema `format` is given. Returns the problem and the
/// remedy, or `None` if the text is valid or no type has this format.
pub fn fault(format: &str, text: &str) -> Option<(String, &'static str)> {
    fn parse_fault<U: TextFormat + FromStr<Err = TextFormatError>>(
        text: &str,
    ) -> Option<(String, &'static str)> {
        text.parse::<U>().err().map(|error| (error.to_string(), U::REMEDY))
    }
    match format {
        HumanDuration::FORMAT => parse_fault::<HumanDuration>(text),
        Size::FORMAT => parse_fault::<Size>(text),
        Address::FORMAT => parse_fault::<Address>(text),
        Seed::FORMAT => parse_fault::<Seed>(text),
        Filter::FORMAT => parse_fault::<Filter>(text),
        _ => None,
    }
}

macro_rules! impl_text_form {
    ($($name:ident),*) => {$(
        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<$name, D::Error> {
                String::deserialize(deserializer)?.parse().map_err(de::Error::custom)
            }
        }

        impl JsonSchema for $name {
            fn inline_schema() -> bool {
                true
            }

            fn schema_name() -> Cow<'static, str> {
                stringify!($name).into()
            }

            fn json_schema(_: &mut SchemaGenerator) -> Schema {
                json_schema!({"type": "string", "format": $name::FORMAT})
            }
        }
    )*};
}

impl_text_form!(HumanDuration, Size, Address, Seed, Filter);
