//! A control process and proxies played over loopback, and the transcript of what passes between them.

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
    let listener = Listener::bind(SocketAddr::from(([127, 0, 0, 1], 0)), LIMITS).unwrap();
    let address = listener.local_address().unwrap();
    (listener, address)
}

/// An agent at work, with what it is given, and the transcript.
pub struct Scene {
    pub signals: mpsc::Sender<Signal>,
    pub agent: JoinHandle<()>,
    pub transcript: String,
    proxy_address: SocketAddr,
}

impl Scene {
    pub fn start(control: Vec<SocketAddr>, reload: impl Fn() -> Vec<SocketAddr> + 'static) -> Scene {
        let (proxy_listener, proxy_address) = listener();
        let (signals, receiver) = mpsc::channel(4);
        let options = AgentOptions {
            node: "edge-north-1".to_owned(),
            zone: "north".to_owned(),
            control,
            grace: Duration::from_secs(8),
            reload: Box::new(reload),
        };
        let agent = spawn_local(serve(options, proxy_listener, receiver));
        Scene { signals, agent, transcript: String::new(), proxy_address }
    }

    /// Writes a heading or remark.
    pub fn note(&mut self, text: &str) {
        writeln!(self.transcript, "-- {text}").unwrap();
    }

    /// Takes the agent's next link to a control process, up to its subscription.
    pub async fn control(&mut self, listener: &mut Listener) -> Control {
        let (sender, receiver) = listener.accept().await.unwrap();
        let mut control = Control { sender, receiver };
        control.expect(self).await;
        control
    }

    /// Connects a proxy.
    pub async fn proxy(&mut self, name: &'static str) -> Proxy {
        let (sender, receiver) = connect(self.proxy_address, LIMITS).await.unwrap();
        Proxy { name, sender, receiver }
    }

    /// Compares the transcript with the approved one. One that differs is left beside the test's build.
    pub fn assert_approved(&self, name: &str) {
        let approved = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/approved").join(name);
        let text = std::fs::read_to_string(&approved).unwrap_or_default();
        if text != self.transcript {
            let received = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
            std::fs::write(&received, &self.transcript).unwrap();
            panic!("{} is not approved:\n{}", received.display(), self.transcript);
        }
    }
}

/// A control process, seen from its side of the link.
pub struct Control {
    sender: Sender,
    receiver: Receiver,
}

impl Control {
    pub fn send(&self, scene: &mut Scene, message: &FromControl) {
        writeln!(scene.transcript, "control -> agent  {}", from_control(message)).unwrap();
        assert!(self.sender.send(message));
    }

    pub fn feed(&self, scene: &mut Scene, sequence: u64, updates: Vec<FeedUpdate>) {
        self.send(scene, &FromControl::Feed(FeedBatch { sequence, updates }));
    }

    /// The next message other than keep-alives.
    pub async fn expect(&mut self, scene: &mut Scene) {
        loop {
            let message: ToControl = self.receiver.receive().await.unwrap();
            if message != ToControl::KeepAlive {
                return writeln!(scene.transcript, "control <- agent  {message:?}").unwrap();
            }
        }
    }

    pub async fn expect_end(&mut self, scene: &mut Scene) {
        while self.receiver.receive::<ToControl>().await.is_ok() {}
        writeln!(scene.transcript, "control <- agent  (closed)").unwrap();
    }
}

/// A proxy, seen from its side of the link.
pub struct Proxy {
    name: &'static str,
    sender: Sender,
    receiver: Receiver,
}

impl Proxy {
    pub async fn expect(&mut self, scene: &mut Scene) {
        let FeedBatch { sequence, updates } = self.receiver.receive().await.unwrap();
        let text = batch(sequence, &updates);
        writeln!(scene.transcript, "{} <- agent  {text}", self.name).unwrap();
    }

    pub fn acknowledge(&self, scene: &mut Scene, sequence: u64, generation: u64) {
        let reply = FeedReply::Acknowledge { sequence, generation };
        writeln!(scene.transcript, "{} -> agent  {reply:?}", self.name).unwrap();
        assert!(self.sender.send(&reply));
    }

    pub async fn expect_end(&mut self, scene: &mut Scene) {
        while self.receiver.receive::<FeedBatch>().await.is_ok() {}
        writeln!(scene.transcript, "{} <- agent  (closed)", self.name).unwrap();
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
        write!(text, "\n    {}", update_line(update)).unwrap();
    }
    text
}

fn update_line(update: &FeedUpdate) -> String {
    match update {
        FeedUpdate::Configuration(ConfigurationUpdate::Full { generation, document }) => {
            format!("configuration {generation}: {}", String::from_utf8_lossy(document))
        }
        FeedUpdate::Configuration(ConfigurationUpdate::Patch { base, generation, patch }) => {
            format!("patch {base} to {generation}: {}", String::from_utf8_lossy(patch))
        }
        FeedUpdate::Instances { complete: whole, instances } => {
            let listed: Vec<String> = instances
                .iter()
                .map(|instance| format!("{} {:?} {}", instance.id, instance.state, instance.sequence))
                .collect();
            format!("{} [{}]", if *whole { "all transcribers" } else { "transcribers" }, listed.join(", "))
        }
        other => format!("{other:?}"),
    }
}

pub fn whole(generation: u64) -> FeedUpdate {
    let document = format!(r#"{{"generation":{generation},"routes":[],"services":[]}}"#).into_bytes();
    FeedUpdate::Configuration(ConfigurationUpdate::Full { generation, document })
}

pub fn patch(base: u64, generation: u64) -> FeedUpdate {
    let patch =
        format!(r#"{{"generation":{generation},"upsert":{{"services":[{{"name":"s"}}]}}}}"#).into_bytes();
    FeedUpdate::Configuration(ConfigurationUpdate::Patch { base, generation, patch })
}

pub fn transcribers(whole: bool, listed: &[(&str, InstanceState, u64)]) -> FeedUpdate {
    let instances = listed
        .iter()
        .map(|(id, state, sequence)| Instance {
            id: (*id).to_owned(),
            state: *state,
            sequence: *sequence,
            ..Instance::default()
        })
        .collect();
    FeedUpdate::Instances { complete: whole, instances }
}

pub fn named(model: &str, generation: u64) -> FeedUpdate {
    FeedUpdate::NamedVersions(vec![ModelVersion { model: model.to_owned(), generation }])
}
