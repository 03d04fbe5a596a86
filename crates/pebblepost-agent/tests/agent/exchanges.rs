//! Message exchanges between control plane, agent and proxy, compared with approved transcripts.

use crate::harness::{Harness, full_configuration, listener, named_versions, patch, transcribers};
use pebblepost_agent::Signal;
use pebblepost_messages::control::FromControl;
use pebblepost_messages::feed::InstanceState::{Draining, Ready};
use tokio::task::LocalSet;

#[tokio::test]
async fn feed_is_forwarded_to_the_proxy_and_its_acknowledgements_to_the_control_plane() {
    let exchange = async {
        let (mut control_listener, address) = listener();
        let mut harness = Harness::start(vec![address], Vec::new);
        let mut control = harness.control(&mut control_listener).await;
        let mut proxy = harness.proxy("proxy").await;
        harness.note("a proxy that is there first gets everything with the first configuration");
        control.feed(
            &mut harness,
            1,
            vec![
                full_configuration(5),
                transcribers(true, &[("a", Ready, 1), ("b", Ready, 4)]),
                named_versions("m", 2),
            ],
        );
        proxy.expect(&mut harness).await;
        proxy.acknowledge(&mut harness, 1, 5);
        control.expect(&mut harness).await;
        harness.note("later updates pass as they are, also several before one confirmation");
        control.feed(&mut harness, 2, vec![transcribers(false, &[("a", Draining, 2)])]);
        control.feed(&mut harness, 3, vec![patch(5, 9)]);
        proxy.expect(&mut harness).await;
        proxy.expect(&mut harness).await;
        proxy.acknowledge(&mut harness, 3, 9);
        control.expect(&mut harness).await;
        harness.assert_approved("feed.txt");
    };
    LocalSet::new().run_until(exchange).await;
}

#[tokio::test]
async fn batches_are_acknowledged_without_a_proxy_and_a_new_proxy_gets_a_snapshot() {
    let exchange = async {
        let (mut control_listener, address) = listener();
        let mut harness = Harness::start(vec![address], Vec::new);
        let mut control = harness.control(&mut control_listener).await;
        control.feed(&mut harness, 1, vec![full_configuration(5), transcribers(true, &[("a", Ready, 1)])]);
        control.expect(&mut harness).await;
        control.feed(&mut harness, 2, vec![transcribers(false, &[("b", Ready, 1)])]);
        control.expect(&mut harness).await;
        harness.note("a proxy starts");
        let mut first = harness.proxy("first proxy").await;
        first.expect(&mut harness).await;
        first.acknowledge(&mut harness, 1, 5);
        harness.note("it dies with a batch unconfirmed");
        control.feed(&mut harness, 3, vec![transcribers(false, &[("a", Draining, 2)])]);
        first.expect(&mut harness).await;
        drop(first);
        control.expect(&mut harness).await;
        harness.note("the next one starts");
        let mut second = harness.proxy("second proxy").await;
        second.expect(&mut harness).await;
        harness.assert_approved("proxies.txt");
    };
    LocalSet::new().run_until(exchange).await;
}

#[tokio::test]
async fn a_second_proxy_connection_replaces_the_first() {
    let exchange = async {
        let (mut control_listener, address) = listener();
        let mut harness = Harness::start(vec![address], Vec::new);
        let mut control = harness.control(&mut control_listener).await;
        let mut first = harness.proxy("first proxy").await;
        control.feed(&mut harness, 1, vec![full_configuration(5)]);
        first.expect(&mut harness).await;
        let mut second = harness.proxy("second proxy").await;
        first.expect_end(&mut harness).await;
        second.expect(&mut harness).await;
        second.acknowledge(&mut harness, 1, 5);
        control.expect(&mut harness).await;
        harness.assert_approved("second-proxy.txt");
    };
    LocalSet::new().run_until(exchange).await;
}

#[tokio::test]
async fn the_feed_continues_after_a_failover_of_the_primary() {
    let exchange = async {
        let (mut first_listener, first_address) = listener();
        let (mut second_listener, second_address) = listener();
        let mut harness = Harness::start(vec![first_address], Vec::new);
        let mut control = harness.control(&mut first_listener).await;
        let members = vec![first_address.to_string(), second_address.to_string()];
        control.send(&mut harness, &FromControl::Members(members.clone()));
        control.feed(&mut harness, 1, vec![full_configuration(5), transcribers(true, &[("a", Ready, 1)])]);
        let mut proxy = harness.proxy("proxy").await;
        proxy.expect(&mut harness).await;
        proxy.acknowledge(&mut harness, 1, 5);
        control.expect(&mut harness).await;

        harness.note("the primary dies; a proxy that starts meanwhile gets all that is known");
        drop((control, first_listener));
        let mut proxy = harness.proxy("next proxy").await;
        proxy.expect(&mut harness).await;
        proxy.acknowledge(&mut harness, 1, 5);

        harness.note("another process redirects to the new primary");
        let (mut third_listener, third_address) = listener();
        let redirecting = harness.control(&mut second_listener).await;
        let primary = Some(third_address.to_string());
        redirecting.send(&mut harness, &FromControl::Redirect { primary, members });
        let mut control = harness.control(&mut third_listener).await;
        control.feed(&mut harness, 1, vec![transcribers(false, &[("a", Ready, 2), ("b", Ready, 1)])]);
        proxy.expect(&mut harness).await;
        proxy.acknowledge(&mut harness, 2, 5);
        control.expect(&mut harness).await;
        harness.assert_approved("failover.txt");
    };
    LocalSet::new().run_until(exchange).await;
}

#[tokio::test]
async fn a_patch_on_an_unknown_configuration_requests_a_full_one() {
    let exchange = async {
        let (mut control_listener, address) = listener();
        let mut harness = Harness::start(vec![address], Vec::new);
        let mut control = harness.control(&mut control_listener).await;
        let mut proxy = harness.proxy("proxy").await;
        control.feed(&mut harness, 1, vec![full_configuration(5)]);
        proxy.expect(&mut harness).await;
        proxy.acknowledge(&mut harness, 1, 5);
        control.expect(&mut harness).await;
        control.feed(&mut harness, 2, vec![patch(7, 9), transcribers(false, &[("a", Ready, 1)])]);
        control.expect_end(&mut harness).await;
        proxy.expect(&mut harness).await;
        let control = harness.control(&mut control_listener).await;
        control.feed(&mut harness, 1, vec![full_configuration(9)]);
        proxy.expect(&mut harness).await;
        harness.assert_approved("gap.txt");
    };
    LocalSet::new().run_until(exchange).await;
}

#[tokio::test]
async fn shuts_down_once_its_proxy_has_disconnected() {
    let exchange = async {
        let (mut control_listener, address) = listener();
        let mut harness = Harness::start(vec![address], Vec::new);
        let mut control = harness.control(&mut control_listener).await;
        let mut proxy = harness.proxy("proxy").await;
        control.feed(&mut harness, 1, vec![full_configuration(5)]);
        proxy.expect(&mut harness).await;
        harness.note("SIGTERM; the proxy still serves and is still fed");
        harness.signals.send(Signal::Terminate).await.unwrap();
        control.feed(&mut harness, 2, vec![transcribers(false, &[("a", Ready, 1)])]);
        proxy.expect(&mut harness).await;
        proxy.acknowledge(&mut harness, 2, 5);
        control.expect(&mut harness).await;
        harness.note("the proxy ends");
        drop(proxy);
        control.expect_end(&mut harness).await;
        (&mut harness.agent).await.unwrap();
        harness.assert_approved("end.txt");
    };
    LocalSet::new().run_until(exchange).await;
}
