//! The platform's configuration document, with the settings of a small deployment.

use std::net::SocketAddr;

/// The parts of the document that cases set.
#[derive(Clone)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub admin: Option<SocketAddr>,
    pub memory_mb: u64,
    pub sockets: u64,
    pub services: String,
    pub balancers: u32,
    pub me: u32,
    pub peers: Vec<SocketAddr>,
    pub second_copies: bool,
    pub tells_start: bool,
    pub cold_us: u64,
    pub known: String,
}

/// A class as an entry of `services`.
pub fn class(name: &str, repeat: &str, deadline_ms: u64, window_ms: u64) -> String {
    format!(
        r#"{{"aim":200000,"deadline":{},"group":"all","importance":1.0,"late_share":0.5,"name":"{name}","repeat":"{repeat}","stream":false,"window":{}}}"#,
        deadline_ms * 1000,
        window_ms * 1000
    )
}

impl Config {
    pub fn new(name: &str, listen: SocketAddr, discovery: SocketAddr) -> Config {
        Config {
            name: name.to_string(),
            listen,
            discovery,
            admin: None,
            memory_mb: 192,
            sockets: 1024,
            services: class("position", "safe", 5000, 5000),
            balancers: 1,
            me: 0,
            peers: Vec::new(),
            second_copies: true,
            tells_start: true,
            cold_us: 24_000_000,
            known: r#"{"generation":0,"reset":true,"instances":[]}"#.to_string(),
        }
    }

    pub fn json(&self) -> String {
        let admin = self.admin.map_or(String::new(), |admin| format!(r#""admin":"{admin}","#));
        let peers: Vec<String> = self.peers.iter().map(|peer| format!("\"{peer}\"")).collect();
        let has_peers = !peers.is_empty();
        let peer_keys = if has_peers {
            format!(r#""peer_listen":{},"peers":[{}],"#, peers[self.me as usize], peers.join(","))
        } else {
            String::new()
        };
        let classes = self.services.matches("\"name\"").count();
        let list = |value: &str| vec![value; classes].join(",");
        format!(
            r#"{{"name":"{}","listen":"{}","discovery":"{}",{admin}{peer_keys}"seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"known":{},
"settings":{{"accounts":[],"areas":["callao","ate","chorrillos"],"balancers":{},
"charges":{{"connection":0.0,"cross_zone":0.028,"discovery":0.01,"handshake":0.0,"late_fail":0.03,"moves":0.0,"origin":0.0,"peer":0.01,"probe":0.0,"waste":0.1}},
"clients":{{"marks_retry":true}},"counted_by":"work","discovery":"ask",
"goal":{{"whole":0.65,"worst_class":0.2,"worst_tenant":0.0,"worst_window":0.15}},"kinds":["fast","standard"],
"limits":{{"conn_idle":60000000,"cpu_us_per_request":10.0,"cpu_us_per_s":15000,"dial_timeout":250000,"max_attempts":6,"max_retry_after":2000000,"may_cancel":true,"may_probe":false,"most_held":20000,"multiplex":1,"peers":{has_peers},"retry_after":true,"second_copies":{}}},
"me":{},"over_share_worth":0.1,
"rules":{{"answer_slack":16000,"ask_within":10000000,"cold":{},"fall":2000000,"start_capacity":0.2,"stop_sending_within":500000,"tip_multiple":2.5}},
"service_type":"jobs","services":[{}],
"specifics":{{"class_kind":[{}],"class_priority":[{}],"class_stretch":[{}],"memory_unit":"a worker has one unit for each slot","notes":"1 it has started, 2 share done","progress":1000000,"queue_order":"backfill","report_x0":"free slots","report_x1":"free memory","tells_start":{}}},
"stats":{{"fields":[],"via":"off"}},"tick":4000,"tier":0,"tiers":["workers"],"weights":"rough","zone":0}}}}"#,
            self.name,
            self.listen,
            self.discovery,
            self.memory_mb,
            self.sockets,
            self.known,
            self.balancers,
            self.second_copies,
            self.me,
            self.cold_us,
            self.services,
            list("-1"),
            list("0"),
            list("2.0"),
            self.tells_start,
        )
    }
}
