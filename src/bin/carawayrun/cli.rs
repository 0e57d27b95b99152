//! Command-line options and subcommands.

use bpaf::Bpaf;

use crate::commands::{Command, command};
use crate::logging::{Logging, logging};

/// A model-aware router for versions and cascades
///
/// Exit codes: 0 success, 1 failure, 2 invalid usage, settings or manifests.
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(options, version, generate(cli))]
pub(crate) struct Cli {
    #[bpaf(external)]
    pub(crate) logging: Logging,
    #[bpaf(external)]
    pub(crate) command: Command,
}
