//! Simulates a control process and proxies over loopback, and records a transcript of their messages.

use pebblepost_agent::{AgentOptions, Signal, serve};
use pebblepost_link::{LinkLimits, Listener, Receiver, Sender, connect};
use pebblepost_messages::control::{FromControl, ToControl};
use pebblepost_messages::feed::{
    ConfigurationUpdate, FeedBatch, FeedReply, FeedUpdate, Instance, InstanceState, ModelVersion,
};
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, spawn_local};

pub const LIMITS: LinkLimits = LinkLimits {
    max_frame_bytes: 1 << 20,
    max_queued_bytes: 1 << 20,
    connect_timeout: Duration::from_secs(10),
    read_timeout: Duration::from_secs(60),
};

pub fn listener() -> (Listener, SocketAddr) {
    let listener = Listener::bind(SocketAddr::from(([127, 0, 0, 1], 0)), LIMITS).expect("bound");
    let address = listener.local_address().expect("bound");
    (listener, address)
}

/// A running agent with its inputs and the transcript of the test.
pub struct Harness {
    pub signals: mpsc::Sender<Signal>,
    pub agent: JoinHandle<()>,
    pub transcript: String,
    proxy_address: SocketAddr,
}

impl Harness {
    pub fn start(control: Vec<SocketAddr>, reload: impl Fn() -> Vec<SocketAddr> + 'static) -> Harness {
        let (proxy_listener, proxy_address) = listener();
        let (signals, receiver) = mpsc::channel(4);
        let options = AgentOptions {
            node: "edge-north-1".to_owned(),
            zone: "north".to_owned(),
            control_addresses: control,
            shutdown_grace: Duration::from_secs(8),
            read_control_addresses: Box::new(reload),
        };
        let agent = spawn_local(serve(options, proxy_listener, receiver));
        Harness { signals, agent, transcript: String::new(), proxy_address }
    }

    /// Writes a remark to the transcript.
    pub fn note(&mut self, text: &str) {
        writeln!(self.transcript, "-- {text}").expect("written");
    }

    /// Accepts the agent's next link as a control process, and receives the subscription.
    pub async fn control(&mut self, listener: &mut Listener) -> Control {
        let (sender, receiver) = listener.accept().await.expect("a link");
        let mut control = Control { sender, receiver };
        control.expect(self).await;
        control
    }

    /// Connects a proxy to the agent.
    pub async fn proxy(&mut self, name: &'static str) -> Proxy {
        let (sender, receiver) = connect(self.proxy_address, LIMITS).await.expect("connected");
        Proxy { name, sender, receiver }
    }

    /// Compares the transcript with the approved file. A transcript that differs is written to the target
    /// directory.
    pub fn assert_approved(&self, name: &str) {
        let approved = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/approved").join(name);
        let text = std::fs::read_to_string(&approved).unwrap_or_default();
        if text != self.transcript {
            let received = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
            std::fs::write(&received, &self.transcript).expect("writable");
            panic!("{} is not approved:\n{}", received.display(), self.transcript);
        }
    }
}

/// Control side of a link to the agent.
pub struct Control {
    sender: Sender,
    receiver: Receiver,
}

impl Control {
    pub fn send(&self, harness: &mut Harness, message: &FromControl) {
        writeln!(harness.transcript, "control -> agent  {}", from_control(message)).expect("written");
        assert!(self.sender.send(message));
    }

    pub fn feed(&self, harness: &mut Harness, sequence: u64, updates: Vec<FeedUpdate>) {
        self.send(harness, &FromControl::Feed(FeedBatch { sequence, updates }));
    }

    /// Receives the next message that is not a keep-alive and records it in the transcript.
    pub async fn expect(&mut self, harness: &mut Harness) {
        loop {
            let message: ToControl = self.receiver.receive().await.expect("a message");
            if message != ToControl::KeepAlive {
                return writeln!(harness.transcript, "control <- agent  {message:?}").expect("written");
            }
        }
    }

