//! Tests that the stored and sent data of a replica stay compatible byte for byte. Messages, log entries and
//! disks of an earlier build are read, and the same bytes are written. The data files under `tests/stored`
//! are never changed to follow the code; `error_texts.txt` changes only with the text of an error message.

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

fn read_stored_file(file: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/stored").join(file);
    std::fs::read_to_string(path).unwrap_or_else(|error| panic!("{file}: {error}"))
}

fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("plain data")
}

fn parse_json<T: DeserializeOwned>(line: &str) -> T {
    serde_json::from_str(line).unwrap_or_else(|error| panic!("{line}: {error}"))
}

fn assert_round_trip<T: Serialize + DeserializeOwned>(file: &str, count: usize) {
    let text = read_stored_file(file);
    assert_eq!(text.lines().count(), count, "{file}");
    for line in text.lines() {
        assert_eq!(to_json(&parse_json::<T>(line)), line, "{file}");
    }
}

/// A temporary directory that is removed at the end of the test.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("pebblepost-stored-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("writable");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn requests_responses_and_log_entries_match_the_stored_bytes() {
    assert_round_trip::<Request>("requests.jsonl", 16);
    assert_round_trip::<Response>("replies.jsonl", 19);
    assert_round_trip::<Entry<TypeConfig>>("log_entries.jsonl", 4);
    for text in ["null", r#"{"Ok":{"revision":3}}"#] {
        assert_eq!(to_json(&parse_json::<EntryResult>(text)), text);
    }
    // A heartbeat of an earlier build has no report.
    let earlier: Request = parse_json(r#"{"beat":{"member":"d1","session":7}}"#);
    assert_eq!(to_json(&earlier), r#"{"beat":{"member":"d1","session":7,"doing":null}}"#);
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

/// The rows of a table with their values as text.
type Rows<K> = Vec<(K, String)>;

/// Reads the rows of the log and of the single values.
fn read_rows(path: &std::path::Path) -> (Rows<u64>, Rows<String>) {
    let database = Database::open(path).expect("an intact file");
    let transaction = database.begin_read().expect("open");
    let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).expect("JSON");
    let log = transaction.open_table(LOG).expect("the table exists");
    let log = log.iter().expect("readable").map(|row| {
        let (index, bytes) = row.expect("readable");
        (index.value(), text(bytes.value()))
    });
    let log = log.collect();
    let meta = transaction.open_table(META).expect("the table exists");
    let meta = meta.iter().expect("readable").map(|row| {
        let (key, bytes) = row.expect("readable");
        (key.value().to_owned(), text(bytes.value()))
    });
    (log, meta.collect())
}

/// Runs a replica in its own group, applies the commands of the stored log entries and stops it. Returns its
/// address and the id of its disk.
async fn run_replica(folder: &Folder) -> (String, u64) {
    let config = common::replica_config(9, folder.0.clone());
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let (replica, mut client) = common::start_group(&config, async { drop(stopped.await) }).await;
    let time_limit = Duration::from_secs(10);
    for line in read_stored_file("log_entries.jsonl").lines() {
        if let EntryPayload::Normal(command) = parse_json::<Entry<TypeConfig>>(line).payload {
            client
                .submit(&command, time_limit)
                .await
                .expect("the replica responds")
                .expect("the command is accepted");
        }
    }
    let Ok(Response::Status(status)) = client.request(&Request::Status, time_limit).await else {
        panic!("the response is not a status")
    };
    drop(stop);
    replica.await.expect("no panic").expect("the replica stops without an error");
    (config.listen.to_string(), status.disk)
}

/// Writes a disk through a running replica, a snapshot and a purge, and compares every key and value in its
/// tables with the stored ones.
#[tokio::test]
async fn a_disk_has_the_same_tables_keys_and_values_as_earlier_builds() {
    let folder = Folder::new("written");
    let (address, disk_id) = run_replica(&folder).await;
    let normalize = |text: String| {
        text.replace(&address, "127.0.0.1:1").replace(&format!("\"disk\":{disk_id}"), "\"disk\":77")
    };
    let (log, mut meta) = read_rows(&folder.0.join(FILE_NAME));
    let entries: Vec<String> = read_stored_file("log_entries.jsonl").lines().map(str::to_owned).collect();
    assert_eq!(log.iter().map(|(index, _)| *index).collect::<Vec<_>>(), [0, 1, 2, 3]);
    assert_eq!(log.into_iter().map(|(_, text)| normalize(text)).collect::<Vec<_>>(), entries);
    meta.iter_mut().for_each(|(_, text)| *text = normalize(std::mem::take(text)));
    let mut expected: Vec<(String, String)> =
        read_stored_file("meta.jsonl").lines().map(parse_stored_pair).collect();
    assert_eq!(meta, expected.iter().filter(|(key, _)| key != "purged").cloned().collect::<Vec<_>>());
    {
        let mut disk = Disk::open(&folder.0, "g", 1, 0).expect("an intact disk");
        let mut machine = StateMachine::open(disk.clone()).expect("an intact disk");
        machine.apply(disk.try_get_log_entries(..).await.expect("readable")).await.expect("valid");
        machine.build_snapshot().await.expect("writable");
        disk.purge(parse_json(r#"{"leader_id":{"term":0,"node_id":0},"index":0}"#)).await.expect("writable");
    }
    let (log, meta) = read_rows(&folder.0.join(FILE_NAME));
    assert_eq!(log.iter().map(|(index, _)| *index).collect::<Vec<_>>(), [1, 2, 3]);
    expected.push(("snapshot".to_owned(), read_stored_file("snapshot.json").trim_end().to_owned()));
    expected.sort();
    let meta = meta.into_iter().map(|(key, text)| {
        let text = normalize(text).replace(&format!("[1,{disk_id}]"), "[1,77]");
        (key, text.replace(&format!("\\\"1\\\":{disk_id}"), "\\\"1\\\":77"))
    });
    assert_eq!(meta.collect::<Vec<_>>(), expected);
}

/// Parses a line with a key of the table and its value. Returns the value's text unchanged.
fn parse_stored_pair(line: &str) -> (String, String) {
    let (key, value) = line[1..line.len() - 1].split_once(',').expect("a pair");
    (parse_json(key), value.to_owned())
}

/// Creates a file with the rows of an earlier build, and checks that the log, the vote and the state are read
/// from it.
#[tokio::test]
async fn a_disk_of_an_earlier_build_is_read() {
    let folder = Folder::new("read");
    let lines = read_stored_file("log_entries.jsonl");
    {
        let database = Database::create(folder.0.join(FILE_NAME)).expect("writable");
        let transaction = database.begin_write().expect("open");
        {
            let mut log = transaction.open_table(LOG).expect("new");
            for (index, line) in lines.lines().enumerate().skip(1) {
                log.insert(index as u64, line.as_bytes()).expect("writable");
            }
            let mut meta = transaction.open_table(META).expect("new");
            for line in read_stored_file("meta.jsonl").lines() {
                let (key, value) = parse_stored_pair(line);
                meta.insert(key.as_str(), value.as_bytes()).expect("writable");
            }
            meta.insert("snapshot", read_stored_file("snapshot.json").trim_end().as_bytes())
                .expect("writable");
        }
        transaction.commit().expect("writable");
    }
    let mut disk = Disk::open(&folder.0, "g", 1, 78).expect("an earlier build's disk");
    assert_eq!(disk.identity(), &DiskIdentity { group: "g".to_owned(), id: 1, disk: 77 });
    let entries = disk.try_get_log_entries(..).await.expect("readable");
    assert_eq!(entries.iter().map(to_json).collect::<Vec<_>>(), lines.lines().skip(1).collect::<Vec<_>>());
    let vote: Vote<u64> = disk.read_vote().await.expect("readable").expect("a vote is stored");
    // After a restart a replica's vote for itself counts as not committed.
    assert_eq!(to_json(&vote), r#"{"leader_id":{"term":1,"node_id":1},"committed":false}"#);
    let known = disk.group_state().expect("readable");
    assert_eq!((known.last_index, known.term), (3, 1));
    assert_eq!(known.replicas[&1].address, "127.0.0.1:1");
    let mut machine = StateMachine::open(disk).expect("readable");
    let (last, membership) = machine.applied_state().await.expect("readable");
    assert_eq!(to_json(&last), r#"{"leader_id":{"term":1,"node_id":1},"index":3}"#);
    assert_eq!(membership.nodes().count(), 1);
    assert_eq!(machine.read().revision(), 2);
    let snapshot = machine.get_current_snapshot().await.expect("readable").expect("a snapshot is stored");
    let state = String::from_utf8(snapshot.snapshot.into_inner()).expect("JSON");
    assert_eq!(to_json(&*machine.read()), state);
}

#[test]
fn error_messages_match_the_stored_texts() {
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
    texts.push(ReplicaError::Listen("127.0.0.1:1".parse().expect("valid"), listen).to_string());
    texts.push(ReplicaError::Stopped("s".to_owned()).to_string());
    texts
        .push(GroupUnreachable { timeout: Duration::from_secs(2), last_failure: "l".to_owned() }.to_string());
    assert_eq!(texts.join("\n"), read_stored_file("error_texts.txt").trim_end());
    assert_eq!(FILE_NAME, "keeper.redb");
}
