//! The witness set of the epoch register. The primary replaces failed witnesses, and extends the set to its full size.

use super::peers::PeerStatus;
use pebblepost_messages::{DiskId, Member};
use pebblepost_replication::record::EpochRecord;
use std::time::Duration;

/// Time without a message after which a witness is replaced.
pub const WITNESS_TIMEOUT: Duration = Duration::from_millis(1500);

/// Evidence that is required to consider a witness as failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureEvidence {
    /// Another disk answers at the address of the witness. A new primary relies on this evidence only, because it has
    /// not received messages from all nodes yet.
    Replacement,
    /// Another disk answers at the address of the witness, or the witness has timed out.
    Timeout,
}

/// Returns the next epoch record that changes the witness set, or `None` if no change is needed or possible.
///
/// One witness is replaced or added at a time, in two steps: a record with the new and the former set, then one without
/// the former set.
pub fn next_witness_change(
    record: &EpochRecord, peers: &[PeerStatus], set_size: usize, evidence: FailureEvidence,
) -> Option<EpochRecord> {
    if !record.former_witnesses.is_empty() {
        return Some(EpochRecord { epoch: record.epoch + 1, former_witnesses: Vec::new(), ..record.clone() });
    }
    let witnesses = replace_failed(record, peers, evidence).or_else(|| extend(record, peers, set_size))?;
    Some(EpochRecord {
        epoch: record.epoch + 1,
        witnesses,
        former_witnesses: record.witnesses.clone(),
        ..record.clone()
    })
}

fn replace_failed(
    record: &EpochRecord, peers: &[PeerStatus], evidence: FailureEvidence,
) -> Option<Vec<Member>> {
    let has_failed = |witness: &&Member| {
        is_replaced(witness, peers) || (evidence == FailureEvidence::Timeout && has_timed_out(witness, peers))
    };
    let failed = record.witnesses.iter().find(has_failed)?;
    let successor = candidate(record, peers)?;
    let replace = |witness: &Member| if witness == failed { successor.clone() } else { witness.clone() };
    Some(record.witnesses.iter().map(replace).collect())
}

fn extend(record: &EpochRecord, peers: &[PeerStatus], set_size: usize) -> Option<Vec<Member>> {
    if record.witnesses.len() >= set_size {
        return None;
    }
    let added = candidate(record, peers)?;
    let mut witnesses = record.witnesses.clone();
    witnesses.push(added.clone());
    Some(witnesses)
}

/// Returns a live node that is not a witness yet. In-sync replicas are preferred, then the lowest disk identity.
fn candidate<'a>(record: &EpochRecord, peers: &'a [PeerStatus]) -> Option<&'a Member> {
    let is_in_sync = |disk: DiskId| record.in_sync.iter().any(|member| member.disk == disk);
    let is_witness = |disk: DiskId| record.witnesses.iter().any(|witness| witness.disk == disk);
    let candidates = peers.iter().filter(|peer| is_live(peer) && !is_witness(peer.member.disk));
    candidates.map(|peer| &peer.member).min_by_key(|member| (!is_in_sync(member.disk), member.disk))
}

fn is_live(peer: &PeerStatus) -> bool {
    peer.last_message_age < WITNESS_TIMEOUT
}

/// Returns whether another disk answers at the address of the witness.
fn is_replaced(witness: &Member, peers: &[PeerStatus]) -> bool {
    peers.iter().any(|peer| {
        peer.member.disk != witness.disk && peer.member.address == witness.address && is_live(peer)
    })
}

fn has_timed_out(witness: &Member, peers: &[PeerStatus]) -> bool {
    let own = peers.iter().find(|peer| peer.member.disk == witness.disk);
    own.is_none_or(|peer| !is_live(peer))
}
