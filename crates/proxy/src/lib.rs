//! Data plane: client connections, routing, decisions, attempts.

/// Runs the program until SIGTERM.
pub fn run(_settings: pebblepost_settings::Settings) -> eyre::Result<()> {
    todo!()
}
