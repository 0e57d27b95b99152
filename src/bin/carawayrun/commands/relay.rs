//! `carawayrun relay`.

use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use bpaf::Bpaf;
use carawayrun::platform;
use carawayrun::relay::{self, Relay, RelaySettings};
use tokio::signal::unix::{SignalKind, signal};

use crate::error::CliError;

/// Time between two checks of the settings file for changes. The platform may
/// change it without sending SIGHUP, and the change must take effect within
/// seconds.
const SETTINGS_POLL_PERIOD: Duration = Duration::from_secs(1);

/// Runs a relay: a gateway that connects to upstreams directly
///
/// It runs on the users' platform, which writes its settings file. SIGTERM or
/// SIGINT drains the relay: it reports that it is not ready and exits when the
/// requests in flight have ended, or after the grace period of the settings.
/// SIGHUP reloads the settings.
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(command("relay"), generate(cli))]
pub(crate) struct Options {
    /// Settings file of the platform
    #[bpaf(long("settings"), env("CARAWAYRUN_SETTINGS"), argument("FILE"))]
    path: PathBuf,
    /// Port to serve metrics on, at the host's address
    #[bpaf(
        long,
        env("CARAWAYRUN_METRICS_PORT"),
        argument("PORT"),
        fallback(9464),
        display_fallback
    )]
    metrics_port: u16,
}

impl Options {
    fn load(&self) -> Result<RelaySettings, CliError> {
        platform::load_settings(&self.path, self.metrics_port)
            .map_err(|error| CliError::usage(error.to_string()))
    }
}

pub(crate) fn exec(options: &Options) -> Result<(), CliError> {
    let settings = options.load()?;
    actix_rt::System::new().block_on(serve(options, settings))
}

async fn serve(options: &Options, settings: RelaySettings) -> Result<(), CliError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(CliError::failed)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(CliError::failed)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(CliError::failed)?;
    let relay = relay::bind(settings).map_err(CliError::failed)?;
    let mut poll = tokio::time::interval(SETTINGS_POLL_PERIOD);
    let mut last_modified = modified_at(&options.path);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(options, &relay),
            _ = poll.tick() => {
                let modified = modified_at(&options.path);
                if modified != last_modified {
                    last_modified = modified;
                    reload(options, &relay);
                }
            }
        }
    }
    let interrupted = relay.drain().await;
    if interrupted == 0 {
        return Ok(());
    }
    Err(CliError::failed(format!(
        "{interrupted} requests in flight were interrupted when the grace period of the settings ended"
    )))
}

fn reload(options: &Options, relay: &Relay) {
    match options.load() {
        Ok(settings) => relay.reload(settings),
        Err(error) => tracing::error!(%error, "invalid settings; keeping the previous ones"),
    }
}

/// Returns when the file was last modified; `None` if that is unknown.
fn modified_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path)
        .and_then(|metadata| metadata.modified())
        .inspect_err(
            |error| tracing::warn!(%error, "modification time of the settings file is unknown"),
        )
        .ok()
}
