//! The planner: takes what happened, and says what to send.

use crate::choice::{self, Choice, NamedVersion};
use crate::slack::ObservedSlack;
use crate::transcriber::{
    ASK_EVERY, FENCED_PAUSE, FIRST_ASK, LONGEST_FENCED_PAUSE, LONGEST_REFUSED_PAUSE, LOST_ORDER, NEWCOMER,
    REFUSED_PAUSE, REPORT_LAG, SILENCE, Stage, Transcriber, Work,
};
use crate::{LoadMode, Order, OrderAnswer, PlanOutput, Reported};
use pebblepost_messages::feed::{Instance, InstanceState};
use std::collections::BTreeMap;
use std::time::Duration;

/// The planner of one lease holder.
///
/// It brings the transcribers that hold a model to its newest named version: one order at a time for each transcriber, a
/// third of a service's transcribers at once, and never a version that is no longer the newest. Where the batch jobs of
/// a model allow older versions, as many transcribers pass a version over as still serve those jobs; where more than two
/// models share the transcribers, each is served by a part of them. An order without a clear answer is looked into by reports before
/// another one is sent.
#[derive(Debug, Default)]
pub struct Planner {
    not_before: Duration,
    /// When the first transcriber was announced.
    first_known: Option<Duration>,
    named: BTreeMap<String, NamedVersion>,
    slacks: BTreeMap<String, ObservedSlack>,
    transcribers: BTreeMap<String, Transcriber>,
    outputs: Vec<PlanOutput>,
}

impl Planner {
    /// A planner that may send its first order at `not_before` (a former holder's orders must be
    /// `lease_ms` old by then).
    pub fn new(not_before: Duration) -> Planner {
        Planner { not_before, ..Planner::default() }
    }

    /// A model's newest named version, and whether its texts must be made under one version.
    pub fn name_version(&mut self, now: Duration, model: &str, generation: u64, single_version: bool) {
        match self.named.get_mut(model) {
            Some(named) if named.generation > generation => return,
            Some(named) if named.generation == generation => named.single_version = single_version,
            _ => {
                let named = NamedVersion { generation, single_version, named_at: now };
                self.named.insert(model.to_owned(), named);
            }
        }
        self.tick(now);
    }

    /// A batch job of a model was taken that allows versions so far behind the newest named one.
    pub fn observe_slack(&mut self, now: Duration, model: &str, slack: u64) {
        self.slacks.entry(model.to_owned()).or_default().observe(slack);
        self.tick(now);
    }

    /// A transcriber was announced, changed or ended.
    pub fn instance(&mut self, now: Duration, instance: &Instance) {
        if instance.state == InstanceState::Gone {
            self.transcribers.remove(&instance.id);
        } else if let Some(transcriber) = self.transcribers.get_mut(&instance.id) {
            transcriber.announced(instance);
        } else {
            let mut transcriber =
                Transcriber { counts_from: self.counts_from(now), ..Transcriber::default() };
            transcriber.announced(instance);
            self.transcribers.insert(instance.id.clone(), transcriber);
        }
        self.tick(now);
    }

    /// How many requests run at a transcriber, where the caller learns it by other ways than
    /// reports. Of transcribers equally far behind, the least busy is ordered first.
    pub fn running(&mut self, instance: &str, running: u32) {
        if let Some(transcriber) = self.transcribers.get_mut(instance) {
            transcriber.running = running;
        }
    }

    /// An order was answered.
    pub fn order_answered(&mut self, now: Duration, order: &Order, answer: OrderAnswer) {
        self.take_answer(now, order, answer);
        self.tick(now);
    }

    /// A report came; `None`: it failed.
    pub fn reported(&mut self, now: Duration, instance: &str, report: Option<Reported>) {
        self.take_report(now, instance, report);
        self.tick(now);
    }

    /// Time passed; to be called every 50 ms or so, or when [`Planner::next_wake`] says.
    pub fn tick(&mut self, now: Duration) {
        self.ask_for_reports(now);
        self.send_orders(now);
    }

    /// When [`Planner::tick`] next has something to do, if nothing else happens before; `None`:
    /// nothing is left to do.
    pub fn next_wake(&self, now: Duration) -> Option<Duration> {
        self.transcribers.values().filter_map(|transcriber| self.wake_of(now, transcriber)).min()
    }

    /// Takes what the caller must do.
    pub fn take_outputs(&mut self) -> Vec<PlanOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// From when on a transcriber that is announced now counts. Those that are found at the start
    /// are no newcomers.
    fn counts_from(&mut self, now: Duration) -> Duration {
        let first_known = *self.first_known.get_or_insert(now);
        if now < first_known + NEWCOMER { now } else { now + NEWCOMER }
    }

    fn wake_of(&self, now: Duration, transcriber: &Transcriber) -> Option<Duration> {
        if let Some(work) = &transcriber.work {
            return Some(work.wake_at(now));
        }
        let behind =
            transcriber.held.iter().any(|(model, held)| choice::is_behind(&self.named, model, *held));
        let starts_at = transcriber.not_until.max(self.not_before);
        (transcriber.ready && behind && starts_at > now).then_some(starts_at)
    }

