//! Errors of commands and their exit codes.

use std::error::Error;
use std::fmt;

/// Error that ends a command.
#[derive(Debug)]
pub(crate) enum CliError {
    /// The command failed.
    Failed(Box<dyn Error>),
    /// The command line, a setting or a manifest is invalid.
    Usage(Box<dyn Error>),
}

impl CliError {
    /// Exit code of [`CliError::Usage`].
    pub(crate) const EXIT_USAGE: u8 = 2;

    const EXIT_FAILED: u8 = 1;

    pub(crate) fn failed(error: impl Into<Box<dyn Error>>) -> Self {
        Self::Failed(error.into())
    }

    pub(crate) fn usage(error: impl Into<Box<dyn Error>>) -> Self {
        Self::Usage(error.into())
    }

    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Failed(_) => Self::EXIT_FAILED,
            Self::Usage(_) => Self::EXIT_USAGE,
        }
    }
}

impl fmt::Display for CliError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Failed(error) | Self::Usage(error) => error.fmt(f),
        }
    }
}

impl Error for CliError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::Failed(error) | Self::Usage(error) => error.source(),
        }
    }
}
