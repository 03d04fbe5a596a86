//! When a worker may be switched off: every dispatcher's word, in its present session, about the present drain.

use pebblepost_fleet::command::{Act, Card, Command, RequestId, Role};
use pebblepost_fleet::doing::{Counts, Doing, MAX_BUSY};
use pebblepost_fleet::follow::Follower;
use pebblepost_fleet::reckon::{Because, off, settled, tallies};
use pebblepost_fleet::session::{Sessions, Ttl};
use pebblepost_fleet::sight::{MAX_DIFFERENT, Seen, Sight};
use pebblepost_fleet::state::State;
use pebblepost_fleet::{Budget, Kind, Limit, Name, Op, Subject, Text};
use std::collections::BTreeSet;
use std::time::Duration;

const NOW: Duration = Duration::ZERO;

fn name(text: &str) -> Name {
    text.parse().expect("a sound name")
}

struct Desk {
    state: State,
    heard: Sessions,
    next: u64,
}

impl Desk {
    fn act(&mut self, act: Act) -> u64 {
        self.next += 1;
        let command = Command { id: RequestId(1, self.next), by: name("o"), at_ms: 0, act };
        let done = self.state.apply(&command).expect("nothing against it");
        done.session.unwrap_or(done.revision)
    }

    fn op(&mut self, op: Op) -> u64 {
        self.act(Act::Change { ops: vec![op], expect: Vec::new(), why: "a test".parse().expect("sound") })
    }

    fn joins(&mut self, member: &str, life: u64) -> u64 {
        let card = Card {
            role: Role::Dispatcher,
            version: "1".parse().expect("sound"),
            address: None,
            zone: Default::default(),
            ready: true,
        };
        self.act(Act::Join { member: name(member), life: RequestId(2, life), card })
    }

    /// What a member with this copy tells of the workers that it sees.
    fn sees(&mut self, member: &str, session: u64, copy: &Follower, seen: &[(&str, Sight)]) {
        let text = |t: &str| t.parse::<Text>().expect("sound");
        let one = |sight| Seen { zone: text("x"), kind: text("k"), sight };
        let differs = copy.differs(&seen.iter().map(|(w, sight)| (name(w), one(*sight))).collect());
        let doing = Doing { differs, ..Doing::default() };
        self.heard.beat(NOW, &self.state, &name(member), session, Some(doing));
    }

    /// Has done what most tell, if there is anything.
    fn settles(&mut self) -> bool {
        let act = settled(&self.state, &self.heard);
        act.into_iter().map(|act| self.act(act)).count() > 0
    }

    fn copy(&self) -> Follower {
        let mut copy = Follower::default();
        copy.take_snapshot(NOW, self.state.snapshot()).expect("newer");
        copy
    }

    fn beats(&mut self, member: &str, session: u64, acts_by: u64, busy: &[&str]) {
        let busy: BTreeSet<Name> = busy.iter().map(|w| name(w)).collect();
        let counts = Counts { answered: 10, served: 9 };
        let differs = Default::default();
        self.heard.beat(
            NOW,
            &self.state,
            &name(member),
            session,
            Some(Doing { acts_by, busy, counts, differs }),
        );
    }

    fn waits_for(&self) -> Vec<(String, Because)> {
        let off = off(&self.state, &self.heard, &name("w"));
        assert_eq!(off.may_be_switched_off(), off.granted.is_some() && off.waits_for.is_empty());
        off.waits_for.into_iter().map(|(name, why)| (name.to_string(), why)).collect()
    }
}

