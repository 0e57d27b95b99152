//! Load reports between gateways, sent as datagrams.
//!
//! A lost datagram is superseded by the next one within a fraction of a second. A
//! connection with queues, such as nng's, would only deliver outdated reports
//! late.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use prost::Message;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

use super::boot_clock;
use super::evidence::{Comparison, Outcomes, RolloutEvidence};
use super::readers::Confirmation;
use super::rollout::OrderId;
use super::tally::{RouteDigest, RouteEvidence, RouteTallies, TIME_BINS, Tally, TallyPair};
use super::traffic::Traffic;
use super::view::OutcomesView;
use crate::peer::message::{self, Node, RelayReport, RolloutOutcomes, TableRead};

/// Longest time between two rounds of reports of one gateway. With more than
/// [`FAN_OUT`] other gateways a round does not reach all of them, so each waits
/// longer for the next report.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Shortest time between two rounds, per receiver of a round, so that each gateway
/// sends messages at the same rate however many gateways there are.
const REPORT_INTERVAL_PER_PEER: Duration = Duration::from_millis(6);

/// Number of gateways that get each report, round-robin if there are more. The
/// number of messages is bounded, and at four hundred gateways each still gets
/// every other's report within two seconds. Confirmations of a reader go to all
/// gateways.
const FAN_OUT: usize = 48;

/// Maximum datagram size: avoids fragmentation on usual links.
const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Longest report that is received.
const MAX_REPORT_BYTES: usize = MAX_DATAGRAM_BYTES * 2;

/// Starts publishing and receiving reports until the process ends.
pub(super) fn start(socket: std::net::UdpSocket, traffic: &Rc<Traffic>) -> io::Result<()> {
    socket.set_nonblocking(true)?;
    let socket = Rc::new(UdpSocket::from_std(socket)?);
    actix_rt::spawn(receive_reports(Rc::clone(&socket), Rc::clone(traffic)));
    actix_rt::spawn(publish_reports(socket, Rc::clone(traffic)));
    Ok(())
}

// Receives the other gateways' reports until the process ends.
async fn receive_reports(socket: Rc<UdpSocket>, traffic: Rc<Traffic>) {
    let mut buffer = [0; MAX_REPORT_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => match RelayReport::decode(&buffer[..length]) {
                Ok(report) => {
                    traffic.receive_report(&report, from);
                    traffic.serve_queues();
                }
                Err(error) => tracing::debug!(%from, %error, "malformed report"),
            },
            Err(error) => {
                tracing::debug!(%error, "failed to receive a report");
                sleep(MAX_REPORT_INTERVAL).await;
            }
        }
    }
}

// Sends this gateway's reports to the others until the process ends.
async fn publish_reports(socket: Rc<UdpSocket>, traffic: Rc<Traffic>) {
    let node = Node {
        name: traffic.settings().node.to_string(),
        incarnation: boot_clock::now().as_nanos() as u64,
    };
    let mut number = 0;
    let mut position = 0;
    let mut sent_reads = Vec::new();
    loop {
        number += 1;
        traffic.serve_queues();
        let demands = traffic.own_demands();
        let view = traffic.view();
        let (kept_sessions, complete) = traffic.pinned_sessions(&view);
        let outcomes = view.outcomes.iter().map(|outcomes| RolloutOutcomes {
            has_sessions: complete.contains(&outcomes.service),
            ..encode_outcomes(outcomes)
        });
        let mut report = RelayReport {
            node: Some(node.clone()),
            number,
            loads: traffic.own_loads(),
            kept_sessions,
            outcomes: outcomes.collect(),
            reads: view.reads.iter().map(encode_read).collect(),
            limits: traffic.own_limits(),
            leaving: traffic.own_departures(),
            counted: Some(traffic.counted_relays()),
            demands,
            stops_in: traffic.stops_in().map(|left| left.as_millis() as u32),
            paces: traffic.take_paces(),
            ..RelayReport::default()
        };
        traffic.report_crashes(&mut report);
        // Copies wait for a report with room for them; a report without is received whole.
        let room = MAX_REPORT_BYTES.saturating_sub(report.encoded_len());
        report.copies = traffic.take_copies(room);
        let bytes = report.encode_to_vec();
        let peers = traffic.report_targets(&view);
        let has_new_reads = view.reads != sent_reads;
        let fan_out = if has_new_reads { peers.len() } else { FAN_OUT };
        sent_reads.clone_from(&view.reads);
        for peer in next_peers(&peers, &mut position, fan_out) {
            // A full socket buffer drops the report; the next one follows soon.
            if let Err(error) = socket.try_send_to(&bytes, *peer) {
                tracing::debug!(%peer, %error, "failed to send a report");
            }
        }
        let pause = REPORT_INTERVAL_PER_PEER * peers.len().clamp(1, FAN_OUT) as u32;
        sleep(pause.min(MAX_REPORT_INTERVAL)).await;
        let changed = traffic.load_changed.notified();
        let _ = timeout(MAX_REPORT_INTERVAL.saturating_sub(pause), changed).await;
    }
}

