//! `carawayrun agent`.

use bpaf::Bpaf;

use crate::failure::Failure;

/// Runs the process beside one upstream
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("agent"), generate(cli))]
pub(crate) struct Options {}

/// Not built yet: the agent helper replaces this file.
pub(crate) fn exec(_options: &Options) -> Result<(), Failure> {
    Err(Failure::failed("agent: not built yet"))
}
