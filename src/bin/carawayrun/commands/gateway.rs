//! `carawayrun gateway`.

use bpaf::Bpaf;

use crate::failure::Failure;

/// Runs an entry host's process: callers' HTTP and the operators' API
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("gateway"), generate(cli))]
pub(crate) struct Options {}

/// Not built yet: the gateway helper replaces this file.
pub(crate) fn exec(_options: &Options) -> Result<(), Failure> {
    Err(Failure::failed("gateway: not built yet"))
}
