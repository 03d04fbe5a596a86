//! Errors of the operators' commands that have exit codes of their own.

use std::fmt;

const BAD_USAGE: u8 = 2;
const REFUSED: u8 = 3;

/// The arguments, the settings or a file are wrong.
#[derive(Debug)]
struct BadUsage(String);

/// The system refused the order.
#[derive(Debug)]
struct Refused(String);

impl fmt::Display for BadUsage {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl fmt::Display for Refused {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl std::error::Error for BadUsage {}
impl std::error::Error for Refused {}

/// An error about the arguments, the settings or a file.
pub fn bad_usage(reason: String) -> eyre::Report {
    BadUsage(reason).into()
}

/// An error about an order that was refused.
pub fn refused(reason: String) -> eyre::Report {
    Refused(reason).into()
}

/// The exit code of an error, if it has one of its own.
pub fn exit_code_of(error: &eyre::Report) -> Option<u8> {
    error.chain().find_map(|cause| {
        if cause.is::<BadUsage>() {
            Some(BAD_USAGE)
        } else if cause.is::<Refused>() {
            Some(REFUSED)
        } else {
            None
        }
    })
}
