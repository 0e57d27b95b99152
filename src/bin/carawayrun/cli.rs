//! The command line.

use bpaf::Bpaf;

use crate::commands::{Command, command};
use crate::logging::{Logging, logging};

/// A model-aware router for versions and cascades
///
/// Exit codes: 0 done, 1 failed, 2 wrong usage, settings or manifests.
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(options, version, generate(cli))]
pub(crate) struct Cli {
    #[bpaf(external)]
    pub(crate) logging: Logging,
    #[bpaf(external)]
    pub(crate) command: Command,
}
