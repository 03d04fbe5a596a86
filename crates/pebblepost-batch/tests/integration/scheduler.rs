//! Tests of the scheduler: the order in which items are leased, and the life cycle of leases.

use crate::support::{append_results, apply, job, ms, result};
use pebblepost_batch::clock::GroupClock;
use pebblepost_batch::command::Change;
use pebblepost_batch::scheduler::{
    EXTRA_SAMPLE_GROUPS, ItemProgress, LeaseReference, ProxyId, Scheduler, WorkRequest,
};
use pebblepost_batch::state::BatchState;
use pebblepost_messages::batch::{Job, PartialText, UnsendableItems, WorkLease};
use rstest::rstest;

const STORE_GROUP: u32 = 3;
const FIRST_PROXY: ProxyId = ProxyId(1);
const SECOND_PROXY: ProxyId = ProxyId(2);

/// A primary of one store group with two proxies.
struct Primary {
    state: BatchState,
    scheduler: Scheduler,
}

impl Primary {
    fn new(jobs: Vec<Job>) -> Primary {
        let mut scheduler = Scheduler::default();
        scheduler.mark_proxy_connected(FIRST_PROXY);
        scheduler.mark_proxy_connected(SECOND_PROXY);
        scheduler.start_term(ms(0), STORE_GROUP, 5, &GroupClock::default(), &BatchState::default());
        let mut primary = Primary { state: BatchState::default(), scheduler };
        jobs.into_iter().for_each(|job| primary.add(0, job));
        primary
    }

    fn add(&mut self, now_ms: u64, job: Job) {
        let id = job.id.clone();
        apply(&mut self.state, now_ms, Change::AddJob(job));
        let stored = self.state.job(&id).expect("the job was added");
        self.scheduler.add_job(ms(now_ms), STORE_GROUP, &GroupClock::default(), stored);
    }

    fn leases(&mut self, now_ms: u64, proxy: ProxyId, max_items: usize) -> Vec<WorkLease> {
        self.leases_for(now_ms, proxy, &WorkRequest::new(max_items))
    }

    fn leases_for(&mut self, now_ms: u64, proxy: ProxyId, request: &WorkRequest) -> Vec<WorkLease> {
        self.scheduler.lease_items(ms(now_ms), proxy, request, |_| Some(&self.state))
    }

    /// Leases items that the proxy can send and returns their ids, by lease.
    fn lease_sendable_ids(&mut self, proxy: ProxyId, unsendable: &[(&str, &str)]) -> Vec<Vec<String>> {
        let unsendable = unsendable.iter().map(|(job, path_prefix)| UnsendableItems {
            job: (*job).to_owned(),
            path_prefix: (*path_prefix).to_owned(),
        });
        let request = WorkRequest { max_items: 9, unsendable: unsendable.collect() };
        item_ids(self.leases_for(0, proxy, &request))
    }

    /// Leases items and returns their ids, by lease.
    fn lease_ids(&mut self, now_ms: u64, proxy: ProxyId, max_items: usize) -> Vec<Vec<String>> {
        item_ids(self.leases(now_ms, proxy, max_items))
    }

    fn take_idle_proxies(&mut self, now_ms: u64) -> Vec<ProxyId> {
        self.scheduler.take_idle_proxies(ms(now_ms), |_| Some(&self.state))
    }

    fn index(&self, job: &str, item: &str) -> usize {
        self.state.job(job).and_then(|job| job.pending_index(item)).expect("the item is pending")
    }

    fn finish(&mut self, job: &str, item: &str) -> bool {
        let index = self.index(job, item);
        self.scheduler.finish_item(job, index)
    }
}

/// Returns the ids of the leased items, by lease.
fn item_ids(leases: Vec<WorkLease>) -> Vec<Vec<String>> {
    let ids = |lease: WorkLease| lease.items.into_iter().map(|leased| leased.item.id).collect();
    leases.into_iter().map(ids).collect()
}

