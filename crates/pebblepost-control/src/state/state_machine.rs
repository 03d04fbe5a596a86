//! The control state as the state machine of the replicated log.

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
                log::error!("control state: entry not applied index={index} error={error}");
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
            log::error!("control state: snapshot not restored error={error}");
            ControlState::damaged()
        });
    }

    fn is_damaged(&self) -> bool {
        self.is_damaged
    }
}
