//! The simulator's wire: parsing and printing only, translated to and from the crate's own terms.
//!
//! Nothing is decided here. Unknown messages, fields and settings are skipped; a known message that is
//! malformed is a [`WireError`] naming the line and the field.

use crate::interface::*;
use base64::{engine::general_purpose::STANDARD, Engine as _};
use serde_json::{Map, Value};
use std::io::{BufRead, Write};

/// What was wrong with the input.
#[derive(Debug)]
pub struct WireError {
    /// Line of the input, from 1.
    pub line: u64,
    /// The field or message at fault.
    pub field: String,
    /// What is wrong with it.
    pub reason: String,
}

impl std::fmt::Display for WireError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "line {}: {}: {}", self.line, self.field, self.reason)
    }
}

impl std::error::Error for WireError {}

/// One message of a batch.
#[derive(Debug, PartialEq)]
pub enum Message {
    /// A batch opens; its clock.
    Begin(Micros),
    /// The batch ends.
    Commit,
    /// The events that follow are this instance's.
    Instance(u32),
    /// A new instance.
    Open {
        /// Its random seed.
        seed: u64,
        /// Its settings.
        settings: Box<Settings>,
    },
    /// The instance is killed.
    Down,
    /// An event for the policy.
    Event(Event),
}

/// What a field lacks, before the line is known.
struct Fault(String, String);

/// Reads the settings object on its own, for a dispatcher that finds it in its configuration. Line 0.
pub fn settings(json: &str) -> Result<Settings, WireError> {
    parse_settings(json).map_err(|Fault(field, reason)| WireError { line: 0, field, reason })
}

fn fault<T>(field: &str, reason: impl Into<String>) -> Result<T, Fault> {
    Err(Fault(field.to_string(), reason.into()))
}

/// Reads messages from a stream of lines.
pub struct Reader<R> {
    input: R,
    buffer: Vec<u8>,
    line: u64,
}

impl<R: BufRead> Reader<R> {
    /// A reader at the start of its input.
    pub fn new(input: R) -> Self {
        Reader { input, buffer: Vec::with_capacity(1 << 16), line: 0 }
    }

    /// The line last read, from 1.
    pub fn line(&self) -> u64 {
        self.line
    }

    fn error(&self, field: impl Into<String>, reason: impl Into<String>) -> WireError {
        WireError { line: self.line, field: field.into(), reason: reason.into() }
    }

    fn fill(&mut self) -> Result<bool, WireError> {
        self.buffer.clear();
        self.line += 1;
        match self.input.read_until(b'\n', &mut self.buffer) {
            Ok(0) => Ok(false),
            Ok(_) => Ok(true),
            Err(e) => Err(self.error("input", e.to_string())),
        }
    }

    /// The next known message; `None` at the end of input.
    pub fn next_message(&mut self) -> Result<Option<Message>, WireError> {
        loop {
            if !self.fill()? {
                return Ok(None);
            }
            match parse_line(text(&self.buffer).map_err(|Fault(f, r)| self.error(f, r))?) {
                Ok(Parsed::Message(message)) => return Ok(Some(message)),
                Ok(Parsed::Skip) => {}
                Ok(Parsed::Members(kind, count)) => return self.members(kind, count).map(Some),
                Err(Fault(field, reason)) => return Err(self.error(field, reason)),
            }
        }
    }

    fn members(&mut self, kind: ListKind, count: usize) -> Result<Message, WireError> {
        let mut members = Vec::with_capacity(count.min(1 << 16));
        while members.len() < count {
            if !self.fill()? {
                return Err(self.error("row", "input ends inside a list"));
            }
            let parsed = text(&self.buffer).and_then(parse_row);
            match parsed {
                Ok(member) => members.push(member),
                Err(Fault(field, reason)) => return Err(self.error(field, reason)),
            }
        }
        Ok(Message::Event(Event::Members { kind, members }))
    }
}

fn text(buffer: &[u8]) -> Result<&str, Fault> {
    match std::str::from_utf8(buffer) {
        Ok(s) => Ok(s.trim_end_matches(['\n', '\r'])),
        Err(_) => fault("line", "not UTF-8"),
    }
}

enum Parsed {
    Message(Message),
    Members(ListKind, usize),
    Skip,
}

/// The name=value pairs of a line.
#[derive(Clone, Copy)]
struct Fields<'a>(&'a str);