#[rstest]
fn leases_whole_sample_groups_in_order() {
    let mut primary = Primary::new(vec![job("j", 3, 2, 3)]);
    assert_eq!(primary.lease_ids(0, FIRST_PROXY, 3), [["j-0", "j-1"], ["j-2", "j-3"]]);
    assert_eq!(primary.lease_ids(0, SECOND_PROXY, 9), [["j-4", "j-5"]]);
    assert!(primary.lease_ids(0, SECOND_PROXY, 9).is_empty());
}

#[rstest]
fn splits_a_sample_group_that_exceeds_the_capacity() {
    let mut primary = Primary::new(vec![job("j", 1, 30, 1)]);
    assert_eq!(primary.lease_ids(0, FIRST_PROXY, 4)[0].len(), 12);
    assert_eq!(primary.lease_ids(0, SECOND_PROXY, 100)[0].len(), 18);
}

#[rstest]
fn lease_carries_terms_and_deadlines() {
    let mut primary = Primary::new(vec![]);
    let mut submitted = job("j", 1, 1, 1);
    submitted.model = "m".to_owned();
    submitted.min_version = 4;
    primary.add(0, submitted);
    let leases = primary.leases(1_500, FIRST_PROXY, 1);
    let lease = &leases[0];
    assert_eq!((lease.store_group, lease.epoch, lease.job.as_str()), (STORE_GROUP, 5, "j"));
    assert_eq!((lease.model.as_str(), lease.min_version), ("m", 4));
    assert_eq!((lease.due_in_ms, lease.dead_letter_in_ms), (3_500, 18_500));
    assert_eq!(lease.items[0].partial, PartialText::default());
}

#[rstest]
#[case::by_due_time(5_000, 1, 4_000, 2, "b")]
#[case::by_priority(5_000, 2, 5_000, 1, "b")]
#[case::due_time_before_priority(4_000, 9, 5_000, 0, "a")]
fn leases_jobs_by_due_time_then_priority(
    #[case] due_a: u64, #[case] priority_a: u32, #[case] due_b: u64, #[case] priority_b: u32,
    #[case] first: &str,
) {
    let job_due = |id: &str, due: u64, priority: u32| {
        let mut job = job(id, 1, 1, 1);
        job.terms.run_deadline_ms = due;
        job.terms.priority = priority;
        job
    };
    let mut primary = Primary::new(vec![job_due("a", due_a, priority_a), job_due("b", due_b, priority_b)]);
    assert_eq!(primary.leases(0, FIRST_PROXY, 1)[0].job, first);
}

#[rstest]
fn leases_returned_items_first_with_their_progress() {
    let mut primary = Primary::new(vec![job("j", 3, 2, 3)]);
    let lease = primary.leases(0, FIRST_PROXY, 2)[0].lease;
    let partial = PartialText { last_event: 2, message: b"a\nb".to_vec(), versions: vec![7] };
    let progress = ItemProgress { failed_attempts: 1, failed_scorer_attempts: 2, partial: partial.clone() };
    let index = primary.index("j", "j-1");
    primary.scheduler.return_item(LeaseReference { proxy: FIRST_PROXY, number: lease }, "j", index, progress);
    let leases = primary.leases(0, SECOND_PROXY, 1);
    let leased = &leases[0].items[0];
    assert_eq!(leases[0].items.len(), 1);
    assert_eq!((leased.item.id.as_str(), &leased.partial), ("j-1", &partial));
    assert_eq!((leased.failed_attempts, leased.failed_scorer_attempts), (1, 2));
}

#[rstest]
fn ignores_a_return_by_another_proxy() {
    let mut primary = Primary::new(vec![job("j", 1, 1, 1)]);
    let lease = primary.leases(0, FIRST_PROXY, 1)[0].lease;
    primary.scheduler.return_item(
        LeaseReference { proxy: SECOND_PROXY, number: lease },
        "j",
        0,
        ItemProgress::default(),
    );
    assert!(primary.lease_ids(0, SECOND_PROXY, 1).is_empty());
}

