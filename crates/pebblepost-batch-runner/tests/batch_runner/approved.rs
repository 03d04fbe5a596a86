//! Compares digests of decisions and of whole seeded runs, and the messages and responses of a runner, with
//! approved values.

use crate::support::{
    FakeStore, LAST_CHUNK, Reply, RunnerUnderTest, SeenRequest, StoreEnd, Transcribers, body_bytes,
    empty_response, events, lease, leased, load_report, request, run, run_within, stream_head,
};
use nanoserde::SerBin;
use pebblepost_batch_runner::BatchRunner;
use pebblepost_batch_runner::execution::priority::priority;
use pebblepost_batch_runner::item_progress::ItemProgress;
use pebblepost_batch_runner::lease_table::{LeaseStatus, LeaseTable};
use pebblepost_batch_runner::load_table::{LoadTable, REPORT_LAG};
use pebblepost_batch_runner::placement::choice::{ProbedLoad, QueueLimit, choose};
use pebblepost_batch_runner::placement::subset::{self, SubsetSize, rendezvous_hash};
use pebblepost_batch_runner::random::Random;
use pebblepost_batch_runner::text::{GeneratedText, VersionRequirement};
use pebblepost_messages::batch::{
    FromStore, Item, ItemOutcome, LeasedItem, PartialText, ResultState, ToStore, WorkLease,
};
use pebblepost_messages::feed::InstanceState;
use pebblepost_stable_hash::Fnv1a;
use pebblepost_transcriber::{Load, StreamEvent};
use rstest::rstest;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

#[rstest]
#[case::one(1, 0xbee6_f0ff_0fb7_f70f)]
#[case::large(0x9e37_79b9_7f4a_7c15, 0x0909_31cd_6554_f78e)]
fn random_numbers_match_the_approved_digest(#[case] seed: u64, #[case] approved: u64) {
    let random = Random::seeded(seed);
    let mut digest = Fnv1a::default();
    let elements: Vec<u64> = (0..17).collect();
    for round in 0..500 {
        digest.number(random.below(round + 1));
        digest.number(*random.pick(&elements).unwrap());
        let duration =
            random.duration_between(Duration::from_millis(round), Duration::from_millis(2 * round));
        digest.number(u64::try_from(duration.as_nanos()).unwrap());
    }
    assert!(random.pick::<u64>(&[]).is_none());
    digest.number(random.below(u64::MAX));
    assert_eq!(digest.finish(), approved, "{:#x}", digest.finish());
}

#[rstest]
#[case::one(1, 0xc532_112e_c497_2e28)]
#[case::large(0x9e37_79b9_7f4a_7c15, 0x9f4d_7670_8fbf_3c4b)]
fn placement_choices_match_the_approved_digest(#[case] seed: u64, #[case] approved: u64) {
    let random = Random::seeded(seed);
    let mut digest = Fnv1a::default();
    for _ in 0..5000 {
        let draw = |_| {
            let slots = u32::try_from(random.below(12)).unwrap();
            ProbedLoad { slots, outstanding: u32::try_from(random.below(15)).unwrap() }
        };
        let probed: Vec<ProbedLoad> = (0..random.below(4)).map(draw).collect();
        let items = 1 + u32::try_from(random.below(16)).unwrap();
        let queue_limit = match random.below(3) {
            0 => QueueLimit::FreeSlotsOnly,
            1 => QueueLimit::PercentOfSlots(34),
            _ => QueueLimit::PercentOfSlots(50),
        };
        for candidate in &probed {
            digest.number(u64::from(candidate.accepts(items)));
            digest.number(u64::from(candidate.free_slots()));
        }
        match choose(&probed, items, queue_limit, &random) {
            None => digest.number(u64::MAX),
            Some(choice) => {
                digest.number(u64::try_from(choice.index).unwrap());
                digest.number(u64::from(choice.items));
            }
        }
    }
    assert_eq!(digest.finish(), approved, "{:#x}", digest.finish());
}

