//! Settings of a node and of the services that it uses.

use std::net::SocketAddr;

use compact_str::CompactString;

use crate::control::Role;
use crate::peer::Keys;

/// Settings of a node; the command line fills them from flags and environment.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Name, unique among the nodes.
    pub name: CompactString,
    /// Role of the process.
    pub role: Role,
    /// Data centre of the node.
    pub data_centre: CompactString,
    /// Address of the nng listener; port zero binds a free port.
    pub peer_listen: SocketAddr,
    /// Address at which peers reach the nng listener; the bound address if
    /// absent.
    pub peer_addr: Option<SocketAddr>,
    /// host:port of the HTTP listener for runs; empty for gateways.
    pub http_addr: CompactString,
    /// Name of the agent's upstream; empty for gateways.
    pub upstream: CompactString,
    /// Keys shared by all nodes.
    pub keys: Keys,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Address for counters, sent as statsd over UDP; none are sent if absent.
    pub statsd_addr: Option<SocketAddr>,
}

/// Addresses of the platform's services.
#[derive(Debug, Clone, Copy)]
pub struct PlatformSettings {
    /// Address of the table service.
    pub table_addr: SocketAddr,
    /// Address of the object store; no snapshots if absent.
    pub objects_addr: Option<SocketAddr>,
    /// Address of the host list.
    pub hosts_addr: SocketAddr,
}
