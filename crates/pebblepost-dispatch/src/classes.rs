//! Request classes that become known while a node runs: its routes change, its learned state stays.

use crate::api::{Class, ClassId};
use crate::estimators::seconds;
use crate::policy::Dispatcher;

impl Dispatcher {
    /// Adds a class and returns its index; the classes before it, and all that is learned, stay as they are.
    /// `None` if there are as many classes as can be told apart.
    pub fn add_class(&mut self, class: Class) -> Option<ClassId> {
        let id = u16::try_from(self.settings.classes.len()).ok()?;
        self.service.push(seconds(class.latency_target));
        self.settings.classes.push(class);
        self.rebuild_pools();
        Some(ClassId(id))
    }

    /// Tells that the number of nodes has changed.
    pub fn set_nodes(&mut self, nodes: u32) {
        self.settings.nodes = nodes;
    }
}
