//! What a replica stores and sends, pinned by bytes: an earlier build's frames, log entries and disk are
//! read, and the same bytes are written. The files under `tests/stored` are never edited to follow the code.

mod common;

use openraft::storage::{RaftLogReader, RaftLogStorage, RaftSnapshotBuilder, RaftStateMachine};
use openraft::{Entry, EntryPayload, Vote};
use pebblepost_fleet_store::client::GroupUnreachable;
use pebblepost_fleet_store::connection::{Connection, MAX_FRAME_BYTES};
use pebblepost_fleet_store::protocol::{Request, Response};
use pebblepost_fleet_store::raft_types::{EntryResult, TypeConfig};
use pebblepost_fleet_store::replica::ReplicaError;
use pebblepost_fleet_store::state_machine::StateMachine;
use pebblepost_fleet_store::storage::{Disk, DiskError, DiskIdentity, FILE_NAME};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::path::PathBuf;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");

fn stored(file: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/stored").join(file);
    std::fs::read_to_string(path).unwrap_or_else(|error| panic!("{file}: {error}"))
}

fn written<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("plain data")
}

fn read<T: DeserializeOwned>(line: &str) -> T {
    serde_json::from_str(line).unwrap_or_else(|error| panic!("{line}: {error}"))
}

fn reads_and_writes_the_same<T: Serialize + DeserializeOwned>(file: &str, count: usize) {
    let text = stored(file);
    assert_eq!(text.lines().count(), count, "{file}");
    for line in text.lines() {
        assert_eq!(written(&read::<T>(line)), line, "{file}");
    }
}

