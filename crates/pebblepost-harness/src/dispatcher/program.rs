//! Builds the program under test.

use anyhow::{Context, Result, bail};
use std::path::PathBuf;
use std::process::Command;

/// Builds the program with Cargo, in the profile of this build, and returns its path.
///
/// The path is the directory of the running executable, or its parent if that is Cargo's `deps` directory.
///
/// # Errors
///
/// Returns an error if Cargo can not be run or the build fails.
pub fn build_program() -> Result<PathBuf> {
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut build = Command::new(cargo);
    build.args(["build", "--quiet", "--locked", "-p", "pebblepost"]);
    if !cfg!(debug_assertions) {
        build.arg("--release");
    }
    build.current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."));
    if !build.status().context("failed to run cargo")?.success() {
        bail!("the build of the package pebblepost failed");
    }
    let here = std::env::current_exe()?;
    let directory = here.parent().context("the path of the running executable has no parent directory")?;
    let directory =
        if directory.ends_with("deps") { directory.parent().unwrap_or(directory) } else { directory };
    Ok(directory.join("pebblepost"))
}
