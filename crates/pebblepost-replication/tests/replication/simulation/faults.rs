//! Faults, and the schedules in which they happen.

use super::Plan;
use super::random::Random;
use super::repeated_loss;
use super::world::{Event, MILLISECOND, SECOND, World};

/// A fault, or the end of one.
#[derive(Clone, Debug)]
pub enum Fault {
    Start(usize),
    Kill(usize),
    KillAll,
    Wipe(usize),
    /// Removes a machine, and adds another one with an empty disk at a new address.
    Replace(usize),
    Freeze(usize),
    Unfreeze(usize),
    Partition {
        from: usize,
        to: usize,
    },
    Heal {
        from: usize,
        to: usize,
    },
    Loss(u64),
    StallDisk(usize, u64),
    /// Delays the messages that the machine sends by this time.
    Slow(usize, u64),
    /// Sets whether messages of other replicas to the machine are lost.
    DropInbound(usize, bool),
    Targets(Vec<usize>),
    /// Wipes the acting machine, which may just have acknowledged an entry to a client.
    WipeActing,
    KillActing,
    /// Loses disks once the group is repaired, which is expected within a time from `since`.
    LoseOnceRepaired {
        losses: u32,
        since: u64,
    },
}

/// Time after its return for which a machine still counts as lost.
const CATCH_UP_TIME: u64 = 4_500 * MILLISECOND;
/// Earliest time of the first fault: after the first primary was elected, or shortly before.
const FIRST_FAULT_AT: u64 = 700 * MILLISECOND;

/// Schedules the faults of a world, and returns the time at which they end.
pub fn plan(world: &mut World) -> u64 {
    match world.options.plan {
        Plan::Random => plan_random(world, true),
        Plan::Tolerated => plan_tolerated(world),
        Plan::Targets => {
            let end = plan_random(world, false);
            plan_targets(world, end);
            end
        }
        Plan::Transitions => plan_transitions(world),
        Plan::SecondLoss => repeated_loss::plan_second_loss(world),
        Plan::StaleMinority => repeated_loss::plan_stale_minority(world),
    }
}

/// Returns a random time between two faults, which may or may not be long enough for the group to
/// recover.
fn pause(random: &mut Random) -> u64 {
    if random.permille(300) {
        random.range(0, 60) * MILLISECOND
    } else {
        random.range(60, 1_500) * MILLISECOND
    }
}

fn duration(random: &mut Random) -> u64 {
    if random.permille(300) {
        random.range(5, 120) * MILLISECOND
    } else {
        random.range(120, 2_000) * MILLISECOND
    }
}

fn plan_random(world: &mut World, loses_disks: bool) -> u64 {
    let mut lost_disks = 0;
    let mut at = FIRST_FAULT_AT + world.random.range(0, 1_500) * MILLISECOND;
    let count = world.random.range(3, 12);
    for _ in 0..count {
        let may_lose = loses_disks && lost_disks < world.options.tolerance;
        lost_disks += usize::from(plan_one(world, at, may_lose));
        at += pause(&mut world.random);
    }
    at + 200 * MILLISECOND
}

/// Schedules one fault and its end. Returns whether it loses a disk.
fn plan_one(world: &mut World, at: u64, may_lose: bool) -> bool {
    let machines = world.options.machines;
    let slot = world.random.index(machines);
    let length = duration(&mut world.random);
    match world.random.range(0, 17) {
        0 | 1 => plan_stop(world, at, Fault::Kill(slot), slot, length),
        2 => plan_stop(world, at, Fault::KillActing, slot, length),
        3 => {
            world.schedule_at(at, Event::Fault(Fault::KillAll));
            for slot in 0..machines {
                let later = duration(&mut world.random);
                world.schedule_at(at + later, Event::Fault(Fault::Start(slot)));
            }
        }
        4 | 5 => {
            world.schedule_at(at, Event::Fault(Fault::Freeze(slot)));
            world.schedule_at(at + length, Event::Fault(Fault::Unfreeze(slot)));
        }
        6 | 7 => plan_isolation(world, at, slot, length),
        8 => {
            let other = (slot + 1 + world.random.index(machines - 1)) % machines;
            plan_partition(world, at, slot, other, length);
            if world.random.permille(500) {
                plan_partition(world, at, other, slot, length);
            }
        }
        9 => {
            let share = world.random.range(50, 500);
            world.schedule_at(at, Event::Fault(Fault::Loss(share)));
            world.schedule_at(at + length, Event::Fault(Fault::Loss(0)));
        }
        10 => world.schedule_at(at, Event::Fault(Fault::StallDisk(slot, length))),
        15 | 16 => {
            let extra = duration(&mut world.random);
            world.schedule_at(at, Event::Fault(Fault::Slow(slot, extra)));
            world.schedule_at(at + length, Event::Fault(Fault::Slow(slot, 0)));
        }
        11 if may_lose => {
            plan_stop(world, at, Fault::Wipe(slot), slot, length);
            return true;
        }
        12 if may_lose => {
            world.schedule_at(at, Event::Fault(Fault::WipeActing));
            return true;
        }
        13 if may_lose => {
            world.schedule_at(at, Event::Fault(Fault::Replace(slot)));
            return true;
        }
        _ => plan_stop(world, at, Fault::Kill(slot), slot, length / 4),
    }
    false
}

