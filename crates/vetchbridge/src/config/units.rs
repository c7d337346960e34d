//! Values that people write with units. Owns their text forms, both ways; it must never know which key one is for.

use schemars::{json_schema, JsonSchema, Schema, SchemaGenerator};
use serde::{de, Deserialize, Deserializer, Serialize, Serializer};
use std::borrow::Cow;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;
use vetchbridge_scheduling::interface::Micros;

/// A text form: how it is read, what the schema calls it, and an example for whoever got it wrong.
pub trait Unit: Sized {
    /// The `format` of the schema.
    const FORMAT: &'static str;
    /// What would be right.
    const EXAMPLE: &'static str;
}

/// A span of time such as `480ms`, `1.5s`, `2m 30s` or `250us`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub Micros);

impl Span {
    /// In milliseconds.
    pub const fn ms(ms: u64) -> Span {
        Span(ms * 1_000)
    }

    /// In seconds.
    pub const fn s(s: u64) -> Span {
        Span(s * 1_000_000)
    }

    /// As the standard library has it.
    pub fn duration(self) -> Duration {
        Duration::from_micros(self.0)
    }
}

impl Unit for Span {
    const FORMAT: &'static str = "span";
    const EXAMPLE: &'static str = "a number with a unit, such as \"480ms\", \"2s\" or \"250us\"";
}

impl FromStr for Span {
    type Err = String;

    fn from_str(text: &str) -> Result<Span, String> {
        let whole = humantime::parse_duration(text);
        // Fractions, which humantime does not read, in the three units that are written that way.
        let fraction = || {
            let number = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
            let scale = match &text[number.len()..] {
                "s" => 1e6,
                "ms" => 1e3,
                "us" => 1.0,
                _ => return None,
            };
            let plain = number.bytes().all(|b| b.is_ascii_digit() || b == b'.');
            let micros = number.parse::<f64>().ok()? * scale;
            (plain && micros < 1e18).then_some(Span(micros.round() as Micros))
        };
        match whole {
            Ok(span) => {
                u64::try_from(span.as_micros()).map(Span).map_err(|_| format!("{text:?} is too long"))
            }
            Err(_) => fraction().ok_or_else(|| format!("{text:?} is no span of time")),
        }
    }
}

impl fmt::Display for Span {
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
    type Err = String;

    fn from_str(text: &str) -> Result<Size, String> {
        text.parse::<bytesize::ByteSize>()
            .map(|size| Size(size.0))
            .map_err(|_| format!("{text:?} is no size"))
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let units = [(30, "GiB"), (20, "MiB"), (10, "KiB")];
        let whole = units.iter().find(|(shift, _)| self.0 >= 1 << shift && self.0 % (1 << shift) == 0);
        match whole {
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
    type Err = String;

    fn from_str(text: &str) -> Result<Address, String> {
        text.parse().map(Address).map_err(|_| format!("{text:?} is no address with a port"))
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
    type Err = String;

    fn from_str(text: &str) -> Result<Seed, String> {
        u64::from_str_radix(text, 16).map(Seed).map_err(|error| format!("{text:?}: {error}"))
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
    type Err = String;

    fn from_str(text: &str) -> Result<Filter, String> {
        crate::logs::parse_filter(text).map(|_| Filter(text.to_string())).map_err(|error| error.to_string())
    }
}

impl fmt::Display for Filter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// What is wrong with a text of this format, and what would be right; `None` if nothing is, or no unit has it.
pub fn fault(format: &str, text: &str) -> Option<(String, &'static str)> {
    fn of<U: Unit + FromStr<Err = String>>(text: &str) -> Option<(String, &'static str)> {
        text.parse::<U>().err().map(|what| (what, U::EXAMPLE))
    }
    match format {
        Span::FORMAT => of::<Span>(text),
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

as_text!(Span, Size, Address, Seed, Filter);