impl<'a> Fields<'a> {
    fn find(&self, name: &str) -> Option<&'a str> {
        self.0.split(' ').find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
    }

    fn need(&self, name: &str) -> Result<&'a str, Fault> {
        self.find(name).map_or_else(|| fault(name, "missing"), Ok)
    }

    fn number<T: std::str::FromStr>(&self, name: &str) -> Result<T, Fault> {
        let value = self.need(name)?;
        value.parse().or_else(|_| fault(name, format!("unreadable value {value:?}")))
    }

    fn number_or<T: std::str::FromStr>(&self, name: &str, default: T) -> Result<T, Fault> {
        self.find(name).map_or(Ok(default), |_| self.number(name))
    }

    fn flag(&self, name: &str) -> Result<bool, Fault> {
        match self.find(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(other) => fault(name, format!("unreadable value {other:?}")),
        }
    }

    fn request(&self) -> Result<RequestId, Fault> {
        let value = self.need("req")?;
        match u64::from_str_radix(value, 16) {
            Ok(id) if value.len() == 16 && !value.starts_with('+') => Ok(RequestId(id)),
            _ => fault("req", format!("unreadable value {value:?}")),
        }
    }

    fn worker(&self) -> Result<WorkerId, Fault> {
        let value = self.need("runner")?;
        parse_worker(value).map_or_else(|| fault("runner", format!("unreadable value {value:?}")), Ok)
    }

    fn attempt(&self) -> Result<AttemptNo, Fault> {
        self.number("leg").map(AttemptNo)
    }

    fn load(&self) -> Option<LoadReport> {
        let mut report = LoadReport::default();
        for pair in self.find("feedback")?.split(',') {
            let (name, value) = pair.split_once(':').unwrap_or((pair, ""));
            let value = value.parse::<f64>().ok();
            match name {
                "x0" => report.free_slots = value,
                "busy_reqs" => report.in_flight = value,
                "pending" => report.queued = value,
                "svc_ms" => report.service_ms = value,
                "cpu_share" => report.utilisation = value,
                _ => {}
            }
        }
        Some(report)
    }
}

/// `a.b.c.d:port` as a number, the same at every dispatcher; only the form that prints back unchanged.
fn parse_worker(value: &str) -> Option<WorkerId> {
    let bytes = value.as_bytes();
    let (mut id, mut part, mut digits, mut dots) = (0u64, 0u64, 0u32, 0u32);
    for (i, &b) in bytes.iter().enumerate() {
        match b {
            b'0'..=b'9' if digits < 5 && !(digits == 1 && part == 0) => {
                part = part * 10 + u64::from(b - b'0');
                digits += 1;
            }
            b'.' | b':' if digits > 0 && part < 256 && (b == b':') == (dots == 3) && i + 1 < bytes.len() => {
                id = (id << 8) | part;
                (part, digits, dots) = (0, 0, dots + 1);
            }
            _ => return None,
        }
    }
    (dots == 4 && digits > 0 && part < 65_536).then_some(WorkerId((id << 16) | part))
}

fn parse_line(line: &str) -> Result<Parsed, Fault> {
    let (name, rest) = line.split_once(' ').unwrap_or((line, ""));
    let fields = Fields(rest);
    let event = match name {
        "begin_batch" => return Ok(Parsed::Message(Message::Begin(fields.number("time")?))),
        "commit" => return Ok(Parsed::Message(Message::Commit)),
        "instance" => return Ok(Parsed::Message(Message::Instance(fields.number("who")?))),
        "open_instance" => {
            let (head, json) = match rest.split_once("setup=") {
                Some(parts) => parts,
                None => return fault("setup", "missing"),
            };
            let seed = Fields(head.trim_end()).number("nonce64")?;
            return Ok(Parsed::Message(Message::Open { seed, settings: Box::new(parse_settings(json)?) }));
        }
        "down" => return Ok(Parsed::Message(Message::Down)),
        "topology" => {
            let kind = match fields.need("mode")? {
                "INCREMENTAL" => ListKind::Changes,
                "FULL" => ListKind::Full,
                "SAVED" => ListKind::Saved,
                "FAILED" => ListKind::Failed,
                other => return fault("mode", format!("unknown value {other:?}")),
            };
            return Ok(Parsed::Members(kind, fields.number_or("nodes_list", 0)?));
        }
        "row" => return fault("row", "outside a list"),
        "req" => Event::Request(parse_request(fields)?),
        "attempt_end" => Event::Outcome {
            request: fields.request()?,
            attempt: fields.attempt()?,
            worker: fields.worker()?,
            status: parse_status(fields)?,
            latency: fields.number("spent")?,
            closed: fields.flag("terminal")?,
            load: fields.load(),
        },
        "first" => Event::StreamStarted { request: fields.request()?, attempt: fields.attempt()? },
        "status_note" => {
            let note = match fields.number::<u32>("sort")? {
                1 => Note::Started,
                2 => Note::Progress(fields.number("level")?),
                _ => return Ok(Parsed::Skip),
            };
            Event::Note { request: fields.request()?, attempt: fields.attempt()?, note }
        }
        "withdrawn" => Event::Withdrawn(fields.request()?),
        "timer" => Event::Timer(TimerToken(fields.number("token")?)),
        "echo" => Event::Probed {
            worker: fields.worker()?,
            status: parse_status(fields)?,
            latency: fields.number("spent")?,
            load: fields.load(),
        },
        "mail" => Event::PeerMessage {
            from: fields.number("sender")?,
            data: match decode_base64(fields.need("body")?) {
                Some(data) => data,
                None => return fault("body", "not base64"),
            },
        },
        _ => return Ok(Parsed::Skip),
    };
    Ok(Parsed::Message(Message::Event(event)))
}

