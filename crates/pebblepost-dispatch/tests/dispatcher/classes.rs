//! Classes that are added at run time.

use crate::node::*;
use pebblepost_dispatch::api::*;
use std::time::Duration;

fn non_idempotent_class() -> Class {
    let mut class = settings().classes.remove(NON_IDEMPOTENT);
    class.latency_target = Duration::from_millis(80);
    class
}

#[test]
fn assigns_consecutive_ids_to_added_classes() {
    let mut node = Node::new(settings(), 4);
    let added = node.dispatcher.add_class(non_idempotent_class());
    assert_eq!(added, Some(ClassId(3)));
    assert_eq!(node.dispatcher.add_class(non_idempotent_class()), Some(ClassId(4)));
}

#[test]
fn sends_requests_of_an_added_class() {
    let mut node = Node::new(settings(), 4);
    node.request(1, 3);
    assert!(node.actions.contains(&Action::Fail { id: RequestId(1) }), "a request of an unknown class fails");
    node.actions.clear();
    let added = node.dispatcher.add_class(non_idempotent_class()).map(|class| usize::from(class.0));
    node.request(2, added.unwrap());
    let probed = node.actions.iter().find_map(|action| match action {
        Action::Probe { worker } => Some(worker.0),
        _ => None,
    });
    let worker = probed.expect("a probe for the request");
    node.report(worker, 4.0, 0.0);
    node.report(worker, 4.0, 0.0);
    let sent = Action::Send { id: RequestId(2), worker: WorkerId(worker), timeout: None };
    assert!(node.actions.contains(&sent), "{:?}", node.actions);
}

#[test]
fn keeps_estimates_when_a_class_is_added() {
    let (mut extended, mut unchanged) = (Node::new(settings(), 4), Node::new(settings(), 4));
    extended.dispatcher.add_class(non_idempotent_class());
    extended.dispatcher.set_nodes(4);
    for node in [&mut extended, &mut unchanged] {
        for worker in 0..4 {
            node.report(worker, 3.0, 0.0);
        }
        node.request(1, IDEMPOTENT);
    }
    assert_eq!(extended.actions, unchanged.actions);
}