    pub async fn expect_end(&mut self, harness: &mut Harness) {
        while self.receiver.receive::<ToControl>().await.is_ok() {}
        writeln!(harness.transcript, "control <- agent  (closed)").expect("written");
    }
}

/// Proxy side of a link to the agent.
pub struct Proxy {
    name: &'static str,
    sender: Sender,
    receiver: Receiver,
}

impl Proxy {
    pub async fn expect(&mut self, harness: &mut Harness) {
        let FeedBatch { sequence, updates } = self.receiver.receive().await.expect("a message");
        let text = batch(sequence, &updates);
        writeln!(harness.transcript, "{} <- agent  {text}", self.name).expect("written");
    }

    pub fn acknowledge(&self, harness: &mut Harness, sequence: u64, generation: u64) {
        let reply = FeedReply::Acknowledge { sequence, generation };
        writeln!(harness.transcript, "{} -> agent  {reply:?}", self.name).expect("written");
        assert!(self.sender.send(&reply));
    }

    pub async fn expect_end(&mut self, harness: &mut Harness) {
        while self.receiver.receive::<FeedBatch>().await.is_ok() {}
        writeln!(harness.transcript, "{} <- agent  (closed)", self.name).expect("written");
    }
}

fn from_control(message: &FromControl) -> String {
    match message {
        FromControl::Feed(FeedBatch { sequence, updates }) => batch(*sequence, updates),
        FromControl::Redirect { primary, members } => {
            format!("Redirect primary {}, members {}", primary.is_some(), members.len())
        }
        FromControl::Members(members) => format!("Members {}", members.len()),
        other => format!("{other:?}"),
    }
}

fn batch(sequence: u64, updates: &[FeedUpdate]) -> String {
    let mut text = format!("batch {sequence}");
    for update in updates {
        write!(text, "\n    {}", update_line(update)).expect("written");
    }
    text
}

fn update_line(update: &FeedUpdate) -> String {
    match update {
        FeedUpdate::Configuration(ConfigurationUpdate::Full { generation, document }) => {
            format!("configuration {generation}: {}", String::from_utf8_lossy(document))
        }
        FeedUpdate::Configuration(ConfigurationUpdate::Patch {
            base_generation: base,
            generation,
            patch,
        }) => {
            format!("patch {base} to {generation}: {}", String::from_utf8_lossy(patch))
        }
        FeedUpdate::Instances { complete, instances } => {
            let listed: Vec<String> = instances
                .iter()
                .map(|instance| format!("{} {:?} {}", instance.id, instance.state, instance.sequence))
                .collect();
            format!("{} [{}]", if *complete { "all transcribers" } else { "transcribers" }, listed.join(", "))
        }
        other => format!("{other:?}"),
    }
}

pub fn full_configuration(generation: u64) -> FeedUpdate {
    let document = format!(r#"{{"generation":{generation},"routes":[],"services":[]}}"#).into_bytes();
    FeedUpdate::Configuration(ConfigurationUpdate::Full { generation, document })
}

pub fn patch(base: u64, generation: u64) -> FeedUpdate {
    let patch =
        format!(r#"{{"generation":{generation},"upsert":{{"services":[{{"name":"s"}}]}}}}"#).into_bytes();
    FeedUpdate::Configuration(ConfigurationUpdate::Patch { base_generation: base, generation, patch })
}

pub fn transcribers(complete: bool, listed: &[(&str, InstanceState, u64)]) -> FeedUpdate {
    let instances = listed
        .iter()
        .map(|(id, state, sequence)| Instance {
            id: (*id).to_owned(),
            state: *state,
            sequence: *sequence,
            ..Instance::default()
        })
        .collect();
    FeedUpdate::Instances { complete, instances }
}

pub fn named_versions(model: &str, generation: u64) -> FeedUpdate {
    FeedUpdate::NamedVersions(vec![ModelVersion { model: model.to_owned(), generation }])
}
