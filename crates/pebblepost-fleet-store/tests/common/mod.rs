//! A group of one replica in this process.

use pebblepost_fleet_store::client::Client;
use pebblepost_fleet_store::group::Peer;
use pebblepost_fleet_store::keeper::{KeeperError, Settings, ask_once, run};
use pebblepost_fleet_store::wire::{Ask, Say};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, TcpListener};
use std::path::PathBuf;
use std::time::Duration;
use tokio::task::JoinHandle;

/// A replica's settings, at an address of the test's own, so that a port that was free a moment ago still is.
pub fn settings(test: u8, folder: PathBuf) -> Settings {
    let listen = TcpListener::bind((Ipv4Addr::new(127, 79, test, 1), 0)).and_then(|l| l.local_addr());
    Settings {
        group: "g".to_owned(),
        id: 1,
        listen: listen.expect("a free port"),
        folder,
        dial: BTreeMap::new(),
        session: Duration::from_secs(10),
        heartbeat: Duration::from_millis(100),
    }
}

/// Starts one that runs until `stop`, and has it begin a group of itself.
pub async fn begin(
    settings: &Settings, stop: impl Future<Output = ()> + Send + 'static,
) -> (JoinHandle<Result<(), KeeperError>>, Client) {
    let replica = tokio::spawn(run(settings.clone(), |_| {}, stop));
    let address = settings.listen.to_string();
    let status = loop {
        match ask_once(&address, &Ask::Status).await {
            Ok(Say::Status(status)) => break status,
            _ => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    };
    let peers = BTreeMap::from([(1, Peer { address: address.clone(), disk: status.disk })]);
    assert!(matches!(ask_once(&address, &Ask::Begin(peers)).await, Ok(Say::Done)));
    (replica, Client::new(BTreeMap::from([(1, address)])))
}
