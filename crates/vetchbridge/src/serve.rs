//! The daemon's life: owns the start, the wiring and the end of the program; it must never touch a request.

use crate::ask::Ask;
use crate::config::{self, Config, Flags};
use crate::discovery::Discovery;
use crate::engine::Engine;
use crate::front::{Front, Phase};
use crate::logs::Logs;
use crate::siblings;
use crate::upstream::UpstreamGroup;
use std::error::Error;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::time::{sleep, sleep_until, Instant};
use tracing::{error, info};

/// After SIGTERM, idle connections are left to their clients for this long: the front may still deal them out.
const LET_IDLE: Duration = Duration::from_millis(500);
/// After SIGTERM, the listener stays at least this long: new connections keep arriving.
const LISTEN_ON: Duration = Duration::from_millis(900);
/// After SIGTERM, what is still open then gets its final answer: SIGKILL may come 3.7 s after SIGTERM, and what
/// it finds unanswered is lost.
const LAST_CALL: Duration = Duration::from_millis(3300);
/// Nothing must be owed for this long before the program ends; the last answers leave the socket meanwhile.
const QUIET: Duration = Duration::from_millis(100);

/// Runs the daemon in the foreground until it is told to end and nothing is owed.
pub async fn run(config: Config, flags: Flags, logs: Logs) -> Result<(), Box<dyn Error>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let hangup = signal(SignalKind::hangup())?;
    let listener = TcpListener::bind(config.listen).await.map_err(|e| format!("{}: {e}", config.listen))?;
    info!(name = config.name, address = %listener.local_addr()?, "daemon.listens");
    let (asks, asked) = unbounded_channel();
    // To the very end: while it drains, the scheduler still places jobs and needs the list.
    tokio::spawn(reload_on(hangup, asks.clone(), flags, logs));
    let front = start(config, listener, asks, asked);

    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    info!("daemon.ending");
    front.enter(Phase::Draining);
    let told = Instant::now();
    sleep_until(told + LET_IDLE).await;
    front.enter(Phase::Closing);
    sleep_until(told + LISTEN_ON).await;
    let mut quiet_since = Instant::now();
    let mut leaving = false;
    while quiet_since.elapsed() < QUIET {
        sleep(QUIET / 10).await;
        if !leaving && told.elapsed() >= LAST_CALL {
            leaving = true;
            front.enter(Phase::Leaving);
        }
        if front.owes() {
            quiet_since = Instant::now();
        }
    }
    info!("daemon.ended");
    Ok(())
}

/// Reads the configuration again at each SIGHUP. Discovery moves and the log's filter changes at once; all else is for the next start. One
/// that can't be used changes nothing.
async fn reload_on(mut hangup: Signal, asks: UnboundedSender<Ask>, flags: Flags, logs: Logs) {
    while hangup.recv().await.is_some() {
        match config::reload(&flags) {
            Ok(config) => {
                if let Err(error) = logs.refilter(&config.log.filter.0) {
                    error!(error, "log.filter.refused");
                }
                match asks.send(Ask::Move(config.source)) {
                    Ok(()) => info!("configuration.read"),
                    Err(_) => error!("discovery.absent"),
                }
            }
            // The old one stays.
            Err(error) => error!(%error, "configuration.refused"),
        }
    }
}

fn start(
    config: Config,
    listener: TcpListener,
    asks: UnboundedSender<Ask>,
    asked: UnboundedReceiver<Ask>,
) -> Arc<Front> {
    let (messages, outgoing) = unbounded_channel();
    let upstream = Arc::new(UpstreamGroup::new(config.dial_timeout, config.conn_idle));
    let engine = Arc::new(Engine::new(config.policy, upstream.clone(), asks, messages));
    tokio::spawn(engine.clone().run_timers());
    if let Some(config) = config.siblings {
        let siblings = siblings::run(config, engine.clone(), outgoing);
        tokio::spawn(async move {
            if let Err(error) = siblings.await {
                error!(%error, "siblings.failed");
            }
        });
    }
    let class_names = config.names.classes.clone();
    let discovery =
        Discovery::start(config.source, config.names, config.known, engine.clone(), upstream.clone());
    tokio::spawn(discovery.run(asked));
    let front = Front::new(engine, upstream, class_names, config.classes, config.sockets, config.memory);
    tokio::spawn(front.clone().serve(listener));
    front
}