#[rstest]
fn ignores_a_return_under_an_earlier_lease() {
    let mut primary = Primary::new(vec![job("j", 1, 1, 1)]);
    let first = primary.leases(0, FIRST_PROXY, 1)[0].lease;
    primary.scheduler.return_item(
        LeaseReference { proxy: FIRST_PROXY, number: first },
        "j",
        0,
        ItemProgress::default(),
    );
    let second = primary.leases(0, FIRST_PROXY, 1)[0].lease;
    primary.scheduler.return_item(
        LeaseReference { proxy: FIRST_PROXY, number: first },
        "j",
        0,
        ItemProgress::default(),
    );
    assert!(primary.lease_ids(0, SECOND_PROXY, 1).is_empty());
    primary.scheduler.return_item(
        LeaseReference { proxy: FIRST_PROXY, number: second },
        "j",
        0,
        ItemProgress::default(),
    );
    assert_eq!(primary.lease_ids(0, SECOND_PROXY, 1), [["j-0"]]);
}

#[rstest]
fn oversamples_only_when_results_are_nearly_due() {
    let desired = 4;
    let mut primary = Primary::new(vec![job("j", 10, 1, desired)]);
    let started = primary.lease_ids(0, FIRST_PROXY, 100).len();
    assert_eq!(started, 4 + EXTRA_SAMPLE_GROUPS);
    assert!(primary.lease_ids(2_900, FIRST_PROXY, 100).is_empty());
    assert!(primary.take_idle_proxies(2_900).is_empty());
    assert_eq!(primary.take_idle_proxies(3_000), [FIRST_PROXY]);
    assert_eq!(primary.lease_ids(3_000, FIRST_PROXY, 100).len(), 10 - started);
}

#[rstest]
fn oversamples_after_required_groups_of_other_jobs() {
    let mut early = job("early", 10, 1, 1);
    early.terms.run_deadline_ms = 1_000;
    let mut primary = Primary::new(vec![early, job("late", 2, 1, 2)]);
    primary.lease_ids(0, FIRST_PROXY, 1 + EXTRA_SAMPLE_GROUPS);
    let leases = primary.leases(700, FIRST_PROXY, 5);
    assert!(leases.iter().all(|lease| lease.job == "late"));
    assert_eq!(primary.leases(700, FIRST_PROXY, 1)[0].job, "early");
}

#[rstest]
fn item_is_finished_only_once() {
    let mut primary = Primary::new(vec![job("j", 1, 2, 1)]);
    assert!(primary.finish("j", "j-0"));
    assert!(!primary.finish("j", "j-0"));
    assert_eq!(primary.lease_ids(0, FIRST_PROXY, 9), [["j-1"]]);
}

#[rstest]
fn item_with_a_rejected_result_is_pending_again() {
    let mut primary = Primary::new(vec![job("j", 1, 1, 1)]);
    primary.lease_ids(0, FIRST_PROXY, 1);
    primary.scheduler.reject_result("j", 0);
    assert_eq!(primary.scheduler.leased_item_count(), 0);
    assert_eq!(primary.lease_ids(0, SECOND_PROXY, 1), [["j-0"]]);
}

#[rstest]
fn leases_of_a_disconnected_proxy_expire() {
    let mut primary = Primary::new(vec![job("j", 1, 2, 1)]);
    primary.lease_ids(0, FIRST_PROXY, 2);
    let renewed = primary.scheduler.renew_leases(ms(400), |_| true);
    assert_eq!(renewed, [(FIRST_PROXY, vec![STORE_GROUP])]);
    primary.scheduler.mark_proxy_disconnected(FIRST_PROXY);
    assert!(primary.scheduler.renew_leases(ms(800), |_| true).is_empty());
    primary.scheduler.expire_leases(ms(1_899));
    assert!(primary.lease_ids(1_899, SECOND_PROXY, 2).is_empty());
    primary.scheduler.expire_leases(ms(1_900));
    assert_eq!(primary.lease_ids(1_900, SECOND_PROXY, 2), [["j-0", "j-1"]]);
    assert!(primary.finish("j", "j-0"), "a result after the lease expired is accepted");
}

