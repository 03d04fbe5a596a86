//! Program of the core machines.

/// Runs the program until SIGTERM.
pub fn run(_settings: pebblepost_settings::Settings) -> eyre::Result<()> {
    todo!()
}