#[test]
fn subsets_and_priorities_match_the_approved_digest() {
    let mut digest = Fnv1a::default();
    for node in ["edge-1", "edge-2", "a-longer-name-of-a-machine"] {
        for instance in 0..64 {
            digest.number(rendezvous_hash(node, &format!("i-{instance}")));
        }
    }
    for transcribers in [1, 4, 7, 40, 57, 600] {
        for proxies in [0, 1, 3, 40, 300] {
            let first = SubsetSize::new(transcribers, proxies);
            for full_rounds in [0, 2, 3, 7, 20, 21, 22, 400, u32::MAX] {
                let size = first.widened_after(full_rounds);
                for serving in [0, 1, transcribers / 2, transcribers] {
                    let scaled = size.scaled_to_serving(transcribers, serving);
                    let mut retained: Vec<usize> = (0..transcribers).collect();
                    let local =
                        subset::retain_subset(&mut retained, scaled, |index| *index < transcribers / 3);
                    for number in [size.local, size.total, scaled.local, scaled.total, local, retained.len()]
                    {
                        digest.number(u64::try_from(number).unwrap());
                    }
                    retained.iter().for_each(|index| digest.number(u64::try_from(*index).unwrap()));
                }
            }
        }
    }
    for rank in 0..4 {
        for due_ms in [0, 2999, 3000, 5999, 6000, 9000] {
            digest.number(u64::from(priority(rank, Duration::from_millis(due_ms))));
        }
    }
    assert_eq!(digest.finish(), 0x810f_6584_45c7_b6f4, "{:#x}", digest.finish());
}

#[rstest]
#[case::one(1, 0xcd7c_7a90_3113_d84e)]
#[case::large(0x9e37_79b9_7f4a_7c15, 0x7845_58da_b80d_84c6)]
fn load_table_matches_the_approved_digest(#[case] seed: u64, #[case] approved: u64) {
    let random = Random::seeded(seed);
    let start = Instant::now() + 4 * REPORT_LAG;
    let (mut now, mut loads, mut digest) = (start, LoadTable::default(), Fnv1a::default());
    let mut started = Vec::new();
    for _ in 0..4000 {
        now += Duration::from_millis(random.below(120));
        let id = format!("i-{}", random.below(5));
        let load = Load {
            running: u32::try_from(random.below(9)).unwrap(),
            waiting: u32::try_from(random.below(3)).unwrap(),
            load_order_in_progress: random.below(4) == 0,
            models: vec![("m".to_owned(), random.below(6)), ("n".to_owned(), 3)],
            ..Load::default()
        };
        match random.below(9) {
            0 | 1 => {
                loads.start_request(&id, now);
                started.push((id.clone(), now));
            }
            2 | 3 if !started.is_empty() => {
                let index = usize::try_from(random.below(started.len() as u64)).unwrap();
                let (id, at) = started.swap_remove(index);
                loads.end_request(&id, at, now);
            }
            4 => loads.record_report(&id, &load, now),
            5 => loads.record_answer(&id, &load, now),
            6 => loads.invalidate_report(&id),
            7 => loads.eject(&id, now + Duration::from_millis(random.below(900))),
            _ => loads.record_service_without_reports(&id, now),
        }
        if random.below(40) == 0 {
            loads.retain(|known| known != id, now);
        }
        if random.below(10) == 0 {
            loads.last_activity(&id).record(now);
        }
        for index in 0..5 {
            let id = format!("i-{index}");
            digest.number(u64::from(loads.outstanding_requests(&id)));
            digest.number(loads.version(&id, "m").unwrap_or(u64::MAX));
            let is_active = loads.last_activity(&id).is_within(Duration::from_millis(500), now);
            let flags = [
                loads.is_ejected(&id, now),
                loads.is_fresh(&id, true, now),
                loads.is_fresh(&id, false, now),
                loads.is_service_without_reports(&id, now),
                loads.is_executing_load_order(&id),
                is_active,
            ];
            digest.update(&flags.map(u8::from));
        }
    }
    assert_eq!(digest.finish(), approved, "{:#x}", digest.finish());
}

fn random_lease(random: &Random, number: u64) -> WorkLease {
    let leased = |id: u64| LeasedItem {
        item: Item { id: format!("item-{id}"), ..Item::default() },
        ..LeasedItem::default()
    };
    let first = random.below(20);
    WorkLease {
        lease: number,
        store_group: u32::try_from(random.below(3)).unwrap(),
        epoch: random.below(4),
        job: format!("job-{}", random.below(4)),
        items: (first..=first + random.below(4)).map(leased).collect(),
        ..WorkLease::default()
    }
}

