//! Agent beside each proxy: keeps the link to the control plane.

/// Runs the program until SIGTERM.
pub fn run(_settings: pebblepost_settings::Settings) -> eyre::Result<()> {
    todo!()
}
