//! Comparison of texts with approved files. `APPROVE=1` in the environment rewrites the files.

use std::path::{Path, PathBuf};

/// Environment variable that makes [`approve`] write the approved files.
const APPROVE_VARIABLE: &str = "APPROVE";

/// Compares lines with an approved file under `tests`. Panics if they differ.
pub fn approve(file: &str, lines: &[String]) {
    let text = lines.join("\n") + "\n";
    if std::env::var_os(APPROVE_VARIABLE).is_some() {
        std::fs::write(path(file), &text).expect("writing the approved text");
    }
    assert!(approved(file) == text, "{file} differs; received:\n{text}");
}

/// Returns the text of an approved file under `tests`, or an empty string if there is none.
pub fn approved(file: &str) -> String {
    std::fs::read_to_string(path(file)).unwrap_or_default()
}

fn path(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests").join(file)
}
