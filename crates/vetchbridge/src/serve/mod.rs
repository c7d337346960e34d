//! Runs the daemon from its start to the end of its shutdown. This module never handles a request itself.
//!
//! [`run`] takes over from the predecessor process if there is one, opens the sockets, connects the daemon's
//! components and starts their tasks, waits for SIGTERM, and shuts down gracefully.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `sockets` | opens the sockets, or uses the sockets that a predecessor process handed over |
//! | `startup` | connects the components and starts their tasks |
//! | `reload` | reads and applies the configuration at each SIGHUP |
//! | `shutdown` | waits until every accepted request has its response |

mod reload;
mod shutdown;
mod sockets;
mod startup;

use crate::admin;
use crate::config::{self, Config, Flags};
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

/// Why the daemon failed to start serving.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The notifications of signals to this process can't be started.
    #[error("cannot watch for signals: {0}")]
    Signals(io::Error),
    /// A socket can't be bound to its address.
    #[error("cannot bind {address}: {source}")]
    Bind {
        /// The address from the configuration to which the socket was to be bound.
        address: SocketAddr,
        /// The error of the system call that binds the socket.
        source: io::Error,
    },
    /// The listener for clients can't be used.
    #[error("cannot use the client listener: {0}")]
    ClientListener(io::Error),
    /// The socket for messages between schedulers can't be used.
    #[error("cannot use the peer socket: {0}")]
    PeerSocket(io::Error),
    /// The socket that successor processes connect to can't be published at its path.
    #[error("cannot publish the hand-over socket at {}: {source}", path.display())]
    PublishHandover {
        /// The path at which the socket was to be published.
        path: PathBuf,
        /// The error of the system call.
        source: io::Error,
    },
    /// The decision module rejects the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// Runs the daemon in the foreground until SIGTERM, and then until every accepted request has its response.
pub async fn run(
    mut config: Config,
    flags: Flags,
    logs: Logs,
    signals: SignalHandlers,
) -> Result<(), ServeError> {
    let SignalNotifications { hangup, terminate } = signals.watch().map_err(ServeError::Signals)?;
    let inherited = take_over(&mut config).await;
    if let Some(in_force) = inherited.as_ref().and_then(|inherited| inherited.offer.configuration.as_ref()) {
        if let Err(error) = config::hold_to_predecessor(&mut config, &flags, in_force) {
            reload::log_rejection(&error);
        }
    }
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

/// Takes over from the process that already serves as this scheduler; returns `None` if no such process is
/// found or the takeover is rejected.
async fn take_over(config: &mut Config) -> Option<InheritedState> {
    let path = config.handover_path.as_ref()?;
    match upgrade::take_over(path, &config.name, config.listen).await {
        TakeoverOutcome::Inherited(inherited) => Some(*inherited),
        TakeoverOutcome::NoPredecessor => None,
        TakeoverOutcome::Rejected => {
            // The process that rejected the takeover keeps the handover path, so no successor process can
            // take over from this process.
            config.handover_path = None;
            None
        }
    }
}

/// Starts the admin interface if the configuration has an address for it.
async fn start_admin(
    config: &Config,
    lifecycle: &Arc<Lifecycle>,
    process_links: &Arc<ProcessLinks>,
) -> Result<(), ServeError> {
    let Some(address) = config.admin else { return Ok(()) };
    let listener = bind_with_retry(address, || listen(address, false)).await?;
    let bound = listener.local_addr().map_err(|source| ServeError::Bind { address, source })?;
    info!(address = %bound, "admin.listening");
    let max_connections = admin::max_connections(config.max_sockets);
    tokio::spawn(admin::serve(listener, lifecycle.clone(), process_links.clone(), max_connections));
    Ok(())
}