#[rstest]
fn renews_nothing_while_not_acting() {
    let mut primary = Primary::new(vec![job("j", 1, 1, 1)]);
    primary.lease_ids(0, FIRST_PROXY, 1);
    assert!(primary.scheduler.renew_leases(ms(400), |_| false).is_empty());
    assert!(primary.scheduler.renew_leases(ms(1_600), |_| true).is_empty(), "the lease has expired");
    assert_eq!(primary.lease_ids(1_600, SECOND_PROXY, 1), [["j-0"]]);
}

#[rstest]
fn expires_a_lease_at_its_maximum_age() {
    let mut primary = Primary::new(vec![job("j", 1, 1, 1)]);
    primary.lease_ids(0, FIRST_PROXY, 1);
    for step in 0..160 {
        primary.scheduler.renew_leases(ms(step * 400), |_| true);
    }
    assert_eq!(primary.scheduler.leased_item_count(), 0);
}

#[rstest]
fn does_not_lease_a_removed_job() {
    let mut primary = Primary::new(vec![job("j", 2, 1, 2)]);
    let lease = primary.leases(0, FIRST_PROXY, 1)[0].lease;
    primary.scheduler.remove_job("j");
    assert!(primary.lease_ids(0, FIRST_PROXY, 9).is_empty());
    assert_eq!((primary.scheduler.job_count(), primary.scheduler.leased_item_count()), (0, 0));
    primary.scheduler.return_item(
        LeaseReference { proxy: FIRST_PROXY, number: lease },
        "j",
        0,
        ItemProgress::default(),
    );
    assert!(primary.lease_ids(0, FIRST_PROXY, 9).is_empty());
}

#[rstest]
fn notifies_an_idle_proxy_of_new_work_once() {
    let mut primary = Primary::new(vec![]);
    assert!(primary.lease_ids(0, FIRST_PROXY, 1).is_empty());
    assert!(primary.take_idle_proxies(0).is_empty());
    primary.add(10, job("j", 1, 1, 1));
    assert_eq!(primary.take_idle_proxies(10), [FIRST_PROXY]);
    assert!(primary.take_idle_proxies(10).is_empty());
}

/// Guards against: a job that one proxy cannot send takes all that the proxy requests, although jobs that are due
/// later have items that it could send (`docs/incidents/a-step-behind-a-removed-route.md`).
#[rstest]
fn leaves_items_that_a_proxy_cannot_send_to_other_proxies() {
    let mut late = job("late", 1, 2, 1);
    late.terms.run_deadline_ms = 9_000;
    let mut primary = Primary::new(vec![job("early", 2, 2, 2), late]);
    let unsendable = [("early", "/lots/")];
    assert_eq!(primary.lease_sendable_ids(FIRST_PROXY, &unsendable), [["late-0", "late-1"]]);
    assert!(primary.lease_sendable_ids(FIRST_PROXY, &unsendable).is_empty());
    assert_eq!(primary.lease_ids(0, SECOND_PROXY, 9), [["early-0", "early-1"], ["early-2", "early-3"]]);
}

/// Guards against: items of a job wait for other items of the same job that have another route.
#[rstest]
fn leases_the_sendable_items_of_a_job_with_unsendable_ones() {
    let mut primary = Primary::new(vec![job("j", 3, 2, 3)]);
    let unsendable = [("j", "/lots/0"), ("j", "/lots/1"), ("j", "/lots/2"), ("other", "/lots/")];
    assert_eq!(primary.lease_sendable_ids(FIRST_PROXY, &unsendable), [vec!["j-3"], vec!["j-4", "j-5"]]);
    assert_eq!(primary.lease_ids(0, FIRST_PROXY, 9), [vec!["j-2"], vec!["j-0", "j-1"]]);
}

/// Guards against: a proxy and a store that exchange notices and requests without end about items that the proxy
/// cannot send.
#[rstest]
fn does_not_notify_an_idle_proxy_of_items_that_it_cannot_send() {
    let mut primary = Primary::new(vec![job("j", 1, 2, 1)]);
    assert!(primary.lease_sendable_ids(FIRST_PROXY, &[("j", "/lots/")]).is_empty());
    assert!(primary.scheduler.has_pending_items(ms(0), |_| true));
    assert!(primary.take_idle_proxies(0).is_empty());
    primary.add(0, job("k", 1, 1, 1));
    assert_eq!(primary.take_idle_proxies(0), [FIRST_PROXY]);
}

