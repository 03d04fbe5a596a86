//! Items that cannot be sent hold no place that other items need.

use crate::scheduling_store::SchedulingStore;
use crate::support::{
    FakeStore, LAST_CHUNK, Reply, RunnerUnderTest, SeenRequest, Transcribers, empty_response, events, lease,
    leased, load_report, run_within, stream_head,
};
use pebblepost_batch_runner::random::Random;
use pebblepost_messages::batch::{
    FromStore, Item, Job, JobTerms, ResultState, Scorer, ToStore, UnsendableItems, WorkLease,
};
use pebblepost_messages::feed::{ConfigurationUpdate, FeedUpdate, ModelVersion};
use rstest::rstest;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Configuration with a route for either job and, in place of `GONE`, further routes.
const CONFIGURATION: &str = r#"{"generation":GENERATION,"routes":[GONE
 {"name":"r-free","hostname":"h.example","path_prefix":"/free/","kind":"rollout","timeout_ms":6000,
  "target_latency_ms":500,"priority":1,"backend":"models","max_attempts":2,"queue_ttl_s":60},
 {"name":"r-blocked","hostname":"h.example","path_prefix":"/blocked/","kind":"rollout","timeout_ms":6000,
  "target_latency_ms":500,"priority":1,"backend":"others","max_attempts":2,"queue_ttl_s":60},
 {"name":"r-score","hostname":"h.example","path_prefix":"/score/","kind":"idempotent","timeout_ms":1500,
  "target_latency_ms":150,"priority":2,"backend":"scorers","max_attempts":2}],
 "services":[{"name":"models","health_path":"/healthz","max_conns":150},
  {"name":"others","health_path":"/healthz","max_conns":150},
  {"name":"scorers","health_path":"/healthz","max_conns":150}]}"#;
const GONE_ROUTES: &str = r#"{"name":"r-gone","hostname":"h.example","path_prefix":"/gone/","kind":"rollout",
  "timeout_ms":6000,"target_latency_ms":500,"priority":1,"backend":"others","max_attempts":2,"queue_ttl_s":60},
 {"name":"r-gone-score","hostname":"h.example","path_prefix":"/gone-score/","kind":"idempotent","timeout_ms":1500,
  "target_latency_ms":150,"priority":2,"backend":"scorers","max_attempts":2},"#;
/// Items of the job that cannot be sent, and that is due first. They are more than a proxy runs at a time.
const BLOCKED_ITEMS: usize = 160;
const FREE_ITEMS: usize = 40;
/// Time within which an item must be at a transcriber if there is room ("LOST" in the rules).
const MAX_TIME_AT_NO_TRANSCRIBER: Duration = Duration::from_secs(5);
/// Limit of the items that are leased in vain, a second.
const MAX_LEASES_PER_S: usize = 60;

/// Why the items of the blocked job cannot be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Obstacle {
    NoRoute,
    NoTranscriber,
    NoVersion,
    Full,
    Rejected,
    NoScorer,
    NoScorerRoute,
    SilentScorer,
}

impl Obstacle {
    /// Returns whether the texts can be generated, but not scored.
    fn is_of_scorer(self) -> bool {
        matches!(self, Obstacle::NoScorer | Obstacle::NoScorerRoute | Obstacle::SilentScorer)
    }
}

fn document(generation: u64, has_gone_routes: bool) -> String {
    let gone = if has_gone_routes { GONE_ROUTES } else { "" };
    CONFIGURATION.replace("GENERATION", &generation.to_string()).replace("GONE", gone)
}

fn job(id: &str, path: &str, items: usize, run_deadline_ms: u64) -> Job {
    let items = (0..items).map(|index| Item {
        id: format!("{id}-{index}"),
        path: format!("{path}{index}"),
        headers: vec![("model".to_owned(), "daka".to_owned())],
        body: b"prompt".to_vec(),
        group: format!("g{}", index / 4),
        ..Item::default()
    });
    let terms = JobTerms {
        hostname: "h.example".to_owned(),
        run_deadline_ms,
        queue_ttl_ms: 60_000,
        max_attempts: 2,
        priority: 1,
        ..JobTerms::default()
    };
    Job {
        id: id.to_owned(),
        terms,
        model: "daka".to_owned(),
        min_version: 1,
        items: items.collect(),
        ..Job::default()
    }
}

/// Returns the job whose items cannot be sent. It is due before the other one.
fn blocked_job(obstacle: Obstacle) -> Job {
    let path = match obstacle {
        Obstacle::NoRoute => "/gone/",
        _ if obstacle.is_of_scorer() => "/free/",
        _ => "/blocked/",
    };
    let mut job = job("blocked", path, BLOCKED_ITEMS, 11_000);
    job.min_version = if obstacle == Obstacle::NoVersion { 2 } else { 1 };
    if obstacle.is_of_scorer() {
        let path = if obstacle == Obstacle::NoScorerRoute { "/gone-score/1" } else { "/score/1" };
        job.items.iter_mut().for_each(|item| {
            item.scorer = Some(Scorer {
                id: format!("s-{}", item.id),
                hostname: "h.example".to_owned(),
                path: path.to_owned(),
                body: b"judge".to_vec(),
            });
        });
    }
    job
}

