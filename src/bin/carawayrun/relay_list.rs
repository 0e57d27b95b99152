//! Lists that a relay serves beside its metrics.

use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::CliError;
use crate::format::{Format, json_text, output_format, yaml_text};
use crate::output::Output;
use crate::remote::block_on;
use crate::table::Table;

/// Time limit for the answer of a relay.
const TIMEOUT: Duration = Duration::from_secs(5);

// Options of the commands that print such a list. A doc comment would head a group of its own
// in their help texts.
#[derive(Debug, Clone)]
#[derive(Bpaf)]
pub(crate) struct RelayList {
    #[bpaf(external(output_format))]
    output: Format,
    /// Address of the relay's metrics
    #[bpaf(positional("IP:PORT"))]
    metrics: SocketAddr,
}

impl RelayList {
    /// Reads the list at `path` and prints it.
    ///
    /// # Errors
    ///
    /// [`CliError`] if the relay can't be reached or serves no such list.
    pub(crate) fn print<T: Serialize + DeserializeOwned>(
        &self,
        path: &str,
        table: impl FnOnce(&[T]) -> Table,
        output: &mut Output,
    ) -> Result<(), CliError> {
        let listed: Vec<T> = block_on(self.fetch(path))?;
        match self.output {
            Format::Json => output.print(&json_text(&listed)),
            Format::Yaml => output.print(&yaml_text(&listed)),
            Format::Table => output.print(&table(&listed).render()),
        }
        Ok(())
    }

    async fn fetch<T: DeserializeOwned>(&self, path: &str) -> Result<Vec<T>, CliError> {
        let metrics = self.metrics;
        let url = format!("http://{metrics}{path}");
        let failed = |error: &dyn Display| {
            CliError::failed(format!(
                "no list from {metrics}: {error}; give the address of a relay's metrics"
            ))
        };
        let client = awc::Client::builder().timeout(TIMEOUT).finish();
        let mut answer = client
            .get(url)
            .send()
            .await
            .map_err(|error| failed(&error))?;
        let listed = answer.json().await;
        listed.map_err(|error| failed(&error))
    }
}

/// Time in seconds, for a column of a table.
pub(crate) fn seconds(ms: u64) -> String {
    format!("{:.1}", ms as f64 / 1_000.0)
}
