//! `carawayrun digest`.

use std::io::Read;

use bpaf::Bpaf;
use carawayrun::resource::key_digest;

use crate::error::CliError;
use crate::output::Output;

/// Prints the SHA-256 digest of a key read from standard input
///
///
/// Manifests and settings contain only digests, never keys. Trailing line ends are not part of the key.
///
///
/// Example:
///    printf %s "$KEY" | carawayrun digest
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(command("digest"), generate(cli))]
pub(crate) struct Options {}

pub(crate) fn exec(_options: &Options, output: &mut Output) -> Result<(), CliError> {
    let mut key = String::new();
    std::io::stdin()
        .read_to_string(&mut key)
        .map_err(CliError::failed)?;
    let key = key.trim_end_matches(['\r', '\n']);
    if key.is_empty() {
        return Err(CliError::usage(
            "standard input contains no key; pipe one in, such as printf %s \"$KEY\" | carawayrun digest",
        ));
    }
    output.print_line(&key_digest(key));
    Ok(())
}
