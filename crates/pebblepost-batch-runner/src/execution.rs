//! Taking work from the stores while there is room, and handing it back at the end.

use crate::item_progress::ItemProgress;
use crate::item_run;
use crate::lease_table::{LeaseKey, ReleasedItem};
use crate::lease_terms::LeaseTerms;
use crate::metrics::Metric;
use crate::outbox::Outcome;
use crate::placement::requirements::Requirements;
use crate::placement::reservation::Reservation;
use crate::shared::Shared;
use crate::text::Text;
use pebblepost_configuration::{Configuration, RouteKind};
use pebblepost_messages::batch::{ItemOutcome, LeasedItem, ToStore, WorkLease};
use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

/// Items at work here, in parts in a hundred of our share of the slots.
const ROOM_PERCENT: u64 = 115;
/// Items at work here at least, where there is a slot at all.
const LEAST_ROOM: u32 = 4;
/// Items in all, those included whose text waits for its score, as a multiple of the room.
const MOST_IN_ALL: u32 = 4;
/// How long the reckoned room is used, unless the feed changes.
const TARGET_REUSE: Duration = Duration::from_secs(1);
/// The first run of a group must begin within this time, or the others are placed anew.
const BEGINNING: Duration = Duration::from_millis(250);
/// Part of the time to stop that running texts get to finish.
const FINISH_PERCENT: u32 = 50;
/// How often a stop looks whether it is done.
const STOP_CHECK: Duration = Duration::from_millis(20);

/// How many items are at work here.
#[derive(Default)]
pub(crate) struct Room {
    texts: Cell<u32>,
    all: Cell<u32>,
    /// Most texts at a time, as reckoned last.
    target: Cell<Option<(Instant, u32)>>,
    wake: Notify,
}

impl Room {
    /// Has the room looked at again.
    pub(crate) fn wake(&self) {
        self.wake.notify_one();
    }

    /// The slots or the proxies have changed.
    pub(crate) fn feed_changed(&self) {
        self.target.set(None);
        self.wake();
    }
}

/// An item at work; counted until it is dropped.
pub(crate) struct InRoom {
    shared: Rc<Shared>,
    is_text_whole: bool,
}

impl InRoom {
    fn enter(shared: &Rc<Shared>) -> InRoom {
        let room = &shared.room;
        room.texts.set(room.texts.get() + 1);
        room.all.set(room.all.get() + 1);
        InRoom { shared: shared.clone(), is_text_whole: false }
    }

    /// The text is whole: there is room for another.
    pub(crate) fn text_is_whole(&mut self) {
        if !self.is_text_whole {
            self.is_text_whole = true;
            let texts = &self.shared.room.texts;
            texts.set(texts.get().saturating_sub(1));
            self.shared.room.wake();
        }
    }
}

impl Drop for InRoom {
    fn drop(&mut self) {
        self.text_is_whole();
        let all = &self.shared.room.all;
        all.set(all.get().saturating_sub(1));
        self.shared.room.wake();
    }
}

/// Starts the task that takes work.
pub(crate) fn start(shared: Rc<Shared>) {
    tokio::task::spawn_local(async move {
        loop {
            shared.room.wake.notified().await;
            ask_for_work(&shared);
        }
    });
}

/// Asks the stores for as many items as there is room for.
fn ask_for_work(shared: &Rc<Shared>) {
    if shared.shutdown.is_set() || shared.links.all().iter().all(|link| !link.may_have_work.get()) {
        return;
    }
    let target = target_room(shared);
    for link in shared.links.in_turn() {
        let asked: u32 = shared.links.all().iter().map(|link| link.asked.get()).sum();
        let room = free_room(shared, target).saturating_sub(asked);
        if room < (target / 8).max(1) {
            return;
        }
        if !link.may_have_work.get() || link.asked.get() > 0 {
            continue;
        }
        if link.send(&ToStore::RequestWork { max_items: room }) {
            link.asked.set(room);
        }
    }
}

fn free_room(shared: &Shared, target: u32) -> u32 {
    let room = &shared.room;
    let texts = target.saturating_sub(room.texts.get());
    let all = target.saturating_mul(MOST_IN_ALL).saturating_sub(room.all.get());
    texts.min(all)
}

/// Our share of the slots of all transcribers that run items; reckoned anew now and then.
fn target_room(shared: &Shared) -> u32 {
    let now = Instant::now();
    match shared.room.target.get() {
        Some((reckoned, target)) if now < reckoned + TARGET_REUSE => target,
        _ => {
            let target = share_of_slots(shared);
            shared.room.target.set(Some((now, target)));
            target
        }
    }
}

fn share_of_slots(shared: &Shared) -> u32 {
    let Some(configuration) = shared.feed.configuration() else { return 0 };
    let share = shared.feed.share_of_slots(ROOM_PERCENT, |backend| runs_items(&configuration, backend));
    if share == 0 {
        return 0;
    }
    share.max(LEAST_ROOM)
}

fn runs_items(configuration: &Configuration, backend: &str) -> bool {
    configuration.routes().iter().any(|route| {
        route.kind == RouteKind::Rollout
            && route.backends.iter().any(|(name, weight)| name == backend && *weight > 0)
    })
}

/// Begins with the items of leases.
pub(crate) fn take_leases(shared: &Rc<Shared>, leases: Vec<WorkLease>) {
    for lease in leases {
        take_lease(shared, lease);
    }
}

