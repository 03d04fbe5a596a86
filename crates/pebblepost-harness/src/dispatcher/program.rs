//! Builds the program under test.

use anyhow::{Context, Result, bail};
use std::path::PathBuf;
use std::process::Command;

/// Builds the program and returns its path, beside the one that runs.
///
/// # Errors
///
/// If it does not build.
pub fn build_program() -> Result<PathBuf> {
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut build = Command::new(cargo);
    build.args(["build", "--quiet", "--locked", "-p", "pebblepost"]);
    if !cfg!(debug_assertions) {
        build.arg("--release");
    }
    build.current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."));
    if !build.status().context("cargo")?.success() {
        bail!("pebblepost did not build");
    }
    let here = std::env::current_exe()?;
    let folder = here.parent().context("a program without a folder")?;
    let folder = if folder.ends_with("deps") { folder.parent().unwrap_or(folder) } else { folder };
    Ok(folder.join("pebblepost"))
}
