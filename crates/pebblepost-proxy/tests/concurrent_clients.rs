//! Concurrent clients with faulty transcribers: every response reaches its own client, and a request that
//! is not idempotent runs at most once.

#[expect(dead_code, reason = "each test program uses a part of the support")]
mod support;

use rstest::rstest;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use support::client::Client;
use support::transcriber::{Reply, Step, not_executed, response, success};
use support::{ProxyFixture, get, post, run};

const CLIENTS: usize = 8;
const REQUESTS_PER_CLIENT: usize = 50;
const TRANSCRIBERS: usize = 4;

/// Behaviour of a transcriber on one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behaviour {
    Responds,
    /// Sends the response twice in a row.
    RespondsTwice,
    /// Sends the response again after a pause, possibly after the proxy checked the connection for surplus
    /// bytes.
    RespondsTwiceLate,
    /// Sends the response, then a response to another request.
    AppendsForeignResponse,
    RespondsToAnotherRequest,
    Resets,
    Closes,
    CutsBody,
    ClaimsNotExecutedWithoutProof,
    Fails,
    /// Rejects the request as overloaded, with `Not-Executed`.
    RejectsAsFull,
}

const FAULTS: [Behaviour; 10] = [
    Behaviour::RespondsTwice,
    Behaviour::RespondsTwiceLate,
    Behaviour::AppendsForeignResponse,
    Behaviour::RespondsToAnotherRequest,
    Behaviour::Resets,
    Behaviour::Closes,
    Behaviour::CutsBody,
    Behaviour::ClaimsNotExecutedWithoutProof,
    Behaviour::Fails,
    Behaviour::RejectsAsFull,
];

/// Response to another request, of the same length as a correct one.
const FOREIGN_RESPONSE: &str =
    "HTTP/1.1 200 OK\r\nRequest-Id: none\r\nResponse-Seal: s\r\nContent-Length: 8\r\n\r\nfor none";

impl Behaviour {
    /// Steps of the reply. Request ids are four bytes long, like the placeholder `{id}`, so that the lengths
    /// of these texts are right.
    fn reply(self) -> Reply {
        let correct = || success("for {id}");
        let foreign = || Step::Write(FOREIGN_RESPONSE.to_owned());
        match self {
            Behaviour::Responds => correct(),
            Behaviour::RespondsTwice => [correct(), correct()].concat(),
            Behaviour::RespondsTwiceLate => {
                [correct(), vec![Step::Pause(Duration::from_millis(2))], correct()].concat()
            }
            Behaviour::AppendsForeignResponse => [correct(), vec![foreign()]].concat(),
            Behaviour::RespondsToAnotherRequest => vec![foreign()],
            Behaviour::Resets => vec![Step::Reset],
            Behaviour::Closes => vec![Step::Close],
            Behaviour::CutsBody => vec![
                Step::Write(
                    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\nContent-Length: 8\r\n\r\nfor"
                        .to_owned(),
                ),
                Step::Close,
            ],
            Behaviour::ClaimsNotExecutedWithoutProof => {
                response("503 Service Unavailable", &["Response-Seal: s"], "")
            }
            Behaviour::Fails => response("500 Internal Server Error", &["Response-Seal: s"], "no"),
            Behaviour::RejectsAsFull => not_executed("503 Service Unavailable"),
        }
    }
}

/// Returns behaviours in the order in which requests reach the transcribers; about half are correct.
fn behaviours(seed: u64) -> Vec<Behaviour> {
    let mut state = seed;
    let mut next = || {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        usize::try_from(state >> 40).expect("24 bits")
    };
    let most = CLIENTS * REQUESTS_PER_CLIENT * TRANSCRIBERS;
    (0..most)
        .map(|_| match next() % 2 {
            0 => Behaviour::Responds,
            _ => FAULTS[next() % FAULTS.len()],
        })
        .collect()
}

fn is_non_idempotent(number: usize) -> bool {
    number.is_multiple_of(2)
}

/// Sends requests one after the other, checks each response, and records its status.
async fn run_client(fixture: Rc<ProxyFixture>, client: usize, statuses: Rc<RefCell<BTreeMap<String, u16>>>) {
    let mut connection: Option<Client> = None;
    for number in 0..REQUESTS_PER_CLIENT {
        let id = format!("{client}{number:03}");
        let request = match is_non_idempotent(number) {
            true => post("/orders/1", &id, "x"),
            false => get("/pages/1", &id),
        };
        let mut open = match connection.take() {
            Some(open) => open,
            None => fixture.connect().await,
        };
        open.write(&request).await;
        let received = open.response().await;
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
fn responses_reach_their_clients_and_non_idempotent_requests_run_at_most_once(
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
) {
    run(async move {
        let behaviours = behaviours(seed);
        let replies = behaviours.iter().map(|behaviour| behaviour.reply()).collect();
        let fixture = Rc::new(ProxyFixture::start(TRANSCRIBERS, replies).await);
        let statuses = Rc::new(RefCell::new(BTreeMap::new()));
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| tokio::task::spawn_local(run_client(fixture.clone(), client, statuses.clone())))
            .collect();
        for client in clients {
            client.await.unwrap();
        }
        let mut runs: BTreeMap<String, usize> = BTreeMap::new();
        for (line, behaviour) in fixture.log().lines().zip(&behaviours) {
            let id = line.split("request-id=").nth(1).and_then(|rest| rest.split(' ').next()).unwrap();
            *runs.entry(id.to_owned()).or_default() += usize::from(*behaviour != Behaviour::RejectsAsFull);
        }
        let statuses = statuses.borrow();
        assert_eq!(statuses.len(), CLIENTS * REQUESTS_PER_CLIENT);
        for (id, status) in statuses.iter() {
            let number: usize = id[1..].parse().unwrap();
            let times = runs.get(id).copied().unwrap_or(0);
            assert!(!is_non_idempotent(number) || times <= 1, "{id} ran {times} times");
            assert!(![429, 503].contains(status) || times == 0, "{id} ran, and was answered {status}");
        }
        let served = statuses.values().filter(|status| **status == 200).count();
        assert!(served * 2 > statuses.len(), "{served} of {} were served", statuses.len());
    });
}
