//! The link to the agent: updates are in force before they are acknowledged, and hold when the
//! agent goes away.

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

/// A proxy whose agent is played by the test.
struct Played {
    proxy: Proxy,
    agent: Listener,
}

fn start() -> Played {
    let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let mut settings = settings(8.0);
    settings.port_range = (free.port() - 2, free.port());
    Played { agent: Listener::bind(free, LIMITS).unwrap(), proxy: Proxy::start(settings).unwrap() }
}

async fn send(link: &mut (Sender, Receiver), sequence: u64, updates: Vec<FeedUpdate>) -> FeedReply {
    assert!(link.0.send(&FeedBatch { sequence, updates }));
    link.1.receive().await.unwrap()
}

async fn status(proxy: &Proxy, path: &str) -> String {
    let mut client = Client::connect(proxy.client_address()).await;
    client.write(&get(path, "r1")).await;
    client.answer().await[9..12].to_owned()
}

#[test]
fn what_is_acknowledged_is_in_force_and_outlives_the_agent() {
    run(async {
        let mut played = start();
        let mut link = played.agent.accept().await.unwrap();
        let reply = send(&mut link, 1, vec![configuration(3, ROUTES)]).await;
        assert_eq!(reply, FeedReply::Acknowledge { sequence: 1, generation: 3 });
        assert_eq!(status(&played.proxy, "/pages/1").await, "503", "known, and without transcribers");
        drop(link);
        assert_eq!(status(&played.proxy, "/pages/1").await, "503");
        let mut link = played.agent.accept().await.unwrap();
        let reply = send(&mut link, 1, vec![configuration(2, "")]).await;
        assert_eq!(reply, FeedReply::Acknowledge { sequence: 1, generation: 3 }, "nothing goes back");
        assert_eq!(status(&played.proxy, "/pages/1").await, "503");
        assert_eq!(status(&played.proxy, "/none/1").await, "404");
    });
}

#[test]
fn a_patch_on_what_is_not_held_begins_the_feed_anew() {
    run(async {
        let mut played = start();
        let mut link = played.agent.accept().await.unwrap();
        send(&mut link, 1, vec![configuration(3, ROUTES)]).await;
        let patch = br#"{"generation":9,"remove":{"routes":["a"]}}"#.to_vec();
        let patch = FeedUpdate::Configuration(ConfigurationUpdate::Patch { base: 8, generation: 9, patch });
        assert!(link.0.send(&FeedBatch { sequence: 2, updates: vec![patch] }));
        assert!(link.1.receive::<FeedReply>().await.is_err(), "not acknowledged");
        let mut link = played.agent.accept().await.unwrap();
        let reply = send(&mut link, 1, vec![configuration(9, ROUTES)]).await;
        assert_eq!(reply, FeedReply::Acknowledge { sequence: 1, generation: 9 });
    });
}
