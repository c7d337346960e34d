//! The simulator's wire: parsing and printing only, translated to and from the crate's own terms.
//!
//! Nothing is decided here. Unknown messages, fields and settings are skipped; a known message that is
//! malformed is a [`WireError`] naming the line and the field.

use base64::{engine::general_purpose::STANDARD, Engine as _};
use std::io::{BufRead, Write};
use vetchbridge_scheduling::interface::*;

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
                Ok(Parsed::Members(kind, count)) => return self.endpoints(kind, count).map(Some),
                Err(Fault(field, reason)) => return Err(self.error(field, reason)),
            }
        }
    }

    fn endpoints(&mut self, update: EndpointUpdate, count: usize) -> Result<Message, WireError> {
        let mut endpoints = Vec::with_capacity(count.min(1 << 16));
        while endpoints.len() < count {
            if !self.fill()? {
                return Err(self.error("row", "input ends inside a list"));
            }
            let parsed = text(&self.buffer).and_then(parse_row);
            match parsed {
                Ok(endpoint) => endpoints.push(endpoint),
                Err(Fault(field, reason)) => return Err(self.error(field, reason)),
            }
        }
        Ok(Message::Event(Event::Endpoints { update, endpoints }))
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
    Members(EndpointUpdate, usize),
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

/// `a.b.c.d:port` as a number, the same at every scheduler; only the form that prints back unchanged.
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
            let settings = match vetchbridge_settings::from_json(json) {
                Ok(settings) => Box::new(settings),
                Err(error) => return fault(&error.key_under("setup"), error.problem.to_string()),
            };
            return Ok(Parsed::Message(Message::Open { seed, settings }));
        }
        "down" => return Ok(Parsed::Message(Message::Down)),
        "topology" => {
            let kind = match fields.need("mode")? {
                "INCREMENTAL" => EndpointUpdate::Changes,
                "FULL" => EndpointUpdate::Snapshot,
                "SAVED" => EndpointUpdate::Restored,
                "FAILED" => EndpointUpdate::Failed,
                other => return fault("mode", format!("unknown value {other:?}")),
            };
            return Ok(Parsed::Members(kind, fields.number_or("nodes_list", 0)?));
        }
        "row" => return fault("row", "outside a list"),
        "req" => Event::Request(parse_request(fields)?),
        "attempt_end" => Event::AttemptFinished {
            request: fields.request()?,
            attempt: fields.attempt()?,
            worker: fields.worker()?,
            outcome: parse_status(fields)?,
            latency: fields.number("spent")?,
            closed: fields.flag("terminal")?,
            load: fields.load(),
        },
        "first" => Event::StreamStarted { request: fields.request()?, attempt: fields.attempt()? },
        "status_note" => {
            let progress = match fields.number::<u32>("sort")? {
                1 => JobProgress::Started,
                2 => JobProgress::Fraction(fields.number("level")?),
                _ => return Ok(Parsed::Skip),
            };
            Event::JobProgress { request: fields.request()?, attempt: fields.attempt()?, progress }
        }
        "withdrawn" => Event::ClientDisconnected(fields.request()?),
        "timer" => Event::Timer(TimerToken(fields.number("token")?)),
        "echo" => Event::Probed {
            worker: fields.worker()?,
            outcome: parse_status(fields)?,
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
        deadline: fields.number("due")?,
        expected_work: fields.find("estimate").map(|_| fields.number("estimate")).transpose()?,
        slots: fields.number_or("width", 1.0)?,
        retry: fields.flag("retry")?,
    })
}

fn parse_status(fields: Fields<'_>) -> Result<Outcome, Fault> {
    Ok(match fields.need("state_code")? {
        "200" => Outcome::Ok,
        "502" => Outcome::Error,
        "429" => Outcome::Rejected,
        "408" => Outcome::Timeout,
        "521" => Outcome::ConnectFailed,
        "520" => Outcome::Reset,
        "444" => Outcome::Cancelled,
        "409" => Outcome::NotSent,
        other => return fault("state_code", format!("unknown value {other:?}")),
    })
}

fn parse_row(line: &str) -> Result<Endpoint, Fault> {
    let Some(rest) = line.strip_prefix("row ") else {
        return fault("row", "missing: the list announced more entries");
    };
    let fields = Fields(rest);
    Ok(Endpoint {
        worker: fields.worker()?,
        zone: ZoneId(fields.number_or("area", 0)?),
        kind: KindId(fields.number_or("sku", 0)?),
        cell: CellId(fields.number_or("cell", 0)?),
        state: match fields.need("condition")? {
            "ready" => EndpointState::Ready,
            "draining" => EndpointState::Draining,
            "gone" => EndpointState::Removed,
            other => return fault("condition", format!("unknown value {other:?}")),
        },
        weight: fields.number_or("units", 1.0)?,
        started_at: fields.number_or("born", 0)?,
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
            Action::Reject { request, retry_after } => {
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
            Action::FetchEndpoints => writeln!(out, "resolve")?,
            Action::SetTimer { at, token } => writeln!(out, "wake_at moment={at} token={}", token.0)?,
            Action::SendPeerMessage { to, data } => {
                match to {
                    Recipient::One(peer) => write!(out, "tell recipient={peer}")?,
                    Recipient::All => write!(out, "tell recipient=all")?,
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