fn take_lease(shared: &Rc<Shared>, lease: WorkLease) {
    let now = Instant::now();
    let terms = Rc::new(LeaseTerms::new(&lease, now));
    let progress = lease.items.iter().map(|leased| progress_of(leased, &terms)).collect();
    let Some(key) = shared.leases.borrow_mut().add(&lease, progress, now) else { return };
    if shared.shutdown.is_set() {
        for leased in lease.items {
            hand_back(shared, key, &leased.item.id);
        }
        return;
    }
    let items: VecDeque<LeasedItem> = lease.items.into();
    let rooms: VecDeque<InRoom> = items.iter().map(|_| InRoom::enter(shared)).collect();
    let place = place_items(shared.clone(), key, terms, items, rooms);
    let task = tokio::task::spawn_local(place);
    shared.leases.borrow_mut().set_placement_task(key, task.abort_handle());
}

fn progress_of(leased: &LeasedItem, terms: &LeaseTerms) -> ItemProgress {
    ItemProgress {
        failed_attempts: leased.failed_attempts,
        failed_scorer_attempts: leased.failed_scorer_attempts,
        text: Text::from_partial(leased.partial.clone(), terms.versions),
        is_complete: false,
    }
}

/// Places the items of a lease, together where a transcriber has room, and starts their runs. The first run of a group
/// goes ahead: a transcriber that does not take it turns one item away, not all of them, and one that does has read the
/// prompt that the others share.
async fn place_items(
    shared: Rc<Shared>, key: LeaseKey, terms: Rc<LeaseTerms>, mut items: VecDeque<LeasedItem>,
    mut rooms: VecDeque<InRoom>,
) {
    while let Some(first) = items.front() {
        let count = u32::try_from(items.len()).unwrap_or(u32::MAX);
        let need = Requirements::of_text(&terms, &first.item.path);
        let mut places = match shared.placer.place(&need, count).await {
            Ok(places) => VecDeque::from(places),
            // Each item sees for itself.
            Err(_) => VecDeque::new(),
        };
        shared.metrics.increment(if places.len() < items.len() {
            Metric::GroupsSplit
        } else {
            Metric::GroupsPlacedWhole
        });
        let beginning = places.front().filter(|_| places.len() > 1).map(Reservation::on_start);
        let batch = if places.is_empty() { items.len() } else { places.len().min(items.len()) };
        for leased in items.drain(..if beginning.is_some() { 1 } else { batch }) {
            start_run(&shared, key, &terms, leased, places.pop_front(), &mut rooms);
        }
        let Some(beginning) = beginning else { continue };
        if !matches!(timeout(BEGINNING, beginning).await, Ok(Ok(()))) {
            continue;
        }
        for leased in items.drain(..batch - 1) {
            start_run(&shared, key, &terms, leased, places.pop_front(), &mut rooms);
        }
    }
}

fn start_run(
    shared: &Rc<Shared>, key: LeaseKey, terms: &Rc<LeaseTerms>, leased: LeasedItem,
    place: Option<Reservation>, rooms: &mut VecDeque<InRoom>,
) {
    let Some(room) = rooms.pop_front() else { return };
    let id = leased.item.id.clone();
    let Some(progress) = shared.leases.borrow().progress(key, &id) else { return };
    let run = item_run::run(shared.clone(), key, terms.clone(), leased.item, progress, place, room);
    let task = tokio::task::spawn_local(run);
    shared.leases.borrow_mut().set_item_task(key, &id, task.abort_handle());
}

/// Hands an item back, with what is known of it.
pub(crate) fn hand_back(shared: &Shared, key: LeaseKey, item: &str) {
    let taken = shared.leases.borrow_mut().release(key, item);
    if let Some(taken) = taken {
        push_returned(shared, taken);
    }
}

fn push_returned(shared: &Shared, taken: ReleasedItem) {
    let progress = taken.progress.borrow();
    let outcome = ItemOutcome::Returned {
        id: taken.item,
        failed_attempts: progress.failed_attempts,
        failed_scorer_attempts: progress.failed_scorer_attempts,
        partial: progress.partial(),
    };
    let ReleasedItem { store_group, job, lease, .. } = taken;
    shared.outbox.push(Outcome { store_group, job, lease, outcome });
}

/// Ends the work: running texts get a while to finish, the rest is handed back.
pub(crate) async fn stop(shared: &Rc<Shared>, most: Duration) {
    let begun = Instant::now();
    shared.shutdown.set();
    shared.changes.notify();
    let finish_until = begun + most * FINISH_PERCENT / 100;
    while !shared.leases.borrow().is_empty() && Instant::now() < finish_until {
        sleep(STOP_CHECK).await;
    }
    let unfinished = shared.leases.borrow_mut().release_all();
    log::info!("{} items are handed back", unfinished.len());
    for taken in unfinished {
        push_returned(shared, taken);
    }
    shared.outbox.flush(shared);
    let is_flushed = || {
        let queued: usize = shared.links.all().iter().map(|link| link.queued_bytes()).sum();
        shared.outbox.is_empty() && queued == 0
    };
    while !is_flushed() && begun.elapsed() < most {
        sleep(STOP_CHECK).await;
        shared.outbox.flush(shared);
    }
}
