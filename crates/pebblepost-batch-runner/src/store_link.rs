//! A link to one storage machine, kept up while it is primary of a group.

use crate::shared::Shared;
use eyre::Result;
use pebblepost_link::{LinkLimits, Sender, connect};
use pebblepost_messages::batch::{FromStore, ToStore};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::{Instant, MissedTickBehavior, interval_at, sleep};

/// Limits of links to stores. A job is one frame.
const LIMITS: LinkLimits = LinkLimits {
    max_frame_bytes: 64 * 1024 * 1024,
    max_queued_bytes: 80 * 1024 * 1024,
    connect_timeout: Duration::from_millis(400),
    read_timeout: Duration::from_millis(1500),
};
const KEEP_ALIVE: Duration = Duration::from_millis(500);
const LEAST_PAUSE: Duration = Duration::from_millis(50);
const MOST_PAUSE: Duration = Duration::from_millis(300);

/// A link to one storage machine.
pub(crate) struct StoreLink {
    pub(crate) address: SocketAddr,
    sender: RefCell<Option<Sender>>,
    calls: RefCell<HashMap<u64, oneshot::Sender<FromStore>>>,
    next_call: Cell<u64>,
    /// The machine may have items to lease.
    pub(crate) may_have_work: Cell<bool>,
    /// Items asked for, and not answered yet.
    pub(crate) asked: Cell<u32>,
    task: RefCell<Option<AbortHandle>>,
}

/// How a call on a link went.
pub(crate) enum CallEnd {
    /// The answer.
    Reply(FromStore),
    /// The link was down: nothing was sent.
    NotSent,
    /// The link was lost, or no answer came in time.
    NoReply,
}

/// Takes a call off the list when its caller goes.
struct PendingCall<'a> {
    link: &'a StoreLink,
    number: u64,
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        self.link.calls.borrow_mut().remove(&self.number);
    }
}

impl StoreLink {
    /// Starts keeping a link up.
    pub(crate) fn start(address: SocketAddr, shared: &Rc<Shared>) -> Rc<StoreLink> {
        let link = Rc::new(StoreLink {
            address,
            sender: RefCell::default(),
            calls: RefCell::default(),
            next_call: Cell::new(1),
            may_have_work: Cell::new(false),
            asked: Cell::new(0),
            task: RefCell::default(),
        });
        let task = tokio::task::spawn_local(keep_up(link.clone(), shared.clone()));
        *link.task.borrow_mut() = Some(task.abort_handle());
        link
    }

    /// Gives the link up.
    pub(crate) fn end(&self) {
        if let Some(task) = self.task.borrow_mut().take() {
            task.abort();
        }
        self.reset();
    }

    /// Whether messages can be sent.
    pub(crate) fn is_up(&self) -> bool {
        self.sender.borrow().as_ref().is_some_and(|sender| !sender.is_closed())
    }

    /// Sends a message; false if the link is down.
    pub(crate) fn send(&self, message: &ToStore) -> bool {
        self.sender.borrow().as_ref().is_some_and(|sender| sender.send(message))
    }

    /// Bytes that wait to be written.
    pub(crate) fn queued_bytes(&self) -> usize {
        self.sender.borrow().as_ref().map_or(0, Sender::queued_bytes)
    }

    /// Makes a call: numbers the message, sends it and waits for its answer.
    pub(crate) async fn call(&self, message: &mut ToStore, until: Instant) -> CallEnd {
        let number = self.next_call.get();
        self.next_call.set(number + 1);
        set_call(message, number);
        let (reply, answered) = oneshot::channel();
        self.calls.borrow_mut().insert(number, reply);
        let _pending = PendingCall { link: self, number };
        if !self.send(message) {
            return CallEnd::NotSent;
        }
        match tokio::time::timeout_at(until, answered).await {
            Ok(Ok(reply)) => CallEnd::Reply(reply),
            Ok(Err(_)) | Err(_) => CallEnd::NoReply,
        }
    }

    /// Hands an answer to its caller.
    fn answer(&self, number: u64, reply: FromStore) {
        if let Some(caller) = self.calls.borrow_mut().remove(&number) {
            // A caller that has gone needs no answer.
            let _ = caller.send(reply);
        }
    }

    fn reset(&self) {
        if let Some(sender) = self.sender.borrow_mut().take() {
            sender.close();
        }
        self.calls.borrow_mut().clear();
        self.may_have_work.set(false);
        self.asked.set(0);
    }
}

fn set_call(message: &mut ToStore, number: u64) {
    match message {
        ToStore::Submit { call, .. }
        | ToStore::Read { call, .. }
        | ToStore::ItemBody { call, .. }
        | ToStore::End { call, .. } => *call = number,
        _ => {}
    }
}

/// Connects, and connects again, for as long as the link is wanted.
async fn keep_up(link: Rc<StoreLink>, shared: Rc<Shared>) {
    loop {
        let Err(error) = serve(&link, &shared).await;
        log::debug!("store link: {error:#}");
        let was_up = link.sender.borrow().is_some();
        link.reset();
        if was_up {
            shared.links.went_down(&shared, link.address);
        }
        sleep(shared.random.duration_between(LEAST_PAUSE, MOST_PAUSE)).await;
    }
}

/// Runs one connection; returns why it ended.
async fn serve(link: &Rc<StoreLink>, shared: &Rc<Shared>) -> Result<std::convert::Infallible> {
    let (sender, mut receiver) = connect(link.address, LIMITS).await?;
    sender.send(&ToStore::ProxyHello { node: shared.node.clone(), zone: shared.zone.clone() });
    *link.sender.borrow_mut() = Some(sender.clone());
    shared.links.came_up(shared, link);
    let mut keep_alive = interval_at(Instant::now() + KEEP_ALIVE, KEEP_ALIVE);
    keep_alive.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            message = receiver.receive::<FromStore>() => take(link, shared, message?),
            _ = keep_alive.tick() => {
                sender.send(&ToStore::KeepAlive);
                shared.links.announce_unrenewed(shared, link);
            }
        }
    }
}

/// Acts on a message of the store.
fn take(link: &Rc<StoreLink>, shared: &Rc<Shared>, message: FromStore) {
    let number = match &message {
        FromStore::Submitted { call, .. }
        | FromStore::Results { call, .. }
        | FromStore::Body { call, .. }
        | FromStore::Ended { call, .. } => *call,
        _ => return take_work_message(link, shared, message),
    };
    link.answer(number, message);
}

fn take_work_message(link: &Rc<StoreLink>, shared: &Rc<Shared>, message: FromStore) {
    match message {
        FromStore::WorkAvailable => {
            link.may_have_work.set(true);
            shared.room.wake();
        }
        FromStore::Work(leases) => {
            let items: usize = leases.iter().map(|lease| lease.items.len()).sum();
            let asked = link.asked.replace(0);
            if items < usize::try_from(asked).unwrap_or(usize::MAX) {
                link.may_have_work.set(false);
            }
            crate::execution::take_leases(shared, leases);
            shared.room.wake();
        }
        FromStore::Cancel { jobs } => {
            log::debug!("{} jobs cancelled", jobs.len());
            shared.leases.borrow_mut().cancel(&jobs, Instant::now());
            shared.changes.notify();
        }
        FromStore::Renew { groups } => {
            let now = Instant::now();
            let mut leases = shared.leases.borrow_mut();
            for (group, epoch) in groups {
                leases.renew(group, epoch, now);
            }
            drop(leases);
            shared.changes.notify();
        }
        _ => {}
    }
}