fn is_report(seen: &SeenRequest) -> bool {
    seen.text.starts_with("GET /report")
}

fn id(seen: &SeenRequest) -> &str {
    seen.header("request-id").unwrap()
}

/// Answers with the events of a text of three that follow the last event stated in the request.
fn remaining_events(seen: &SeenRequest, version: u64) -> Reply {
    let last: u64 = seen.header("last-event-id").map_or(0, |last| last.parse().unwrap());
    Reply::Write([stream_head(id(seen), version), events(last + 1, 3), LAST_CHUNK.to_vec()].concat())
}

/// Answers as a transcriber without load.
fn idle(seen: &SeenRequest) -> Reply {
    if is_report(seen) { Reply::Write(load_report(1, 0)) } else { remaining_events(seen, 1) }
}

/// A runner with transcribers of all services, of which those of the blocked job have an obstacle until it is cleared.
struct Setup {
    under_test: RunnerUnderTest,
    transcribers: Transcribers,
    obstacle: Obstacle,
    is_cleared: Rc<Cell<bool>>,
}

impl Setup {
    async fn new(obstacle: Obstacle) -> Setup {
        let under_test = RunnerUnderTest::start_with(&document(7, false), Random::seeded(1));
        let (transcribers, _) = Transcribers::new();
        let setup = Setup { under_test, transcribers, obstacle, is_cleared: Rc::default() };
        if obstacle == Obstacle::NoVersion {
            let named = ModelVersion { model: "daka".to_owned(), generation: 2 };
            setup.under_test.apply(FeedUpdate::NamedVersions(vec![named]));
        }
        let models = setup.transcribers.start("models-1", idle).await;
        setup.under_test.announce_ready("models-1", "models", models);
        if obstacle != Obstacle::NoTranscriber {
            setup.announce_others().await;
        }
        if obstacle != Obstacle::NoScorer {
            setup.announce_scorer().await;
        }
        setup
    }

    async fn announce_others(&self) {
        let (obstacle, is_cleared) = (self.obstacle, self.is_cleared.clone());
        let answer = move |seen: &SeenRequest| {
            let version = if is_cleared.get() { 2 } else { 1 };
            let is_full = obstacle == Obstacle::Full && !is_cleared.get();
            match is_report(seen) {
                true => Reply::Write(load_report(version, if is_full { 16 } else { 0 })),
                false if obstacle == Obstacle::Rejected && !is_cleared.get() => {
                    Reply::Write(empty_response(503, id(seen), "not-executed: 1\r\n"))
                }
                false => remaining_events(seen, version),
            }
        };
        let address = self.transcribers.start("others-1", answer).await;
        self.under_test.announce_ready("others-1", "others", address);
    }

    async fn announce_scorer(&self) {
        let (obstacle, is_cleared) = (self.obstacle, self.is_cleared.clone());
        let answer = move |seen: &SeenRequest| match is_report(seen) {
            true => Reply::Write(load_report(1, 0)),
            false if obstacle == Obstacle::SilentScorer && !is_cleared.get() => {
                Reply::WriteAndHang(Vec::new())
            }
            false => Reply::Write(empty_response(200, id(seen), "response-seal: seal\r\n")),
        };
        let address = self.transcribers.start("scorer-1", answer).await;
        self.under_test.announce_ready("scorer-1", "scorers", address);
    }

    /// Clears the obstacle.
    async fn clear(&self) {
        self.is_cleared.set(true);
        match self.obstacle {
            Obstacle::NoRoute | Obstacle::NoScorerRoute => {
                let document = document(8, true).into_bytes();
                let update = ConfigurationUpdate::Full { generation: 8, document };
                self.under_test.apply(FeedUpdate::Configuration(update));
            }
            Obstacle::NoTranscriber => self.announce_others().await,
            Obstacle::NoScorer => self.announce_scorer().await,
            // The transcribers report the change themselves, or behave differently from now on.
            Obstacle::NoVersion | Obstacle::Full | Obstacle::Rejected | Obstacle::SilentScorer => {}
        }
    }
}

