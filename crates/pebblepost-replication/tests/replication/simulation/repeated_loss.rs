//! Schedules in which a loss follows the repair of another loss, or the return of machines that missed
//! all changes.

use super::Plan;
use super::faults::Fault;
use super::violation::Violation;
use super::world::{Event, MILLISECOND, SECOND, World};
use pebblepost_messages::Member;

/// Number of losses of a schedule, each after the repair of the previous one.
const LOSSES: u32 = 5;
/// Interval between two checks whether the group is repaired.
const CHECK_INTERVAL: u64 = MILLISECOND;
/// Time within which a loss has to be repaired once the machines are back.
const REPAIR_TIMEOUT: u64 = 4_500 * MILLISECOND;
/// Earliest time of the first loss.
const FIRST_LOSS_AT: u64 = 2 * SECOND;

/// Schedules the loss of as many disks as tolerated, repeated as soon as the group counts as repaired.
/// Returns the end of the faults.
pub fn plan_second_loss(world: &mut World) -> u64 {
    let at = FIRST_LOSS_AT + world.random.range(0, 500) * MILLISECOND;
    world.schedule_at(at, Event::Fault(Fault::LoseOnceRepaired { losses: LOSSES, since: at }));
    at + u64::from(LOSSES) * (REPAIR_TIMEOUT + SECOND)
}

/// Loses disks if the group is repaired, and schedules the next check.
pub fn lose_once_repaired(world: &mut World, losses: u32, since: u64) {
    if !is_repaired(world) {
        if world.now.saturating_sub(since) > REPAIR_TIMEOUT {
            let description = format!("not repaired: {}", world.describe());
            world.checker.fail(Violation::Liveness(description));
        }
        world.schedule(CHECK_INTERVAL, Event::Fault(Fault::LoseOnceRepaired { losses, since }));
        return;
    }
    if losses == 0 {
        return;
    }
    let mut back_at = world.now;
    for slot in choose_disks_to_lose(world) {
        let length = world.random.range(50, 1_500) * MILLISECOND;
        // In some runs there is time for client requests between the repair and the next loss.
        let at = world.now + world.random.range(0, 2) * world.random.range(0, 300) * MILLISECOND;
        world.schedule_at(at, Event::Fault(Fault::Wipe(slot)));
        world.schedule_at(at + length, Event::Fault(Fault::Start(slot)));
        // In some runs the messages that the machine sends are delayed.
        let extra = world.random.range(0, 2) * world.random.range(0, 150) * MILLISECOND;
        world.schedule_at(at, Event::Fault(Fault::Slow(slot, extra)));
        back_at = back_at.max(at + length);
    }
    let next_check = back_at + MILLISECOND;
    world.schedule_at(
        next_check,
        Event::Fault(Fault::LoseOnceRepaired { losses: losses - 1, since: next_check }),
    );
}

/// Returns the minimum number of machines that must hold the group. Schedules that lose disks right
/// after a repair use no more than that.
fn holder_count(world: &World) -> usize {
    world.options.tolerance + 1
}

/// Returns the current members of the machines that should hold the group, or `None` if all should.
pub fn holders(world: &World) -> Option<Vec<Member>> {
    let is_tight = world.options.plan == Plan::SecondLoss;
    is_tight.then(|| world.slots[..holder_count(world)].iter().map(|slot| (*slot.member).clone()).collect())
}

/// Returns random machines among those that hold the group, as many as may be lost.
fn choose_disks_to_lose(world: &mut World) -> Vec<usize> {
    let spared = world.random.index(holder_count(world));
    (0..holder_count(world)).filter(|slot| *slot != spared).collect()
}

/// Returns whether the epoch record of the acting primary names the required number of replicas and
/// witnesses, and none whose disk is lost or whose process is down.
fn is_repaired(world: &World) -> bool {
    let Some(acting) = world.acting().first().copied() else { return false };
    let Some(process) = &world.slots[acting].process else { return false };
    let record = process.replica.record();
    let is_there = |member: &Member| {
        world.slots.iter().any(|slot| slot.process.is_some() && slot.member.disk == member.disk)
    };
    record.former_witnesses.is_empty()
        && record.witnesses.len() == 2 * world.options.tolerance + 1
        && record.in_sync.len() > world.options.tolerance
        && record.witnesses.iter().chain(&record.in_sync).all(is_there)
}

/// Schedules partitions of a minority, which misses all changes. Then one of the other machines loses
/// its disk, the rest stop, and the partition ends. The minority must not become primary with its old
/// state. Returns the end of the faults.
pub fn plan_stale_minority(world: &mut World) -> u64 {
    let machines = world.options.machines;
    let mut at = FIRST_LOSS_AT;
    for _ in 0..3 {
        let first = world.random.index(machines);
        let order: Vec<usize> = (0..machines).map(|number| (first + number) % machines).collect();
        let (behind, others) = order.split_at(world.options.tolerance);
        let partition_time = world.random.range(500, 4_000) * MILLISECOND;
        for (from, to) in behind.iter().flat_map(|one| others.iter().map(move |other| (*one, *other))) {
            for (from, to) in [(from, to), (to, from)] {
                world.schedule_at(at, Event::Fault(Fault::Partition { from, to }));
                world.schedule_at(at + partition_time, Event::Fault(Fault::Heal { from, to }));
            }
        }
        let lost_at = at + partition_time - world.random.range(0, 200) * MILLISECOND;
        let down_time = world.random.range(200, 4_000) * MILLISECOND;
        for (position, slot) in others.iter().enumerate() {
            let is_lost = position == 0;
            let fault = if is_lost { Fault::Wipe(*slot) } else { Fault::Kill(*slot) };
            let back = if is_lost { world.random.range(50, 600) * MILLISECOND } else { down_time };
            world.schedule_at(lost_at, Event::Fault(fault));
            world.schedule_at(lost_at + back, Event::Fault(Fault::Start(*slot)));
        }
        at = lost_at + down_time + REPAIR_TIMEOUT;
    }
    at
}
