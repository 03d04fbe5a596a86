//! Link to the agent: updates are in force before they are acknowledged, and stay in force when the link
//! is lost.

#[expect(dead_code, reason = "each test program uses a part of the support")]
mod support;

use pebblepost_link::{LinkLimits, Listener, Receiver, Sender};
use pebblepost_messages::feed::{ConfigurationUpdate, FeedBatch, FeedReply, FeedUpdate};
use pebblepost_proxy::Proxy;
use std::time::Duration;
use support::client::Client;
use support::{ROUTES, configuration, get, run, settings};

const LIMITS: LinkLimits = LinkLimits {
    max_frame_bytes: 1 << 20,
    max_queued_bytes: 1 << 20,
    connect_timeout: Duration::from_secs(1),
    read_timeout: Duration::from_secs(10),
};

/// A proxy whose agent is simulated by the test.
struct FakeAgent {
    proxy: Proxy,
    agent: Listener,
}

fn start() -> FakeAgent {
    let free = std::net::TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("bound");
    let mut settings = settings(8.0);
    settings.port_range = (free.port() - 2, free.port());
    FakeAgent {
        agent: Listener::bind(free, LIMITS).expect("bound"),
        proxy: Proxy::start(settings).expect("started"),
    }
}

async fn send(link: &mut (Sender, Receiver), sequence: u64, updates: Vec<FeedUpdate>) -> FeedReply {
    assert!(link.0.send(&FeedBatch { sequence, updates }));
    link.1.receive().await.expect("a reply")
}

async fn status(proxy: &Proxy, path: &str) -> String {
    let mut client = Client::connect(proxy.client_address()).await;
    client.write(&get(path, "r1")).await;
    client.response().await[9..12].to_owned()
}

#[test]
fn acknowledged_updates_stay_in_force_without_the_agent() {
    run(async {
        let mut fake_agent = start();
        let mut link = fake_agent.agent.accept().await.unwrap();
        let reply = send(&mut link, 1, vec![configuration(3, ROUTES)]).await;
        assert_eq!(reply, FeedReply::Acknowledge { sequence: 1, generation: 3 });
        assert_eq!(status(&fake_agent.proxy, "/pages/1").await, "503", "routed, and without transcribers");
        drop(link);
        assert_eq!(status(&fake_agent.proxy, "/pages/1").await, "503");
        let mut link = fake_agent.agent.accept().await.unwrap();
        let reply = send(&mut link, 1, vec![configuration(2, "")]).await;
        assert_eq!(reply, FeedReply::Acknowledge { sequence: 1, generation: 3 }, "never an older generation");
        assert_eq!(status(&fake_agent.proxy, "/pages/1").await, "503");
        assert_eq!(status(&fake_agent.proxy, "/none/1").await, "404");
    });
}

#[test]
fn a_patch_on_an_unknown_configuration_restarts_the_feed() {
    run(async {
        let mut fake_agent = start();
        let mut link = fake_agent.agent.accept().await.unwrap();
        send(&mut link, 1, vec![configuration(3, ROUTES)]).await;
        let patch = br#"{"generation":9,"remove":{"routes":["a"]}}"#.to_vec();
        let patch = FeedUpdate::Configuration(ConfigurationUpdate::Patch {
            base_generation: 8,
            generation: 9,
            patch,
        });
        assert!(link.0.send(&FeedBatch { sequence: 2, updates: vec![patch] }));
        assert!(link.1.receive::<FeedReply>().await.is_err(), "not acknowledged");
        let mut link = fake_agent.agent.accept().await.unwrap();
        let reply = send(&mut link, 1, vec![configuration(9, ROUTES)]).await;
        assert_eq!(reply, FeedReply::Acknowledge { sequence: 1, generation: 9 });
    });
}
