//! A digest of what the planner puts out in a whole run: times, orders, requests for reports and loaded versions.

use pebblepost_rollout::{LoadMode, LoadOrder, PlanOutput};
use std::path::Path;
use std::time::Duration;

/// FNV-1a over 64 bits.
#[derive(Debug)]
pub struct Digest(u64);

impl Default for Digest {
    fn default() -> Digest {
        Digest(0xcbf2_9ce4_8422_2325)
    }
}

impl Digest {
    /// Adds an output of the planner.
    pub fn output(&mut self, now: Duration, output: &PlanOutput) {
        self.number(u64::try_from(now.as_millis()).expect("a short run"));
        match output {
            PlanOutput::SendOrder(order) => self.order(order),
            PlanOutput::FetchLoadReport { instance, address } => {
                self.number(1);
                self.text(instance);
                self.text(address);
            }
            PlanOutput::VersionLoaded { instance, model, generation } => {
                self.number(2);
                self.text(instance);
                self.text(model);
                self.number(*generation);
            }
        }
    }

    /// Adds a number.
    pub fn number(&mut self, number: u64) {
        number.to_le_bytes().into_iter().for_each(|byte| self.byte(byte));
    }

    /// The digest so far, in hexadecimal.
    pub fn hex(&self) -> String {
        format!("{:016x}", self.0)
    }

    fn order(&mut self, order: &LoadOrder) {
        self.number(0);
        self.text(&order.instance);
        self.text(&order.address);
        self.text(&order.model);
        self.number(order.generation);
        self.number(match order.mode {
            LoadMode::Wait => 0,
            LoadMode::Truncate => 1,
            LoadMode::Retain => 2,
        });
    }

    fn text(&mut self, text: &str) {
        self.number(text.len() as u64);
        text.bytes().for_each(|byte| self.byte(byte));
    }

    fn byte(&mut self, byte: u8) {
        self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
}

/// Compares lines with the approved ones of `tests/approved`; `APPROVE=1` writes them anew.
pub fn approve(name: &str, lines: &[String]) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/approved").join(name);
    let text = lines.join("\n") + "\n";
    if std::env::var_os("APPROVE").is_some() {
        std::fs::write(&path, &text).expect("writing the approved text");
    }
    let approved = std::fs::read_to_string(&path).unwrap_or_default();
    assert!(approved == text, "{} differs; received:\n{text}", path.display());
}
