//! Many workers and many watches at one replica; a watcher that does not read delays nobody.

mod common;

use common::{begin, settings};
use pebblepost_fleet::value::Worker;
use pebblepost_fleet::{Action, Name, Operation, Text};
use pebblepost_fleet_store::client::{Client, new_command};
use pebblepost_fleet_store::connection::Connection;
use pebblepost_fleet_store::protocol::{Request, Response};
use std::time::Duration;
use tokio::time::timeout;

const LIMIT: Duration = Duration::from_secs(60);
const WORKERS: usize = 10_000;
const WATCHERS: usize = 1_000;

async fn change(client: &mut Client, ops: Vec<Operation>) -> u64 {
    let act = Action::Change { operations: ops, preconditions: vec![], reason: Text::default() };
    let command = new_command("t".parse().expect("a name"), act);
    let answer = client.submit(&command, LIMIT).await.expect("it answers");
    answer.expect("nothing against it").revision
}

/// Reads a watch until it has that revision. Changes must come without a gap, each once.
async fn reads_until(mut connection: Connection, from: u64, until: u64) -> (usize, usize) {
    let (mut at, mut snapshots, mut items) = (from, 0, 0);
    while at < until {
        match connection.receive::<Response>().await.expect("no garbage").expect("open") {
            Response::Changes(changes) => {
                for change in changes {
                    assert_eq!(change.revision, at + 1);
                    at = change.revision;
                    items += change.items.len();
                }
            }
            Response::Snapshot(snapshot) => {
                assert!(snapshot.revision > at);
                (at, snapshots, items) = (snapshot.revision, snapshots + 1, snapshot.entries.len());
            }
            Response::UpToDate(revision) => assert_eq!(revision, at),
            other => panic!("{other:?}"),
        }
    }
    (snapshots, items)
}

#[tokio::test(flavor = "multi_thread")]
async fn serves_a_thousand_watches_of_ten_thousand_workers_beside_one_that_does_not_read() {
    let folder = std::env::temp_dir().join(format!("pebblepost-watch-{}", std::process::id()));
    let settings = settings(2, folder.clone());
    let address = settings.listen.to_string();
    let (replica, mut client) = begin(&settings, std::future::pending()).await;
    let worker = Worker { slots: 2, ..Worker::default() };
    let mut loaded = 0;
    for first in (0..WORKERS).step_by(1_000) {
        let name = |n: usize| -> Name { format!("w-{n}").parse().expect("a name") };
        let ops = (first..first + 1_000).map(|n| Operation::PutWorker(name(n), worker.clone())).collect();
        loaded = change(&mut client, ops).await;
    }
    let open = async |from: u64| {
        let mut connection = Connection::connect(&address).await.expect("a listener");
        connection.send(&Request::Watch(from)).await.expect("open");
        connection
    };
    let until = loaded + 20;
    let mut watchers = Vec::new();
    for _ in 0..WATCHERS {
        watchers.push(tokio::spawn(reads_until(open(loaded).await, loaded, until)));
    }
    let late = tokio::spawn(reads_until(open(0).await, 0, until));
    let ahead = tokio::spawn(reads_until(open(loaded + 1_000).await, 0, until));
    let _never_read = open(0).await;
    for n in 0..20 {
        change(&mut client, vec![Operation::Drain(format!("w-{n}").parse().expect("a name"))]).await;
    }
    for watcher in watchers {
        let (snapshots, items) = timeout(LIMIT, watcher).await.expect("in time").expect("no gap");
        assert_eq!((snapshots, items), (0, 20));
    }
    let (snapshots, items) = timeout(LIMIT, late).await.expect("in time").expect("no gap");
    assert_eq!((snapshots, items), (0, WORKERS + 20), "the log reaches back to the beginning");
    let (snapshots, _) = timeout(LIMIT, ahead).await.expect("in time").expect("no gap");
    assert_eq!(snapshots, 1, "a revision that the group never had: a snapshot");
    replica.abort();
    let _ = std::fs::remove_dir_all(folder);
}
