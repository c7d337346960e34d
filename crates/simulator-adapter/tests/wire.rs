//! Transcripts of the simulator's text protocol: the adapter's replies, and its errors for malformed input.
#![allow(missing_docs)]

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETUP: &str = r#"{"accounts": [], "areas": ["a", "b"], "balancers": 1, "discovery": "ask", "kinds": ["x"],
"limits": {"max_attempts": 4, "may_cancel": true, "may_probe": false, "second_copies": false, "future": 1}, "me": 0,
"rules": {"answer_slack": 8000, "ask_within": 10000000, "cold": 8800000, "fall": 1500000, "start_capacity": 0.31,
"stop_sending_within": 1000000, "tip_multiple": 3.0}, "services": [{"aim": 500000, "deadline": 6000000,
"importance": 1.0, "name": "c", "repeat": "unsafe"}], "stats": {"fields": ["x0"], "via": "inline"}, "tick": 2000,
"unknown_setting": [1, 2], "weights": "rough", "zone": 0}"#;

/// Runs the adapter on this input.
fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_vetchbridge-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may stop reading at a malformed line.
    let _ = child.stdin.take().expect("stdin is piped").write_all(input.as_bytes());
    child.wait_with_output().expect("the adapter ends")
}

/// Returns a batch that starts instance 3 with a stored endpoint list of one worker.
fn started_instance() -> String {
    format!(
        "begin_batch time=5000000\ninstance who=3\nopen_instance nonce64=7 setup={}\n\
         topology mode=SAVED epoch=1 nodes_list=1\n\
         row runner=10.0.0.1:80 area=0 sku=0 cell=0 condition=ready units=1\ncommit\n",
        SETUP.replace('\n', " ")
    )
}

const REQUEST: &str = "req req=00000000000000ab lane=0 project=0 object=k due=9000000 width=1 novel=x\n";

/// Discovery's response that nothing has changed since the list that the instance was started with.
const CONFIRMED: &str = "topology mode=INCREMENTAL epoch=1 nodes_list=0\n";

#[test]
fn an_empty_batch_has_an_empty_reply() {
    let output = run_adapter("begin_batch time=8412250\ncommit\n");
    assert!(output.status.success());
    assert_eq!(String::from_utf8_lossy(&output.stdout), "end\n");
}

#[test]
fn a_request_is_sent_after_the_endpoint_list_is_confirmed_and_then_finishes() {
    let input = format!(
        "{}begin_batch time=5002000\ninstance who=3\nnovelty a=1\n{CONFIRMED}{REQUEST}commit\n\
         begin_batch time=5004000\ninstance who=3\nattempt_end req=00000000000000ab leg=0 runner=10.0.0.1:80 \
         state_code=200 spent=1500 terminal=1 feedback=x0:nonsense,x9:4\ncommit\n",
        started_instance()
    );
    let output = run_adapter(&input);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let lines: Vec<String> = String::from_utf8_lossy(&output.stdout).lines().map(str::to_string).collect();
    assert_eq!(lines[..3], ["from who=3", "keep_informed want=1", "end"]);
    assert_eq!(lines.iter().filter(|line| line.as_str() == "end").count(), 3);
    assert!(
        lines.contains(&"call_out req=00000000000000ab patience=500000 runner=10.0.0.1:80".to_string()),
        "{lines:?}"
    );
    assert_eq!(lines.last().map(String::as_str), Some("end"));
}

#[test]
fn a_request_is_queued_until_the_restored_endpoint_list_is_confirmed() {
    let input = format!(
        "{}begin_batch time=5002000\ninstance who=3\n{REQUEST}commit\n\
         begin_batch time=5004000\ninstance who=3\n{CONFIRMED}commit\n",
        started_instance()
    );
    let output = run_adapter(&input);
    let text = String::from_utf8_lossy(&output.stdout);
    let replies: Vec<&str> = text.split("end\n").collect();
    assert!(!replies[1].contains("call_out"), "{text}");
    assert!(replies[2].contains("call_out req=00000000000000ab"), "{text}");
}

#[test]
fn malformed_input_is_reported_by_line_and_field_and_causes_no_decision() {
    let batch = |lines: &str| format!("{}begin_batch time=5002000\n{lines}", started_instance());
    let cases = [
        (batch("instance who=3\nreq req=00000000000000ab lane=0\ncommit\n"), 9, "due"),
        (batch("instance who=3\nreq req=zz lane=0 due=9000000\ncommit\n"), 9, "req"),
        (batch("instance who=3\nreq req=00000000000000ab lane=-1 due=9000000\ncommit\n"), 9, "lane"),
        (batch(&format!("instance who=4\n{REQUEST}commit\n")), 9, "instance"),
        (batch(REQUEST), 8, "instance"),
        (batch("instance who=3\nechoes a=1\necho runner=10.0.0.1 state_code=200 spent=1\n"), 10, "runner"),
        (batch("instance who=3\necho runner=10.0.0.01:80 state_code=200 spent=1\n"), 9, "runner"),
        (batch("instance who=3\necho runner=10.0.0.1:80 state_code=299 spent=1\n"), 9, "state_code"),
        (batch("instance who=3\ntopology mode=FULL epoch=2 nodes_list=2\ncommit\n"), 10, "row"),
        (batch("instance who=3\nmail sender=1 body=%%\n"), 9, "body"),
        (batch("instance who=3\n"), 9, "commit"),
        ("begin_batch time=x\n".to_string(), 1, "time"),
        ("commit\n".to_string(), 1, "begin_batch"),
        ("begin_batch time=1\ninstance who=0\nopen_instance nonce64=1 setup={]\n".to_string(), 3, "setup"),
        (
            "begin_batch time=1\ninstance who=0\nopen_instance nonce64=1 setup={}\n".to_string(),
            3,
            "setup.limits",
        ),
    ];
    for (input, line, field) in cases {
        let output = run_adapter(&input);
        let error = String::from_utf8_lossy(&output.stderr).to_string();
        assert!(!output.status.success(), "{input}");
        assert_eq!(error.lines().count(), 1, "{error}");
        assert!(error.contains(&format!("line {line}: {field}: ")), "{field} at {line} expected in: {error}");
        let replies = String::from_utf8_lossy(&output.stdout).to_string();
        assert!(!replies.contains("call_out") && !replies.contains("bounce"), "{replies}");
        assert!(replies.is_empty() || replies.ends_with("end\n"), "{replies}");
    }
}

#[test]
fn settings_out_of_range_are_rejected_with_their_field() {
    let output = run_adapter(&started_instance().replace("\"balancers\": 1", "\"balancers\": 0"));
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("setting me:"));
}
