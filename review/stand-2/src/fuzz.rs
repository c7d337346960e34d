use crate::config::{class, Config};
use crate::http;
use crate::world::*;
use std::io::{Read, Write};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

struct Rng(u64);
impl Rng { fn next(&mut self) -> u64 { self.0 ^= self.0 << 13; self.0 ^= self.0 >> 7; self.0 ^= self.0 << 17; self.0 } fn below(&mut self, n: u64) -> u64 { self.next() % n.max(1) } }
fn mutate(rng: &mut Rng, bytes: &[u8]) -> Vec<u8> {
    let mut v = bytes.to_vec();
    let words: [&[u8]; 22] = [b"\r\n", b"\r\n\r\n", b":", b" ", b"HTTP/1.0", b"CONNECT", b"OPTIONS *", b"GET", b"Transfer-Encoding: chunked\r\n", b"Content-Length: 99999999999999999999\r\n", b"Content-Length: -1\r\n", b"Content-Length: +3\r\n", b"\x00", b"\xff\xfe", b"Expect: 100-continue\r\n", b"Connection: upgrade\r\n", b"X-Never-Ran: 1\r\n", b"18446744073709551615", b"0", b"HTTP/1.1 101 Switching Protocols\r\n", b"HTTP/1.1 503 x\r\nX-Never-Ran: 1\r\n", b"ffffffffffffffff\r\n"];
    for _ in 0..1 + rng.below(4) {
        if v.is_empty() { break }
        let at = rng.below(v.len() as u64) as usize;
        match rng.below(5) {
            0 => v[at] = rng.next() as u8,
            1 => { let w = words[rng.below(22) as usize]; v.splice(at..at, w.iter().copied()); }
            2 => { let end = (at + rng.below(20) as usize).min(v.len()); v.drain(at..end); }
            3 => v.truncate(at),
            _ => { // after a line end
                if let Some(p) = v[at..].windows(2).position(|w| w == b"\r\n") { let w = words[rng.below(22) as usize]; let p = at + p + 2; v.splice(p..p, w.iter().copied()); } }
        }
    }
    v
}
pub fn run(root: &Path, case: &str, _trouble: bool) -> i32 {
    let platform = Platform::new(root, case);
    let record = platform.record.clone();
    let listen = free_address();
    let seed: u64 = std::env::var("SEED").ok().and_then(|v| v.parse().ok()).unwrap_or(1);
    let n = AtomicU64::new(seed * 1000);
    let on_job: Arc<OnJob> = Arc::new(move |worker, job, stream| {
        let mut rng = Rng(n.fetch_add(1, Ordering::Relaxed).wrapping_mul(0x9e3779b97f4a7c15) | 1);
        for _ in 0..3 { rng.next(); }
        let bad = rng.below(3) == 0;
        let ok = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n".to_vec();
        let text = if bad { mutate(&mut rng, &ok) } else { ok };
        stream.write_all(&text)?;
        if job.method() != "POST" { return Ok(true); }
        let (worker, id) = (worker.clone(), job.header("x-trace-id").unwrap_or("").to_string());
        thread::spawn(move || {
            let states = [("started", ""), ("running", r#","share":0.5"#), ("done", r#","result":"r""#), ("lost", ""), ("returned", ""), ("failed", "")];
            worker.tell(&id, "started", "");
            if rng.below(4) == 0 {
                let body = mutate(&mut rng, format!(r#"{{"id":"{id}","from":"{}","state":"done","result":"x"}}"#, worker.name).as_bytes());
                let request = mutate(&mut rng, &[format!("POST /callback HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n", body.len()).as_bytes(), &body].concat());
                if let Ok(mut c) = http::connect(worker.scheduler, Duration::from_millis(100)) { let _ = c.write_all(&request); let _ = c.read(&mut [0; 1000]); }
            }
            thread::sleep(Duration::from_millis(rng.below(60)));
            let pick = if rng.below(3) > 0 { 2 } else { rng.below(6) as usize };
            worker.tell(&id, states[pick].0, states[pick].1);
        });
        Ok(!bad)
    });
    let workers: Vec<Worker> = (0..5).map(|i| Worker::start(&format!("s-{i}"), listen, &record, on_job.clone())).collect();
    let discovery = Discovery::start(workers.iter().map(|w| Instance::new(&w.name, w.address)).collect());
    let services = [class("position", "safe", 2000, 5000), class("once", "unsafe", 2000, 5000), class("keyed", "keyed", 2000, 3000)].join(",");
    let config = Config { memory_mb: 32, services, ..Config::new("n0", listen, discovery.address) };
    let path = platform.folder.join("config.json");
    std::fs::write(&path, config.json()).unwrap();
    let mut s = platform.start("n0", &path, "n0.log", &[]);
    wait_ready(listen, Duration::from_secs(10));
    let end = Instant::now() + Duration::from_secs(20);
    let late = Arc::new(AtomicU64::new(0));
    let count = Arc::new(AtomicU64::new(0));
    let handles: Vec<_> = (0..24u64).map(|i| { let (late, count) = (late.clone(), count.clone()); thread::spawn(move || {
        let mut rng = Rng((seed * 100 + i + 1).wrapping_mul(0x9e3779b97f4a7c15) | 1);
        while Instant::now() < end {
            let names = ["position", "once", "keyed"];
            let request = job(&new_id(), names[rng.below(3) as usize], &format!("k{}", rng.below(20)), 1500, "Idempotency-Key: abcdef\r\nX-Size-Hint: 150000\r\n", b"xyz");
            let usual = i < 8;
            let text = if usual { request } else { mutate(&mut rng, &request) };
            let Ok(mut c) = http::connect(listen, Duration::from_millis(if usual { 2600 } else { 3200 })) else { continue };
            let t = Instant::now();
            let _ = c.write_all(&text);
            if !usual && rng.below(3) == 0 { thread::sleep(Duration::from_millis(rng.below(20))); continue }
            if usual {
                count.fetch_add(1, Ordering::Relaxed);
                let r = http::read(&mut std::io::BufReader::new(c));
                if !matches!(r, Ok(Some(_))) || t.elapsed() > Duration::from_millis(2100) { late.fetch_add(1, Ordering::Relaxed); println!("usual: {:?} after {:?}", r.map(|m| m.map(|m| m.start)), t.elapsed()); }
            } else { let _ = c.read(&mut [0; 500]); if t.elapsed() > Duration::from_millis(3100) { println!("bad client without answer: {:?}", String::from_utf8_lossy(&text)); } }
        }
    }) }).collect();
    handles.into_iter().for_each(|h| h.join().unwrap());
    record.say(format!("runs {} usual {} late {} rss {}", s.runs(), count.load(Ordering::Relaxed), late.load(Ordering::Relaxed), memory_kib(s.pid, "RssAnon")));
    let log = std::fs::read_to_string(&s.log).unwrap_or_default();
    for line in log.lines().filter(|l| l.contains("panick") || l.contains("violat")).take(10) { record.say(line); }
    0
}