fn plan_stop(world: &mut World, at: u64, fault: Fault, slot: usize, length: u64) {
    world.schedule_at(at, Event::Fault(fault));
    world.schedule_at(at + length, Event::Fault(Fault::Start(slot)));
}

fn plan_partition(world: &mut World, at: u64, from: usize, to: usize, length: u64) {
    world.schedule_at(at, Event::Fault(Fault::Partition { from, to }));
    world.schedule_at(at + length, Event::Fault(Fault::Heal { from, to }));
}

/// Partitions a machine from all others, in one direction or both.
fn plan_isolation(world: &mut World, at: u64, slot: usize, length: u64) {
    let directions = world.random.range(0, 4);
    for other in (0..world.options.machines).filter(|other| *other != slot) {
        if directions != 1 {
            plan_partition(world, at, slot, other, length);
        }
        if directions != 2 {
            plan_partition(world, at, other, slot, length);
        }
    }
}

/// Schedules losses of machines, at most as many at a time as tolerated.
fn plan_tolerated(world: &mut World) -> u64 {
    let mut present: Vec<usize> = (0..world.options.machines).collect();
    let mut spare = world.options.machines;
    // For each machine that may be lost at the same time: when it no longer counts as lost.
    let mut lost_until = vec![0; world.options.tolerance];
    let mut at = 2 * SECOND;
    for _ in 0..world.random.range(4, 7) {
        let Some(index) = lost_until.iter().position(|until| *until <= at) else {
            at = lost_until.iter().copied().min().unwrap_or(at);
            continue;
        };
        let position = world.random.index(present.len());
        let slot = present[position];
        let length = duration(&mut world.random);
        if spare < super::world::MAX_SLOTS_AFTER_REPLACEMENT && world.random.permille(400) {
            world.schedule_at(at, Event::Fault(Fault::Replace(slot)));
            present[position] = spare;
            spare += 1;
            lost_until[index] = at + CATCH_UP_TIME;
        } else {
            let fault = if world.random.permille(600) { Fault::Wipe(slot) } else { Fault::Kill(slot) };
            plan_stop(world, at, fault, slot, length);
            lost_until[index] = at + length + CATCH_UP_TIME;
        }
        at += world.random.range(0, 2 * CATCH_UP_TIME);
    }
    at + CATCH_UP_TIME
}

/// Schedules three changes of the targets.
fn plan_targets(world: &mut World, end: u64) {
    let machines = world.options.machines;
    for _ in 0..3 {
        let at = world.random.range(SECOND, end);
        let first = world.random.index(machines);
        let count = world.options.tolerance + 1 + world.random.index(machines - world.options.tolerance);
        let targets = (0..count).map(|step| (first + step) % machines).collect();
        world.schedule_at(at, Event::Fault(Fault::Targets(targets)));
    }
}

/// Schedules that machines are stopped or partitioned, long enough to be dropped from the group, and
/// return. The resulting changes of the configuration trigger the injected faults.
fn plan_transitions(world: &mut World) -> u64 {
    let spare = world.add_slot(false);
    world.schedule(SECOND, Event::Fault(Fault::Start(spare)));
    let mut at = 1_500 * MILLISECOND;
    for _ in 0..world.random.range(2, 4) {
        let slot = world.random.index(world.options.machines);
        let length = world.random.range(900, 2_800) * MILLISECOND;
        if world.random.permille(500) {
            plan_stop(world, at, Fault::Kill(slot), slot, length);
        } else {
            plan_isolation(world, at, slot, length);
        }
        at += length + world.random.range(0, 1_500) * MILLISECOND;
    }
    at
}

/// Probability of an injected fault, in thousandths.
const INJECTION_PERMILLE: u64 = 250;

fn injects_fault(world: &mut World) -> bool {
    let is_due = world.options.plan == Plan::Transitions && !world.are_faults_over();
    is_due && world.random.permille(INJECTION_PERMILLE)
}

/// Injects a fault when an epoch record is proposed: soon after, messages are lost or links between
/// random machines break.
pub fn inject_at_proposal(world: &mut World) {
    if !injects_fault(world) {
        return;
    }
    if world.random.permille(500) {
        let share = world.random.range(300, 800);
        let length = world.random.range(20, 300) * MILLISECOND;
        let at = world.now + world.random.range(0, 6 * MILLISECOND);
        world.schedule_at(at, Event::Fault(Fault::Loss(share)));
        world.schedule_at(at + length, Event::Fault(Fault::Loss(0)));
        return;
    }
    let count = world.slots.len();
    for _ in 0..world.random.range(1, 5) {
        let at = world.now + world.random.range(0, 12 * MILLISECOND);
        let from = world.random.index(count);
        let to = (from + 1 + world.random.index(count - 1)) % count;
        let length = world.random.range(50, 900) * MILLISECOND;
        plan_partition(world, at, from, to, length);
        plan_partition(world, at, to, from, length);
    }
}

