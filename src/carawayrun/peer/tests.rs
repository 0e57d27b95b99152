//! Tests of authentication, the codec and links over loopback.

use std::net::SocketAddr;
use std::sync::mpsc;
use std::time::Duration;

use bytes::Bytes;
use proptest::prelude::*;

use super::message::envelope::Body;
use super::message::{Change, ConfigChanges, Envelope, Node, Ping};
use super::{Codec, Keys, Link, MAX_MESSAGE_BYTES, OpenError};

const OLD: &[u8] = b"the old cluster key";
const NEW: &[u8] = b"the new cluster key";

fn keys(current: &[u8], previous: Option<&[u8]>) -> Keys {
    Keys::new(current, previous).unwrap()
}

fn ping(nonce: u64) -> Envelope {
    Envelope {
        sender: Some(Node {
            name: "gateway-1".into(),
            incarnation: 7,
        }),
        body: Some(Body::Ping(Ping { nonce })),
        ..Envelope::default()
    }
}

#[test]
fn key_rotation_refuses_no_message_until_the_old_key_is_removed() {
    let before = keys(OLD, Some(NEW));
    let after = keys(NEW, Some(OLD));
    for (sender, receiver) in [
        (&before, &after),
        (&after, &before),
        (&before, &keys(OLD, None)),
    ] {
        let sealed = sender.seal(b"payload");
        assert_eq!(receiver.open(sealed), Ok(Bytes::from_static(b"payload")));
    }
    let rotated = keys(NEW, None);
    assert_eq!(
        rotated.open(before.seal(b"payload")),
        Err(OpenError::Forged)
    );
}

#[test]
fn short_key_is_refused_and_debug_output_hides_keys() {
    let error = Keys::new(b"short", None).unwrap_err();
    assert_eq!(
        error.to_string(),
        "the cluster key has 5 bytes; give at least 16"
    );
    assert_eq!(format!("{:?}", keys(OLD, None)), "Keys(..)");
}

#[test]
fn sealed_run_does_not_decode_as_an_envelope() {
    use prost::Message;
    let keys = keys(OLD, None);
    let run = super::message::Run {
        team: "estate".into(),
        ..super::message::Run::default()
    };
    let sealed = keys.seal(&run.encode_to_vec());
    Codec::new(keys).decode(sealed).unwrap_err();
}

#[test]
fn envelope_over_the_maximum_length_is_not_encoded() {
    let changes = ConfigChanges {
        changes: vec![Change::default()],
        snapshot: vec![0; MAX_MESSAGE_BYTES].into(),
    };
    let envelope = Envelope {
        body: Some(Body::ConfigChanges(changes)),
        ..Envelope::default()
    };
    Codec::new(keys(OLD, None)).encode(&envelope).unwrap_err();
}

proptest! {
    #[test]
    fn decoding_an_encoded_envelope_returns_it(nonce: u64, addr: String, generation: u64) {
        let codec = Codec::new(keys(OLD, None));
        let envelope = Envelope { reply_addr: addr, generation, ..ping(nonce) };
        let decoded = codec.decode(codec.encode(&envelope).unwrap()).unwrap();
        prop_assert_eq!(decoded, envelope);
    }

    #[test]
    fn arbitrary_bytes_are_refused(bytes: Vec<u8>) {
        let codec = Codec::new(keys(OLD, None));
        prop_assert!(codec.decode(Bytes::from(bytes)).is_err());
    }

    #[test]
    fn decoding_arbitrary_authentic_bytes_does_not_panic(mut bytes: Vec<u8>) {
        let keys = keys(OLD, None);
        bytes.insert(0, 1);
        let _ = Codec::new(keys.clone()).decode(keys.seal(&bytes));
    }

    #[test]
    fn message_with_a_flipped_bit_is_refused(nonce: u64, position: prop::sample::Index, bit in 0..8_u32) {
        let codec = Codec::new(keys(OLD, None));
        let mut sealed = codec.encode(&ping(nonce)).unwrap().to_vec();
        let index = position.index(sealed.len());
        sealed[index] ^= 1_u8 << bit;
        prop_assert!(codec.decode(Bytes::from(sealed)).is_err());
    }
}

/// Returns an address that no other process of the tests listens on, so that
/// none takes a port between two listeners of one test.
fn loopback() -> SocketAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    SocketAddr::from(([127, 128 | high, middle, low], 0))
}

fn bind(key: &[u8]) -> (Link, mpsc::Receiver<Envelope>) {
    let (sender, receiver) = mpsc::channel();
    let receive = Box::new(move |envelope| sender.send(envelope).is_ok());
    let addr = loopback();
    let link = Link::bind(addr, Codec::new(keys(key, None)), receive).unwrap();
    (link, receiver)
}

#[test]
fn message_is_delivered_once_a_listener_starts() {
    let (mut sender_link, _) = bind(OLD);
    let (first, _) = bind(OLD);
    let addr = first.addr();
    drop(first);
    sender_link.send(&addr.to_string(), &ping(1));
    let (sender, receiver) = mpsc::channel();
    let receive = Box::new(move |envelope| sender.send(envelope).is_ok());
    let _second = Link::bind(addr, Codec::new(keys(OLD, None)), receive).unwrap();
    let message = receiver.recv_timeout(Duration::from_secs(20)).unwrap();
    assert_eq!(message, ping(1));
}

#[test]
fn link_that_closes_while_its_receiver_starts_ends() {
    let (ended, closed) = mpsc::channel();
    for _ in 0..8 {
        let ended = ended.clone();
        std::thread::spawn(move || {
            for _ in 0..250 {
                drop(bind(OLD));
            }
            ended.send(()).unwrap();
        });
    }
    for _ in 0..8 {
        closed.recv_timeout(Duration::from_mins(1)).unwrap();
    }
}

#[test]
fn message_under_another_key_is_refused_and_counted() {
    use std::sync::atomic::Ordering;
    let (mut foreign, _) = bind(NEW);
    let (mut trusted, _) = bind(OLD);
    let (to, receiver) = bind(OLD);
    let addr = to.addr().to_string();
    foreign.send(&addr, &ping(1));
    let refused = || to.stats().refused.load(Ordering::Relaxed);
    for _ in 0..2_000 {
        if refused() > 0 {
            break;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(refused(), 1, "{:?}", foreign.stats());
    trusted.send(&addr, &ping(2));
    let message = receiver.recv_timeout(Duration::from_secs(20)).unwrap();
    assert_eq!(message, ping(2));
}
