//! The settings file that the platform writes for each process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use compact_str::CompactString;
use serde::Deserialize;
use snafu::{ResultExt, Snafu};

use super::time::{from_millis, from_seconds};
use crate::relay::RelaySettings;
use crate::relay::allowance::ColdTolerance;
use crate::relay::shares::TeamWeights;

/// Why a settings file can't be used.
#[derive(Debug)]
#[derive(Snafu)]
pub enum SettingsError {
    /// It could not be read.
    #[snafu(display("can't read the settings file {}: {source}", path.display()))]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A field is missing, of another type, or the file is not TOML.
    #[snafu(display("settings file {}: {}", path.display(), source.message()))]
    Malformed {
        /// Path of the file.
        path: PathBuf,
        /// Error of the parser, with its position.
        source: Box<toml::de::Error>,
    },
    /// A value is out of its range.
    #[snafu(display("settings file {}: `{field}` must be {expected}", path.display()))]
    OutOfRange {
        /// Path of the file.
        path: PathBuf,
        /// Dotted TOML path of the field, such as `bounds.grace_s`.
        field: &'static str,
        /// Description of the allowed values.
        expected: &'static str,
    },
}

#[derive(Deserialize)]
struct SettingsFile {
    node_name: CompactString,
    ip: std::net::IpAddr,
    zone: CompactString,
    /// First and last port for traffic between hosts.
    port_range: [u16; 2],
    listen: Listen,
    limits: Limits,
    bounds: Bounds,
    platform: Platform,
    /// Weights of tenants that compete for places; 1 for those that are not named.
    #[serde(default)]
    team_weights: BTreeMap<CompactString, f64>,
}

#[derive(Deserialize)]
struct Listen {
    /// Address for clients' requests.
    frontend: SocketAddr,
    /// Address for readiness probes of the platform's balancer.
    readiness: SocketAddr,
}

#[derive(Deserialize)]
struct Limits {
    max_fds: u32,
    /// Absent where the machine's whole memory may be used.
    memory_mb: Option<u64>,
}

#[derive(Deserialize)]
struct Bounds {
    grace_s: f64,
    drain_ms: f64,
    revoke_ms: f64,
    /// Absent on deployments whose zones are not taken out of service.
    evacuate_ms: Option<f64>,
    /// Absent on deployments without roll-outs.
    #[serde(default = "default_exposure")]
    exposure_share: f64,
    #[serde(default)]
    exposure_slack: f64,
    #[serde(default)]
    retry_ratio: f64,
    #[serde(default)]
    retry_slack: f64,
    #[serde(default = "default_window")]
    retry_window_s: f64,
    /// Absent on deployments without sessions.
    #[serde(default)]
    session_s: f64,
    /// Absent, as the next one, on deployments whose upstreams have no limit while cold.
    #[serde(default = "default_overshoot")]
    warmup_overshoot: f64,
    #[serde(default)]
    warmup_slack: f64,
}

#[derive(Deserialize)]
struct Platform {
    address: SocketAddr,
}

// The smallest share in the platform's documentation.
fn default_exposure() -> f64 {
    0.0975
}

// No more than the rate itself.
fn default_overshoot() -> f64 {
    1.0
}

// The window in the platform's documentation, in seconds.
fn default_window() -> f64 {
    10.0
}

/// Reads and checks the settings file.
///
/// Unknown fields are ignored, as newer versions of the platform write more fields.
///
/// # Errors
///
/// [`SettingsError`] with the file, the field and its allowed values.
pub fn load_settings(path: &Path, metrics_port: u16) -> Result<RelaySettings, SettingsError> {
    let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
    let file: SettingsFile = toml::from_str(&text)
        .map_err(Box::new)
        .context(MalformedSnafu { path })?;
    find_out_of_range(&file).map_or(Ok(()), |(field, expected)| {
        OutOfRangeSnafu {
            path,
            field,
            expected,
        }
        .fail()
    })?;
    Ok(convert_settings(file, metrics_port))
}

