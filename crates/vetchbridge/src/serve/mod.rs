//! The daemon from its start to its end; it must never touch a request.
//!
//! [`run`] takes over from a predecessor if there is one, opens the sockets, wires the parts together and starts their
//! tasks, waits for SIGTERM, and shuts down gracefully.
//!
//! | module | job |
//! | --- | --- |
//! | `sockets` | opens the sockets, or uses those of a predecessor |
//! | `startup` | wires the parts and starts their tasks |
//! | `reload` | applies the configuration that is read at SIGHUP |
//! | `shutdown` | waits until everything that was accepted has its response |

mod reload;
mod shutdown;
mod sockets;
mod startup;

use crate::admin;
use crate::config::{Config, Flags};
use crate::invariants::violation_count;
use crate::lifecycle::clock::Lifecycle;
use crate::logs::Logs;
use crate::signals::{SignalHandlers, SignalNotifications};
use crate::upgrade::process_links::ProcessLinks;
use crate::upgrade::{self, InheritedState, TakeoverOutcome};
use sockets::{bind_with_retry, listen};
use startup::Startup;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use tracing::info;
use vetchbridge_scheduling::SettingsError;

/// Why the daemon could not serve.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// Signals can't be watched.
    #[error("signals: {0}")]
    Signals(io::Error),
    /// An address can't be bound.
    #[error("{address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The error of the system call.
        source: io::Error,
    },
    /// The clients' listener can't be used.
    #[error("client listener: {0}")]
    ClientListener(io::Error),
    /// The peers' socket can't be used.
    #[error("peer socket: {0}")]
    PeerSocket(io::Error),
    /// The hand-over socket can't be put at its path.
    #[error("{}: {source}", path.display())]
    PublishHandover {
        /// The path.
        path: PathBuf,
        /// The error of the system call.
        source: io::Error,
    },
    /// The decision module rejects the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// Runs the daemon in the foreground until SIGTERM, and then until all that it has accepted is complete.
pub async fn run(
    mut config: Config,
    flags: Flags,
    logs: Logs,
    signals: SignalHandlers,
) -> Result<(), ServeError> {
    let SignalNotifications { hangup, terminate } = signals.watch().map_err(ServeError::Signals)?;
    let inherited = take_over(&mut config).await;
    let process_links = Arc::new(ProcessLinks::default());
    let quiesced = inherited.as_ref().is_some_and(|inherited| inherited.offer.quiesced);
    let lifecycle = Arc::new(Lifecycle::new(quiesced));
    start_admin(&config, &lifecycle, &process_links).await?;
    let transitions = lifecycle.clone();
    tokio::spawn(async move { transitions.run_transitions().await });
    let startup = Startup { config, flags, logs, hangup, inherited, lifecycle, process_links };
    let handover_server = startup::start(startup).await?;
    terminate.notified().await;
    shutdown::shut_down(&handover_server).await;
    info!(violations = violation_count(), "daemon.stopped");
    Ok(())
}

/// Takes over from the process that serves as this scheduler, if there is one.
async fn take_over(config: &mut Config) -> Option<InheritedState> {
    let path = config.handover.as_ref()?;
    match upgrade::take_over(path, &config.name, config.listen).await {
        TakeoverOutcome::Inherited(inherited) => Some(*inherited),
        TakeoverOutcome::NoPredecessor => None,
        TakeoverOutcome::Rejected => {
            // The path is left to the process there; this one can't be taken over from.
            config.handover = None;
            None
        }
    }
}

/// Starts the admin interface, if it has an address.
async fn start_admin(
    config: &Config,
    lifecycle: &Arc<Lifecycle>,
    process_links: &Arc<ProcessLinks>,
) -> Result<(), ServeError> {
    let Some(address) = config.admin else { return Ok(()) };
    let listener = bind_with_retry(address, || listen(address, false)).await?;
    let bound = listener.local_addr().map_err(|source| ServeError::Bind { address, source })?;
    info!(address = %bound, "admin.listening");
    let max_connections = admin::max_connections(config.sockets);
    tokio::spawn(admin::serve(listener, lifecycle.clone(), process_links.clone(), max_connections));
    Ok(())
}