/// Guards against: items that wait until they expire although an idle proxy can send them, because it cannot send other
/// items of the same job.
#[rstest]
fn notifies_an_idle_proxy_of_sendable_items_of_a_job_with_unsendable_ones() {
    let mut primary = Primary::new(vec![job("j", 3, 2, 3)]);
    let lease = primary.leases(0, SECOND_PROXY, 2)[0].lease;
    let unsendable = [("j", "/lots/4"), ("j", "/lots/5")];
    assert_eq!(primary.lease_sendable_ids(FIRST_PROXY, &unsendable), [["j-2", "j-3"]]);
    assert!(primary.take_idle_proxies(0).is_empty());
    let index = primary.index("j", "j-0");
    let lease = LeaseReference { proxy: SECOND_PROXY, number: lease };
    primary.scheduler.return_item(lease, "j", index, ItemProgress::default());
    assert_eq!(primary.take_idle_proxies(1_000), [FIRST_PROXY]);
    assert_eq!(primary.lease_sendable_ids(FIRST_PROXY, &unsendable), [["j-0"]]);
    assert!(primary.take_idle_proxies(2_000).is_empty());
}

#[rstest]
fn does_not_notify_an_idle_proxy_while_not_acting() {
    let mut primary = Primary::new(vec![]);
    primary.lease_ids(0, FIRST_PROXY, 1);
    primary.add(10, job("j", 1, 1, 1));
    assert!(primary.scheduler.take_idle_proxies(ms(10), |_| None).is_empty());
    assert_eq!(primary.take_idle_proxies(10), [FIRST_PROXY]);
}

#[rstest]
fn limits_the_bytes_of_one_grant() {
    let mut large_job = job("j", 4, 1, 4);
    large_job.items.iter_mut().for_each(|item| item.body = vec![0; 3 * 1024 * 1024]);
    let mut primary = Primary::new(vec![large_job]);
    assert_eq!(primary.lease_ids(0, FIRST_PROXY, 4).len(), 2);
    assert_eq!(primary.take_idle_proxies(0), [FIRST_PROXY]);
    assert_eq!(primary.lease_ids(0, FIRST_PROXY, 4).len(), 2);
}

#[rstest]
fn expires_only_pending_items_past_their_ttl() {
    let mut primary = Primary::new(vec![job("j", 3, 1, 3)]);
    let lease = primary.leases(0, FIRST_PROXY, 1)[0].lease;
    assert!(primary.scheduler.take_expired_items(ms(19_999)).is_empty());
    let expired = primary.scheduler.take_expired_items(ms(20_000));
    assert_eq!(expired.iter().map(|expired| expired.items.as_slice()).collect::<Vec<_>>(), [[1, 2]]);
    assert!(primary.scheduler.take_expired_items(ms(20_001)).is_empty());
    assert!(primary.lease_ids(20_001, SECOND_PROXY, 9).is_empty());
    primary.scheduler.return_item(
        LeaseReference { proxy: FIRST_PROXY, number: lease },
        "j",
        0,
        ItemProgress::default(),
    );
    assert_eq!(primary.scheduler.take_expired_items(ms(20_002)).len(), 1);
}

/// Creates a primary that has taken over a job of four items, the first of which has a result.
fn primary_after_takeover(proxies: &[ProxyId]) -> Primary {
    let mut state = BatchState::default();
    apply(&mut state, 0, Change::AddJob(job("j", 2, 2, 2)));
    apply(&mut state, 100, append_results("j", vec![result("j-0", "text")]));
    let mut scheduler = Scheduler::default();
    proxies.iter().for_each(|proxy| scheduler.mark_proxy_connected(*proxy));
    scheduler.start_term(ms(1_000), STORE_GROUP, 6, &GroupClock::new(ms(1_000), 100), &state);
    Primary { state, scheduler }
}