/// Returns the next `count` peers after `position`, which advances; all peers if
/// there are fewer.
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
        era: confirmation.era,
    }
}

/// Encodes the outcomes of a roll-out at this gateway.
pub(super) fn encode_outcomes(view: &OutcomesView) -> RolloutOutcomes {
    let encode = |outcomes: &Outcomes| {
        Some(message::Outcomes {
            answered: outcomes.answered as f32,
            failed: outcomes.failed as f32,
            slow: outcomes.slow as f32,
            timed: outcomes.timed as f32,
            late: outcomes.late as f32,
        })
    };
    let evidence = &view.evidence;
    RolloutOutcomes {
        service: view.service.to_string(),
        order: view.order.version,
        era: view.order.era,
        old: encode(&evidence.all.old),
        new: encode(&evidence.all.new),
        recent_old: encode(&evidence.recent.old),
        recent_new: encode(&evidence.recent.new),
        has_sessions: false,
        routes: encode_routes(&view.routes),
        withdrawn: view.is_withdrawn,
    }
}

// Counts in a report are multiples of this.
const COUNT_UNIT: f64 = 1.0 / 16.0;

fn encode_routes(evidence: &RouteEvidence) -> Vec<message::RouteTallies> {
    let largest = evidence.largest();
    let routes = largest
        .routes
        .iter()
        .map(|(route, tallies)| message::RouteTallies {
            route: route.0,
            old: encode_tally(&tallies.all.old),
            new: encode_tally(&tallies.all.new),
            recent_old: encode_tally(&tallies.recent.old),
            recent_new: encode_tally(&tallies.recent.new),
        });
    routes.collect()
}

// Returns `None` if nothing was counted.
fn encode_tally(tally: &Tally) -> Option<message::Tally> {
    let count = |count: f64| (count / COUNT_UNIT).round() as u32;
    let times = tally.times.map(count);
    let first = times.iter().position(|count| *count > 0);
    let last = times.iter().rposition(|count| *count > 0);
    let bins = first.zip(last).map(|(first, last)| first..=last);
    let encoded = message::Tally {
        answered: count(tally.answered),
        failed: count(tally.failed),
        first_bin: first.unwrap_or(0) as u32,
        times: bins.map_or_else(Vec::new, |bins| times[bins].to_vec()),
    };
    (encoded != message::Tally::default()).then_some(encoded)
}

fn decode_routes(received: &[message::RouteTallies]) -> RouteEvidence {
    let decode = |tally: &Option<message::Tally>| tally.as_ref().map(decode_tally);
    let routes = received.iter().map(|received| {
        let pair = |old, new| TallyPair {
            old: decode(old).unwrap_or_default(),
            new: decode(new).unwrap_or_default(),
        };
        let tallies = RouteTallies {
            all: pair(&received.old, &received.new),
            recent: pair(&received.recent_old, &received.recent_new),
        };
        (RouteDigest(received.route), tallies)
    });
    RouteEvidence {
        routes: routes.collect(),
    }
}

fn decode_tally(received: &message::Tally) -> Tally {
    let mut tally = Tally {
        answered: f64::from(received.answered) * COUNT_UNIT,
        failed: f64::from(received.failed) * COUNT_UNIT,
        ..Tally::default()
    };
    let first = (received.first_bin as usize).min(TIME_BINS);
    for (bin, count) in tally.times[first..].iter_mut().zip(&received.times) {
        *bin = f64::from(*count) * COUNT_UNIT;
    }
    tally
}

/// Decodes the order of a roll-out for which another gateway sent outcomes.
pub(super) fn decode_order(received: &RolloutOutcomes) -> OrderId {
    OrderId {
        era: received.era,
        version: received.order,
    }
}

/// Decodes another gateway's outcomes of a roll-out.
pub(super) fn decode_outcomes(received: &RolloutOutcomes) -> OutcomesView {
    let decode = |outcomes: &Option<message::Outcomes>| {
        outcomes
            .as_ref()
            .map_or_else(Outcomes::default, |received| Outcomes {
                answered: f64::from(received.answered),
                failed: f64::from(received.failed),
                slow: f64::from(received.slow),
                timed: f64::from(received.timed),
                late: f64::from(received.late),
            })
    };
    OutcomesView {
        service: received.service.as_str().into(),
        order: decode_order(received),
        evidence: RolloutEvidence {
            all: Comparison {
                old: decode(&received.old),
                new: decode(&received.new),
            },
            recent: Comparison {
                old: decode(&received.recent_old),
                new: decode(&received.recent_new),
            },
        },
        routes: decode_routes(&received.routes),
        is_withdrawn: received.withdrawn,
    }
}
