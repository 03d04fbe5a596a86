//! Event streams from scripted transcribers.

use crate::support::{ScriptedTranscriber, Step, client, outgoing, run};
use pebblepost_transcriber::{ClientError, EventStream, ResponseHead, StreamResponse};
use rstest::rstest;
use std::time::Duration;
use tokio::sync::oneshot;

const READ_TIMEOUT: Duration = Duration::from_secs(5);
const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nrequest-id: a\r\ncontent-type: text/event-stream\r\n\
    weight-versions: 6\r\ntransfer-encoding: chunked\r\n\r\n";

async fn open(server: &ScriptedTranscriber) -> (ResponseHead, EventStream) {
    match client().open_stream(&server.target(), outgoing("a")).await.unwrap() {
        StreamResponse::Stream(head, stream) => (head, stream),
        StreamResponse::Buffered(response) => panic!("no stream: {response:?}"),
    }
}

#[test]
fn events_arrive_one_by_one_and_the_connection_is_reused() {
    run(async {
        let (release, wait_release) = oneshot::channel();
        let script = vec![
            Step::Read,
            Step::Write(HEAD),
            Step::Write(b"f\r\nid: 1\ndata: x\n\n\r\n"),
            Step::Await(wait_release),
            Step::Write(b"25\r\nweight-versions: 7\nid: 2\ndata: y\ndata\r\n5\r\n: z\n\n\r\n0\r\n\r\n"),
            Step::Read,
            Step::Write(b"HTTP/1.1 200 OK\r\nrequest-id: b\r\ncontent-length: 0\r\n\r\n"),
        ];
        let server = ScriptedTranscriber::start(vec![script]).await;
        let client = client();
        let response = client.open_stream(&server.target(), outgoing("a")).await.unwrap();
        let StreamResponse::Stream(head, mut stream) = response else { panic!("no stream") };
        assert_eq!(head.headers["weight-versions"], "6");
        let first = stream.next(READ_TIMEOUT).await.unwrap().unwrap();
        assert_eq!((first.id, &first.data[..], first.weight_version), (1, &b"x"[..], None));
        assert_eq!(&first.raw[..], b"id: 1\ndata: x\n\n");
        release.send(()).unwrap();
        let second = stream.next(READ_TIMEOUT).await.unwrap().unwrap();
        assert_eq!((second.id, &second.data[..], second.weight_version), (2, &b"y\nz"[..], Some(7)));
        assert_eq!(stream.next(READ_TIMEOUT).await.unwrap(), None);
        assert_eq!(stream.next(READ_TIMEOUT).await.unwrap(), None);
        client.send(&server.target(), outgoing("b")).await.unwrap();
        assert_eq!(client.metrics().connection_attempts, 1);
    });
}

#[rstest]
#[case::between_events(b"f\r\nid: 1\ndata: x\n\n\r\n")]
#[case::inside_a_chunk(b"1f\r\nid: 1\ndata: x\n\nid: 2\n")]
#[case::inside_an_event(b"15\r\nid: 1\ndata: x\n\nid: 2\n\r\n0\r\n\r\n")]
fn a_truncated_stream_returns_an_error(#[case] body: &'static [u8]) {
    run(async move {
        let script = vec![Step::Read, Step::Write(HEAD), Step::Write(body), Step::Close];
        let server = ScriptedTranscriber::start(vec![script]).await;
        let (_, mut stream) = open(&server).await;
        assert_eq!(stream.next(READ_TIMEOUT).await.unwrap().unwrap().id, 1);
        let end = stream.next(READ_TIMEOUT).await;
        assert_eq!(end.unwrap_err(), ClientError::MayHaveRun);
    });
}

#[test]
fn the_end_of_a_stream_without_length_or_chunks_returns_an_error() {
    run(async {
        let head = b"HTTP/1.1 200 OK\r\nrequest-id: a\r\ncontent-type: text/event-stream\r\n\r\n\
                     id: 1\ndata: x\n\n";
        let server = ScriptedTranscriber::start(vec![vec![Step::Read, Step::Write(head), Step::Close]]).await;
        let (_, mut stream) = open(&server).await;
        assert_eq!(stream.next(READ_TIMEOUT).await.unwrap().unwrap().id, 1);
        assert_eq!(stream.next(READ_TIMEOUT).await.unwrap_err(), ClientError::MayHaveRun);
    });
}

#[test]
fn the_read_timeout_closes_the_connection_of_a_stream() {
    run(async {
        let (notify, closed) = oneshot::channel();
        let script = vec![Step::Read, Step::Write(HEAD), Step::AwaitClose(notify)];
        let server = ScriptedTranscriber::start(vec![script]).await;
        let (_, mut stream) = open(&server).await;
        assert_eq!(stream.next(Duration::from_millis(20)).await.unwrap_err(), ClientError::TimedOut);
        closed.await.unwrap();
    });
}

#[test]
fn dropping_a_stream_closes_its_connection() {
    run(async {
        let (notify, closed) = oneshot::channel();
        let script = vec![Step::Read, Step::Write(HEAD), Step::AwaitClose(notify)];
        let server = ScriptedTranscriber::start(vec![script]).await;
        drop(open(&server).await);
        closed.await.unwrap();
    });
}
