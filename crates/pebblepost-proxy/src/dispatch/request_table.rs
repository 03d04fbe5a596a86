//! Requests in flight at the dispatcher, by id.

use super::command_queue::{Command, CommandQueue};
use pebblepost_dispatch::api::RequestId;
use std::collections::HashMap;
use std::rc::Rc;

/// Reserved id for load reports that belong to no request.
pub(super) const NO_REQUEST: RequestId = RequestId(u32::MAX);

/// Command queues of the requests in flight.
#[derive(Debug, Default)]
pub(super) struct RequestTable {
    queues: HashMap<RequestId, Rc<CommandQueue>>,
    next_id: u32,
}

impl RequestTable {
    /// Adds a request and returns its id, which no other request in flight has.
    pub(super) fn insert(&mut self, commands: Rc<CommandQueue>) -> RequestId {
        let id = self.free_id();
        self.queues.insert(id, commands);
        id
    }

    /// Removes a request. Later commands for it are dropped.
    pub(super) fn remove(&mut self, id: RequestId) {
        self.queues.remove(&id);
    }

    /// Returns whether no request is in flight.
    pub(super) fn is_empty(&self) -> bool {
        self.queues.is_empty()
    }

    /// Queues a command for a request. Does nothing if the request has ended.
    pub(super) fn push_command(&self, id: RequestId, command: Command) {
        if let Some(queue) = self.queues.get(&id) {
            queue.push(command);
        }
    }

    fn free_id(&mut self) -> RequestId {
        loop {
            let id = RequestId(self.next_id);
            self.next_id = self.next_id.wrapping_add(1);
            if id != NO_REQUEST && !self.queues.contains_key(&id) {
                return id;
            }
        }
    }
}
