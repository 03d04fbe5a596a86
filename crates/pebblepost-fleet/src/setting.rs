//! The settings that may change while programs run, each with its range.

/// A changeable setting: its name and the least and the greatest value it takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Setting {
    /// Its name, as in the operator's file.
    pub name: &'static str,
    /// Least value.
    pub least: f64,
    /// Greatest value.
    pub most: f64,
    /// Unit of the value.
    pub unit: &'static str,
}

/// All of them.
pub const SETTINGS: [Setting; 2] = [
    Setting { name: "faktory.heartbeat_s", least: 0.001, most: 86_400.0, unit: "s" },
    Setting { name: "faktory.reserve_for_s", least: 0.001, most: 86_400.0, unit: "s" },
];

/// The setting of that name.
pub fn find(name: &str) -> Option<&'static Setting> {
    SETTINGS.iter().find(|s| s.name == name)
}

impl Setting {
    /// Whether it takes this value.
    pub fn takes(&self, value: f64) -> bool {
        (self.least..=self.most).contains(&value)
    }
}