/// Injects a fault when a joiner is proposed: it receives no more entries, an entry is proposed at
/// once, and soon after all other machines are down for a while.
pub fn inject_at_join(world: &mut World, primary: usize, joiner: usize) {
    if !injects_fault(world) {
        return;
    }
    let drop_time = world.random.range(100, 400) * MILLISECOND;
    apply(world, Fault::DropInbound(joiner, true));
    world.schedule(drop_time, Event::Fault(Fault::DropInbound(joiner, false)));
    world.propose(primary);
    let stop_delay = world.random.range(5, 40) * MILLISECOND;
    for slot in (0..world.slots.len()).filter(|slot| *slot != joiner) {
        let at = world.now + stop_delay;
        let length = world.random.range(200, 500) * MILLISECOND;
        plan_stop(world, at, Fault::Kill(slot), slot, length);
    }
}

/// Injects a fault when a change of the witness set starts: the primary and the new witness are
/// partitioned from the other machines, including the witness that counted as gone.
pub fn inject_at_witness_change(world: &mut World, primary: usize, new_witness: usize) {
    if !injects_fault(world) {
        return;
    }
    world.partitions.iter_mut().flatten().for_each(|cut| *cut = 0);
    let at = world.now + world.random.range(0, 12 * MILLISECOND);
    let length = world.random.range(1_500, 3_000) * MILLISECOND;
    for slot in 0..world.slots.len() {
        world.start(slot);
        if slot != primary && slot != new_witness {
            for side in [primary, new_witness] {
                plan_partition(world, at, slot, side, length);
                plan_partition(world, at, side, slot, length);
            }
        }
    }
}

/// Injects a fault when a record is chosen: soon after, all machines stop.
pub fn inject_at_chosen_record(world: &mut World) {
    if !injects_fault(world) || world.random.permille(600) {
        return;
    }
    let at = world.now + world.random.range(0, 3 * MILLISECOND);
    for slot in 0..world.slots.len() {
        let length = world.random.range(50, 400) * MILLISECOND;
        plan_stop(world, at, Fault::Kill(slot), slot, length);
    }
}

/// Applies a fault.
pub fn apply(world: &mut World, fault: Fault) {
    match fault {
        Fault::Start(slot) => world.start(slot),
        Fault::Kill(slot) => world.stop(slot),
        Fault::KillAll => (0..world.slots.len()).for_each(|slot| world.stop(slot)),
        Fault::Wipe(slot) => world.wipe(slot),
        Fault::Replace(slot) => replace(world, slot),
        Fault::Freeze(slot) => world.slots[slot].is_frozen = world.slots[slot].process.is_some(),
        Fault::Unfreeze(slot) => world.unfreeze(slot),
        Fault::Partition { from, to } => world.partitions[from][to] += 1,
        Fault::Heal { from, to } => world.partitions[from][to] = world.partitions[from][to].saturating_sub(1),
        Fault::Loss(share) => world.loss_permille = share,
        Fault::StallDisk(slot, length) => world.slots[slot].disk.stalled_until = world.now + length,
        Fault::Slow(slot, extra) => world.slots[slot].extra_delay = extra,
        Fault::DropInbound(slot, drops_inbound) => world.slots[slot].drops_inbound = drops_inbound,
        Fault::Targets(targets) => world.set_targets(&targets),
        Fault::LoseOnceRepaired { losses, since } => repeated_loss::lose_once_repaired(world, losses, since),
        Fault::WipeActing => {
            if let Some(slot) = world.acting().first().copied() {
                world.wipe(slot);
                world.schedule(100 * MILLISECOND, Event::Fault(Fault::Start(slot)));
            }
        }
        Fault::KillActing => {
            if let Some(slot) = world.acting().first().copied() {
                world.stop(slot);
                world.schedule(100 * MILLISECOND, Event::Fault(Fault::Start(slot)));
            }
        }
    }
}

fn replace(world: &mut World, slot: usize) {
    world.stop(slot);
    world.slots[slot].is_removed = true;
    let successor = world.add_slot(false);
    let delay = world.random.range(100, 1_500) * MILLISECOND;
    world.schedule(delay, Event::Fault(Fault::Start(successor)));
}

/// Ends all faults, so that all remaining machines run and are connected.
pub fn end_all_faults(world: &mut World) {
    world.partitions.iter_mut().flatten().for_each(|cut| *cut = 0);
    world.loss_permille = 0;
    for slot in 0..world.slots.len() {
        world.slots[slot].disk.stalled_until = 0;
        world.slots[slot].extra_delay = 0;
        world.slots[slot].drops_inbound = false;
        world.unfreeze(slot);
        world.start(slot);
    }
}
