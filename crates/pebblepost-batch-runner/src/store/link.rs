//! Link to one storage machine, which reconnects whenever the connection is lost.
//!
//! The link stores the connection, the pending calls and the number of items requested on it. It does not depend on
//! leases or items: messages other than replies to calls are passed to [`LinkEvents`].

use crate::encoded_items::EncodedItems;
use crate::identity::ProxyIdentity;
use crate::random::Random;
use eyre::Result;
use pebblepost_link::{LinkLimits, Receiver, Sender, connect};
use pebblepost_messages::batch::{FromStore, Job, ToStore, encode_submission_head};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::{Instant, MissedTickBehavior, interval_at, sleep, timeout_at};

/// Limits of links to stores. A job is sent as one frame.
const STORE_LINK_LIMITS: LinkLimits = LinkLimits {
    max_frame_bytes: 64 * 1024 * 1024,
    max_queued_bytes: 80 * 1024 * 1024,
    connect_timeout: Duration::from_millis(400),
    read_timeout: Duration::from_millis(1500),
};
/// Time for which places are kept for the answer to a request for work. A store that is silent for longer must not
/// keep items of other stores waiting.
pub(crate) const MAX_ANSWER_WAIT: Duration = Duration::from_millis(500);
/// Number of queued bytes from which on further jobs and outcomes wait. Those of many callers together must not exceed
/// the limit of the queue, which closes the link.
const CONGESTION_BYTES: usize = 4 * 1024 * 1024;
/// Interval at which a call checks whether the link is still congested.
const CONGESTION_CHECK_INTERVAL: Duration = Duration::from_millis(5);
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// Bounds of the random backoff before a reconnect.
const MIN_RECONNECT_BACKOFF: Duration = Duration::from_millis(50);
const MAX_RECONNECT_BACKOFF: Duration = Duration::from_millis(300);

/// Receiver of the events of a link.
pub(crate) trait LinkEvents: 'static {
    /// The link is up and the proxy's hello message has been sent.
    fn link_up(&self, link: &StoreLink);
    /// An established link was lost.
    fn link_down(&self, link: &StoreLink);
    /// A keep-alive was sent.
    fn keep_alive_sent(&self, link: &StoreLink);
    /// A message that is not a reply to a call was received.
    fn message_received(&self, link: &StoreLink, message: FromStore);
}

/// A link to one storage machine.
pub(crate) struct StoreLink {
    pub(crate) address: SocketAddr,
    sender: RefCell<Option<Sender>>,
    /// Callers that wait for a reply, by the number of their call.
    pending_calls: RefCell<HashMap<u64, oneshot::Sender<FromStore>>>,
    next_call: Cell<u64>,
    /// Whether the machine may have items to lease.
    pub(crate) may_have_work: Cell<bool>,
    request: Cell<Option<PendingRequest>>,
    task: RefCell<Option<AbortHandle>>,
}

/// A request for work without an answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRequest {
    pub(crate) items: u32,
    /// Number of entries of blocked items that had been released when the request was sent.
    pub(crate) releases: u64,
    sent_at: Instant,
}

/// Outcome of a call on a link.
pub(crate) enum CallOutcome {
    /// The store replied.
    Reply(FromStore),
    /// The link was down, or congested until the deadline, so nothing was sent.
    NotSent,
    /// The link was lost or no reply arrived in time. The store may have executed the call.
    NoReply,
}

/// Removes a pending call when its caller drops it.
struct PendingCall<'a> {
    link: &'a StoreLink,
    number: u64,
}

/// A call whose message is not sent yet.
struct StartedCall<'a> {
    number: u64,
    reply: oneshot::Receiver<FromStore>,
    _pending: PendingCall<'a>,
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        self.link.pending_calls.borrow_mut().remove(&self.number);
    }
}

