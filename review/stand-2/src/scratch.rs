use crate::config::Config;
use crate::http;
use crate::world::*;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

fn env(name: &str, default: u64) -> u64 { std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(default) }

pub fn run(root: &Path, case: &str, _trouble: bool) -> i32 {
    let platform = Platform::new(root, case);
    let record = platform.record.clone();
    let listen = free_address();
    let (body, result, run_ms, nw, burst) = (env("BODY", 1), env("RESULT", 1), env("RUN", 150), env("WORKERS", 9), env("BURST", 300));
    let on_job: Arc<OnJob> = Arc::new(move |worker, job, stream| {
        http::respond(stream, "202 Accepted", "", b"")?;
        let (worker, id) = (worker.clone(), job.header("x-trace-id").unwrap_or("").to_string());
        if job.method() == "POST" { thread::spawn(move || { worker.tell(&id, "started", ""); thread::sleep(Duration::from_millis(run_ms)); worker.tell(&id, "done", &format!(r#","result":"{}""#, "r".repeat(result as usize))) }); }
        Ok(true)
    });
    let workers: Vec<Worker> = (0..nw).map(|i| Worker::start(&format!("s-{i}"), listen, &record, on_job.clone())).collect();
    let discovery = Discovery::start(workers.iter().map(|w| Instance::new(&w.name, w.address)).collect());
    let config = Config { memory_mb: 32, ..Config::new("n0", listen, discovery.address) };
    let path = platform.folder.join("config.json");
    std::fs::write(&path, config.json()).unwrap();
    let s = platform.start("n0", &path, "n0.log", &[]);
    wait_ready(listen, Duration::from_secs(10));
    let (peak, stop) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
    let (p2, st2, pid) = (peak.clone(), stop.clone(), s.pid);
    let g = thread::spawn(move || while !st2.load(Ordering::Relaxed) { p2.fetch_max(memory_kib(pid, "RssAnon"), Ordering::Relaxed); thread::sleep(Duration::from_millis(1)); });
    let usual = Arc::new(Mutex::new(std::collections::BTreeMap::<String, usize>::new()));
    let ub = env("UBODY", 30000);
    let us: Vec<_> = (0..env("USUAL", 0)).map(|i| { let (usual, stop) = (usual.clone(), stop.clone()); thread::spawn(move || {
        // a kept connection; on its loss a new one
        let mut conn: Option<std::io::BufReader<std::net::TcpStream>> = None;
        let mut n = 0;
        while !stop.load(Ordering::Relaxed) {
            let kept = conn.is_some();
            let mut c = match conn.take() { Some(c) => c, None => match http::connect(listen, Duration::from_secs(7)) { Ok(c) => std::io::BufReader::new(c), Err(e) => { *usual.lock().unwrap().entry(format!("connect {e}")).or_default() += 1; thread::sleep(Duration::from_millis(50)); continue } } };
            let request = job(&new_id(), "position", &format!("u{i}"), 5000, "X-Size-Hint: 150000\r\n", &vec![b'x'; ub as usize]);
            use std::io::Write;
            let w = c.get_mut().write_all(&request);
            let r = http::read(&mut c);
            let text = match (&w, &r) { (Ok(()), Ok(Some(m))) => format!("{}", m.status()), (Ok(()), Ok(None)) => "written, closed".into(), (Ok(()), Err(e)) => format!("written, {e}"), (Err(e), Ok(Some(m))) => format!("write {e}, {}", m.status()), (Err(e), _) => format!("write {e}") };
            *usual.lock().unwrap().entry(format!("{} {text}", if kept {"kept"} else {"new"})).or_default() += 1;
            if let Ok(Some(m)) = r { if m.header("connection") != Some("close") { conn = Some(c); } }
            n += 1; let _ = n;
            thread::sleep(Duration::from_millis(100));
        } }) }).collect();
    thread::sleep(Duration::from_millis(1500));
    for round in 0..3 {
        let answers = Arc::new(Mutex::new(std::collections::BTreeMap::<u16, usize>::new()));
        let clients: Vec<_> = (0..burst).map(|i| { let answers = answers.clone(); thread::spawn(move || {
            let request = job(&new_id(), "position", &format!("k{i}"), 5000, "X-Size-Hint: 150000\r\n", &vec![b'x'; body as usize]);
            let status = http::call(listen, &request, Duration::from_secs(7)).map_or(0, |a| a.status());
            *answers.lock().unwrap().entry(status).or_default() += 1; }) }).collect();
        clients.into_iter().for_each(|c| c.join().unwrap());
        record.say(format!("round {round}: peak {} {:?}", peak.load(Ordering::Relaxed), answers.lock().unwrap()));
    }
    stop.store(true, Ordering::Relaxed); us.into_iter().for_each(|u| u.join().unwrap());
    record.say(format!("usual: {:?}", usual.lock().unwrap()));
    g.join().unwrap();
    0
}
