//! Parses the lines that the simulator sends: maps the protocol's names of messages, fields and values to the
//! types of the decision module.

use super::error::{FieldError, FieldProblem};
use super::fields::Fields;
use super::{base64, worker_address, Message};
use vetchbridge_scheduling::{
    AttemptNo, CellId, ClassId, Endpoint, EndpointState, EndpointUpdate, Event, JobProgress, LoadReport,
    MachineTypeId, Outcome, Request, RequestId, TenantId, TimerToken, WorkerId, ZoneId,
};

/// A parsed line of the simulator's input, other than an entry of an endpoint list.
pub(super) enum Line {
    /// A message of the simulator that consists of this one line, unlike an endpoint list, which takes
    /// several lines.
    Message(Message),
    /// The first line of an endpoint list; each of the `count` entries follows on a line of its own.
    EndpointList { update: EndpointUpdate, count: usize },
    /// A line with an unknown message name, which the reader skips.
    Unknown,
}

/// Parses a line of the simulator's input other than an entry of an endpoint list.
pub(super) fn parse_line(line: &str) -> Result<Line, FieldError> {
    let (name, rest) = line.split_once(' ').unwrap_or((line, ""));
    let fields = Fields(rest);
    let message = match name {
        "begin_batch" => Message::BeginBatch(fields.number("time")?),
        "commit" => Message::CommitBatch,
        "instance" => Message::SelectInstance(fields.number("who")?),
        "open_instance" => parse_start(rest)?,
        "down" => Message::StopInstance,
        "topology" => return parse_endpoint_list(fields),
        "row" => return Err(FieldError::new("row", FieldProblem::OutsideList)),
        _ => match parse_event(name, fields)? {
            Some(event) => Message::Event(event),
            None => return Ok(Line::Unknown),
        },
    };
    Ok(Line::Message(message))
}

/// Parses a message that carries an event for the selected instance. Returns `None` if the name of the event
/// is unknown.
fn parse_event(name: &str, fields: Fields<'_>) -> Result<Option<Event>, FieldError> {
    let event = match name {
        "req" => Event::Request(parse_request(fields)?),
        "attempt_end" => parse_attempt_finished(fields)?,
        "first" => {
            Event::StreamStarted { request: parse_request_id(fields)?, attempt: parse_attempt(fields)? }
        }
        "status_note" => return parse_progress(fields),
        "withdrawn" => Event::ClientDisconnected(parse_request_id(fields)?),
        "timer" => Event::Timer(TimerToken(fields.number("token")?)),
        "echo" => Event::Probed {
            worker: parse_worker(fields)?,
            outcome: parse_outcome(fields)?,
            latency: fields.number("spent")?,
            load: parse_load(fields),
        },
        "mail" => Event::PeerMessage { from: fields.number("sender")?, data: parse_body(fields)? },
        _ => return Ok(None),
    };
    Ok(Some(event))
}

/// Parses the simulator's message that starts an instance. `rest` is the message's line without the message's
/// name. The settings are the last part of the line and may contain spaces.
fn parse_start(rest: &str) -> Result<Message, FieldError> {
    let (head, json) =
        rest.split_once("setup=").ok_or_else(|| FieldError::new("setup", FieldProblem::Missing))?;
    let seed = Fields(head.trim_end()).number("nonce64")?;
    let settings = Box::new(vetchbridge_settings::from_json(json)?);
    Ok(Message::StartInstance { seed, settings })
}

fn parse_endpoint_list(fields: Fields<'_>) -> Result<Line, FieldError> {
    let update = fields.known_value("mode", |mode| match mode {
        "INCREMENTAL" => Some(EndpointUpdate::Changes),
        "FULL" => Some(EndpointUpdate::Snapshot),
        "SAVED" => Some(EndpointUpdate::Restored),
        "FAILED" => Some(EndpointUpdate::Failed),
        _ => None,
    })?;
    Ok(Line::EndpointList { update, count: fields.number_or("nodes_list", 0)? })
}

