//! A disk that is full, or fails to sync, in the middle of the work of a group (the build with faults).

mod common;

use common::{begin, change, settings, start};
use pebblepost_fleet::{Key, Op};
use pebblepost_store::client::Client;
use pebblepost_store::wire::{Ask, Say};
use std::time::Duration;

const LIMIT: Duration = Duration::from_secs(20);

async fn drain(client: &mut Client, worker: &str) -> Result<u64, String> {
    let ops = vec![Op::Drain(worker.parse().expect("a name"))];
    let answer = change(client, ops, Duration::from_secs(3)).await.map_err(|e| e.to_string())?;
    answer.map(|done| done.revision).map_err(|e| e.to_string())
}

/// One keeper is a whole group here, so that the failpoint, which is the process's, is its own.
#[tokio::test(flavor = "multi_thread")]
async fn a_full_disk_ends_the_keeper_by_name_acknowledges_nothing_and_loses_nothing() {
    let folder = std::env::temp_dir().join(format!("pebblepost-faults-{}", std::process::id()));
    let settings = settings(1, folder.clone());
    let (keeper, mut client) = begin(&settings).await;
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
