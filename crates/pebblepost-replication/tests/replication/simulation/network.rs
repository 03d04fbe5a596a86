//! The simulated network: ordered links with delay, loss and partitions.

use super::world::{Event, HELLO_INTERVAL, MILLISECOND, Payload, World, slot_of};
use pebblepost_messages::Member;
use std::rc::Rc;

impl World {
    pub(super) fn send_hellos(&mut self) {
        for from in 0..self.slots.len() {
            let is_up = self.slots[from].process.is_some() && !self.slots[from].is_frozen;
            for to in (0..self.slots.len()).filter(|to| is_up && *to != from) {
                self.transmit(from, to, Payload::Hello);
            }
        }
        self.schedule(HELLO_INTERVAL, Event::Hello);
    }

    pub(super) fn transmit(&mut self, from: usize, to: usize, payload: Payload) {
        if from != to && (self.partitions[from][to] > 0 || self.random.permille(self.loss_permille)) {
            return;
        }
        if matches!(payload, Payload::Replica(_)) && self.slots[to].drops_inbound {
            return;
        }
        let extra = self.slots[from].extra_delay;
        let delay = if from == to { 10 } else { self.random.range(500, 3 * MILLISECOND) + extra };
        let at = (self.now + delay).max(self.last_delivery[from][to] + 1);
        self.last_delivery[from][to] = at;
        let from = self.slots[from].member.clone();
        self.schedule_at(at, Event::Deliver { to, from, payload });
    }

    /// Sends a message to the replica on a disk. A machine that has lost that disk does not receive it.
    pub(super) fn send(&mut self, from: usize, to: &Member, payload: Payload) {
        let slot = slot_of(to);
        if self.slots[slot].member.disk == to.disk {
            self.transmit(from, slot, payload);
        }
    }

    pub(super) fn deliver(&mut self, to: usize, from: Rc<Member>, payload: Payload) {
        let machine = &mut self.slots[to];
        if machine.is_frozen {
            machine.inbox.push(Event::Deliver { to, from, payload });
            return;
        }
        let now = self.now;
        let Some(process) = &mut machine.process else { return };
        let local_time = process.local_time(now);
        match payload {
            Payload::Register(message) => process.register.receive(local_time, &from, &message),
            Payload::Replica(message) => process.replica.receive(local_time, &from, &message),
            Payload::Hello => process.on_hello(now, &from),
        }
        self.drain(to);
    }
}
