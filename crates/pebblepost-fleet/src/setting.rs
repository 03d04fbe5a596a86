//! The settings that may change while programs run, each with its range.

/// A changeable setting: its name, and the values that it accepts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Setting {
    /// Its name, as in the operator's file.
    pub name: &'static str,
    /// Smallest value.
    pub min: f64,
    /// Largest value.
    pub max: f64,
    /// Unit of the value.
    pub unit: &'static str,
}

/// All changeable settings.
pub const SETTINGS: [Setting; 2] = [
    Setting { name: "faktory.heartbeat_s", min: 0.001, max: 86_400.0, unit: "s" },
    Setting { name: "faktory.reserve_for_s", min: 0.001, max: 86_400.0, unit: "s" },
];

/// The setting of that name.
pub fn find(name: &str) -> Option<&'static Setting> {
    SETTINGS.iter().find(|setting| setting.name == name)
}

impl Setting {
    /// Whether that value is within its range.
    pub fn accepts(&self, value: f64) -> bool {
        (self.min..=self.max).contains(&value)
    }
}
