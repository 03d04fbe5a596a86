//! A group of one keeper in this process.

use pebblepost_fleet::command::{Act, Op};
use pebblepost_fleet::{Answer, Text};
use pebblepost_fleet_store::client::{Client, Unreachable, command};
use pebblepost_fleet_store::group::Peer;
use pebblepost_fleet_store::keeper::{KeeperError, Settings, ask_once, run};
use pebblepost_fleet_store::wire::{Ask, Say};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, TcpListener};
use std::path::PathBuf;
use std::time::Duration;
use tokio::task::JoinHandle;

pub type Keeper = JoinHandle<Result<(), KeeperError>>;

/// A keeper's settings, at an address of the test's own, so that a port that was free a moment ago still is.
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

pub fn start(settings: &Settings) -> Keeper {
    tokio::spawn(run(settings.clone(), |_| {}, std::future::pending()))
}

/// Starts one and has it begin a group of itself.
pub async fn begin(settings: &Settings) -> (Keeper, Client) {
    let (keeper, address) = (start(settings), settings.listen.to_string());
    let status = loop {
        match ask_once(&address, &Ask::Status).await {
            Ok(Say::Status(status)) => break status,
            _ => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    };
    let peers = BTreeMap::from([(1, Peer { address: address.clone(), disk: status.disk })]);
    assert!(matches!(ask_once(&address, &Ask::Begin(peers)).await, Ok(Say::Done)));
    (keeper, Client::new(BTreeMap::from([(1, address)])))
}

pub async fn change(client: &mut Client, ops: Vec<Op>, within: Duration) -> Result<Answer, Unreachable> {
    let act = Act::Change { ops, expect: vec![], why: Text::default() };
    client.command(&command("t".parse().expect("a name"), act), within).await
}
