//! What a node has to be told, as plain data.

use std::net::SocketAddr;

use compact_str::CompactString;

use crate::control::Role;
use crate::peer::Keys;

/// Settings of a node; the command line fills them from flags and environment.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Name, unique among the nodes.
    pub name: CompactString,
    /// What the process does.
    pub role: Role,
    /// Data centre it is in.
    pub data_centre: CompactString,
    /// Address of the nng listener; port zero takes a free one.
    pub peer_listen: SocketAddr,
    /// Address of the nng listener as peers reach it; as bound where absent.
    pub peer_addr: Option<SocketAddr>,
    /// host:port of the HTTP listener for runs; empty for gateways.
    pub http_addr: CompactString,
    /// Name of the upstream it stands before; empty for gateways.
    pub upstream: CompactString,
    /// Keys shared by all nodes.
    pub keys: Keys,
    /// Services of the platform.
    pub platform: PlatformSettings,
    /// Where counters go as statsd over UDP; nowhere where absent.
    pub statsd_addr: Option<SocketAddr>,
}

/// Addresses of the platform's services.
#[derive(Debug, Clone, Copy)]
pub struct PlatformSettings {
    /// Table service.
    pub table_addr: SocketAddr,
    /// Object store; no snapshots where absent.
    pub objects_addr: Option<SocketAddr>,
    /// Host list.
    pub hosts_addr: SocketAddr,
}
