//! Compatibility between versions of the daemon. The tests compare the JSON of handover messages and
//! callbacks, the numbers that all schedulers of a tier derive from names, and the values of configuration
//! files with literals. If one of these names or numbers changes, processes of two versions can't work side
//! by side.

use serde_json::{json, Value};
use std::process::Command;
use vetchbridge::discovery::document::{Instance, InstanceState};
use vetchbridge::upgrade::message::{HandoverMessage, Offer, VERSION};
use vetchbridge::workers::{parse_request_id, worker_id, Callback, CallbackState};

fn instance() -> Instance {
    Instance {
        instance_id: "s-1".to_string(),
        host_port: "127.0.0.1:8081".to_string(),
        zone: "north".to_string(),
        machine_type: "plain".to_string(),
        cell: Some(3),
        lifecycle: InstanceState::Draining,
        weight: 1.5,
        started_at_ms: 1_700_000_000_123,
    }
}

fn instance_json() -> Value {
    json!({
        "instanceId": "s-1", "hostPort": "127.0.0.1:8081", "zone": "north", "machineType": "plain", "cell": 3,
        "lifecycle": "draining", "weight": 1.5, "startedAtMs": 1_700_000_000_123u64,
    })
}

fn callback() -> Callback {
    let (id, worker_name) = ("00000000000000ab".to_string(), "s-1".to_string());
    Callback {
        id,
        worker: worker_name,
        state: CallbackState::Done,
        fraction: 0.5,
        result: "ok".to_string(),
        load: None,
    }
}

fn callback_json() -> Value {
    json!({"id": "00000000000000ab", "from": "s-1", "state": "done", "share": 0.5, "result": "ok"})
}

#[test]
fn every_handover_message_has_the_json_of_version_1() {
    let offer = Offer {
        quiesced: true,
        source: Some("127.0.0.1:9000".parse().expect("an address")),
        generation: Some(7),
        confirmed: false,
        connections: 2,
        replies_to_sync: false,
        configuration: None,
    };
    let hello = HandoverMessage::Hello {
        replies_to_sync: false,
        version: VERSION,
        name: "n-0".to_string(),
        listen: "127.0.0.1:8080".parse().expect("an address"),
    };
    let offer_json = json!({
        "quiesced": true, "source": "127.0.0.1:9000", "generation": 7, "confirmed": false, "connections": 2,
    });
    let messages = [
        (hello, json!({"Hello": {"version": 1, "name": "n-0", "listen": "127.0.0.1:8080"}})),
        (HandoverMessage::Offer(offer), json!({"Offer": offer_json})),
        (HandoverMessage::Endpoints(vec![instance()]), json!({"Entries": [instance_json()]})),
        (HandoverMessage::Rejected("no".to_string()), json!({"Refused": "no"})),
        (HandoverMessage::TookOver, json!("Taken")),
        (HandoverMessage::ClientConnection { is_kept_alive: true }, json!({"Connection": {"kept": true}})),
        (HandoverMessage::ConnectionCount(9), json!({"Holds": 9})),
        (HandoverMessage::RequestOpened(11), json!({"Opened": 11})),
        (HandoverMessage::RequestClosed(12), json!({"Closed": 12})),
        (
            HandoverMessage::ForwardedCallback { number: 4, callback: callback() },
            json!({"Callback": {"number": 4, "callback": callback_json()}}),
        ),
        (
            HandoverMessage::CallbackReply { number: 4, known: true },
            json!({"Heard": {"number": 4, "known": true}}),
        ),
    ];
    for (message, literal) in messages {
        let written: Value = serde_json::from_slice(&message.encode()).expect("JSON");
        assert_eq!(written, literal);
        let read = HandoverMessage::decode(literal.to_string().as_bytes())
            .expect("a message of the other version is read");
        assert_eq!(format!("{read:?}"), format!("{message:?}"));
    }
}

#[test]
fn an_offer_without_the_confirmed_field_counts_as_confirmed() {
    let literal = br#"{"Offer":{"quiesced":false,"source":null,"generation":null,"connections":0}}"#;
    let Ok(HandoverMessage::Offer(offer)) = HandoverMessage::decode(literal) else { panic!("an offer") };
    assert!(offer.confirmed);
}

#[test]
fn an_offer_with_and_without_a_configuration_is_read() {
    for configuration in [None, Some(json!({"name": "n-0"}))] {
        let mut literal = json!({"Offer": {"quiesced": false, "source": null, "generation": null, "confirmed": true, "connections": 0}});
        if let Some(configuration) = &configuration {
            literal["Offer"]["configuration"] = configuration.clone();
        }
        let decoded = HandoverMessage::decode(literal.to_string().as_bytes());
        let Ok(HandoverMessage::Offer(offer)) = decoded else { panic!("an offer") };
        assert_eq!(offer.configuration, configuration);
        let written: Value = serde_json::from_slice(&HandoverMessage::Offer(offer).encode()).expect("JSON");
        assert_eq!(written, literal);
    }
}

#[test]
fn callbacks_keep_the_names_of_their_states() {
    for (name, state) in [
        ("started", CallbackState::Started),
        ("running", CallbackState::Running),
        ("done", CallbackState::Done),
        ("failed", CallbackState::Failed),
        ("returned", CallbackState::Returned),
        ("lost", CallbackState::Lost),
    ] {
        let text = format!(r#"{{"id":"00000000000000ab","from":"s-1","state":"{name}"}}"#);
        let callback: Callback = serde_json::from_str(&text).expect("a callback");
        assert_eq!(callback.state, state);
    }
}

#[test]
fn names_and_ids_map_to_the_same_numbers_in_every_version() {
    assert_eq!(worker_id("s-1").0, 0x817c_da19_5c3f_bf24);
    assert_eq!(worker_id("cell-7/worker-12").0, 0x90c1_cae9_1af4_46a8);
    assert_eq!(parse_request_id("00000000000000ab").map(|id| id.0), Some(0xab));
}

/// The fixtures are a configuration that `config default` of version e0ba539 printed, another configuration
/// of that version, and the values that the `check` command of that version printed for each of them.
#[test]
fn configuration_files_of_version_e0ba539_keep_their_values() {
    let fixtures = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures");
    for name in ["config-default-e0ba539", "lima-callao-e0ba539"] {
        let output = Command::new(env!("CARGO_BIN_EXE_vetchbridge"))
            .args(["check", &format!("{name}.toml")])
            .current_dir(fixtures)
            .env_clear()
            .output()
            .expect("vetchbridge runs");
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
        let values = std::fs::read_to_string(format!("{fixtures}/{name}.values")).expect("the fixture");
        assert_eq!(String::from_utf8(output.stdout).expect("valid UTF-8"), values);
    }
}