#[rstest]
fn new_primary_waits_before_leasing_jobs_taken_over() {
    let mut primary = primary_after_takeover(&[FIRST_PROXY, SECOND_PROXY]);
    assert!(primary.lease_ids(1_399, FIRST_PROXY, 9).is_empty());
    assert_eq!(primary.lease_ids(1_400, FIRST_PROXY, 9), [vec!["j-1"], vec!["j-2", "j-3"]]);
}

#[rstest]
fn new_primary_stops_waiting_once_all_proxies_have_reported() {
    let mut primary = primary_after_takeover(&[FIRST_PROXY, SECOND_PROXY]);
    primary.scheduler.record_lease_report(ms(1_249), FIRST_PROXY);
    primary.scheduler.restore_lease(ms(1_250), FIRST_PROXY, "j", &[1, 2]);
    primary.scheduler.record_lease_report(ms(1_250), SECOND_PROXY);
    assert!(
        primary.lease_ids(1_250, SECOND_PROXY, 9).is_empty(),
        "a report within the first 250 ms of the wait is not counted"
    );
    primary.scheduler.record_lease_report(ms(1_300), FIRST_PROXY);
    assert_eq!(primary.lease_ids(1_300, SECOND_PROXY, 9), [["j-3"]]);
    let renewed = primary.scheduler.renew_leases(ms(1_400), |_| true);
    assert_eq!(renewed, [(FIRST_PROXY, vec![STORE_GROUP]), (SECOND_PROXY, vec![STORE_GROUP])]);
}

#[rstest]
fn new_primary_leases_new_jobs_at_once() {
    let mut primary = primary_after_takeover(&[FIRST_PROXY]);
    primary.add(1_100, job("new", 1, 1, 1));
    assert_eq!(primary.lease_ids(1_100, FIRST_PROXY, 9), [["new-0"]]);
}

#[rstest]
fn restored_lease_is_returned_under_its_earlier_number() {
    let mut primary = primary_after_takeover(&[FIRST_PROXY]);
    primary.scheduler.restore_lease(ms(1_100), FIRST_PROXY, "j", &[1]);
    primary.scheduler.return_item(
        LeaseReference { proxy: FIRST_PROXY, number: 77 },
        "j",
        1,
        ItemProgress::default(),
    );
    assert_eq!(primary.lease_ids(1_600, FIRST_PROXY, 1), [["j-1"]]);
}

#[rstest]
fn reconnected_proxy_restores_its_leases() {
    let mut primary = Primary::new(vec![job("j", 1, 2, 1)]);
    primary.lease_ids(0, FIRST_PROXY, 2);
    primary.scheduler.mark_proxy_disconnected(FIRST_PROXY);
    let reconnected = ProxyId(7);
    primary.scheduler.mark_proxy_connected(reconnected);
    primary.scheduler.restore_lease(ms(300), reconnected, "j", &[0]);
    primary.scheduler.renew_leases(ms(1_400), |_| true);
    primary.scheduler.expire_leases(ms(1_600));
    assert_eq!(primary.lease_ids(1_600, SECOND_PROXY, 2), [["j-1"]]);
}

#[rstest]
fn does_not_restore_a_lease_of_another_connected_proxy() {
    let mut primary = Primary::new(vec![job("j", 1, 1, 1)]);
    let lease = primary.leases(0, FIRST_PROXY, 1)[0].lease;
    primary.scheduler.restore_lease(ms(10), SECOND_PROXY, "j", &[0]);
    primary.scheduler.return_item(
        LeaseReference { proxy: FIRST_PROXY, number: lease },
        "j",
        0,
        ItemProgress::default(),
    );
    assert_eq!(primary.lease_ids(20, SECOND_PROXY, 1), [["j-0"]]);
}

#[rstest]
fn end_of_a_term_removes_jobs_and_leases() {
    let mut primary = Primary::new(vec![job("j", 1, 2, 1)]);
    primary.lease_ids(0, FIRST_PROXY, 1);
    primary.scheduler.end_term(STORE_GROUP);
    assert!(primary.lease_ids(0, SECOND_PROXY, 9).is_empty());
    assert!(!primary.scheduler.has_term(STORE_GROUP));
    assert!(!primary.scheduler.finish_item("j", 0));
}
