//! Many clients and transcribers in trouble: every answer is its caller's own, and what can't be repeated runs once.

mod support;

use rstest::rstest;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use support::client::Client;
use support::transcriber::{Act, Reply, answer, not_executed, success};
use support::{Rig, get, post, run};

const CLIENTS: usize = 8;
const REQUESTS_EACH: usize = 50;
const TRANSCRIBERS: usize = 4;

/// What a transcriber does with one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Deed {
    Answers,
    /// And answers again.
    AnswersTwice,
    /// And answers again when the connection has been found free of surplus bytes, perhaps.
    AnswersTwiceLate,
    /// And sends what belongs to another request.
    SendsAnothersAnswer,
    AnswersAnother,
    Resets,
    Closes,
    CutsTheBody,
    PromisesWithoutProof,
    Fails,
    /// It is full and says so.
    TurnsAway,
}

const TROUBLES: [Deed; 10] = [
    Deed::AnswersTwice,
    Deed::AnswersTwiceLate,
    Deed::SendsAnothersAnswer,
    Deed::AnswersAnother,
    Deed::Resets,
    Deed::Closes,
    Deed::CutsTheBody,
    Deed::PromisesWithoutProof,
    Deed::Fails,
    Deed::TurnsAway,
];

/// An answer to another request, as long as any.
const ANOTHERS: &str =
    "HTTP/1.1 200 OK\r\nRequest-Id: none\r\nResponse-Seal: s\r\nContent-Length: 8\r\n\r\nfor none";

impl Deed {
    /// Ids are four bytes long, as their place is in these texts.
    fn reply(self) -> Reply {
        let proper = || success("for {id}");
        let anothers = || Act::Write(ANOTHERS.to_owned());
        match self {
            Deed::Answers => proper(),
            Deed::AnswersTwice => [proper(), proper()].concat(),
            Deed::AnswersTwiceLate => {
                [proper(), vec![Act::Pause(Duration::from_millis(2))], proper()].concat()
            }
            Deed::SendsAnothersAnswer => [proper(), vec![anothers()]].concat(),
            Deed::AnswersAnother => vec![anothers()],
            Deed::Resets => vec![Act::Reset],
            Deed::Closes => vec![Act::Close],
            Deed::CutsTheBody => vec![
                Act::Write(
                    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\nContent-Length: 8\r\n\r\nfor"
                        .to_owned(),
                ),
                Act::Close,
            ],
            Deed::PromisesWithoutProof => answer("503 Service Unavailable", &["Response-Seal: s"], ""),
            Deed::Fails => answer("500 Internal Server Error", &["Response-Seal: s"], "no"),
            Deed::TurnsAway => not_executed("503 Service Unavailable"),
        }
    }
}

/// Deeds in the order in which requests reach any transcriber: half of them proper.
fn deeds(seed: u64) -> Vec<Deed> {
    let mut state = seed;
    let mut next = || {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        usize::try_from(state >> 40).unwrap()
    };
    let most = CLIENTS * REQUESTS_EACH * TRANSCRIBERS;
    (0..most)
        .map(|_| match next() % 2 {
            0 => Deed::Answers,
            _ => TROUBLES[next() % TROUBLES.len()],
        })
        .collect()
}

fn is_unrepeatable(number: usize) -> bool {
    number.is_multiple_of(2)
}

/// Sends requests one after the other; the status of each answer.
async fn play(rig: Rc<Rig>, client: usize, statuses: Rc<RefCell<BTreeMap<String, u16>>>) {
    let mut connection: Option<Client> = None;
    for number in 0..REQUESTS_EACH {
        let id = format!("{client}{number:03}");
        let request = match is_unrepeatable(number) {
            true => post("/orders/1", &id, "x"),
            false => get("/pages/1", &id),
        };
        let mut open = match connection.take() {
            Some(open) => open,
            None => rig.connect().await,
        };
        open.write(&request).await;
        let received = open.answer().await;
        let status = received.split(' ').nth(1).and_then(|status| status.parse().ok());
        let status: u16 = status.unwrap_or_else(|| panic!("{id}: {received}"));
        if status == 200 {
            let is_own = received.contains(&format!("request-id: {id}\n"));
            assert!(is_own && received.ends_with(&format!("for {id}")), "{id} got {received}");
        } else {
            assert!(!received.contains("for "), "{id} got {received}");
        }
        statuses.borrow_mut().insert(id, status);
        if !received.to_lowercase().contains("connection: close") {
            connection = Some(open);
        }
    }
}

#[rstest]
fn every_answer_is_its_callers_and_what_can_not_be_repeated_runs_once(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    run(async move {
        let deeds = deeds(seed);
        let replies = deeds.iter().map(|deed| deed.reply()).collect();
        let rig = Rc::new(Rig::start(TRANSCRIBERS, replies).await);
        let statuses = Rc::new(RefCell::new(BTreeMap::new()));
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| tokio::task::spawn_local(play(rig.clone(), client, statuses.clone())))
            .collect();
        for client in clients {
            client.await.unwrap();
        }
        let mut runs: BTreeMap<String, usize> = BTreeMap::new();
        for (line, deed) in rig.log().lines().zip(&deeds) {
            let id = line.split("request-id=").nth(1).and_then(|rest| rest.split(' ').next()).unwrap();
            *runs.entry(id.to_owned()).or_default() += usize::from(*deed != Deed::TurnsAway);
        }
        let statuses = statuses.borrow();
        assert_eq!(statuses.len(), CLIENTS * REQUESTS_EACH);
        for (id, status) in statuses.iter() {
            let number: usize = id[1..].parse().unwrap();
            let times = runs.get(id).copied().unwrap_or(0);
            assert!(!is_unrepeatable(number) || times <= 1, "{id} ran {times} times");
            assert!(![429, 503].contains(status) || times == 0, "{id} ran, and was answered {status}");
        }
        let served = statuses.values().filter(|status| **status == 200).count();
        assert!(served * 2 > statuses.len(), "{served} of {} were served", statuses.len());
    });
}
