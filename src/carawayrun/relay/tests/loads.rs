use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::peer::message::{Node, RelayReport, UpstreamLoad};
use crate::relay::gossip::next_peers;
use crate::relay::loads::{PeerLoads, upstream_digest};

fn report(node: &str, incarnation: u64, number: u64, loads: &[(&str, u32, u32)]) -> RelayReport {
    let loads = loads
        .iter()
        .map(|(upstream, running, backlog_ms)| UpstreamLoad {
            kv_tokens: 0,
            upstream: upstream_digest(upstream),
            running: *running,
            backlog_ms: *backlog_ms,
        });
    RelayReport {
        paces: Vec::new(),
        copies: Vec::new(),
        node: Some(Node {
            name: node.into(),
            incarnation,
        }),
        number,
        loads: loads.collect(),
        kept_sessions: Vec::new(),
        outcomes: Vec::new(),
        reads: Vec::new(),
        limits: Vec::new(),
        parts: Vec::new(),
        crashes: Vec::new(),
        requests: Vec::new(),
        stops_in: None,
        counted: None,
        leaving: Vec::new(),
        demands: Vec::new(),
    }
}

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn loads_of_all_gateways_are_added() {
    let mut peers = PeerLoads::default();
    peers.receive(&report("a", 1, 1, &[("i-1", 2, 100)]), millis(0));
    peers.receive(
        &report("b", 1, 1, &[("i-1", 1, 50), ("i-2", 1, 0)]),
        millis(10),
    );
    let load = peers.upstream_load(upstream_digest("i-1"));
    assert_eq!((load.in_flight, load.backlog_ms as u32), (3, 150));
    assert_eq!(peers.upstream_load(upstream_digest("i-3")).in_flight, 0);
}

#[test]
fn latest_report_of_gateway_replaces_older_ones() {
    let mut peers = PeerLoads::default();
    peers.receive(&report("a", 1, 2, &[("i-1", 2, 100)]), millis(0));
    peers.receive(&report("a", 1, 1, &[("i-1", 9, 900)]), millis(5));
    assert_eq!(peers.upstream_load(upstream_digest("i-1")).in_flight, 2);
    peers.receive(&report("a", 2, 1, &[]), millis(10));
    assert_eq!(peers.upstream_load(upstream_digest("i-1")).in_flight, 0);
}

#[test]
fn reports_of_disconnected_gateway_expire() {
    let mut peers = PeerLoads::default();
    peers.receive(&report("a", 1, 1, &[("i-1", 2, 100)]), millis(0));
    peers.expire(millis(1_000));
    assert_eq!(peers.gateway_count(), 1);
    peers.expire(millis(3_500));
    assert_eq!(
        (
            peers.gateway_count(),
            peers.upstream_load(upstream_digest("i-1")).in_flight
        ),
        (0, 0)
    );
}

#[test]
fn many_gateways_get_reports_round_robin() {
    let peers: Vec<SocketAddr> = (1..=100_u16)
        .map(|port| SocketAddr::from(([10, 0, 0, 1], port)))
        .collect();
    let mut position = 0;
    let mut seen = BTreeSet::new();
    for _ in 0..3 {
        let round: Vec<_> = next_peers(&peers, &mut position, 48).copied().collect();
        assert_eq!(round.len(), 48);
        seen.extend(round);
    }
    assert_eq!(seen.len(), 100);
}

#[test]
fn few_gateways_each_get_report_once() {
    let peers = [
        SocketAddr::from(([10, 0, 0, 1], 1)),
        SocketAddr::from(([10, 0, 0, 1], 2)),
    ];
    let mut position = 7;
    assert_eq!(next_peers(&peers, &mut position, 48).count(), 2);
    assert_eq!(next_peers(&[], &mut position, 48).count(), 0);
}
