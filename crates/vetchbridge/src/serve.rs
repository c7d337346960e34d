//! The daemon's life: owns the start, the wiring and the end of the program; it must never touch a request.

use crate::admin;
use crate::ask::Ask;
use crate::config::{self, Config, Flags};
use crate::discovery::Discovery;
use crate::engine::Engine;
use crate::front::Front;
use crate::life::Life;
use crate::logs::Logs;
use crate::siblings;
use crate::upstream::UpstreamGroup;
use silverproxy::interface::Event;
use std::error::Error;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::time::{sleep, Instant};
use tracing::{error, info};

/// After SIGTERM, the listener stays at least this long: new connections keep arriving.
const LISTEN_ON: Duration = Duration::from_millis(900);
/// Nothing must be owed for this long before the program ends; the last answers leave the socket meanwhile.
const QUIET: Duration = Duration::from_millis(100);

/// Runs the daemon in the foreground until it is told to end and nothing is owed.
pub async fn run(config: Config, flags: Flags, logs: Logs) -> Result<(), Box<dyn Error>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let hangup = signal(SignalKind::hangup())?;
    let bind = |address| async move {
        TcpListener::bind(address).await.map_err(|error| format!("{address}: {error}"))
    };
    let listener = bind(config.listen).await?;
    let life = Arc::new(Life::begin(false));
    if let Some(address) = config.admin {
        let door = bind(address).await?;
        info!(address = %door.local_addr()?, "admin.listens");
        tokio::spawn(admin::serve(door, life.clone(), admin::callers(config.sockets)));
    }
    let keeper = life.clone();
    tokio::spawn(async move { keeper.keep_time().await });
    info!(name = config.name, address = %listener.local_addr()?, "daemon.listens");
    let (asks, asked) = unbounded_channel();
    // To the very end: while it drains, the scheduler still places jobs and needs the list.
    tokio::spawn(reload_on(hangup, asks.clone(), flags, logs));
    let (engine, front) = start(config, listener, asks, asked, life.clone());
    life.started();

    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    life.terminate();
    sleep(LISTEN_ON).await;
    let mut quiet_since = Instant::now();
    let mut leaving = false;
    while quiet_since.elapsed() < QUIET {
        sleep(QUIET / 10).await;
        if !leaving && !life.state().takes() {
            leaving = true;
            engine.handle(Event::Ending);
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
    life: Arc<Life>,
) -> (Arc<Engine>, Arc<Front>) {
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
    let front = Front::new(
        engine.clone(),
        upstream,
        class_names,
        config.classes,
        config.sockets,
        config.memory,
        life,
    );
    tokio::spawn(front.clone().serve(listener));
    (engine, front)
}
