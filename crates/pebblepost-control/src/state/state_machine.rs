//! Implementation of the replicated log's state machine by the control state.

use super::command::{Command, Outcome};
use super::control_state::ControlState;
use super::snapshot;
use nanoserde::DeBin;
use pebblepost_replication::replica::StateMachine;

impl StateMachine for ControlState {
    fn apply(&mut self, index: u64, entry: &[u8]) {
        let outcome = match Command::deserialize_bin(entry) {
            Ok(command) => self.apply_command(command),
            Err(error) => {
                log::error!(
                    "control state: log entry cannot be decoded index={index} bytes={} error={error}",
                    entry.len()
                );
                self.is_damaged = true;
                Outcome::Undecodable
            }
        };
        self.record_outcome(index, outcome);
    }

    fn snapshot(&self) -> Vec<u8> {
        snapshot::encode(self)
    }

    fn restore(&mut self, snapshot: &[u8]) {
        *self = snapshot::decode(snapshot).unwrap_or_else(|error| {
            log::error!("control state: snapshot cannot be restored bytes={} error={error}", snapshot.len());
            ControlState::damaged()
        });
    }

    fn is_damaged(&self) -> bool {
        self.is_damaged
    }
}
