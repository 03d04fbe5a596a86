//! Tests of the epoch register and of the replica, alone and in simulated groups.

mod barrier;
mod group;
mod guards;
mod pinned_bytes;
mod register;
mod removal;
mod replica;
mod resumption;
mod schedules;
mod simulation;