fn random_progress(random: &Random) -> ItemProgress {
    let last_event = random.below(5);
    let message = vec![b'x'; usize::try_from(last_event).unwrap()];
    let partial = PartialText { last_event, message, versions: vec![3] };
    let any = VersionRequirement { min_version: 3, single_version: false };
    ItemProgress {
        failed_attempts: u32::try_from(random.below(3)).unwrap(),
        text: GeneratedText::from_partial(partial, any),
        ..ItemProgress::default()
    }
}

#[rstest]
#[case::one(1, 0x60b4_f4ff_e343_e56a)]
#[case::large(0x9e37_79b9_7f4a_7c15, 0xfa39_a193_ab7e_79f9)]
fn lease_table_matches_the_approved_digest(#[case] seed: u64, #[case] approved: u64) {
    let random = Random::seeded(seed);
    let (mut now, mut table, mut digest) = (Instant::now(), LeaseTable::default(), Fnv1a::default());
    let mut keys = Vec::new();
    for number in 0..4000 {
        now += Duration::from_millis(random.below(400));
        match random.below(8) {
            0..=2 => {
                let lease = random_lease(&random, number);
                let progress = lease.items.iter().map(|_| random_progress(&random)).collect();
                match table.add(&lease, progress, now) {
                    None => digest.number(u64::MAX),
                    Some(key) => keys.push((key, lease)),
                }
            }
            3 if !keys.is_empty() => {
                let index = usize::try_from(random.below(keys.len() as u64)).unwrap();
                let (key, lease) = &keys[index];
                let item = &lease.items[0].item.id;
                let finished = table.release(*key, item);
                digest.number(finished.map_or(u64::MAX, |item| {
                    let progress = item.progress.borrow();
                    item.lease * 1000 + progress.text.last_event() * 10 + u64::from(progress.failed_attempts)
                }));
            }
            4 | 5 => {
                for group in 0..3 {
                    table.renew(group, random.below(4), now);
                }
            }
            6 => {
                let group = u32::try_from(random.below(3)).unwrap();
                let announced = table.announce(group, random.below(4));
                digest.update(&ToStore::ActiveLeases(announced).serialize_bin());
            }
            _ if random.below(30) == 0 => table.cancel(&[format!("job-{}", random.below(4))], now),
            _ => digest.number(u64::try_from(table.remove_abandoned(now)).unwrap()),
        }
        for (key, _) in keys.iter().rev().take(12) {
            digest.number(match table.status(*key, now) {
                LeaseStatus::Valid => 0,
                LeaseStatus::Expired => 1,
                LeaseStatus::Ended => 2,
            });
        }
        for group in 0..3 {
            digest.number(u64::from(table.is_renewal_overdue(group, now)));
        }
        digest.number(u64::from(table.is_empty()));
    }
    for item in table.release_all() {
        digest.number(item.lease);
        digest.update(item.item.as_bytes());
    }
    assert_eq!(digest.finish(), approved, "{:#x}", digest.finish());
}

#[rstest]
#[case::single(true, 0x7cdb_1dc4_83d4_31df)]
#[case::any(false, 0x7987_b3fd_d075_18ee)]
fn generated_texts_match_the_approved_digest(#[case] single_version: bool, #[case] approved: u64) {
    let random = Random::seeded(11);
    let terms = VersionRequirement { min_version: 2, single_version };
    let (mut text, mut digest) = (GeneratedText::default(), Fnv1a::default());
    for _ in 0..3000 {
        let is_next = random.below(8) > 0;
        let id = if is_next { text.last_event() + 1 } else { random.below(6) };
        let weight_version = Some(random.below(30)).filter(|version| *version < 4);
        let data = vec![b'a'; usize::try_from(random.below(5)).unwrap()];
        let event = StreamEvent { id, data, weight_version, ..StreamEvent::default() };
        digest.number(match text.append(&event, terms) {
            Ok(()) => 0,
            Err(error) => error as u64 + 1,
        });
        match random.below(40) {
            0 => text.clear(),
            1 => text = GeneratedText::from_partial(text.partial(), terms),
            2 => text = GeneratedText::from_partial(text.partial_before_last_event(), terms),
            3 | 4 => text.start_attempt(Some(2 + random.below(2))),
            _ => {}
        }
        digest.number(u64::from(text.can_resume_under(Some(3), terms)));
        digest.update(&text.partial().serialize_bin());
        digest.update(&text.partial_before_last_event().serialize_bin());
    }
    assert_eq!(digest.finish(), approved, "{:#x}", digest.finish());
}

