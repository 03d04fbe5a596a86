//! The settings that can be changed at run time, each with its valid range.

/// A setting that can be changed at run time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Setting {
    /// Name of the setting in the operator's configuration file.
    pub name: &'static str,
    /// Smallest accepted value.
    pub min: f64,
    /// Largest accepted value.
    pub max: f64,
    /// Unit of the values, for messages.
    pub unit: &'static str,
}

/// All settings that can be changed at run time.
pub const SETTINGS: [Setting; 2] = [
    Setting { name: "faktory.heartbeat_s", min: 0.001, max: 86_400.0, unit: "s" },
    Setting { name: "faktory.reserve_for_s", min: 0.001, max: 86_400.0, unit: "s" },
];

/// Returns the setting of that name.
pub fn find(name: &str) -> Option<&'static Setting> {
    SETTINGS.iter().find(|setting| setting.name == name)
}

impl Setting {
    /// Returns whether the value is within the setting's range.
    pub fn accepts(&self, value: f64) -> bool {
        (self.min..=self.max).contains(&value)
    }
}