#[test]
fn a_worker_may_be_switched_off_once_every_dispatcher_has_confirmed_and_has_nothing_out_there() {
    let heard = Sessions::begin(Ttl(Duration::from_secs(10)));
    let mut desk = Desk { state: State::default(), heard, next: 0 };
    let (a, b) = (desk.joins("a", 1), desk.joins("b", 2));
    let before = desk.state.revision();
    let subject = Subject { kind: Kind::Worker, name: name("w") };
    desk.op(Op::Ask { subject, urgent: false, want: Default::default() });
    assert!(!off(&desk.state, &desk.heard, &name("w")).may_be_switched_off(), "it waits for a budget");
    desk.op(Op::Budget(
        Kind::Worker,
        Budget { most: Limit::Count(1), most_in_zone: None, most_in_kind: None, least_in_zone: 0 },
    ));
    let granted = desk.state.revision();
    let two = |x, y| vec![("a".to_owned(), x), ("b".to_owned(), y)];
    assert_eq!(desk.waits_for(), two(Because::Unheard, Because::Unheard));
    desk.beats("a", a, before, &[]);
    desk.beats("b", b, granted, &["v", "w"]);
    assert_eq!(desk.waits_for(), two(Because::Behind(before), Because::Busy));
    desk.beats("a", a, granted, &["v"]);
    desk.beats("b", b, granted, &[]);
    assert_eq!(desk.waits_for(), []);
    // A plain beat takes no word back; a new session has none, and one that is over is no word that nothing is sent.
    desk.heard.beat(NOW, &desk.state, &name("a"), a, None);
    assert_eq!(desk.waits_for(), []);
    let again = desk.joins("a", 3);
    assert_eq!(desk.waits_for(), [("a".to_owned(), Because::Unheard)]);
    desk.beats("a", a, granted, &[]);
    assert_eq!(desk.waits_for(), [("a".to_owned(), Because::Unheard)], "an old session's beat is none");
    desk.act(Act::Expire { member: name("a"), session: again });
    assert_eq!(desk.waits_for(), [("a".to_owned(), Because::CutOff)]);
    desk.op(Op::Dismiss(name("a")));
    assert_eq!(desk.waits_for(), []);
    // One that cannot name all that it is busy with confirms nothing.
    let many: Vec<String> = (0..=MAX_BUSY).map(|n| format!("x{n}")).collect();
    desk.beats("b", b, granted, &many.iter().map(String::as_str).collect::<Vec<_>>());
    assert_eq!(desk.waits_for(), [("b".to_owned(), Because::Behind(0))]);
    let tallies = tallies(&desk.state, &desk.heard);
    assert_eq!(tallies.len(), 1, "those that are there");
    assert_eq!(tallies[&name("b")].counts, Counts { answered: 10, served: 9 });
    // Nobody's word is kept by a leader that has just come.
    desk.heard = Sessions::begin(Ttl(Duration::from_secs(10)));
    assert_eq!(desk.waits_for(), [("b".to_owned(), Because::Unheard)]);
}

#[test]
fn workers_are_listed_and_out_as_most_dispatchers_see_them_and_one_view_alone_changes_nothing() {
    let heard = Sessions::begin(Ttl(Duration::from_secs(10)));
    let mut desk = Desk { state: State::default(), heard, next: 0 };
    let sessions: Vec<(&str, u64)> = ["a", "b", "c"].map(|m| (m, desk.joins(m, m.len() as u64))).to_vec();
    let (ready, out) = ([("v", Sight::Ready), ("w", Sight::Ready)], [("v", Sight::Ready), ("w", Sight::Out)]);
    let none = desk.copy();
    desk.sees("a", sessions[0].1, &none, &ready);
    assert!(!desk.settles(), "one of three");
    desk.sees("b", sessions[1].1, &none, &ready);
    assert!(desk.settles() && !desk.settles(), "once: what is so already is not asked for again");
    let budget = Budget { most: Limit::Count(1), most_in_zone: None, most_in_kind: None, least_in_zone: 0 };
    desk.op(Op::Budget(Kind::Worker, budget));
    assert_eq!((desk.state.roll(Kind::Worker).all.len(), desk.state.roll(Kind::Worker).out()), (2, 0));
    // With the list in its copy none has anything to tell; one that alone gets no answer from w is not believed.
    let copy = desk.copy();
    for (member, session) in &sessions {
        desk.sees(member, *session, &copy, &ready);
    }
    desk.sees("c", sessions[2].1, &copy, &out);
    assert!(!desk.settles());
    desk.sees("a", sessions[0].1, &copy, &out);
    assert!(desk.settles(), "two of three");
    // The loss takes the place in the budget: v waits, until w is warm again, or is no more.
    desk.op(Op::Ask {
        subject: Subject { kind: Kind::Worker, name: name("v") },
        urgent: true,
        want: Text::default(),
    });
    let granted = |desk: &Desk| desk.state.permits().filter(|(_, p)| p.granted.is_some()).count();
    let copy = desk.copy();
    for (member, session) in &sessions {
        desk.sees(member, *session, &copy, &[("v", Sight::Ready), ("w", Sight::Cold)]);
    }
    assert!(desk.settles() && granted(&desk) == 0, "a cold one is out as well");
    // Of three one is lost: it has no vote, and most of two are both.
    desk.act(Act::Expire { member: name("c"), session: sessions[2].1 });
    let copy = desk.copy();
    desk.sees("a", sessions[0].1, &copy, &ready[..1]);
    assert!(!desk.settles());
    desk.sees("b", sessions[1].1, &copy, &ready[..1]);
    assert!(desk.settles() && granted(&desk) == 1, "w is no more");
    assert_eq!(desk.state.workers(), 1);
    // However many there are, a beat tells of so many, and all of the same.
    let many: Vec<String> = (0..3 * MAX_DIFFERENT).map(|n| format!("x{n:04}")).collect();
    let many: Vec<(&str, Sight)> = many.iter().map(|w| (w.as_str(), Sight::Ready)).collect();
    let mut rounds = 0;
    while desk.state.workers() < many.len() {
        rounds += 1;
        assert!(rounds < 10, "it comes to an end");
        let copy = desk.copy();
        desk.sees("a", sessions[0].1, &copy, &many);
        desk.sees("b", sessions[1].1, &copy, &many);
        desk.settles();
    }
    assert!(rounds >= 3, "{rounds}");
}