/// A folder that goes with the test.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("pebblepost-stored-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("space");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn requests_replies_and_log_entries_keep_their_bytes() {
    reads_and_writes_the_same::<Request>("requests.jsonl", 16);
    reads_and_writes_the_same::<Response>("replies.jsonl", 19);
    reads_and_writes_the_same::<Entry<TypeConfig>>("log_entries.jsonl", 4);
    for text in ["null", r#"{"Ok":{"revision":3}}"#] {
        assert_eq!(written(&read::<EntryResult>(text)), text);
    }
    let earlier: Request = read(r#"{"beat":{"member":"d1","session":7}}"#);
    assert_eq!(written(&earlier), r#"{"beat":{"member":"d1","session":7,"doing":null}}"#);
}

#[tokio::test]
async fn a_frame_is_its_length_in_four_bytes_and_json() {
    assert_eq!(MAX_FRAME_BYTES, 8 * 1024 * 1024);
    let listener = tokio::net::TcpListener::bind("127.79.9.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let mut plain = tokio::net::TcpStream::connect(address).await.expect("a listener");
    let mut connection = Connection::new(listener.accept().await.expect("a connection").0);
    connection.send(&Request::Status).await.expect("open");
    let mut frame = [0; 12];
    plain.read_exact(&mut frame).await.expect("a frame");
    assert_eq!(&frame, b"\0\0\0\x08\"status\"");
    plain.write_all(b"\0\0\0\x06\"done\"").await.expect("open");
    assert!(matches!(connection.receive::<Response>().await, Ok(Some(Response::Done))));
}

/// The rows of a table, with their values as text.
type Rows<K> = Vec<(K, String)>;

fn rows(path: &std::path::Path) -> (Rows<u64>, Rows<String>) {
    let database = Database::open(path).expect("a sound file");
    let transaction = database.begin_read().expect("open");
    let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).expect("JSON");
    let log = transaction.open_table(LOG).expect("there");
    let log = log.iter().expect("readable").map(|row| {
        let (index, bytes) = row.expect("readable");
        (index.value(), text(bytes.value()))
    });
    let log = log.collect();
    let meta = transaction.open_table(META).expect("there");
    let meta = meta.iter().expect("readable").map(|row| {
        let (key, bytes) = row.expect("readable");
        (key.value().to_owned(), text(bytes.value()))
    });
    (log, meta.collect())
}

/// A replica of its own group that was asked for the stored entries' commands, with its address and disk as
/// stored.
async fn run_replica(folder: &Folder) -> (String, u64) {
    let settings = common::settings(9, folder.0.clone());
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let (replica, mut client) = common::begin(&settings, async { drop(stopped.await) }).await;
    let within = Duration::from_secs(10);
    for line in stored("log_entries.jsonl").lines() {
        if let EntryPayload::Normal(command) = read::<Entry<TypeConfig>>(line).payload {
            client.submit(&command, within).await.expect("it answers").expect("nothing against it");
        }
    }
    let Ok(Response::Status(status)) = client.request(&Request::Status, within).await else {
        panic!("no status")
    };
    drop(stop);
    replica.await.expect("no panic").expect("it ends as asked");
    (settings.listen.to_string(), status.disk)
}

/// Writes a disk through a running replica, a snapshot and a purge, and compares each key and value of its
/// tables.
#[tokio::test]
async fn a_disk_has_the_tables_keys_and_values_of_earlier_builds() {
    let folder = Folder::new("written");
    let (address, number) = run_replica(&folder).await;
    let normal = |text: String| {
        text.replace(&address, "127.0.0.1:1").replace(&format!("\"disk\":{number}"), "\"disk\":77")
    };
    let (log, mut meta) = rows(&folder.0.join(FILE_NAME));
    let entries: Vec<String> = stored("log_entries.jsonl").lines().map(str::to_owned).collect();
    assert_eq!(log.iter().map(|(index, _)| *index).collect::<Vec<_>>(), [0, 1, 2, 3]);
    assert_eq!(log.into_iter().map(|(_, text)| normal(text)).collect::<Vec<_>>(), entries);
    meta.iter_mut().for_each(|(_, text)| *text = normal(std::mem::take(text)));
    let mut expected: Vec<(String, String)> = stored("meta.jsonl").lines().map(stored_pair).collect();
    assert_eq!(meta, expected.iter().filter(|(key, _)| key != "purged").cloned().collect::<Vec<_>>());
    {
        let mut disk = Disk::open(&folder.0, "g", 1, 0).expect("a sound disk");
        let mut machine = StateMachine::open(disk.clone()).expect("a sound disk");
        machine.apply(disk.try_get_log_entries(..).await.expect("readable")).await.expect("sound");
        machine.build_snapshot().await.expect("space");
        disk.purge(read(r#"{"leader_id":{"term":0,"node_id":0},"index":0}"#)).await.expect("space");
    }
    let (log, meta) = rows(&folder.0.join(FILE_NAME));
    assert_eq!(log.iter().map(|(index, _)| *index).collect::<Vec<_>>(), [1, 2, 3]);
    expected.push(("snapshot".to_owned(), stored("snapshot.json").trim_end().to_owned()));
    expected.sort();
    let meta = meta.into_iter().map(|(key, text)| {
        let text = normal(text).replace(&format!("[1,{number}]"), "[1,77]");
        (key, text.replace(&format!("\\\"1\\\":{number}"), "\\\"1\\\":77"))
    });
    assert_eq!(meta.collect::<Vec<_>>(), expected);
}

/// A key of the table, and its value as it was written.
fn stored_pair(line: &str) -> (String, String) {
    let (key, value) = line[1..line.len() - 1].split_once(',').expect("a pair");
    (read(key), value.to_owned())
}

/// A file with an earlier build's rows: the log, the vote and the state come back.
#[tokio::test]
async fn a_disk_of_an_earlier_build_is_read() {
    let folder = Folder::new("read");
    let lines = stored("log_entries.jsonl");
    {
        let database = Database::create(folder.0.join(FILE_NAME)).expect("space");
        let transaction = database.begin_write().expect("open");
        {
            let mut log = transaction.open_table(LOG).expect("new");
            for (index, line) in lines.lines().enumerate().skip(1) {
                log.insert(index as u64, line.as_bytes()).expect("space");
            }
            let mut meta = transaction.open_table(META).expect("new");
            for line in stored("meta.jsonl").lines() {
                let (key, value) = stored_pair(line);
                meta.insert(key.as_str(), value.as_bytes()).expect("space");
            }
            meta.insert("snapshot", stored("snapshot.json").trim_end().as_bytes()).expect("space");
        }
        transaction.commit().expect("space");
    }
    let mut disk = Disk::open(&folder.0, "g", 1, 78).expect("an earlier build's disk");
    assert_eq!(disk.identity(), &DiskIdentity { group: "g".to_owned(), id: 1, disk: 77 });
    let entries = disk.try_get_log_entries(..).await.expect("readable");
    assert_eq!(entries.iter().map(written).collect::<Vec<_>>(), lines.lines().skip(1).collect::<Vec<_>>());
    let vote: Vote<u64> = disk.read_vote().await.expect("readable").expect("there");
    // A vote for itself counts as not committed after a restart.
    assert_eq!(written(&vote), r#"{"leader_id":{"term":1,"node_id":1},"committed":false}"#);
    let known = disk.group_state().expect("readable");
    assert_eq!((known.last_index, known.term), (3, 1));
    assert_eq!(known.replicas[&1].address, "127.0.0.1:1");
    let mut machine = StateMachine::open(disk).expect("readable");
    let (last, membership) = machine.applied_state().await.expect("readable");
    assert_eq!(written(&last), r#"{"leader_id":{"term":1,"node_id":1},"index":3}"#);
    assert_eq!(membership.nodes().count(), 1);
    assert_eq!(machine.read().revision(), 2);
    let snapshot = machine.get_current_snapshot().await.expect("readable").expect("there");
    let state = String::from_utf8(snapshot.snapshot.into_inner()).expect("JSON");
    assert_eq!(written(&*machine.read()), state);
}

#[test]
fn texts_of_errors_stay_as_they_are() {
    let path = || PathBuf::from("/f/keeper.redb");
    let disk = [
        DiskError::Io { path: path(), cause: "w".to_owned() },
        DiskError::Damaged { path: path(), cause: "w".to_owned() },
        DiskError::Outdated { path: path(), last_index: 1, acknowledged_index: 2, leader: 3, term: 4 },
        DiskError::WrongReplica { path: path(), found: "f".to_owned(), expected: "w".to_owned() },
    ];
    let mut texts: Vec<String> = disk.iter().map(ToString::to_string).collect();
    texts.extend(disk.into_iter().map(|error| ReplicaError::from(error).to_string()));
    let listen = std::io::Error::other("o");
    texts.push(ReplicaError::Listen("127.0.0.1:1".parse().expect("sound"), listen).to_string());
    texts.push(ReplicaError::Stopped("s".to_owned()).to_string());
    texts
        .push(GroupUnreachable { timeout: Duration::from_secs(2), last_failure: "l".to_owned() }.to_string());
    assert_eq!(texts.join("\n"), stored("error_texts.txt").trim_end());
    assert_eq!(FILE_NAME, "keeper.redb");
}
