//! Which machines are witnesses: the primary keeps their number and replaces those that are lost.

use pebblepost_messages::{DiskId, Member};
use pebblepost_replication::record::EpochRecord;
use std::time::Duration;

/// Silence after which a witness is replaced.
pub const LOST_AFTER: Duration = Duration::from_millis(1500);

/// A control process as seen from here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Standing {
    /// The machine and its disk.
    pub member: Member,
    /// Time since it was last heard.
    pub silence: Duration,
}

/// Which witnesses may be taken for lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// Only those at whose address another disk answers. Silence means nothing yet: this process has just become
    /// primary.
    Replacement,
    /// Those that are silent, too.
    Silence,
}

/// The next record that changes the witness set, if it has to change. One change at a time: a
/// change that is under way is completed first.
pub fn next_change(
    record: &EpochRecord, known: &[Standing], wanted: usize, evidence: Evidence,
) -> Option<EpochRecord> {
    if !record.former_witnesses.is_empty() {
        return Some(EpochRecord { epoch: record.epoch + 1, former_witnesses: Vec::new(), ..record.clone() });
    }
    let changed = exchanged(record, known, evidence).or_else(|| grown(record, known, wanted))?;
    Some(EpochRecord {
        epoch: record.epoch + 1,
        witnesses: changed,
        former_witnesses: record.witnesses.clone(),
        ..record.clone()
    })
}

fn is_live(standing: &Standing) -> bool {
    standing.silence < LOST_AFTER
}

/// A live machine that is no witness; one that holds a replica goes first, then the lowest disk.
fn candidate<'a>(record: &EpochRecord, known: &'a [Standing]) -> Option<&'a Member> {
    let in_sync = |disk: DiskId| record.in_sync.iter().any(|member| member.disk == disk);
    let is_witness = |disk: DiskId| record.witnesses.iter().any(|witness| witness.disk == disk);
    let free = known.iter().filter(|standing| is_live(standing) && !is_witness(standing.member.disk));
    free.map(|standing| &standing.member).min_by_key(|member| (!in_sync(member.disk), member.disk))
}

fn exchanged(record: &EpochRecord, known: &[Standing], evidence: Evidence) -> Option<Vec<Member>> {
    let is_lost = |witness: &&Member| {
        is_replaced(witness, known) || (evidence == Evidence::Silence && is_silent(witness, known))
    };
    let lost = record.witnesses.iter().find(is_lost)?;
    let successor = candidate(record, known)?;
    let exchange = |witness: &Member| if witness == lost { successor.clone() } else { witness.clone() };
    Some(record.witnesses.iter().map(exchange).collect())
}

/// Its address belongs to another disk now.
fn is_replaced(witness: &Member, known: &[Standing]) -> bool {
    known.iter().any(|other| {
        other.member.disk != witness.disk && other.member.address == witness.address && is_live(other)
    })
}

/// Not heard for too long.
fn is_silent(witness: &Member, known: &[Standing]) -> bool {
    let own = known.iter().find(|standing| standing.member.disk == witness.disk);
    own.is_none_or(|standing| !is_live(standing))
}

fn grown(record: &EpochRecord, known: &[Standing], wanted: usize) -> Option<Vec<Member>> {
    if record.witnesses.len() >= wanted {
        return None;
    }
    let added = candidate(record, known)?;
    let mut witnesses = record.witnesses.clone();
    witnesses.push(added.clone());
    Some(witnesses)
}
