//! A digest of what the planner puts out in a whole run: times, orders, requests for reports and loaded versions.

use pebblepost_rollout::{LoadMode, LoadOrder, PlanOutput};
use pebblepost_stable_hash::Fnv1a;
use std::path::Path;
use std::time::Duration;

/// Digest of all outputs.
#[derive(Debug, Default)]
pub struct Digest(Fnv1a);

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
        self.0.number(number);
    }

    /// The digest so far, in hexadecimal.
    pub fn hex(&self) -> String {
        format!("{:016x}", self.0.finish())
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
        self.0.bytes(text.as_bytes());
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
