//! Exchanges messages between two linked processes of a scheduler until one of the processes ends. Both
//! processes run this code.

use super::message::{Envelope, HandoverMessage};
use super::predecessor::HandoverServer;
use super::process_links::{ForwardOutcome, Link};
use super::reader::{MessageReader, ReceiveError};
use super::socket::HandoverSocket;
use crate::workers::Callback;
use std::os::fd::AsFd;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::Receiver;
use tokio::time::sleep;
use tracing::{debug, info, warn};

/// Interval at which this process checks its number of client connections and, if the number has changed,
/// sends the number to the other process of the scheduler.
const CONNECTION_COUNT_INTERVAL: Duration = Duration::from_millis(100);

impl HandoverServer {
    /// Announces to the predecessor process, connected through `socket`, that this process serves from now
    /// on, and keeps the link to the predecessor. `predecessor_connections` is the number of client
    /// connections that the predecessor had, and `replies_to_sync` whether it replies to
    /// [`HandoverMessage::Sync`].
    pub fn announce_takeover(
        self: &Arc<Self>,
        socket: HandoverSocket,
        predecessor_connections: usize,
        replies_to_sync: bool,
    ) {
        let (link, outgoing) = Link::new(replies_to_sync);
        link.record(&HandoverMessage::ConnectionCount(predecessor_connections));
        self.register(&link);
        link.send(HandoverMessage::TookOver, Vec::new());
        let server = self.clone();
        tokio::spawn(async move { server.run_link(socket, link, outgoing).await });
    }

    /// Adds the link to another process, and sends that process the ids of this process's open requests and of
    /// its closed requests that must not run again. When a request opens or closes later, all linked processes
    /// are told.
    pub(super) fn register(&self, link: &Arc<Link>) {
        self.process_links.add(link.clone());
        for id in self.engine.open_request_ids().into_iter().chain(self.process_links.remembered_ids()) {
            link.send(HandoverMessage::RequestOpened(id.0), Vec::new());
        }
    }

    /// Sends and receives the messages on a link to another process of this scheduler until either process
    /// ends, then removes the link.
    pub(super) async fn run_link(
        &self,
        socket: HandoverSocket,
        link: Arc<Link>,
        mut outgoing: Receiver<Envelope>,
    ) {
        tokio::select! {
            () = self.receive_messages(&socket, &link) => {}
            () = send_messages(&socket, &mut outgoing) => {}
            () = self.send_connection_counts(&link) => {}
        }
        self.process_links.remove(&link);
        info!("upgrade.link_closed");
    }

    async fn receive_messages(&self, socket: &HandoverSocket, link: &Arc<Link>) {
        let mut reader = MessageReader::new(socket);
        loop {
            match reader.next().await {
                Ok(Some(envelope)) => self.handle_message(link, envelope),
                Ok(None) => return,
                Err(ReceiveError::Decode(error)) => {
                    return warn!(reason = %error, "upgrade.message_invalid");
                }
                Err(ReceiveError::Io(error)) => return debug!(%error, "upgrade.link_failed"),
            }
        }
    }

    async fn send_connection_counts(&self, link: &Link) {
        let mut sent = 0;
        loop {
            let connections = self.client_server.connection_count();
            if connections != sent {
                sent = connections;
                link.send(HandoverMessage::ConnectionCount(connections), Vec::new());
            }
            sleep(CONNECTION_COUNT_INTERVAL).await;
        }
    }

    fn handle_message(&self, link: &Arc<Link>, envelope: Envelope) {
        link.record(&envelope.message);
        match envelope.message {
            HandoverMessage::TookOver => {
                info!(
                    connections = self.client_server.connection_count(),
                    requests = self.engine.open_request_count(),
                    "upgrade.taken_over"
                );
                self.process_links.set_successor(link.clone());
                // From now on the successor process opens its own connections to workers, so this process no
                // longer needs its idle connections to workers.
                self.upstream.close_all_idle_connections();
            }
            HandoverMessage::ClientConnection { is_kept_alive } => {
                for connection in envelope.descriptors {
                    self.client_server.take_over_connection(connection, is_kept_alive);
                }
            }
            HandoverMessage::Sync(number) => {
                link.send(HandoverMessage::SyncReply(number), Vec::new());
            }
            HandoverMessage::ForwardedCallback { number, callback } => {
                self.handle_callback(link.clone(), number, callback);
            }
            _ => {}
        }
    }

    /// Handles a worker's callback that another process of this scheduler has forwarded: passes the callback
    /// to the callback's attempt, in this process or in a third process. Sends the process that forwarded the
    /// callback a reply with whether an attempt was found.
    fn handle_callback(&self, link: Arc<Link>, number: u64, callback: Callback) {
        let (upstream, process_links) = (self.upstream.clone(), self.process_links.clone());
        tokio::spawn(async move {
            let forwarded = if upstream.dispatch_callback(&callback) {
                ForwardOutcome::Known
            } else {
                process_links.forward(&callback, Some(&link)).await
            };
            // If a third process did not reply, this process sends no reply either. The time limit of the
            // process that forwarded the callback then expires, and the callback counts as `NoReply` there
            // too.
            if forwarded != ForwardOutcome::NoReply {
                let known = forwarded == ForwardOutcome::Known;
                link.send(HandoverMessage::CallbackReply { number, known }, Vec::new());
            }
        });
    }
}

async fn send_messages(socket: &HandoverSocket, outgoing: &mut Receiver<Envelope>) {
    while let Some(Envelope { message, descriptors }) = outgoing.recv().await {
        let descriptors: Vec<_> = descriptors.iter().map(AsFd::as_fd).collect();
        if let Err(error) = socket.send(&message.encode(), &descriptors).await {
            return debug!(%error, "upgrade.link_failed");
        }
    }
}