/// Parses a line that contains one entry of an endpoint list.
pub(super) fn parse_endpoint(line: &str) -> Result<Endpoint, FieldError> {
    let Some(rest) = line.strip_prefix("row ") else {
        return Err(FieldError::new("row", FieldProblem::MissingRow));
    };
    let fields = Fields(rest);
    Ok(Endpoint {
        worker: parse_worker(fields)?,
        zone: ZoneId(fields.number_or("area", 0)?),
        machine_type: MachineTypeId(fields.number_or("sku", 0)?),
        cell: CellId(fields.number_or("cell", 0)?),
        state: fields.known_value("condition", |condition| match condition {
            "ready" => Some(EndpointState::Ready),
            "draining" => Some(EndpointState::Draining),
            "gone" => Some(EndpointState::Removed),
            _ => None,
        })?,
        weight: fields.number_or("units", 1.0)?,
        started_at: fields.number_or("born", 0)?,
    })
}

fn parse_request(fields: Fields<'_>) -> Result<Request, FieldError> {
    Ok(Request {
        id: parse_request_id(fields)?,
        class: ClassId(fields.number("lane")?),
        tenant: TenantId(fields.number_or("project", 0)?),
        key: fields.optional("object").map(str::to_string),
        deadline: fields.number("due")?,
        expected_work: fields.optional_number("estimate")?,
        slots: fields.number_or("width", 1.0)?,
        retry: fields.flag("retry")?,
    })
}

fn parse_attempt_finished(fields: Fields<'_>) -> Result<Event, FieldError> {
    Ok(Event::AttemptFinished {
        request: parse_request_id(fields)?,
        attempt: parse_attempt(fields)?,
        worker: parse_worker(fields)?,
        outcome: parse_outcome(fields)?,
        latency: fields.number("spent")?,
        request_closed: fields.flag("terminal")?,
        load: parse_load(fields),
    })
}

/// Parses a worker's report about the progress of a job. Returns `None` if the kind of the report is unknown.
fn parse_progress(fields: Fields<'_>) -> Result<Option<Event>, FieldError> {
    let progress = match fields.number::<u32>("sort")? {
        1 => JobProgress::Started,
        2 => JobProgress::Fraction(fields.number("level")?),
        _ => return Ok(None),
    };
    let (request, attempt) = (parse_request_id(fields)?, parse_attempt(fields)?);
    Ok(Some(Event::JobProgress { request, attempt, progress }))
}

fn parse_request_id(fields: Fields<'_>) -> Result<RequestId, FieldError> {
    let parse = |value: &str| {
        let id = u64::from_str_radix(value, 16).ok()?;
        (value.len() == 16 && !value.starts_with('+')).then_some(RequestId(id))
    };
    fields.parsed("req", parse)
}

fn parse_worker(fields: Fields<'_>) -> Result<WorkerId, FieldError> {
    fields.parsed("runner", worker_address::parse)
}

fn parse_attempt(fields: Fields<'_>) -> Result<AttemptNo, FieldError> {
    fields.number("leg").map(AttemptNo)
}

fn parse_outcome(fields: Fields<'_>) -> Result<Outcome, FieldError> {
    fields.known_value("state_code", |code| match code {
        "200" => Some(Outcome::Ok),
        "502" => Some(Outcome::Error),
        "429" => Some(Outcome::Rejected),
        "408" => Some(Outcome::Timeout),
        "521" => Some(Outcome::ConnectFailed),
        "520" => Some(Outcome::Reset),
        "444" => Some(Outcome::Cancelled),
        "409" => Some(Outcome::NotSent),
        _ => None,
    })
}

/// Parses a worker's load report, a list of `name:value` pairs separated by commas. Skips unknown names and
/// invalid values.
fn parse_load(fields: Fields<'_>) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for pair in fields.optional("feedback")?.split(',') {
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

fn parse_body(fields: Fields<'_>) -> Result<Vec<u8>, FieldError> {
    let body = fields.required("body")?;
    base64::decode(body).ok_or_else(|| FieldError::new("body", FieldProblem::NotBase64))
}