fn parse_request(fields: Fields<'_>) -> Result<Request, Fault> {
    Ok(Request {
        id: fields.request()?,
        class: ClassId(fields.number("lane")?),
        tenant: TenantId(fields.number_or("project", 0)?),
        key: fields.find("object").map(str::to_string),
        due: fields.number("due")?,
        expected_work: fields.find("estimate").map(|_| fields.number("estimate")).transpose()?,
        slots: fields.number_or("width", 1.0)?,
        retry: fields.flag("retry")?,
    })
}

fn parse_status(fields: Fields<'_>) -> Result<Status, Fault> {
    Ok(match fields.need("state_code")? {
        "200" => Status::Ok,
        "502" => Status::Error,
        "429" => Status::Full,
        "408" => Status::Timeout,
        "521" => Status::ConnectFailed,
        "520" => Status::Reset,
        "444" => Status::Cancelled,
        "409" => Status::Moot,
        other => return fault("state_code", format!("unknown value {other:?}")),
    })
}

fn parse_row(line: &str) -> Result<Member, Fault> {
    let Some(rest) = line.strip_prefix("row ") else {
        return fault("row", "missing: the list announced more entries");
    };
    let fields = Fields(rest);
    Ok(Member {
        worker: fields.worker()?,
        zone: ZoneId(fields.number_or("area", 0)?),
        kind: KindId(fields.number_or("sku", 0)?),
        cell: CellId(fields.number_or("cell", 0)?),
        state: match fields.need("condition")? {
            "ready" => MemberState::Ready,
            "draining" => MemberState::Draining,
            "gone" => MemberState::Gone,
            other => return fault("condition", format!("unknown value {other:?}")),
        },
        units: fields.number_or("units", 1.0)?,
        born: fields.number_or("born", 0)?,
    })
}

/// A JSON object with the path that led to it, for error messages.
struct Object<'a>(&'a Map<String, Value>, &'a str);

impl<'a> Object<'a> {
    fn get(&self, name: &str) -> Result<&'a Value, Fault> {
        self.0.get(name).map_or_else(|| fault(&format!("setup.{}{name}", self.1), "missing"), Ok)
    }

    fn bad<T>(&self, name: &str) -> Result<T, Fault> {
        fault(&format!("setup.{}{name}", self.1), "unreadable")
    }

    fn object(&self, name: &str, path: &'a str) -> Result<Object<'a>, Fault> {
        self.get(name)?.as_object().map_or_else(|| self.bad(name), |map| Ok(Object(map, path)))
    }

    fn list(&self, name: &str) -> Result<&'a [Value], Fault> {
        self.get(name)?.as_array().map_or_else(|| self.bad(name), |list| Ok(list.as_slice()))
    }

    fn float(&self, name: &str) -> Result<f64, Fault> {
        self.get(name)?.as_f64().map_or_else(|| self.bad(name), Ok)
    }

    fn float_or(&self, name: &str, default: f64) -> Result<f64, Fault> {
        if self.0.contains_key(name) {
            self.float(name)
        } else {
            Ok(default)
        }
    }

    fn int(&self, name: &str) -> Result<u64, Fault> {
        let value = self.get(name)?;
        value
            .as_u64()
            .or_else(|| value.as_f64().filter(|f| *f >= 0.0).map(|f| f as u64))
            .map_or_else(|| self.bad(name), Ok)
    }

    fn small(&self, name: &str) -> Result<u32, Fault> {
        u32::try_from(self.int(name)?).or_else(|_| self.bad(name))
    }

    fn int_or(&self, name: &str, default: u64) -> Result<u64, Fault> {
        if self.0.contains_key(name) {
            self.int(name)
        } else {
            Ok(default)
        }
    }

    fn flag_or(&self, name: &str, default: bool) -> Result<bool, Fault> {
        match self.0.get(name) {
            None => Ok(default),
            Some(value) => value.as_bool().map_or_else(|| self.bad(name), Ok),
        }
    }

    fn word(&self, name: &str) -> Result<&'a str, Fault> {
        self.get(name)?.as_str().map_or_else(|| self.bad(name), Ok)
    }
}