// Returns the first field out of its range, with its allowed values.
fn find_out_of_range(file: &SettingsFile) -> Option<(&'static str, &'static str)> {
    const POSITIVE: &str = "more than zero";
    const SHARE: &str = "between 0 and 1";
    let bounds = &file.bounds;
    let checks = [
        (!file.node_name.is_empty(), "node_name", "given"),
        (!file.zone.is_empty(), "zone", "given"),
        (bounds.grace_s > 0.0, "bounds.grace_s", POSITIVE),
        (bounds.drain_ms > 0.0, "bounds.drain_ms", POSITIVE),
        (bounds.revoke_ms > 0.0, "bounds.revoke_ms", POSITIVE),
        (
            bounds.evacuate_ms.is_none_or(|ms| ms > 0.0),
            "bounds.evacuate_ms",
            POSITIVE,
        ),
        (
            bounds.retry_window_s > 0.0,
            "bounds.retry_window_s",
            POSITIVE,
        ),
        (
            (0.0..=1.0).contains(&bounds.exposure_share),
            "bounds.exposure_share",
            SHARE,
        ),
        (
            bounds.retry_ratio >= 0.0,
            "bounds.retry_ratio",
            "zero or more",
        ),
        (
            bounds.retry_slack >= 0.0,
            "bounds.retry_slack",
            "zero or more",
        ),
        (bounds.session_s >= 0.0, "bounds.session_s", "zero or more"),
        (
            bounds.warmup_overshoot > 0.0,
            "bounds.warmup_overshoot",
            POSITIVE,
        ),
        (
            bounds.warmup_slack >= 0.0,
            "bounds.warmup_slack",
            "zero or more",
        ),
        (
            file.team_weights
                .values()
                .all(|weight| weight.is_finite() && *weight > 0.0),
            "team_weights",
            "more than zero for each team",
        ),
        (file.limits.max_fds >= 512, "limits.max_fds", "512 or more"),
        (
            file.limits
                .memory_mb
                .is_none_or(|megabytes| megabytes >= 32),
            "limits.memory_mb",
            "32 or more",
        ),
    ];
    checks
        .into_iter()
        .find(|(holds, _, _)| !holds)
        .map(|(_, field, expected)| (field, expected))
}

fn convert_settings(file: SettingsFile, metrics_port: u16) -> RelaySettings {
    let bounds = file.bounds;
    let memory_mb = file.limits.memory_mb;
    RelaySettings {
        node: file.node_name,
        data_centre: file.zone,
        listen: file.listen.frontend,
        ready_listen: file.listen.readiness,
        metrics_listen: SocketAddr::new(file.ip, metrics_port),
        peer_listen: SocketAddr::new(file.ip, file.port_range[0]),
        store: file.platform.address,
        grace: from_seconds(bounds.grace_s),
        drain_limit: from_millis(bounds.drain_ms),
        evacuation_limit: bounds.evacuate_ms.map(from_millis),
        revocation_limit: from_millis(bounds.revoke_ms),
        exposure_share: bounds.exposure_share,
        exposure_slack: bounds.exposure_slack,
        retry_ratio: bounds.retry_ratio,
        retry_slack: bounds.retry_slack,
        retry_window: from_seconds(bounds.retry_window_s),
        session_gap: from_seconds(bounds.session_s),
        cold_tolerance: ColdTolerance {
            multiple: bounds.warmup_overshoot,
            slack: bounds.warmup_slack,
        },
        team_weights: TeamWeights::new(
            file.team_weights
                .iter()
                .map(|(team, weight)| (team.as_str(), *weight)),
        ),
        max_descriptors: file.limits.max_fds,
        host_memory: memory_mb.map_or_else(machine_memory, |megabytes| megabytes << 20),
    }
}

// Memory of the machine in bytes; that of the smallest hosts where it can't be read.
fn machine_memory() -> u64 {
    const SMALLEST: u64 = 88 << 20;
    let table = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let total = table
        .lines()
        .find_map(|line| line.strip_prefix("MemTotal:"));
    let kilobytes = total.and_then(|total| total.trim().strip_suffix(" kB")?.parse().ok());
    kilobytes.map_or(SMALLEST, |kilobytes: u64| kilobytes << 10)
}