const WEIGHTED_ROUTE_CONFIGURATION: &str = r#"{"generation":8,"routes":[
 {"name":"r-lots","hostname":"h.example","path_prefix":"/lot/","kind":"rollout","timeout_ms":6000,
  "target_latency_ms":500,"priority":1,"max_attempts":2,"queue_ttl_s":40.0,"run_deadline_ms":4500,
  "single_version":false,
  "traffic_split":[{"backend":"models","weight":3},{"backend":"others","weight":1}]},
 {"name":"r-score","hostname":"h.example","path_prefix":"/score/","kind":"idempotent","timeout_ms":1500,
  "target_latency_ms":150,"priority":2,"backend":"scorers","max_attempts":2}],
 "services":[{"name":"models","health_path":"/healthz","max_conns":150},
  {"name":"others","health_path":"/healthz","max_conns":150},
  {"name":"scorers","health_path":"/healthz","max_conns":96}]}"#;

/// Pauses the runtime's clock and advances it by 1 ms about every real millisecond. The clock must not jump ahead,
/// because the responses that a test waits for arrive over real sockets.
fn advance_clock_in_real_time() {
    tokio::time::pause();
    tokio::task::spawn_local(async {
        loop {
            let step = std::time::Instant::now();
            while step.elapsed() < Duration::from_millis(1) {
                tokio::task::yield_now().await;
            }
            tokio::time::advance(Duration::from_millis(1)).await;
        }
    });
}

/// Returns the handler of a transcriber in a seeded run. Its reports and responses are determined by its index, by
/// the number of its earlier reports and by the item.
fn scripted_transcriber(index: u32, reports: Rc<Cell<u32>>) -> impl FnMut(&SeenRequest) -> Reply + 'static {
    let mut scored = 0;
    move |seen| {
        if seen.text.starts_with("GET /report") {
            reports.set(reports.get() + 1);
            return Reply::Write(load_report(1, (index * 5 + reports.get()) % 11));
        }
        let id = seen.header("request-id").unwrap().to_owned();
        scored += u32::from(id.starts_with("s-"));
        if id.starts_with("s-") && scored % 3 == 0 {
            return Reply::Write(empty_response(503, &id, "not-executed: 1\r\n"));
        }
        if id.starts_with("s-") {
            return Reply::Write(empty_response(200, &id, "response-seal: seal\r\n"));
        }
        let last: u64 = seen.header("last-event-id").map_or(0, |last| last.parse().unwrap());
        match (id.len() as u32 + reports.get()) % 7 {
            0 => Reply::Write(empty_response(503, &id, "not-executed: 1\r\n")),
            1 => Reply::Write(empty_response(421, &id, "")),
            2 if last == 0 => Reply::WriteAndClose([stream_head(&id, 1), events(1, 2)].concat()),
            _ => Reply::Write([stream_head(&id, 1), events(last + 1, 3), LAST_CHUNK.to_vec()].concat()),
        }
    }
}

