//! A store that keeps jobs and leases their items with the scheduler of the batch store.

use crate::support::{FakeStore, StoreEnd};
use pebblepost_batch::clock::GroupClock;
use pebblepost_batch::command::{Change, Command, JobResults};
use pebblepost_batch::scheduler::{ItemProgress, LeaseReference, ProxyId, Scheduler, WorkRequest};
use pebblepost_batch::state::BatchState;
use pebblepost_messages::batch::{FromStore, ItemOutcome, Job, ResultState, ToStore, UnsendableItems};
use pebblepost_replication::replica::StateMachine;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Epoch of the store group.
const EPOCH: u64 = 1;
/// The only proxy.
const PROXY: ProxyId = ProxyId(1);
/// Interval of lease renewal and of notices about work.
const TICK: Duration = Duration::from_millis(50);

/// State that the task of the store and the test share.
struct Shared {
    store_group: u32,
    state: RefCell<BatchState>,
    scheduler: RefCell<Scheduler>,
    /// Number of items leased so far, returned ones counted again.
    leased: Cell<usize>,
    /// Whether the store neither answers nor renews.
    is_frozen: Cell<bool>,
    started_at: Instant,
}

/// A store of jobs.
pub struct SchedulingStore(Rc<Shared>);

impl SchedulingStore {
    /// Accepts the link of a runner and serves it from then on, as primary of a store group with these jobs.
    pub async fn start(fake: &mut FakeStore, store_group: u32, jobs: Vec<Job>) -> SchedulingStore {
        let (end, _) = fake.accept().await;
        let mut scheduler = Scheduler::default();
        scheduler.mark_proxy_connected(PROXY);
        let clock = GroupClock::default();
        scheduler.start_term(Duration::ZERO, store_group, EPOCH, &clock, &BatchState::default());
        let shared = Rc::new(Shared {
            store_group,
            state: RefCell::default(),
            scheduler: RefCell::new(scheduler),
            leased: Cell::default(),
            is_frozen: Cell::default(),
            started_at: Instant::now(),
        });
        jobs.into_iter().for_each(|job| shared.add(job));
        tokio::task::spawn_local(shared.clone().serve(end));
        SchedulingStore(shared)
    }

    /// Makes the store silent, or answer again.
    pub fn set_frozen(&self, is_frozen: bool) {
        self.0.is_frozen.set(is_frozen);
    }

    /// Returns the number of items that were leased, returned ones counted again.
    pub fn leased(&self) -> usize {
        self.0.leased.get()
    }

    /// Returns the number of results of a job that are in this state.
    pub fn results(&self, job: &str, state: ResultState) -> usize {
        let stored = self.0.state.borrow();
        let results = stored.job(job).map_or(&[][..], |job| job.results());
        results.iter().filter(|result| result.state == state).count()
    }

    /// Waits until a job has this number of completed items. Returns whether it has within the time.
    pub async fn completes(&self, job: &str, items: usize, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until && self.results(job, ResultState::Completed) < items {
            sleep(Duration::from_millis(10)).await;
        }
        self.results(job, ResultState::Completed) >= items
    }
}

impl Shared {
    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn apply(&self, change: Change) {
        let now_ms = u64::try_from(self.now().as_millis()).unwrap_or(u64::MAX);
        self.state.borrow_mut().apply(1, &Command { now_ms, change }.encode());
    }

    fn add(&self, job: Job) {
        let id = job.id.clone();
        self.apply(Change::AddJob(job));
        let state = self.state.borrow();
        let stored = state.job(&id).expect("the job was added");
        self.scheduler.borrow_mut().add_job(self.now(), self.store_group, &GroupClock::default(), stored);
    }

    async fn serve(self: Rc<Self>, mut end: StoreEnd) {
        loop {
            tokio::select! {
                message = end.receive() => {
                    let Some(message) = message else { return };
                    while self.is_frozen.get() {
                        sleep(TICK).await;
                    }
                    self.handle(&end, message);
                }
                () = sleep(TICK) => {}
            }
            if !self.is_frozen.get() {
                self.tick(&end);
            }
        }
    }

    fn handle(&self, end: &StoreEnd, message: ToStore) {
        match message {
            ToStore::KeepAlive => drop(end.sender.send(&FromStore::KeepAlive)),
            ToStore::RequestWork { max_items } => self.lease(end, max_items, Vec::new()),
            ToStore::RequestSendableWork { max_items, unsendable } => self.lease(end, max_items, unsendable),
            ToStore::Outcomes { job, lease, outcomes, .. } => {
                outcomes.into_iter().for_each(|outcome| self.record(&job, lease, outcome));
            }
            _ => {}
        }
    }

    fn lease(&self, end: &StoreEnd, max_items: u32, unsendable: Vec<UnsendableItems>) {
        let request = WorkRequest { max_items: max_items as usize, unsendable };
        let state = self.state.borrow();
        let leases = self.scheduler.borrow_mut().lease_items(self.now(), PROXY, &request, |_| Some(&*state));
        let items: usize = leases.iter().map(|lease| lease.items.len()).sum();
        self.leased.set(self.leased.get() + items);
        end.sender.send(&FromStore::Work(leases));
    }

    fn record(&self, job: &str, lease: u64, outcome: ItemOutcome) {
        let id = match &outcome {
            ItemOutcome::Finished(result) => &result.id,
            ItemOutcome::Returned { id, .. } => id,
        };
        let Some(index) = self.state.borrow().job(job).and_then(|stored| stored.pending_index(id)) else {
            return;
        };
        match outcome {
            ItemOutcome::Finished(result) => {
                self.scheduler.borrow_mut().finish_item(job, index);
                let results = JobResults { job: job.to_owned(), results: vec![result] };
                self.apply(Change::AppendResults(vec![results]));
            }
            ItemOutcome::Returned { failed_attempts, failed_scorer_attempts, partial, .. } => {
                let lease = LeaseReference { proxy: PROXY, number: lease };
                let progress = ItemProgress { failed_attempts, failed_scorer_attempts, partial };
                self.scheduler.borrow_mut().return_item(lease, job, index, progress);
            }
        }
    }

    fn tick(&self, end: &StoreEnd) {
        let now = self.now();
        let mut scheduler = self.scheduler.borrow_mut();
        scheduler.renew_leases(now, |_| true);
        end.sender.send(&FromStore::Renew { groups: vec![(self.store_group, EPOCH)] });
        let state = self.state.borrow();
        if !scheduler.take_idle_proxies(now, |_| Some(&*state)).is_empty() {
            end.sender.send(&FromStore::WorkAvailable);
        }
    }
}