impl StoreLink {
    /// Starts the task that keeps a link connected.
    pub(crate) fn start<E: LinkEvents>(
        address: SocketAddr, identity: Rc<ProxyIdentity>, random: Rc<Random>, events: Rc<E>,
    ) -> Rc<StoreLink> {
        let link = Rc::new(StoreLink {
            address,
            sender: RefCell::default(),
            pending_calls: RefCell::default(),
            next_call: Cell::new(1),
            may_have_work: Cell::new(false),
            request: Cell::new(None),
            task: RefCell::default(),
        });
        let task = tokio::task::spawn_local(keep_connected(link.clone(), identity, random, events));
        *link.task.borrow_mut() = Some(task.abort_handle());
        link
    }

    /// Closes the link permanently.
    pub(crate) fn close(&self) {
        if let Some(task) = self.task.borrow_mut().take() {
            task.abort();
        }
        self.reset();
    }

    /// Returns whether messages can be sent.
    pub(crate) fn is_up(&self) -> bool {
        self.sender.borrow().as_ref().is_some_and(|sender| !sender.is_closed())
    }

    /// Queues a message. Returns false if it was not queued because the link is down.
    pub(crate) fn send(&self, message: &ToStore) -> bool {
        self.sender.borrow().as_ref().is_some_and(|sender| sender.send(message))
    }

    fn send_with_tail(&self, head: &[u8], tail: Rc<EncodedItems>) -> bool {
        self.sender.borrow().as_ref().is_some_and(|sender| sender.send_with_tail(head, tail))
    }

    /// Returns whether a request for work is not yet answered.
    pub(crate) fn has_requested_work(&self) -> bool {
        self.request.get().is_some()
    }

    /// Returns the number of items for which places must be kept: those requested a short while ago.
    pub(crate) fn expected_items(&self) -> u32 {
        let expected = self.request.get().filter(|request| request.sent_at.elapsed() < MAX_ANSWER_WAIT);
        expected.map_or(0, |request| request.items)
    }

    /// Records that items were requested.
    pub(crate) fn record_work_request(&self, items: u32, releases: u64) {
        self.request.set(Some(PendingRequest { items, releases, sent_at: Instant::now() }));
    }

    /// Records the answer to a request for work and returns the request.
    pub(crate) fn take_work_request(&self) -> Option<PendingRequest> {
        self.request.take()
    }

    /// Returns the number of bytes that are queued and not yet written.
    pub(crate) fn queued_bytes(&self) -> usize {
        self.sender.borrow().as_ref().map_or(0, Sender::queued_bytes)
    }

    /// Returns whether so much is queued that jobs and outcomes must wait.
    pub(crate) fn is_congested(&self) -> bool {
        self.queued_bytes() > CONGESTION_BYTES
    }

    async fn wait_while_congested(&self) {
        while self.is_congested() {
            sleep(CONGESTION_CHECK_INTERVAL).await;
        }
    }

    /// Makes a call: sets the number of the message, sends it and waits for the reply until the deadline. While the
    /// link is congested, the message is not sent.
    ///
    /// If the future is dropped, the call is forgotten, but the store may still execute it.
    pub(crate) async fn call(&self, message: &mut ToStore, deadline: Instant) -> CallOutcome {
        let call = self.start_call();
        set_call_number(message, call.number);
        self.finish_call(call, deadline, || self.send(message)).await
    }

    /// Submits a job, like [`StoreLink::call`]. The link holds the items until they are written.
    pub(crate) async fn submit(
        &self, store_group: u32, job: &Job, items: &Rc<EncodedItems>, deadline: Instant,
    ) -> CallOutcome {
        let call = self.start_call();
        let head = encode_submission_head(call.number, store_group, job, items.count());
        self.finish_call(call, deadline, || self.send_with_tail(&head, items.clone())).await
    }

