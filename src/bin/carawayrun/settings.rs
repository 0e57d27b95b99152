//! Options and environment variables of gateways and agents.

use std::net::SocketAddr;

use bpaf::Bpaf;
use carawayrun::control::Role;
use carawayrun::node::{NodeSettings, PlatformSettings};
use carawayrun::peer::{KeyError, Keys};
use compact_str::CompactString;

/// Maximum length of a node's name, in bytes.
const MAX_NAME_BYTES: usize = 63;

/// Options of a node; each can also be set by an environment variable.
#[derive(Clone)]
#[derive(Bpaf)]
#[bpaf(generate(node_flags))]
pub(crate) struct NodeFlags {
    /// Name of this node, unique among all nodes
    #[bpaf(
        long,
        env("CARAWAYRUN_NAME"),
        argument::<String>("NAME"),
        guard(is_name, NAME_RULE),
        map(CompactString::from)
    )]
    name: CompactString,
    /// Data centre this node is in
    #[bpaf(
        long,
        env("CARAWAYRUN_DATA_CENTRE"),
        argument::<String>("NAME"),
        guard(is_name, NAME_RULE),
        map(CompactString::from)
    )]
    data_centre: CompactString,
    /// Address to listen on for other nodes
    #[bpaf(
        long,
        env("CARAWAYRUN_PEER_LISTEN"),
        argument("IP:PORT"),
        fallback(SocketAddr::from(([127, 0, 0, 1], 0))),
        display_fallback
    )]
    peer_listen: SocketAddr,
    /// Address at which other nodes reach this node; default: the bound address
    #[bpaf(long, env("CARAWAYRUN_PEER_ADDR"), argument("IP:PORT"), optional)]
    peer_addr: Option<SocketAddr>,
    /// Key shared by all nodes, at least 16 bytes; default: `CARAWAYRUN_CLUSTER_KEY`
    #[bpaf(long, argument("KEY"), fallback_with(cluster_key_from_env))]
    cluster_key: String,
    /// Previous cluster key, still accepted; default: `CARAWAYRUN_PREVIOUS_KEY`
    #[bpaf(long, argument("KEY"), optional, map(previous_key_or_env))]
    previous_key: Option<String>,
    /// Address of the table service
    #[bpaf(long, env("CARAWAYRUN_TABLE_ADDR"), argument("IP:PORT"))]
    table_addr: SocketAddr,
    /// Address of the object store; no snapshots if absent
    #[bpaf(long, env("CARAWAYRUN_OBJECTS_ADDR"), argument("IP:PORT"), optional)]
    objects_addr: Option<SocketAddr>,
    /// Address of the host list
    #[bpaf(long, env("CARAWAYRUN_HOSTS_ADDR"), argument("IP:PORT"))]
    hosts_addr: SocketAddr,
    /// Address to send counters to as statsd over UDP; not sent if absent
    #[bpaf(long, env("CARAWAYRUN_STATSD_ADDR"), argument("IP:PORT"), optional)]
    statsd_addr: Option<SocketAddr>,
}

const NAME_RULE: &str = "names are 1 to 63 of a-z, 0-9 and `-`";

impl NodeFlags {
    /// Returns the settings of a gateway.
    ///
    /// # Errors
    ///
    /// [`KeyError`] if a cluster key is too short.
    pub(crate) fn gateway(&self) -> Result<NodeSettings, KeyError> {
        self.settings(Role::Gateway)
    }

    /// Returns the settings of the agent of `upstream`, which accepts runs on
    /// `http_addr`.
    ///
    /// # Errors
    ///
    /// [`KeyError`] if a cluster key is too short.
    pub(crate) fn agent(
        &self,
        upstream: &str,
        http_addr: SocketAddr,
    ) -> Result<NodeSettings, KeyError> {
        let mut settings = self.settings(Role::Agent)?;
        settings.upstream = upstream.into();
        settings.http_addr = CompactString::from(http_addr.to_string());
        Ok(settings)
    }

    fn settings(&self, role: Role) -> Result<NodeSettings, KeyError> {
        let previous = self.previous_key.as_deref().map(str::as_bytes);
        Ok(NodeSettings {
            name: self.name.clone(),
            role,
            data_centre: self.data_centre.clone(),
            peer_listen: self.peer_listen,
            peer_addr: self.peer_addr,
            http_addr: CompactString::default(),
            upstream: CompactString::default(),
            keys: Keys::new(self.cluster_key.as_bytes(), previous)?,
            platform: PlatformSettings {
                table_addr: self.table_addr,
                objects_addr: self.objects_addr,
                hosts_addr: self.hosts_addr,
            },
            statsd_addr: self.statsd_addr,
        })
    }
}

impl std::fmt::Debug for NodeFlags {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("NodeFlags")
            .field("name", &self.name)
            .field("data_centre", &self.data_centre)
            .field("peer_listen", &self.peer_listen)
            .field("peer_addr", &self.peer_addr)
            .field("cluster_key", &"(redacted)")
            .field("table_addr", &self.table_addr)
            .field("objects_addr", &self.objects_addr)
            .field("hosts_addr", &self.hosts_addr)
            .field("statsd_addr", &self.statsd_addr)
            .finish_non_exhaustive()
    }
}

// bpaf shows the values of its `env` variables in help texts, so the keys are
// read here to keep them secret.
fn cluster_key_from_env() -> Result<String, &'static str> {
    std::env::var("CARAWAYRUN_CLUSTER_KEY")
        .map_err(|_| "no cluster key; give --cluster-key=KEY or set CARAWAYRUN_CLUSTER_KEY")
}

fn previous_key_or_env(given: Option<String>) -> Option<String> {
    given.or_else(|| std::env::var("CARAWAYRUN_PREVIOUS_KEY").ok())
}

#[expect(clippy::ptr_arg, reason = "bpaf passes a `&String` to guards")]
fn is_name(name: &String) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(is_allowed)
}