/// Runs single items, each of which ends before the next starts, and returns all requests and outcomes in order.
async fn transcript(random: Random) -> Vec<String> {
    let (transcribers, _) = Transcribers::recording_reports();
    let mut store = FakeStore::start();
    let under_test = RunnerUnderTest::start_with(WEIGHTED_ROUTE_CONFIGURATION, random);
    under_test.set_primary(store.address, 1);
    let (mut end, _) = store.accept().await;
    for index in 0..14_u32 {
        let id = format!("i-{index}");
        let backend = if index % 7 == 6 {
            "scorers"
        } else if index % 3 == 0 {
            "others"
        } else {
            "models"
        };
        let address = transcribers.start(&id, scripted_transcriber(index, Rc::default())).await;
        let zone = if index % 2 == 0 { "z" } else { "y" };
        under_test.announce_in(zone, &id, backend, address, InstanceState::Ready, 1);
    }
    advance_clock_in_real_time();
    let mut lines = Vec::new();
    for round in 0..40_usize {
        tokio::time::advance(Duration::from_millis(1100)).await;
        end.sender.send(&FromStore::WorkAvailable);
        let name = format!("a{}", "x".repeat(round % 9));
        end.grant_work(vec![lease(vec![leased(&name, round % 3 == 0)], false)]).await;
        let outcomes = end.outcomes().await;
        for seen in transcribers.seen.borrow_mut().drain(..) {
            let is_port = |line: &&str| line.starts_with("host: 127.0.0.1:");
            lines.push(seen.transcriber.clone());
            lines.extend(seen.text.lines().filter(|line| !is_port(line)).map(str::to_owned));
        }
        lines.push(outcomes.serialize_bin().iter().map(|byte| format!("{byte:02x}")).collect());
    }
    lines
}

#[rstest]
#[case::seed_1(1, 0xdee9_8709_0a29_3ee5)]
#[case::seed_2(0x9e37_79b9_7f4a_7c15, 0x818c_f09a_f2b6_2118)]
#[case::seed_3(4711, 0x93b0_ffe2_b320_9846)]
fn seeded_runs_match_the_approved_digest(#[case] seed: u64, #[case] approved: u64) {
    run_within(Duration::from_secs(200), async move {
        let lines = transcript(Random::seeded(seed)).await;
        let mut digest = Fnv1a::default();
        lines.iter().for_each(|line| digest.update(line.as_bytes()));
        assert_eq!(digest.finish(), approved, "{:#x}\n{}", digest.finish(), lines.join("\n"));
    });
}

/// Compares the bytes of each kind of message that a runner sends to a store.
#[test]
fn sent_messages_match_the_approved_bytes() {
    run(async {
        let (transcribers, _) = Transcribers::new();
        let (under_test, mut store) = (RunnerUnderTest::start(false), FakeStore::start());
        under_test.set_primary(store.address, 3);
        let (mut end, announced) = store.accept().await;
        let mut sent = vec![announced];
        let models = transcribers.start("i-1", scripted_transcriber(0, Rc::default())).await;
        under_test.announce_ready("i-1", "models", models);
        sent.push(next_matching(&mut end, |message| matches!(message, ToStore::RequestWork { .. })).await);
        sent.push(submit(&under_test, &mut end).await);
        for (method, path) in
            [("GET", "/lots/job?start_after=12"), ("DELETE", "/lots/job"), ("GET", "/items/job?id=e%205")]
        {
            let request = request(method, path, &[("wait-ms", "0")], "");
            let call = tokio::select! {
                _ = under_test.runner.answer(None, request) => panic!("answered without a reply of the store"),
                call = next_matching(&mut end, is_call) => call,
            };
            sent.push(call);
        }
        let lines: Vec<String> = sent
            .iter()
            .map(|message| message.serialize_bin().iter().map(|byte| format!("{byte:02x}")).collect())
            .collect();
        let approved: Vec<&str> = include_str!("approved_values/messages.txt").lines().collect();
        assert_eq!(lines, approved, "{}", lines.join("\n"));
    });
}

fn is_call(message: &ToStore) -> bool {
    matches!(
        message,
        ToStore::Submit { .. }
            | ToStore::AnnounceJob { .. }
            | ToStore::Read { .. }
            | ToStore::End { .. }
            | ToStore::ItemBody { .. }
    )
}

async fn next_matching(end: &mut StoreEnd, wanted: impl Fn(&ToStore) -> bool) -> ToStore {
    loop {
        let message = end.next().await;
        if wanted(&message) {
            return message;
        }
    }
}

async fn submit(under_test: &RunnerUnderTest, end: &mut StoreEnd) -> ToStore {
    const JOB: &str = r#"{"step":7,"model":"daka","min_version":6,"desired":1,"requests":[
     {"id":"e5","path":"/lot/3","headers":{"Model":"daka"},"body":"aGk=","tokens":9,"group":"g",
      "scorer":{"id":"s5","hostname":"h.example","path":"/score/1","body":"aG8="}}]}"#;
    let configuration = under_test.feed.borrow().configuration().cloned().unwrap();
    let route = configuration.route("h.example", "/lot/1");
    let request = request("POST", "/lot/1", &[("request-id", "job")], JOB);
    tokio::select! {
        _ = under_test.runner.answer(route, request) => panic!("answered without a reply of the store"),
        call = next_matching(end, is_call) => call,
    }
}

