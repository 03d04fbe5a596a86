//! A disk that is full, or fails to sync, in the middle of the work of a group (the build with faults).

use pebblepost_fleet::command::{Act, Command, Op};
use pebblepost_fleet::{Key, Text};
use pebblepost_store::client::Client;
use pebblepost_store::group::Peer;
use pebblepost_store::keeper::{KeeperError, Settings, ask_once, request_id, run};
use pebblepost_store::wire::{Ask, Say};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, TcpListener};
use std::path::Path;
use std::time::Duration;
use tokio::task::JoinHandle;

const LIMIT: Duration = Duration::from_secs(20);

fn settings(folder: &Path, id: u8) -> Settings {
    let listen = TcpListener::bind((Ipv4Addr::new(127, 79, 1, id), 0)).and_then(|l| l.local_addr());
    Settings {
        group: "g".to_owned(),
        id: u64::from(id),
        listen: listen.expect("a free port"),
        folder: folder.join(id.to_string()),
        dial: BTreeMap::new(),
        session: Duration::from_secs(10),
        heartbeat: Duration::from_millis(100),
    }
}

fn start(settings: &Settings) -> JoinHandle<Result<(), KeeperError>> {
    let settings = settings.clone();
    tokio::spawn(async move { run(settings, |_| {}, std::future::pending()).await })
}

async fn drain(client: &mut Client, worker: &str) -> Result<u64, String> {
    let ops = vec![Op::Drain(worker.parse().expect("a name"))];
    let act = Act::Change { ops, expect: vec![], why: Text::default() };
    let command = Command { id: request_id(), by: "t".parse().expect("a name"), at_ms: 0, act };
    let answer = client.command(&command, Duration::from_secs(3)).await.map_err(|e| e.to_string())?;
    answer.map(|done| done.revision).map_err(|e| e.to_string())
}

/// One keeper is a whole group here, so that the failpoint, which is the process's, is its own.
#[tokio::test(flavor = "multi_thread")]
async fn a_full_disk_ends_the_keeper_by_name_acknowledges_nothing_and_loses_nothing() {
    let folder = std::env::temp_dir().join(format!("pebblepost-faults-{}", std::process::id()));
    let settings = settings(&folder, 1);
    let address = settings.listen.to_string();
    let keeper = start(&settings);
    let mut client = Client::new(BTreeMap::from([(1, address.clone())]));
    let status = loop {
        match ask_once(&address, &Ask::Status).await {
            Ok(Say::Status(status)) => break status,
            _ => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    };
    let peers = BTreeMap::from([(1, Peer { address: address.clone(), disk: status.disk })]);
    assert!(matches!(ask_once(&address, &Ask::Begin(peers)).await, Ok(Say::Done)));
    assert_eq!(drain(&mut client, "a").await, Ok(1));
    fail::cfg("disk_write", "return").expect("a failpoint");
    assert!(drain(&mut client, "b").await.is_err(), "not acknowledged");
    let ended = tokio::time::timeout(LIMIT, keeper).await.expect("it ends").expect("no panic");
    let why = ended.expect_err("by an error").to_string();
    assert!(why.contains("keeper.redb") && why.contains("No space left"), "{why}");
    fail::remove("disk_write");
    // There is room again: it starts, and has what it acknowledged.
    let keeper = start(&settings);
    let found = client.ask(&Ask::Get(vec![]), LIMIT).await.expect("it answers");
    let Say::Found { entries, .. } = found else { panic!("{found:?}") };
    let keys: Vec<Key> = entries.into_keys().collect();
    assert_eq!(keys, ["drain/a".parse().expect("a key")]);
    assert_eq!(drain(&mut client, "b").await, Ok(2));
    keeper.abort();
    let _ = std::fs::remove_dir_all(folder);
}