/// Guards against: a step of one trainer stands still while the items of another job, which cannot be sent, hold all
/// places of the proxy (`docs/incidents/a-step-behind-a-removed-route.md`). Once they can be sent, they are.
#[rstest]
#[case::without_a_route(Obstacle::NoRoute)]
#[case::without_a_transcriber(Obstacle::NoTranscriber)]
#[case::of_a_version_that_nobody_holds(Obstacle::NoVersion)]
#[case::whose_transcribers_are_full(Obstacle::Full)]
#[case::that_are_rejected(Obstacle::Rejected)]
#[case::without_a_scorer(Obstacle::NoScorer)]
#[case::without_a_route_to_the_scorer(Obstacle::NoScorerRoute)]
#[case::whose_scorer_is_silent(Obstacle::SilentScorer)]
fn items_that_cannot_be_sent_hold_no_place_that_others_need(#[case] obstacle: Obstacle) {
    run_within(Duration::from_secs(40), async {
        let setup = Setup::new(obstacle).await;
        let mut fake = FakeStore::start();
        setup.under_test.set_primary(fake.address, 1);
        let jobs = vec![blocked_job(obstacle), job("free", "/free/", FREE_ITEMS, 12_000)];
        let store = SchedulingStore::start(&mut fake, 0, jobs).await;
        let is_free = store.completes("free", FREE_ITEMS, MAX_TIME_AT_NO_TRANSCRIBER).await;
        let completed = store.results("free", ResultState::Completed);
        assert!(is_free, "{completed} of {FREE_ITEMS} items of the other job were completed");
        assert_eq!(store.results("blocked", ResultState::Completed), 0);

        // While nothing can be sent, little is leased.
        let leased = store.leased();
        sleep(Duration::from_secs(2)).await;
        let in_vain = store.leased() - leased;
        assert!(in_vain <= 2 * MAX_LEASES_PER_S, "{in_vain} items were leased in vain");

        setup.clear().await;
        let is_done = store.completes("blocked", BLOCKED_ITEMS, 2 * MAX_TIME_AT_NO_TRANSCRIBER).await;
        let completed = store.results("blocked", ResultState::Completed);
        assert!(is_done, "{completed} of {BLOCKED_ITEMS} items were completed once they could be sent");
        assert_eq!(store.results("blocked", ResultState::DeadLetter), 0);
    });
}

/// Guards against: the same by items whose store is silent, so that nothing of theirs may be sent.
#[rstest]
fn items_under_an_expired_lease_hold_no_place_that_others_need() {
    run_within(Duration::from_secs(40), async {
        let under_test = RunnerUnderTest::start_with(&document(7, false), Random::seeded(1));
        let (transcribers, _) = Transcribers::new();
        let is_released = Rc::new(Cell::new(false));
        let released = is_released.clone();
        // Texts of the first job begin, and go on only later.
        let answer = move |seen: &SeenRequest| match id_or_report(seen) {
            Some(id) if id.starts_with("blocked") && !released.get() => {
                Reply::WriteAndHang([stream_head(id, 1), events(1, 1)].concat())
            }
            _ => idle(seen),
        };
        let models = transcribers.start("models-1", answer).await;
        under_test.announce_ready("models-1", "models", models);
        let (mut first, mut second) = (FakeStore::start(), FakeStore::start());
        let (first_address, second_address) = (first.address, second.address);
        under_test.set_primaries(1, |group| if group == 0 { first_address } else { second_address });
        let blocked = job("blocked", "/free/", 10, 11_000);
        let first = SchedulingStore::start(&mut first, 0, vec![blocked]).await;
        while first.leased() < 10 {
            sleep(Duration::from_millis(10)).await;
        }
        sleep(Duration::from_millis(200)).await;
        first.set_frozen(true);
        let free = job("free", "/free/", FREE_ITEMS, 12_000);
        let second = SchedulingStore::start(&mut second, 1, vec![free]).await;
        // The attempts and the lease of the first job end after 1.5 s.
        let within = Duration::from_millis(1_700) + MAX_TIME_AT_NO_TRANSCRIBER;
        let is_free = second.completes("free", FREE_ITEMS, within).await;
        let completed = second.results("free", ResultState::Completed);
        assert!(is_free, "{completed} of {FREE_ITEMS} items of the other job were completed");
        is_released.set(true);
    });
}

/// Guards against: a proxy that looks for a transcriber, and leaves items out, for a job whose end it was not told because
/// the link was lost.
#[rstest]
fn blocked_items_are_forgotten_with_the_link_to_their_store() {
    run_within(Duration::from_secs(20), async {
        let setup = Setup::new(Obstacle::NoVersion).await;
        let mut fake = FakeStore::start();
        setup.under_test.set_primary(fake.address, 1);
        let (mut end, _) = fake.accept().await;
        let mut item = leased("a", false);
        item.item.path = "/blocked/0".to_owned();
        let lease = WorkLease { min_version: 2, ..lease(vec![item], false) };
        end.grant_work(vec![lease]).await;
        let blocked = loop {
            match end.next().await {
                ToStore::RequestSendableWork { unsendable, .. } => break unsendable,
                ToStore::RequestWork { .. } => drop(end.sender.send(&FromStore::Work(Vec::new()))),
                ToStore::Outcomes { .. } => drop(end.sender.send(&FromStore::WorkAvailable)),
                _ => {}
            }
        };
        assert_eq!(blocked, [UnsendableItems { job: "job".to_owned(), path_prefix: "/blocked/".to_owned() }]);
        end.sender.close();
        let (mut end, _) = fake.accept().await;
        end.grant_work(Vec::new()).await;
    });
}

fn id_or_report(seen: &SeenRequest) -> Option<&str> {
    if is_report(seen) { None } else { Some(id(seen)) }
}
