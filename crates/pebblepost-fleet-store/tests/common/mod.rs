//! Starts a group of one replica in the test process.

use pebblepost_fleet_store::client::{Client, request_once};
use pebblepost_fleet_store::protocol::{Request, Response};
use pebblepost_fleet_store::raft_types::Peer;
use pebblepost_fleet_store::replica::{ReplicaConfig, ReplicaError, run};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, TcpListener};
use std::path::PathBuf;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Returns a configuration with a free port. Each test passes its own number, which selects a loopback
/// address that no other test uses, so that the port stays free until the replica listens.
pub fn replica_config(test: u8, folder: PathBuf) -> ReplicaConfig {
    let listen =
        TcpListener::bind((Ipv4Addr::new(127, 79, test, 1), 0)).and_then(|listener| listener.local_addr());
    ReplicaConfig {
        group: "g".to_owned(),
        id: 1,
        listen: listen.expect("a free port"),
        data_dir: folder,
        dial_addresses: BTreeMap::new(),
        session_ttl: Duration::from_secs(10),
        heartbeat_interval: Duration::from_millis(100),
    }
}

/// Starts a replica that runs until `stop` completes, and initializes a group with only this replica.
pub async fn start_group(
    config: &ReplicaConfig, stop: impl Future<Output = ()> + Send + 'static,
) -> (JoinHandle<Result<(), ReplicaError>>, Client) {
    let replica = tokio::spawn(run(config.clone(), |_| {}, stop));
    let address = config.listen.to_string();
    let status = loop {
        match request_once(&address, &Request::Status).await {
            Ok(Response::Status(status)) => break status,
            _ => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    };
    let peers = BTreeMap::from([(1, Peer { address: address.clone(), disk: status.disk })]);
    assert!(matches!(request_once(&address, &Request::Initialize(peers)).await, Ok(Response::Done)));
    (replica, Client::new(BTreeMap::from([(1, address)])))
}
