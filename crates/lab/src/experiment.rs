//! Not written yet; see docs/PLATFORM.md.

use bpaf::Bpaf;

use crate::command::Failure;

/// Flags.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub(crate) struct Options {
    /// Address to listen on
    #[bpaf(argument("ADDR"), fallback(String::from("127.0.0.1:0")))]
    listen: String,
}

pub(crate) fn run(options: &Options) -> Result<(), Failure> {
    Err(format!("not written yet: {}", options.listen).into())
}
