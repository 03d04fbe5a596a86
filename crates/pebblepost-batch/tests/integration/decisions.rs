//! Decisions of the scheduler in random sequences of events, compared with approved digests of whole runs.

use crate::support::{append_results, apply, approve, job, ms, result};
use pebblepost_batch::clock::GroupClock;
use pebblepost_batch::command::Change;
use pebblepost_batch::scheduler::{ItemProgress, LeaseReference, ProxyId, Scheduler, WorkRequest};
use pebblepost_batch::state::BatchState;
use pebblepost_messages::batch::{PartialText, WorkLease};
use pebblepost_stable_hash::Fnv1a;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use std::time::Duration;

const STORE_GROUPS: u32 = 2;
const PROXY_COUNT: u64 = 3;

/// A primary of two store groups under random events.
struct Run {
    random: StdRng,
    digest: Fnv1a,
    now_ms: u64,
    states: Vec<BatchState>,
    scheduler: Scheduler,
    /// All leases granted so far.
    granted: Vec<(ProxyId, WorkLease)>,
    job_count: u64,
    epoch: u64,
}

impl Run {
    fn new(seed: u64) -> Run {
        Run {
            random: StdRng::seed_from_u64(seed),
            digest: Fnv1a::default(),
            now_ms: 0,
            states: (0..STORE_GROUPS).map(|_| BatchState::default()).collect(),
            scheduler: Scheduler::default(),
            granted: Vec::new(),
            job_count: 0,
            epoch: 0,
        }
    }

    fn now(&self) -> Duration {
        ms(self.now_ms)
    }

    fn clock(&self) -> GroupClock {
        GroupClock::new(self.now(), self.now_ms)
    }

    fn random_proxy(&mut self) -> ProxyId {
        ProxyId(self.random.random_range(0..PROXY_COUNT))
    }

    fn random_store_group(&mut self) -> u32 {
        self.random.random_range(0..STORE_GROUPS)
    }

    fn start_term(&mut self, group: u32) {
        self.epoch += 1;
        let (now, clock) = (self.now(), self.clock());
        let state = &self.states[group as usize];
        self.scheduler.start_term(now, group, self.epoch, &clock, state);
    }

    fn add_job(&mut self) {
        let group = self.random_store_group();
        self.job_count += 1;
        let id = format!("job-{}", self.job_count);
        let groups = self.random.random_range(1..8);
        let per_group = self.random.random_range(1..5);
        let desired = self.random.random_range(0..6);
        let mut job = job(&id, groups, per_group, desired);
        job.terms.priority = self.random.random_range(0..3);
        job.terms.run_deadline_ms = self.random.random_range(500..6_000);
        job.terms.queue_ttl_ms = self.random.random_range(2_000..20_000);
        let (now, clock) = (self.now(), self.clock());
        let state = &mut self.states[group as usize];
        apply(state, self.now_ms, Change::AddJob(job));
        if self.scheduler.has_term(group) {
            let stored = state.job(&id).expect("the job was added");
            self.scheduler.add_job(now, group, &clock, stored);
        }
    }

    fn lease_items(&mut self) {
        let (now, proxy) = (self.now(), self.random_proxy());
        let request = WorkRequest::new(self.random.random_range(0..12));
        let states = &self.states;
        let leases = self.scheduler.lease_items(now, proxy, &request, |group| states.get(group as usize));
        for lease in leases {
            self.digest.number(lease.lease);
            self.digest.number(u64::from(lease.store_group));
            self.digest.number(lease.epoch);
            self.digest.bytes(lease.job.as_bytes());
            self.digest.number(lease.due_in_ms);
            self.digest.number(lease.dead_letter_in_ms);
            for leased in &lease.items {
                self.digest.bytes(leased.item.id.as_bytes());
                self.digest.number(u64::from(leased.failed_attempts));
                self.digest.number(u64::from(leased.failed_scorer_attempts));
                self.digest.bytes(&leased.partial.message);
            }
            self.granted.push((proxy, lease));
        }
    }

    /// Picks a random granted lease and one of its items, with the item's index. Returns `None` if no
    /// lease was granted, the item has a result or its job has ended.
    fn random_granted_item(&mut self) -> Option<(ProxyId, WorkLease, String, usize)> {
        if self.granted.is_empty() {
            return None;
        }
        let number = self.random.random_range(0..self.granted.len());
        let (proxy, lease) = self.granted[number].clone();
        let item = self.random.random_range(0..lease.items.len());
        let id = lease.items[item].item.id.clone();
        let state = &self.states[lease.store_group as usize];
        let index = state.job(&lease.job)?.pending_index(&id)?;
        Some((proxy, lease, id, index))
    }