/// Translates the settings of `open_instance`.
fn parse_settings(json: &str) -> Result<Settings, Fault> {
    let root: Value = match serde_json::from_str(json) {
        Ok(value) => value,
        Err(e) => return fault("setup", format!("not JSON: {e}")),
    };
    let Some(map) = root.as_object() else {
        return fault("setup", "not an object");
    };
    let root = Object(map, "");
    let limits = root.object("limits", "limits.")?;
    let rules = root.object("rules", "rules.")?;
    let empty = Map::new();
    let facts = match root.0.get("specifics").and_then(Value::as_object) {
        Some(map) => Object(map, "specifics."),
        None => Object(&empty, "specifics."),
    };
    let prices = match root.0.get("charges").and_then(Value::as_object) {
        Some(map) => Object(map, "charges."),
        None => Object(&empty, "charges."),
    };
    let per_class = |name: &str, index: usize| -> Option<f64> {
        facts.0.get(name).and_then(Value::as_array).and_then(|list| list.get(index)).and_then(Value::as_f64)
    };
    let mut classes = Vec::new();
    for (index, value) in root.list("services")?.iter().enumerate() {
        let Some(map) = value.as_object() else {
            return fault("setup.services", "unreadable");
        };
        let class = Object(map, "services[].");
        let group = match class.0.get("group").and_then(Value::as_str) {
            None | Some("all") => RepeatGroup::All,
            Some("zone") => RepeatGroup::Zone,
            Some("cell") => RepeatGroup::Cell,
            Some(_) => return class.bad("group"),
        };
        let effect = match class.word("repeat")? {
            "safe" => Effect::Safe,
            "keyed" => Effect::Keyed { group, window: class.int("window")? },
            "unsafe" => Effect::Unsafe,
            _ => return class.bad("repeat"),
        };
        classes.push(Class {
            aim: class.int("aim")?,
            stretch: per_class("class_stretch", index).unwrap_or(class.float_or("aim_stretch", 0.0)?),
            deadline: class.int("deadline")?,
            worth: class.float_or("importance", 1.0)?,
            late_share: class.float_or("late_share", 0.0)?,
            effect,
            kind: per_class("class_kind", index).filter(|k| *k >= 0.0).map(|k| KindId(k as u32)),
            priority: per_class("class_priority", index).map_or(0, |p| p as i64),
            stream: class.flag_or("stream", false)?,
        });
    }
    let mut tenants = Vec::new();
    if root.0.contains_key("accounts") {
        for value in root.list("accounts")? {
            let Some(map) = value.as_object() else {
                return fault("setup.accounts", "unreadable");
            };
            let tenant = Object(map, "accounts[].");
            tenants.push(Tenant { allowance_per_s: tenant.float("allowance_per_s")? });
        }
    }
    let via = root.0.get("stats").and_then(|stats| stats.get("via")).and_then(Value::as_str);
    Ok(Settings {
        me: root.small("me")?,
        dispatchers: root.small("balancers")?,
        zone: ZoneId(root.small("zone")?),
        classes,
        tenants,
        over_share_worth: root.float_or("over_share_worth", 1.0)?,
        worth_by_work: root.0.get("counted_by").and_then(Value::as_str) == Some("work"),
        discovery: match root.word("discovery")? {
            "push" => Discovery::Push,
            "ask" => Discovery::Ask,
            _ => return root.bad("discovery"),
        },
        report_via: match via {
            Some("inline") => ReportVia::Answers,
            Some("on_probe") => ReportVia::Probes,
            None | Some("off") => ReportVia::Never,
            Some(_) => return fault("setup.stats.via", "unreadable"),
        },
        weights: match root.0.get("weights").and_then(Value::as_str) {
            None | Some("off") => Weights::Fixed,
            Some("nominal" | "rough") => Weights::Size,
            Some("live") => Weights::Live,
            Some(_) => return root.bad("weights"),
        },
        queue_order: match facts.0.get("queue_order").and_then(Value::as_str) {
            Some("backfill") => QueueOrder::Backfill,
            Some("priority") => QueueOrder::Priority,
            _ => QueueOrder::Fifo,
        },
        tells_start: facts.flag_or("tells_start", false)?,
        progress_every: facts.int_or("progress", 0)?,
        limits: Limits {
            max_attempts: limits.small("max_attempts")?,
            dial_timeout: limits.int_or("dial_timeout", 0)?,
            second_copies: limits.flag_or("second_copies", false)?,
            may_probe: limits.flag_or("may_probe", false)?,
            may_cancel: limits.flag_or("may_cancel", false)?,
            retry_after: limits.flag_or("retry_after", false)?,
            max_retry_after: limits.int_or("max_retry_after", 0)?,
            may_message_peers: limits.flag_or("peers", false)?,
        },
        rules: Rules {
            answer_slack: rules.int_or("answer_slack", 0)?,
            drain_grace: rules.int("stop_sending_within")?,
            ask_within: rules.0.get("ask_within").map(|_| rules.int("ask_within")).transpose()?,
            cold_share: rules.float("start_capacity")?,
            cold_time: rules.int("cold")?,
            fall_multiple: rules.float("tip_multiple")?,
            fall_time: rules.int("fall")?,
        },
        prices: Prices {
            cross_zone: prices.float_or("cross_zone", 0.0)?,
            probe: prices.float_or("probe", 0.0)?,
            waste: prices.float_or("waste", 0.0)?,
            handshake: prices.float_or("handshake", 0.0)?,
        },
        tick: root.int_or("tick", 0)?,
    })
}

