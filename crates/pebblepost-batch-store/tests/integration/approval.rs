//! Comparison of texts with approved files; `APPROVE=1` in the environment writes them anew.

use std::path::{Path, PathBuf};

/// Set to write the approved texts anew.
const APPROVE_VARIABLE: &str = "APPROVE";

/// Compares lines with an approved file under `tests`.
pub fn approve(file: &str, lines: &[String]) {
    let text = lines.join("\n") + "\n";
    if std::env::var_os(APPROVE_VARIABLE).is_some() {
        std::fs::write(path(file), &text).expect("writing the approved text");
    }
    assert!(approved(file) == text, "{file} differs; received:\n{text}");
}

/// Text of an approved file under `tests`; empty if there is none.
pub fn approved(file: &str) -> String {
    std::fs::read_to_string(path(file)).unwrap_or_default()
}

fn path(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests").join(file)
}
