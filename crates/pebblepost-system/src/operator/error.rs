//! Errors of the operators' commands that determine the exit code.

use eyre::Report;

const USAGE_EXIT_CODE: u8 = 2;
const REJECTED_EXIT_CODE: u8 = 3;

/// A failure with its own exit code. Every other error exits with the code for general failures.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// An argument, the settings or an input file are invalid.
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

/// Creates a [`CommandError::Usage`].
pub fn usage_error(reason: impl Into<String>) -> Report {
    CommandError::Usage(reason.into()).into()
}

/// Creates a [`CommandError::Rejected`].
pub fn rejection(reason: impl Into<String>) -> Report {
    CommandError::Rejected(reason.into()).into()
}

/// Returns the exit code of the first [`CommandError`] in the error's chain of causes, if there is one.
pub fn exit_code_of(error: &Report) -> Option<u8> {
    error.chain().find_map(|cause| cause.downcast_ref()).map(CommandError::exit_code)
}
