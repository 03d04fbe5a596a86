//! Test of many workers and many watches at one replica. A watch that is never read must not delay the
//! others.

mod common;

use common::{replica_config, start_group};
use pebblepost_fleet::value::Worker;
use pebblepost_fleet::{Action, Name, Operation, Text};
use pebblepost_fleet_store::client::{Client, new_command};
use pebblepost_fleet_store::connection::Connection;
use pebblepost_fleet_store::protocol::{Request, Response};
use std::time::Duration;
use tokio::time::timeout;

const TIME_LIMIT: Duration = Duration::from_secs(60);
const WORKER_COUNT: usize = 10_000;
const WATCH_COUNT: usize = 1_000;

/// Applies operations and returns the new revision.
async fn apply_operations(client: &mut Client, operations: Vec<Operation>) -> u64 {
    let action = Action::Change { operations, preconditions: vec![], reason: Text::default() };
    let command = new_command("t".parse().expect("a name"), action);
    let answer = client.submit(&command, TIME_LIMIT).await.expect("the replica responds");
    answer.expect("the command is accepted").revision
}

/// Reads a watch up to the revision `until`. Asserts that each change comes once and without a gap. Returns
/// the number of snapshots and the number of changed items, or of all entries after a snapshot.
async fn read_watch_until(mut connection: Connection, from: u64, until: u64) -> (usize, usize) {
    let (mut at, mut snapshots, mut items) = (from, 0, 0);
    while at < until {
        match connection.receive::<Response>().await.expect("a valid message").expect("an open connection") {
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
async fn a_watch_that_is_never_read_does_not_delay_1000_watches_of_10000_workers() {
    let folder = std::env::temp_dir().join(format!("pebblepost-watch-{}", std::process::id()));
    let config = replica_config(2, folder.clone());
    let address = config.listen.to_string();
    let (replica, mut client) = start_group(&config, std::future::pending()).await;
    let worker = Worker { slots: 2, ..Worker::default() };
    let mut loaded = 0;
    for first in (0..WORKER_COUNT).step_by(1_000) {
        let name = |n: usize| -> Name { format!("w-{n}").parse().expect("a name") };
        let operations =
            (first..first + 1_000).map(|n| Operation::PutWorker(name(n), worker.clone())).collect();
        loaded = apply_operations(&mut client, operations).await;
    }
    let open_watch = async |from: u64| {
        let mut connection = Connection::connect(&address).await.expect("a listener");
        connection.send(&Request::Watch(from)).await.expect("an open connection");
        connection
    };
    let until = loaded + 20;
    let mut watchers = Vec::new();
    for _ in 0..WATCH_COUNT {
        watchers.push(tokio::spawn(read_watch_until(open_watch(loaded).await, loaded, until)));
    }
    let late = tokio::spawn(read_watch_until(open_watch(0).await, 0, until));
    let ahead = tokio::spawn(read_watch_until(open_watch(loaded + 1_000).await, 0, until));
    let _unread_watch = open_watch(0).await;
    for n in 0..20 {
        apply_operations(&mut client, vec![Operation::Drain(format!("w-{n}").parse().expect("a name"))])
            .await;
    }
    for watcher in watchers {
        let (snapshots, items) =
            timeout(TIME_LIMIT, watcher).await.expect("in time").expect("the task does not panic");
        assert_eq!((snapshots, items), (0, 20));
    }
    let (snapshots, items) =
        timeout(TIME_LIMIT, late).await.expect("in time").expect("the task does not panic");
    assert_eq!(
        (snapshots, items),
        (0, WORKER_COUNT + 20),
        "the history of changes reaches back to the beginning"
    );
    let (snapshots, _) = timeout(TIME_LIMIT, ahead).await.expect("in time").expect("the task does not panic");
    assert_eq!(snapshots, 1, "a watch from a revision that the group has not reached gets a snapshot");
    replica.abort();
    let _ = std::fs::remove_dir_all(folder);
}
