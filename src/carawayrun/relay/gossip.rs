//! Reports of load between gateways, as datagrams.
//!
//! A lost datagram is replaced by the next one within a fraction of a second,
//! so a connection with its queues, as nng keeps them, would only deliver old
//! reports late.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use prost::Message;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, timeout};

use super::boot_clock;
use super::readers::Confirmation;
use super::rollout::{Comparison, Outcomes, RolloutEvidence};
use super::traffic::Traffic;
use super::view::OutcomesView;
use crate::peer::message::{self, Node, RelayReport, RolloutOutcomes, TableRead};

/// Longest time between two reports.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Time between two reports for each gateway that gets them, so that the
/// messages of each gateway stay the same however many there are.
const REPORT_INTERVAL_PER_PEER: Duration = Duration::from_millis(6);

/// Gateways that get a report at once, in turn where there are more: what a
/// gateway sends stays the same however many there are, and each hears of each
/// within two seconds at four hundred. What a reader confirms goes to all.
const FAN_OUT: usize = 48;

/// Longest datagram: what fits without fragments on usual links.
const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Time after which a gateway that sends nothing gets no more reports.
const PEER_TTL: Duration = Duration::from_secs(10);

/// Peers of a gateway: those of the store, and those that it heard from.
#[derive(Debug, Default)]
pub(super) struct PeerAddresses {
    last_received: BTreeMap<SocketAddr, Instant>,
}

impl PeerAddresses {
    fn record_received(&mut self, addr: SocketAddr) {
        self.last_received.insert(addr, Instant::now());
    }

    fn addresses(&mut self, listed: &[SocketAddr], own: SocketAddr) -> Vec<SocketAddr> {
        self.last_received
            .retain(|_, last_received| last_received.elapsed() < PEER_TTL);
        let mut all: Vec<SocketAddr> = self.last_received.keys().copied().collect();
        all.extend(
            listed
                .iter()
                .filter(|addr| !self.last_received.contains_key(addr)),
        );
        all.retain(|addr| *addr != own);
        all
    }
}

/// Reports own load and takes in the others' until the process ends.
pub(super) fn start(socket: std::net::UdpSocket, traffic: &Rc<Traffic>) -> io::Result<()> {
    socket.set_nonblocking(true)?;
    let socket = Rc::new(UdpSocket::from_std(socket)?);
    actix_rt::spawn(receive_reports(Rc::clone(&socket), Rc::clone(traffic)));
    actix_rt::spawn(publish_reports(socket, Rc::clone(traffic)));
    Ok(())
}

async fn receive_reports(socket: Rc<UdpSocket>, traffic: Rc<Traffic>) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES * 2];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => match RelayReport::decode(&buffer[..length]) {
                Ok(report) => {
                    traffic.peers.borrow_mut().record_received(from);
                    traffic.receive_report(&report);
                }
                Err(error) => tracing::debug!(%from, %error, "report not readable"),
            },
            Err(error) => {
                tracing::debug!(%error, "no report received");
                sleep(MAX_REPORT_INTERVAL).await;
            }
        }
    }
}

async fn publish_reports(socket: Rc<UdpSocket>, traffic: Rc<Traffic>) {
    let node = Node {
        name: traffic.settings().node.to_string(),
        incarnation: boot_clock::now().as_nanos() as u64,
    };
    let own = traffic.settings().peer_listen;
    let mut number = 0;
    let mut position = 0;
    let mut sent_reads = Vec::new();
    loop {
        number += 1;
        let view = traffic.view();
        let report = RelayReport {
            node: Some(node.clone()),
            number,
            loads: traffic.own_loads(),
            kept_sessions: traffic.pinned_sessions(&view),
            outcomes: view.outcomes.iter().map(encode_outcomes).collect(),
            reads: view.reads.iter().map(encode_read).collect(),
        };
        let bytes = report.encode_to_vec();
        let peers = traffic.peers.borrow_mut().addresses(&view.peers, own);
        let has_new_reads = view.reads != sent_reads;
        let fan_out = if has_new_reads { peers.len() } else { FAN_OUT };
        sent_reads.clone_from(&view.reads);
        for peer in next_peers(&peers, &mut position, fan_out) {
            // A full link drops reports; the next one comes soon.
            if let Err(error) = socket.try_send_to(&bytes, *peer) {
                tracing::debug!(%peer, %error, "report not sent");
            }
        }
        let shortest = REPORT_INTERVAL_PER_PEER * peers.len().clamp(1, FAN_OUT) as u32;
        sleep(shortest.min(MAX_REPORT_INTERVAL)).await;
        let changed = traffic.load_changed.notified();
        let _ = timeout(MAX_REPORT_INTERVAL.saturating_sub(shortest), changed).await;
    }
}

/// The next `count` peers after `place`, which moves on; all where there are fewer.
pub(super) fn next_peers<'a>(
    peers: &'a [SocketAddr],
    position: &mut usize,
    count: usize,
) -> impl Iterator<Item = &'a SocketAddr> {
    let start = if count >= peers.len() {
        0
    } else {
        *position % peers.len()
    };
    *position = start + count;
    peers
        .iter()
        .cycle()
        .skip(start)
        .take(count.min(peers.len()))
}

fn encode_read(read: &(u32, Confirmation)) -> TableRead {
    let (table, confirmation) = read;
    TableRead {
        table: *table,
        at_ms: confirmation.at.as_millis() as u64,
        digest: confirmation.digest,
    }
}

fn encode_outcomes(view: &OutcomesView) -> RolloutOutcomes {
    let wire = |outcomes: &Outcomes| {
        Some(message::Outcomes {
            answered: outcomes.answered as f32,
            failed: outcomes.failed as f32,
            slow: outcomes.slow as f32,
        })
    };
    let evidence = &view.evidence;
    RolloutOutcomes {
        service: view.service.to_string(),
        order: view.order,
        old: wire(&evidence.all.old),
        new: wire(&evidence.all.new),
        recent_old: wire(&evidence.recent.old),
        recent_new: wire(&evidence.recent.new),
    }
}

/// What another gateway saw of a roll-out.
pub(super) fn decode_outcomes(received: &RolloutOutcomes) -> OutcomesView {
    let read = |outcomes: &Option<message::Outcomes>| {
        outcomes
            .as_ref()
            .map_or_else(Outcomes::default, |received| Outcomes {
                answered: f64::from(received.answered),
                failed: f64::from(received.failed),
                slow: f64::from(received.slow),
            })
    };
    OutcomesView {
        service: received.service.as_str().into(),
        order: received.order,
        evidence: RolloutEvidence {
            all: Comparison {
                old: read(&received.old),
                new: read(&received.new),
            },
            recent: Comparison {
                old: read(&received.recent_old),
                new: read(&received.recent_new),
            },
        },
    }
}
