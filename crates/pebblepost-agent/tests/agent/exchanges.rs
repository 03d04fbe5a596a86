//! Whole exchanges of the agent, compared with approved transcripts.

use crate::scene::{Scene, listener, named, patch, transcribers, whole};
use pebblepost_agent::Signal;
use pebblepost_messages::control::FromControl;
use pebblepost_messages::feed::InstanceState::{Draining, Ready};
use tokio::task::LocalSet;

#[tokio::test]
async fn the_feed_reaches_the_proxy_and_its_confirmation_the_control_plane() {
    let exchange = async {
        let (mut control_listener, address) = listener();
        let mut scene = Scene::start(vec![address], Vec::new);
        let mut control = scene.control(&mut control_listener).await;
        let mut proxy = scene.proxy("proxy").await;
        scene.note("a proxy that is there first gets everything with the first configuration");
        control.feed(
            &mut scene,
            1,
            vec![whole(5), transcribers(true, &[("a", Ready, 1), ("b", Ready, 4)]), named("m", 2)],
        );
        proxy.expect(&mut scene).await;
        proxy.acknowledge(&mut scene, 1, 5);
        control.expect(&mut scene).await;
        scene.note("later updates pass as they are, also several before one confirmation");
        control.feed(&mut scene, 2, vec![transcribers(false, &[("a", Draining, 2)])]);
        control.feed(&mut scene, 3, vec![patch(5, 9)]);
        proxy.expect(&mut scene).await;
        proxy.expect(&mut scene).await;
        proxy.acknowledge(&mut scene, 3, 9);
        control.expect(&mut scene).await;
        scene.assert_approved("feed.txt");
    };
    LocalSet::new().run_until(exchange).await;
}

#[tokio::test]
async fn without_a_proxy_the_agent_acknowledges_and_a_fresh_one_gets_a_snapshot() {
    let exchange = async {
        let (mut control_listener, address) = listener();
        let mut scene = Scene::start(vec![address], Vec::new);
        let mut control = scene.control(&mut control_listener).await;
        control.feed(&mut scene, 1, vec![whole(5), transcribers(true, &[("a", Ready, 1)])]);
        control.expect(&mut scene).await;
        control.feed(&mut scene, 2, vec![transcribers(false, &[("b", Ready, 1)])]);
        control.expect(&mut scene).await;
        scene.note("a proxy starts");
        let mut first = scene.proxy("first proxy").await;
        first.expect(&mut scene).await;
        first.acknowledge(&mut scene, 1, 5);
        scene.note("it dies with a batch unconfirmed");
        control.feed(&mut scene, 3, vec![transcribers(false, &[("a", Draining, 2)])]);
        first.expect(&mut scene).await;
        drop(first);
        control.expect(&mut scene).await;
        scene.note("the next one starts");
        let mut second = scene.proxy("second proxy").await;
        second.expect(&mut scene).await;
        scene.assert_approved("proxies.txt");
    };
    LocalSet::new().run_until(exchange).await;
}

#[tokio::test]
async fn a_second_proxy_takes_the_place_of_one_that_hangs() {
    let exchange = async {
        let (mut control_listener, address) = listener();
        let mut scene = Scene::start(vec![address], Vec::new);
        let mut control = scene.control(&mut control_listener).await;
        let mut first = scene.proxy("first proxy").await;
        control.feed(&mut scene, 1, vec![whole(5)]);
        first.expect(&mut scene).await;
        let mut second = scene.proxy("second proxy").await;
        first.expect_end(&mut scene).await;
        second.expect(&mut scene).await;
        second.acknowledge(&mut scene, 1, 5);
        control.expect(&mut scene).await;
        scene.assert_approved("second-proxy.txt");
    };
    LocalSet::new().run_until(exchange).await;
}

#[tokio::test]
async fn a_lost_primary_changes_nothing_for_the_proxy_and_the_next_one_goes_on() {
    let exchange = async {
        let (mut first_listener, first_address) = listener();
        let (mut second_listener, second_address) = listener();
        let mut scene = Scene::start(vec![first_address], Vec::new);
        let mut control = scene.control(&mut first_listener).await;
        let members = vec![first_address.to_string(), second_address.to_string()];
        control.send(&mut scene, &FromControl::Members(members.clone()));
        control.feed(&mut scene, 1, vec![whole(5), transcribers(true, &[("a", Ready, 1)])]);
        let mut proxy = scene.proxy("proxy").await;
        proxy.expect(&mut scene).await;
        proxy.acknowledge(&mut scene, 1, 5);
        control.expect(&mut scene).await;

        scene.note("the primary dies; a proxy that starts meanwhile gets all that is known");
        drop((control, first_listener));
        let mut proxy = scene.proxy("next proxy").await;
        proxy.expect(&mut scene).await;
        proxy.acknowledge(&mut scene, 1, 5);

        scene.note("another process redirects to the new primary");
        let (mut third_listener, third_address) = listener();
        let redirecting = scene.control(&mut second_listener).await;
        let primary = Some(third_address.to_string());
        redirecting.send(&mut scene, &FromControl::Redirect { primary, members });
        let mut control = scene.control(&mut third_listener).await;
        control.feed(&mut scene, 1, vec![transcribers(false, &[("a", Ready, 2), ("b", Ready, 1)])]);
        proxy.expect(&mut scene).await;
        proxy.acknowledge(&mut scene, 2, 5);
        control.expect(&mut scene).await;
        scene.assert_approved("failover.txt");
    };
    LocalSet::new().run_until(exchange).await;
}

#[tokio::test]
async fn a_patch_on_another_configuration_has_the_whole_one_asked_for() {
    let exchange = async {
        let (mut control_listener, address) = listener();
        let mut scene = Scene::start(vec![address], Vec::new);
        let mut control = scene.control(&mut control_listener).await;
        let mut proxy = scene.proxy("proxy").await;
        control.feed(&mut scene, 1, vec![whole(5)]);
        proxy.expect(&mut scene).await;
        proxy.acknowledge(&mut scene, 1, 5);
        control.expect(&mut scene).await;
        control.feed(&mut scene, 2, vec![patch(7, 9), transcribers(false, &[("a", Ready, 1)])]);
        control.expect_end(&mut scene).await;
        proxy.expect(&mut scene).await;
        let control = scene.control(&mut control_listener).await;
        control.feed(&mut scene, 1, vec![whole(9)]);
        proxy.expect(&mut scene).await;
        scene.assert_approved("gap.txt");
    };
    LocalSet::new().run_until(exchange).await;
}

#[tokio::test]
async fn the_agent_ends_after_its_proxy() {
    let exchange = async {
        let (mut control_listener, address) = listener();
        let mut scene = Scene::start(vec![address], Vec::new);
        let mut control = scene.control(&mut control_listener).await;
        let mut proxy = scene.proxy("proxy").await;
        control.feed(&mut scene, 1, vec![whole(5)]);
        proxy.expect(&mut scene).await;
        scene.note("SIGTERM; the proxy still serves and is still fed");
        scene.signals.send(Signal::Terminate).await.unwrap();
        control.feed(&mut scene, 2, vec![transcribers(false, &[("a", Ready, 1)])]);
        proxy.expect(&mut scene).await;
        proxy.acknowledge(&mut scene, 2, 5);
        control.expect(&mut scene).await;
        scene.note("the proxy ends");
        drop(proxy);
        control.expect_end(&mut scene).await;
        (&mut scene.agent).await.unwrap();
        scene.assert_approved("end.txt");
    };
    LocalSet::new().run_until(exchange).await;
}
