//! Options of the commands that call the operators' API of a gateway.

use std::env;

use bpaf::Bpaf;
use carawayrun::ops::{Client, ClientError};
use compact_str::CompactString;

use crate::error::CliError;

/// Environment variable with the operator's key. There is no flag for it, since
/// process listings show command lines.
const KEY_VARIABLE: &str = "CARAWAYRUN_OPERATOR_KEY";

const DEFAULT_SERVER: &str = "http://127.0.0.1:7001";

/// Gateways to connect to; `CARAWAYRUN_OPERATOR_KEY` holds the operator's key.
#[derive(Debug, Clone)]
#[derive(Bpaf)]
pub(crate) struct Remote {
    /// Operators' URL of a gateway; several, separated by commas, are tried in turn
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
    /// Validates the flags and creates a client.
    ///
    /// # Errors
    ///
    /// [`CliError::Usage`] if a URL is invalid or the key is missing.
    pub(crate) fn client(&self) -> Result<Client, CliError> {
        let servers = self.servers()?;
        let key = env::var(KEY_VARIABLE).unwrap_or_default();
        if key.is_empty() {
            return Err(CliError::usage(format!(
                "{KEY_VARIABLE} is not set; set it to the operator's key"
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
                    "--server `{url}` is not a URL; expected http://HOST:PORT"
                )))
            }
        })
        .collect()
    }
}

/// Converts the error of an API call; invalid input is a usage error.
pub(crate) fn call_error(error: ClientError) -> CliError {
    if error.is_invalid() {
        CliError::usage(error)
    } else {
        CliError::failed(error)
    }
}

/// Runs a future to completion.
pub(crate) fn block_on<T>(future: impl Future<Output = T>) -> T {
    actix_rt::System::new().block_on(future)
}
