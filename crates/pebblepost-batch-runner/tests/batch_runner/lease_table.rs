//! Tests of the lease table: validity, renewal, cancellation.

use crate::text::{ANY, partial};
use pebblepost_batch_runner::item_progress::ItemProgress;
use pebblepost_batch_runner::lease_table::{
    ABANDON_AFTER, LEASE_DURATION, LeaseKey, LeaseStatus, LeaseTable,
};
use pebblepost_batch_runner::text::GeneratedText;
use pebblepost_messages::batch::{ActiveLease, Item, LeasedItem, WorkLease};
use std::time::Duration;
use tokio::time::Instant;

fn work_lease(job: &str, items: &[&str], epoch: u64) -> WorkLease {
    let leased = |id: &&str| LeasedItem {
        item: Item { id: (*id).to_owned(), ..Item::default() },
        ..LeasedItem::default()
    };
    WorkLease {
        lease: 1,
        store_group: 2,
        epoch,
        job: job.to_owned(),
        items: items.iter().map(leased).collect(),
        ..WorkLease::default()
    }
}

fn add(table: &mut LeaseTable, lease: &WorkLease, now: Instant) -> Option<LeaseKey> {
    table.add(lease, vec![ItemProgress::default(); lease.items.len()], now)
}

#[test]
fn a_lease_expires_unless_its_primary_renews_it() {
    let now = Instant::now();
    let mut table = LeaseTable::default();
    let key = add(&mut table, &work_lease("j", &["a"], 4), now).unwrap();
    assert_eq!(table.status(key, now + LEASE_DURATION - Duration::from_millis(1)), LeaseStatus::Valid);
    assert_eq!(table.status(key, now + LEASE_DURATION), LeaseStatus::Expired);
    table.renew(2, 5, now + LEASE_DURATION);
    assert_eq!(table.status(key, now + LEASE_DURATION), LeaseStatus::Expired, "another epoch");
    table.renew(3, 4, now + LEASE_DURATION);
    assert_eq!(table.status(key, now + LEASE_DURATION), LeaseStatus::Expired, "another group");
    table.renew(2, 4, now + LEASE_DURATION);
    assert_eq!(table.status(key, now + LEASE_DURATION), LeaseStatus::Valid);
    assert_eq!(table.status(key, now + 2 * LEASE_DURATION + ABANDON_AFTER), LeaseStatus::Ended);
}

#[test]
fn a_new_primary_renews_announced_leases() {
    let now = Instant::now();
    let mut table = LeaseTable::default();
    let key = add(&mut table, &work_lease("j", &["a", "b"], 4), now).unwrap();
    table.release(key, "a").unwrap();
    assert!(!table.is_renewal_overdue(2, now));
    assert!(table.is_renewal_overdue(2, now + LEASE_DURATION));
    let active = ActiveLease { store_group: 2, job: "j".to_owned(), items: vec!["b".to_owned()] };
    assert_eq!(table.announce(2, 5), [active]);
    assert!(table.announce(3, 5).is_empty());
    table.renew(2, 5, now + LEASE_DURATION);
    assert_eq!(table.status(key, now + LEASE_DURATION), LeaseStatus::Valid);
}

#[test]
fn a_cancelled_job_ends_its_leases_and_gets_no_new_ones() {
    let now = Instant::now();
    let mut table = LeaseTable::default();
    let key = add(&mut table, &work_lease("j", &["a"], 4), now).unwrap();
    let other = add(&mut table, &work_lease("k", &["a"], 4), now).unwrap();
    table.cancel(&["j".to_owned()], now);
    assert_eq!(table.status(key, now), LeaseStatus::Ended);
    assert_eq!(table.status(other, now), LeaseStatus::Valid);
    assert!(table.release(key, "a").is_none());
    assert!(add(&mut table, &work_lease("j", &["a"], 5), now).is_none());
}

#[test]
fn an_item_leased_again_keeps_its_longer_text() {
    let now = Instant::now();
    let mut table = LeaseTable::default();
    let first = add(&mut table, &work_lease("j", &["a"], 4), now).unwrap();
    let text = GeneratedText::from_partial(partial(2, "x\ny", &[3]), ANY);
    table.progress(first, "a").unwrap().borrow_mut().text = text;
    let second = add(&mut table, &work_lease("j", &["a"], 4), now).unwrap();
    assert_eq!(table.status(first, now), LeaseStatus::Ended);
    assert_eq!(table.progress(second, "a").unwrap().borrow().text.last_event(), 2);
}

#[test]
fn release_all_returns_every_unfinished_item() {
    let now = Instant::now();
    let mut table = LeaseTable::default();
    let key = add(&mut table, &work_lease("j", &["a", "b"], 4), now).unwrap();
    table.release(key, "a").unwrap();
    let items: Vec<String> = table.release_all().into_iter().map(|released| released.item).collect();
    assert_eq!(items, ["b"]);
    assert!(table.is_empty());
}
