//! Counters of a process, sent as statsd over UDP.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use cadence::{Counted, Gauged, NopMetricSink, StatsdClient, UdpMetricSink};

/// Prefix of all names.
const PREFIX: &str = "carawayrun";

/// Counters of a process; nothing is sent where no address was given.
#[derive(Debug, Clone)]
pub struct Counters {
    client: Arc<StatsdClient>,
}

impl Counters {
    /// Counters that are sent to `addr`, or nowhere.
    ///
    /// # Errors
    ///
    /// An [`io::Error`] where no UDP socket can be opened.
    pub fn open(addr: Option<SocketAddr>, node: &str) -> io::Result<Self> {
        let builder = match addr {
            None => StatsdClient::builder(PREFIX, NopMetricSink),
            Some(addr) => StatsdClient::builder(PREFIX, sink(addr)?),
        };
        let client = builder.with_tag("node", node).build();
        Ok(Self {
            client: Arc::new(client),
        })
    }

    /// Adds to a counter.
    pub fn count(&self, name: &str, added: u64) {
        let _ = self.client.count(name, added);
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }
}

fn sink(addr: SocketAddr) -> io::Result<UdpMetricSink> {
    let any = if addr.is_ipv4() {
        "0.0.0.0:0"
    } else {
        "[::]:0"
    };
    let socket = UdpSocket::bind(any)?;
    socket.set_nonblocking(true)?;
    UdpMetricSink::from(addr, socket).map_err(io::Error::other)
}
