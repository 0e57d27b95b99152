//! Flags of the commands that talk to gateways.

use std::env;

use bpaf::Bpaf;
use carawayrun::ops::{Client, ClientError};
use compact_str::CompactString;

use crate::error::CliError;

/// Environment variable with the operator's key; no flag, so that the key is
/// not seen in lists of processes.
const KEY_VARIABLE: &str = "CARAWAYRUN_OPERATOR_KEY";

const DEFAULT_SERVER: &str = "http://127.0.0.1:7001";

/// Gateways to talk to; the operator's key comes from `CARAWAYRUN_OPERATOR_KEY`.
#[derive(Debug, Clone)]
#[derive(Bpaf)]
pub(crate) struct Remote {
    /// Operators' URL of a gateway; several, divided by commas, are tried in turn
    #[bpaf(
        long("server"),
        env("CARAWAYRUN_SERVER"),
        argument("URL"),
        fallback(String::from(DEFAULT_SERVER)),
        display_fallback
    )]
    server: String,
}

impl Remote {
    /// Checks the flags and makes the client.
    ///
    /// # Errors
    ///
    /// [`CliError::Usage`] where a URL or the key is missing or wrong.
    pub(crate) fn client(&self) -> Result<Client, CliError> {
        let servers = self.servers()?;
        let key = env::var(KEY_VARIABLE).unwrap_or_default();
        if key.is_empty() {
            return Err(CliError::usage(format!(
                "{KEY_VARIABLE} is not set; give it the operator's key"
            )));
        }
        Ok(Client::new(servers, key.into()))
    }

    fn servers(&self) -> Result<Vec<CompactString>, CliError> {
        let urls = self.server.split(',').map(str::trim);
        urls.map(|url| {
            if url.starts_with("http://") {
                Ok(url.trim_end_matches('/').into())
            } else {
                Err(CliError::usage(format!(
                    "--server `{url}` is not a URL; accepted is http://HOST:PORT"
                )))
            }
        })
        .collect()
    }
}

/// The failure of a call: wrong input is wrong usage.
pub(crate) fn call_error(error: ClientError) -> CliError {
    if error.is_invalid() {
        CliError::usage(error)
    } else {
        CliError::failed(error)
    }
}

/// Runs a command's future to its end.
pub(crate) fn block_on<T>(future: impl Future<Output = T>) -> T {
    actix_rt::System::new().block_on(future)
}