    fn take_answer(&mut self, now: Duration, order: &Order, answer: OrderAnswer) {
        let Some(transcriber) = self.transcribers.get_mut(&order.instance) else { return };
        let Some(work) = &mut transcriber.work else { return };
        if work.model != order.model || work.generation != order.generation {
            return;
        }
        if answer == OrderAnswer::Unknown {
            if work.stage == Stage::Sending {
                work.stage = Stage::Unclear;
                work.next_ask = now + ASK_EVERY;
            }
            return;
        }
        work.last_heard = now;
        match answer {
            OrderAnswer::UnderWay => {
                work.stage = Stage::UnderWay;
                work.next_ask = now + FIRST_ASK;
                transcriber.pause = Duration::ZERO;
            }
            OrderAnswer::AlreadyHolds => {
                transcriber.raise(&order.model, order.generation);
                transcriber.work = None;
                transcriber.pause = Duration::ZERO;
                self.outputs.push(holds(&order.instance, &order.model, order.generation));
            }
            OrderAnswer::Conflict => {
                work.stage = Stage::Conflicting;
                work.next_ask = now + ASK_EVERY;
            }
            OrderAnswer::Fenced => {
                work.stage = Stage::Fenced;
                let pause = transcriber.lengthen_pause(FENCED_PAUSE, LONGEST_FENCED_PAUSE);
                if let Some(work) = &mut transcriber.work {
                    work.next_ask = now + pause;
                }
            }
            OrderAnswer::Refused => {
                transcriber.work = None;
                transcriber.not_until =
                    now + transcriber.lengthen_pause(REFUSED_PAUSE, LONGEST_REFUSED_PAUSE);
            }
            OrderAnswer::Unknown => {}
        }
    }

    fn take_report(&mut self, now: Duration, instance: &str, report: Option<Reported>) {
        let Some(transcriber) = self.transcribers.get_mut(instance) else { return };
        let Some(work) = &mut transcriber.work else { return };
        let asked_at = work.asked_at.take().unwrap_or(work.sent_at);
        let Some(report) = report else {
            work.next_ask = now + work.ask_pause(now);
            return;
        };
        work.last_heard = now;
        work.next_ask = now + ASK_EVERY;
        transcriber.running = report.running;
        if report.busy {
            return;
        }
        for (model, generation) in &report.models {
            if transcriber.raise(model, *generation) {
                self.outputs.push(holds(instance, model, *generation));
            }
        }
        if is_settled(transcriber, asked_at) {
            transcriber.work = None;
        }
    }

    /// Asks for the reports that are due.
    fn ask_for_reports(&mut self, now: Duration) {
        for (instance, transcriber) in &mut self.transcribers {
            let Some(work) = &mut transcriber.work else { continue };
            if work.stage == Stage::Sending && work.silent(now) {
                work.stage = Stage::Unclear;
            }
            let awaited = work.asked_at.is_some_and(|asked_at| now < asked_at + SILENCE);
            if work.stage == Stage::Sending || awaited || now < work.next_ask {
                continue;
            }
            work.asked_at = Some(now);
            work.next_ask = now + work.ask_pause(now);
            let address = transcriber.address.clone();
            self.outputs.push(PlanOutput::Ask { instance: instance.clone(), address });
        }
    }

    /// Sends the orders that there are places for.
    fn send_orders(&mut self, now: Duration) {
        if now < self.not_before {
            return;
        }
        while let Some(choice) = choice::next(now, &self.named, &self.slacks, &self.transcribers) {
            self.send_order(now, &choice);
        }
    }

    fn send_order(&mut self, now: Duration, choice: &Choice) {
        let Some(newest) = self.named.get(&choice.model) else { return };
        let Some(transcriber) = self.transcribers.get_mut(&choice.instance) else { return };
        transcriber.work = Some(Work::sending(now, &choice.model, newest.generation));
        self.outputs.push(PlanOutput::Send(Order {
            instance: choice.instance.clone(),
            address: transcriber.address.clone(),
            model: choice.model.clone(),
            generation: newest.generation,
            mode: if newest.single_version { LoadMode::Wait } else { LoadMode::Retain },
        }));
    }
}

/// Whether a report that shows no order under way ends the work: the version is there, or the
/// order surely was not taken.
fn is_settled(transcriber: &Transcriber, asked_at: Duration) -> bool {
    let Some(work) = &transcriber.work else { return true };
    let held = transcriber.held.get(&work.model).copied().unwrap_or(0);
    match work.stage {
        Stage::Sending => false,
        _ if held >= work.generation => true,
        Stage::UnderWay => asked_at >= work.sent_at + LOST_ORDER,
        Stage::Unclear | Stage::Conflicting => asked_at >= work.sent_at + REPORT_LAG,
        Stage::Fenced => true,
    }
}

fn holds(instance: &str, model: &str, generation: u64) -> PlanOutput {
    PlanOutput::Holds { instance: instance.to_owned(), model: model.to_owned(), generation }
}