struct Worker(WorkerId);

impl std::fmt::Display for Worker {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let id = self.0 .0;
        let byte = |shift: u32| (id >> shift) & 255;
        write!(f, "{}.{}.{}.{}:{}", byte(40), byte(32), byte(24), byte(16), id & 0xffff)
    }
}

/// Prints the actions of one instance as reply lines.
pub fn print_actions(out: &mut Vec<u8>, instance: u32, actions: &[Action]) -> std::io::Result<()> {
    writeln!(out, "from who={instance}")?;
    for action in actions {
        match action {
            Action::Send { request, worker, timeout } => {
                write!(out, "call_out req={:016x}", request.0)?;
                if let Some(timeout) = timeout {
                    write!(out, " patience={timeout}")?;
                }
                writeln!(out, " runner={}", Worker(*worker))?;
            }
            Action::Cancel { request, attempt } => {
                writeln!(out, "recall req={:016x} leg={}", request.0, attempt.0)?
            }
            Action::Refuse { request, retry_after } => {
                write!(out, "bounce req={:016x}", request.0)?;
                if *retry_after > 0 {
                    write!(out, " wait={retry_after}")?;
                }
                writeln!(out)?;
            }
            Action::Fail { request } => writeln!(out, "surrender req={:016x}", request.0)?,
            Action::Probe(worker) => writeln!(out, "inspect runner={}", Worker(*worker))?,
            Action::CloseIdle(worker) => writeln!(out, "release runner={}", Worker(*worker))?,
            Action::Subscribe(on) => writeln!(out, "keep_informed want={}", u8::from(*on))?,
            Action::FetchList => writeln!(out, "resolve")?,
            Action::SetTimer { at, token } => writeln!(out, "wake_at moment={at} token={}", token.0)?,
            Action::TellPeers { to, data } => {
                match to {
                    Peer::One(peer) => write!(out, "tell recipient={peer}")?,
                    Peer::All => write!(out, "tell recipient=all")?,
                }
                writeln!(out, " body={}", encode_base64(data))?;
            }
            Action::Log(text) => writeln!(out, "write_log words={}", text.replace(['\n', '\r'], " "))?,
        }
    }
    Ok(())
}

fn encode_base64(data: &[u8]) -> String {
    if data.is_empty() {
        return "-".to_string();
    }
    STANDARD.encode(data)
}

fn decode_base64(text: &str) -> Option<Vec<u8>> {
    if text == "-" {
        return Some(Vec::new());
    }
    STANDARD.decode(text).ok()
}