#[rstest]
#[case::no_request_id("POST", "/lot/1", &[], "{}", 400, "header `Request-Id` is missing or empty")]
#[case::not_json("POST", "/lot/1", &[("request-id", "j")], "[]", 400, "request body is not a JSON object")]
#[case::bad_start("GET", "/lots/j?start_after=x", &[], "", 400, "query parameter `start_after` is not an unsigned integer")]
#[case::no_item("GET", "/items/j", &[], "", 400, "query parameter `id` is missing or empty")]
#[case::empty_item("GET", "/items/j?id=", &[], "", 400, "query parameter `id` is missing or empty")]
#[case::method_of_a_job("PUT", "/lots/j", &[], "", 405, "")]
#[case::method_of_an_item("DELETE", "/items/j?id=a", &[], "", 405, "")]
#[case::method_of_a_route("GET", "/lot/1", &[], "", 405, "")]
fn rejections_have_the_approved_status_and_text(
    #[case] method: &'static str, #[case] path: &'static str, #[case] headers: &'static [(&str, &str)],
    #[case] body: &'static str, #[case] status: u16, #[case] text: &'static str,
) {
    run(async move {
        let under_test = RunnerUnderTest::start(true);
        let configuration = under_test.feed.borrow().configuration().cloned().unwrap();
        let route = configuration.route("h.example", "/lot/1");
        let answer = under_test.runner.answer(route, request(method, path, headers, body)).await;
        let answered_status = answer.status().as_u16();
        let content_type = answer.headers().get("content-type").map(|value| value.to_str().unwrap());
        assert_eq!(content_type, (!text.is_empty()).then_some("text/plain"));
        assert_eq!(answer.headers().get("retry-after"), None);
        assert_eq!((answered_status, &body_bytes(answer.into_body())[..]), (status, text.as_bytes()));
    });
}

#[test]
fn unknown_paths_are_not_found_and_jobs_without_a_store_unavailable() {
    run(async {
        let under_test = RunnerUnderTest::start(true);
        let answer = under_test.runner.answer(None, request("POST", "/x", &[], "")).await;
        assert_eq!((answer.status().as_u16(), answer.body().remaining_bytes()), (404, 0));
        tokio::time::pause();
        let answer = under_test.runner.answer(None, request("GET", "/lots/j", &[], "")).await;
        assert_eq!((answer.status().as_u16(), answer.body().remaining_bytes()), (503, 0));
        assert_eq!(answer.headers().get("retry-after").unwrap(), "0.060");
        assert!(BatchRunner::is_job_call("/lots/j") && BatchRunner::is_job_call("/items/j"));
        assert!(!BatchRunner::is_job_call("/lots") && !BatchRunner::is_job_call("/lot/1"));
    });
}

/// Checks the names under which the counters are printed for operators.
#[test]
fn metrics_have_the_approved_names() {
    run(async {
        let (transcribers, _) = Transcribers::new();
        let (under_test, mut store) = (RunnerUnderTest::start(false), FakeStore::start());
        under_test.set_primary(store.address, 1);
        let (mut end, _) = store.accept().await;
        assert_eq!(under_test.runner.metrics().to_string(), "");
        let answer = |seen: &SeenRequest| match seen.text.starts_with("GET /report") {
            true => Reply::Write(load_report(1, 0)),
            false => Reply::Write(empty_response(422, seen.header("request-id").unwrap(), "")),
        };
        let models = transcribers.start("i-1", answer).await;
        under_test.announce_ready("i-1", "models", models);
        end.grant_work(vec![lease(vec![leased("a", false)], false)]).await;
        let ToStore::Outcomes { outcomes, .. } = end.outcomes().await else { panic!("no outcomes") };
        let ItemOutcome::Finished(result) = &outcomes[0] else { panic!("item was not finished") };
        assert_eq!(result.state, ResultState::DeadLetter);
        assert_eq!(under_test.runner.metrics().to_string(), "groups_whole=1 runs=1");
    });
}