    fn finish_item(&mut self) {
        let Some((_, lease, item, index)) = self.random_granted_item() else { return };
        let is_first = self.scheduler.finish_item(&lease.job, index);
        self.digest.number(u64::from(is_first));
        if is_first {
            let state = &mut self.states[lease.store_group as usize];
            apply(state, self.now_ms, append_results(&lease.job, vec![result(&item, "text")]));
        }
    }

    fn return_item(&mut self) {
        let Some((proxy, lease, _, index)) = self.random_granted_item() else { return };
        let progress = ItemProgress {
            failed_attempts: self.random.random_range(0..3),
            failed_scorer_attempts: self.random.random_range(0..3),
            partial: PartialText { last_event: 1, message: b"part".to_vec(), versions: vec![3] },
        };
        self.scheduler.return_item(
            LeaseReference { proxy, number: lease.lease },
            &lease.job,
            index,
            progress,
        );
    }

    fn report_leases(&mut self) {
        let (now, proxy) = (self.now(), self.random_proxy());
        if let Some((_, lease, _, index)) = self.random_granted_item() {
            self.scheduler.restore_lease(now, proxy, &lease.job, &[index]);
        }
        self.scheduler.record_lease_report(now, proxy);
    }

    fn renew_leases(&mut self) {
        let acting: [bool; 2] = [self.random.random_bool(0.9), self.random.random_bool(0.9)];
        let now = self.now();
        for (proxy, groups) in self.scheduler.renew_leases(now, |group| acting[group as usize]) {
            self.digest.number(proxy.0);
            groups.iter().for_each(|group| self.digest.number(u64::from(*group)));
        }
    }

    fn take_expired_items(&mut self) {
        for expired in self.scheduler.take_expired_items(self.now()) {
            self.digest.number(u64::from(expired.store_group));
            self.digest.bytes(expired.job.as_bytes());
            expired.items.iter().for_each(|item| self.digest.number(*item as u64));
        }
    }

    fn take_idle_proxies(&mut self) {
        let now = self.now();
        let has_work = self.scheduler.has_pending_items(now, |_| true);
        self.digest.number(u64::from(has_work));
        let states = |group: u32| self.states.get(group as usize).filter(|_| group == 0 || now > ms(1_000));
        for proxy in self.scheduler.take_idle_proxies(now, states) {
            self.digest.number(proxy.0);
        }
    }

    fn end_job(&mut self) {
        let id = format!("job-{}", self.random.random_range(0..self.job_count.max(1)));
        for state in &mut self.states {
            apply(state, self.now_ms, Change::EndJob { job: id.clone() });
        }
        self.scheduler.remove_job(&id);
    }

    fn step(&mut self) {
        self.now_ms += self.random.random_range(0..80);
        match self.random.random_range(0..40) {
            0..4 => self.add_job(),
            4..14 => self.lease_items(),
            14..22 => self.finish_item(),
            22..26 => self.return_item(),
            26..28 => self.report_leases(),
            28..32 => self.renew_leases(),
            32 => self.take_expired_items(),
            33 => self.take_idle_proxies(),
            34 => self.end_job(),
            35 => {
                let proxy = self.random_proxy();
                self.scheduler.mark_proxy_connected(proxy);
            }
            36 => {
                let proxy = self.random_proxy();
                self.scheduler.mark_proxy_disconnected(proxy);
            }
            37 => {
                let group = self.random_store_group();
                self.start_term(group);
            }
            38 => {
                if let Some((_, lease, _, index)) = self.random_granted_item() {
                    self.scheduler.reject_result(&lease.job, index);
                }
            }
            _ => self.scheduler.expire_leases(self.now()),
        }
        self.digest.number(self.scheduler.job_count() as u64);
        self.digest.number(self.scheduler.leased_item_count() as u64);
    }
}

#[rstest]
fn decisions_match_the_approved_digests() {
    let lines = (1..=12).map(|seed| {
        let mut run = Run::new(seed);
        (0..PROXY_COUNT).for_each(|proxy| run.scheduler.mark_proxy_connected(ProxyId(proxy)));
        (0..STORE_GROUPS).for_each(|group| run.start_term(group));
        (0..4_000).for_each(|_| run.step());
        format!("{seed} {:016x} {} {}", run.digest.finish(), run.granted.len(), run.job_count)
    });
    approve("decisions.txt", &lines.collect::<Vec<_>>());
}
