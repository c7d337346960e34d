//! Faults of a soak test that faulty clients cause: disconnects, stalled requests and connection floods.

use super::super::fault::FaultKind;
use super::super::faulty_clients::FaultyClients;
use super::{track, FaultInjector};
use crate::Failure;
use futures_util::future::join_all;
use rand::RngExt;
use std::net::SocketAddr;
use tokio::time::Instant;

/// The number of clients that one [`FaultKind::ClientDisconnect`] lets disconnect at about the same time.
const DISCONNECTS: usize = 8;
/// The number of connections that a connection flood opens: more than a scheduler of the soak test's plan
/// accepts.
const FLOOD_CONNECTIONS: usize = 300;

impl FaultInjector<'_> {
    pub(super) async fn inject_client_faults(
        &self,
        index: u64,
        addresses: &[SocketAddr],
        clients: &FaultyClients,
    ) -> Result<(), Failure> {
        let kinds = [FaultKind::ClientDisconnect, FaultKind::ClientStall, FaultKind::ConnectionFlood];
        let mut schedule = self.schedule(track::FIRST_CLIENTS + index, &kinds);
        let epoch = self.log.epoch();
        while let Some(kind) = schedule.next().await {
            let (address, started) = (*schedule.choose(addresses), Instant::now());
            match kind {
                FaultKind::ClientDisconnect => {
                    let draws =
                        (0..DISCONNECTS).map(|_| (*schedule.choose(addresses), schedule.duration(0.0, 0.4)));
                    let draws: Vec<_> = draws.collect();
                    let disconnect = |(address, after)| clients.disconnect(address, after, epoch);
                    join_all(draws.into_iter().map(disconnect)).await;
                }
                FaultKind::ClientStall => {
                    let within_body = schedule.random.random_bool(0.5);
                    clients.stall(address, within_body, epoch).await;
                }
                _ => clients.flood(address, FLOOD_CONNECTIONS, schedule.duration(0.3, 1.0)).await,
            }
            self.log.record(kind, &address.to_string(), started);
        }
        Ok(())
    }
}
