//! The replicated application of the tests: a list of numbers.

use pebblepost_replication::replica::StateMachine;

#[derive(Debug, Default)]
pub struct ListMachine {
    pub values: Vec<u64>,
    /// A violation of the contract of [`StateMachine`] by the library, if any.
    pub violation: Option<String>,
}

impl StateMachine for ListMachine {
    fn apply(&mut self, index: u64, entry: &[u8]) {
        if index != self.values.len() as u64 + 1 {
            self.violation = Some(format!("entry {index} applied after {}", self.values.len()));
        }
        self.values.push(u64::from_le_bytes(entry.try_into().expect("an entry of eight bytes")));
    }

    fn snapshot(&self) -> Vec<u8> {
        self.values.iter().flat_map(|value| value.to_le_bytes()).collect()
    }

    fn restore(&mut self, snapshot: &[u8]) {
        let (values, _) = snapshot.as_chunks::<8>();
        self.values = values.iter().map(|value| u64::from_le_bytes(*value)).collect();
    }
}
