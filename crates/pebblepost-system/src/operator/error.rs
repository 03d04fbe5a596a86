//! Errors of operators' commands that have exit codes of their own.

use eyre::Report;

const USAGE_EXIT_CODE: u8 = 2;
const REJECTED_EXIT_CODE: u8 = 3;

/// Why a command failed, where that has an exit code of its own.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The arguments, the settings or a file are wrong.
    #[error("{0}")]
    Usage(String),
    /// The control plane rejected the request.
    #[error("{0}")]
    Rejected(String),
}

impl CommandError {
    fn exit_code(&self) -> u8 {
        match self {
            CommandError::Usage(_) => USAGE_EXIT_CODE,
            CommandError::Rejected(_) => REJECTED_EXIT_CODE,
        }
    }
}

/// A [`CommandError::Usage`].
pub fn usage_error(reason: impl Into<String>) -> Report {
    CommandError::Usage(reason.into()).into()
}

/// A [`CommandError::Rejected`].
pub fn rejected(reason: impl Into<String>) -> Report {
    CommandError::Rejected(reason.into()).into()
}

/// The exit code of an error, if it has one of its own.
pub fn exit_code_of(error: &Report) -> Option<u8> {
    error.chain().find_map(|cause| cause.downcast_ref()).map(CommandError::exit_code)
}