    fn start_call(&self) -> StartedCall<'_> {
        let number = self.next_call.get();
        self.next_call.set(number + 1);
        let (reply_sender, reply) = oneshot::channel();
        self.pending_calls.borrow_mut().insert(number, reply_sender);
        StartedCall { number, reply, _pending: PendingCall { link: self, number } }
    }

    /// Sends the message of a call as soon as the link is not congested, and waits for the reply until the deadline.
    async fn finish_call(
        &self, call: StartedCall<'_>, deadline: Instant, send: impl FnOnce() -> bool,
    ) -> CallOutcome {
        if timeout_at(deadline, self.wait_while_congested()).await.is_err() || !send() {
            return CallOutcome::NotSent;
        }
        let StartedCall { reply, _pending, .. } = call;
        match timeout_at(deadline, reply).await {
            Ok(Ok(reply)) => CallOutcome::Reply(reply),
            Ok(Err(_)) | Err(_) => CallOutcome::NoReply,
        }
    }

    /// Passes a reply to its caller.
    fn complete_call(&self, number: u64, reply: FromStore) {
        if let Some(caller) = self.pending_calls.borrow_mut().remove(&number) {
            // The caller may have stopped waiting.
            let _ = caller.send(reply);
        }
    }

    /// Closes the connection and clears its pending calls and requests for work.
    fn reset(&self) {
        if let Some(sender) = self.sender.borrow_mut().take() {
            sender.close();
        }
        self.pending_calls.borrow_mut().clear();
        self.may_have_work.set(false);
        self.request.set(None);
    }
}

fn set_call_number(message: &mut ToStore, number: u64) {
    match message {
        ToStore::Submit { call, .. }
        | ToStore::Read { call, .. }
        | ToStore::ItemBody { call, .. }
        | ToStore::AnnounceJob { call, .. }
        | ToStore::End { call, .. } => *call = number,
        _ => {}
    }
}

/// Returns the number of the call that a message replies to, or `None` if it is not a reply.
fn call_number(message: &FromStore) -> Option<u64> {
    match message {
        FromStore::Submitted { call, .. }
        | FromStore::Results { call, .. }
        | FromStore::Body { call, .. }
        | FromStore::Ended { call, .. } => Some(*call),
        _ => None,
    }
}

/// Connects, and reconnects after each failure, until the task is aborted.
async fn keep_connected<E: LinkEvents>(
    link: Rc<StoreLink>, identity: Rc<ProxyIdentity>, random: Rc<Random>, events: Rc<E>,
) {
    loop {
        let Err(error) = run_connection(&link, &identity, &*events).await;
        log::debug!("store connection ended address={} cause={error:#}", link.address);
        let was_up = link.sender.borrow().is_some();
        link.reset();
        if was_up {
            events.link_down(&link);
        }
        sleep(random.duration_between(MIN_RECONNECT_BACKOFF, MAX_RECONNECT_BACKOFF)).await;
    }
}

/// Runs one connection until it fails.
async fn run_connection<E: LinkEvents>(
    link: &StoreLink, identity: &ProxyIdentity, events: &E,
) -> Result<Infallible> {
    let (sender, receiver) = connect(link.address, STORE_LINK_LIMITS).await?;
    sender.send(&ToStore::ProxyHello { node: identity.node.clone(), zone: identity.zone.clone() });
    *link.sender.borrow_mut() = Some(sender.clone());
    events.link_up(link);
    exchange_messages(link, &sender, receiver, events).await
}

async fn exchange_messages<E: LinkEvents>(
    link: &StoreLink, sender: &Sender, mut receiver: Receiver, events: &E,
) -> Result<Infallible> {
    let mut keep_alive = interval_at(Instant::now() + KEEP_ALIVE_INTERVAL, KEEP_ALIVE_INTERVAL);
    keep_alive.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            message = receiver.receive::<FromStore>() => {
                let message = message?;
                match call_number(&message) {
                    Some(number) => link.complete_call(number, message),
                    None => events.message_received(link, message),
                }
            }
            _ = keep_alive.tick() => {
                sender.send(&ToStore::KeepAlive);
                events.keep_alive_sent(link);
            }
        }
    }
}
