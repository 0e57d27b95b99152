//! Loopback networks of test worlds.

use std::fmt::{self, Display, Formatter};
use std::io::ErrorKind;
use std::net::{SocketAddrV4, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Second and third numbers of the networks' addresses: so many of each.
const SECONDS: usize = 150;
const THIRDS: usize = 250;

/// Least second number.
const FIRST_SECOND: usize = 100;

/// Worlds for which a process has networks before it meets those of the next one.
const WORLDS_PER_PROCESS: usize = 150;

/// Addresses that are free in a free network: that of the claim, and those of the stores,
/// which a test that was killed leaves behind.
const CLAIM: &str = "254:7999";
const STORES: [&str; 2] = ["1:7000", "2:7000"];

/// Worlds of this process so far.
static WORLDS: AtomicUsize = AtomicUsize::new(0);

/// Addresses with the same first three numbers, for one world at a time on this host.
/// Displayed as these numbers.
#[derive(Debug)]
pub(crate) struct Net {
    prefix: String,
    /// Tells other processes that the network is taken.
    _claim: TcpListener,
}

impl Net {
    /// Takes a network that no other world uses.
    pub(crate) fn claim() -> Self {
        let number = WORLDS.fetch_add(1, Ordering::Relaxed);
        let process = std::process::id() as usize;
        Self::claim_from(process * WORLDS_PER_PROCESS + number)
    }

    /// Takes the first free network, in an order that begins at `start`.
    pub(crate) fn claim_from(start: usize) -> Self {
        let nets = (start..start + SECONDS * THIRDS).map(|index| {
            let second = FIRST_SECOND + index % SECONDS;
            let third = index / SECONDS % THIRDS;
            format!("127.{second}.{third}")
        });
        let mut claims = nets.filter_map(Self::try_claim);
        claims.next().expect("a network is free")
    }

    fn try_claim(prefix: String) -> Option<Self> {
        let claim = bind(&format!("{prefix}.{CLAIM}"))?;
        let is_free = |store: &str| bind(&format!("{prefix}.{store}")).is_some();
        STORES.iter().all(|store| is_free(store)).then_some(Self {
            prefix,
            _claim: claim,
        })
    }
}

impl Display for Net {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&self.prefix)
    }
}

// Listens at an address; `None` if another process does.
fn bind(addr: &str) -> Option<TcpListener> {
    match TcpListener::bind(addr) {
        Ok(listener) => Some(listener),
        Err(error) if error.kind() == ErrorKind::AddrInUse => None,
        Err(error) => panic!("{addr}: {error}"),
    }
}

/// Bytes on all TCP connections between clients and `addr` that its server has not read.
pub(crate) fn unread_bytes(addr: SocketAddrV4) -> u64 {
    let ip = u32::from_ne_bytes(addr.ip().octets());
    let addr = format!("{ip:08X}:{:04X}", addr.port());
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table can be read");
    let rows = table.lines().skip(1);
    let unread = rows.map(|row| {
        let fields: Vec<&str> = row.split_whitespace().collect();
        let (unsent, unread) = fields[4].split_once(':').expect("a row has two queues");
        let bytes = match (fields[1] == addr, fields[2] == addr, fields[3]) {
            // The queue of a listener counts connections.
            (true, _, "0A") => "0",
            (true, _, _) => unread,
            (_, true, _) => unsent,
            _ => "0",
        };
        u64::from_str_radix(bytes, 16).expect("a queue is a number")
    });
    unread.sum()
}
