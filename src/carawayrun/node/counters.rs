//! Counters of a process, sent as statsd over UDP.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use cadence::{Counted, Gauged, NopMetricSink, StatsdClient, UdpMetricSink};

/// Prefix of all metric names.
const PREFIX: &str = "carawayrun";

/// Statsd client of a process; sends nothing if no address is configured.
#[derive(Debug, Clone)]
pub struct Counters {
    client: Arc<StatsdClient>,
}

impl Counters {
    /// Opens a client that sends to `addr`, tagged with the node's name.
    ///
    /// # Errors
    ///
    /// Returns an [`io::Error`] if no UDP socket can be opened.
    pub fn open(addr: Option<SocketAddr>, node: &str) -> io::Result<Self> {
        let builder = match addr {
            None => StatsdClient::builder(PREFIX, NopMetricSink),
            Some(addr) => StatsdClient::builder(PREFIX, udp_sink(addr)?),
        };
        let client = builder.with_tag("node", node).build();
        Ok(Self {
            client: Arc::new(client),
        })
    }

    /// Adds `added` to a counter.
    pub fn count(&self, name: &str, added: u64) {
        let _ = self.client.count(name, added);
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }
}

fn udp_sink(addr: SocketAddr) -> io::Result<UdpMetricSink> {
    let any = if addr.is_ipv4() {
        "0.0.0.0:0"
    } else {
        "[::]:0"
    };
    let socket = UdpSocket::bind(any)?;
    socket.set_nonblocking(true)?;
    UdpMetricSink::from(addr, socket).map_err(io::Error::other)
}
