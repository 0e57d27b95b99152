//! Authentication, the codec and links over loopback.

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
fn a_key_is_changed_without_a_message_refused() {
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
    let dropped = keys(NEW, None);
    assert_eq!(
        dropped.open(before.seal(b"payload")),
        Err(OpenError::Forged)
    );
}

#[test]
fn a_short_key_is_refused_and_none_is_shown() {
    let error = Keys::new(b"short", None).unwrap_err();
    assert_eq!(
        error.to_string(),
        "the cluster key has 5 bytes; give at least 16"
    );
    assert_eq!(format!("{:?}", keys(OLD, None)), "Keys(..)");
}

#[test]
fn a_sealed_run_is_not_taken_for_an_envelope() {
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
fn a_message_that_is_too_long_is_not_sent() {
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
    fn an_envelope_survives_the_wire(nonce: u64, addr: String, generation: u64) {
        let codec = Codec::new(keys(OLD, None));
        let envelope = Envelope { reply_addr: addr, generation, ..ping(nonce) };
        let read = codec.decode(codec.encode(&envelope).unwrap()).unwrap();
        prop_assert_eq!(read, envelope);
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes: Vec<u8>) {
        let codec = Codec::new(keys(OLD, None));
        prop_assert!(codec.decode(Bytes::from(bytes)).is_err());
    }

    #[test]
    fn arbitrary_authentic_bytes_never_panic(mut bytes: Vec<u8>) {
        let keys = keys(OLD, None);
        bytes.insert(0, 1);
        let _ = Codec::new(keys.clone()).decode(keys.seal(&bytes));
    }

    #[test]
    fn a_changed_bit_is_noticed(nonce: u64, position: prop::sample::Index, bit in 0..8_u32) {
        let codec = Codec::new(keys(OLD, None));
        let mut sealed = codec.encode(&ping(nonce)).unwrap().to_vec();
        let index = position.index(sealed.len());
        sealed[index] ^= 1_u8 << bit;
        prop_assert!(codec.decode(Bytes::from(sealed)).is_err());
    }
}

fn bind(key: &[u8]) -> (Link, mpsc::Receiver<Envelope>) {
    let (sender, receiver) = mpsc::channel();
    let receive = Box::new(move |envelope| sender.send(envelope).is_ok());
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    let link = Link::bind(addr, Codec::new(keys(key, None)), receive).unwrap();
    (link, receiver)
}

#[test]
fn a_link_delivers_to_a_listener_that_comes_up_later() {
    let (mut from, _) = bind(OLD);
    let (first, _) = bind(OLD);
    let addr = first.addr();
    drop(first);
    from.send(&addr.to_string(), &ping(1));
    let (sender, receiver) = mpsc::channel();
    let receive = Box::new(move |envelope| sender.send(envelope).is_ok());
    let _late = Link::bind(addr, Codec::new(keys(OLD, None)), receive).unwrap();
    let message = receiver.recv_timeout(Duration::from_secs(20)).unwrap();
    assert_eq!(message, ping(1));
}

#[test]
fn a_message_under_another_key_is_refused_and_counted() {
    use std::sync::atomic::Ordering;
    let (mut stranger, _) = bind(NEW);
    let (mut friend, _) = bind(OLD);
    let (to, receiver) = bind(OLD);
    let addr = to.addr().to_string();
    stranger.send(&addr, &ping(1));
    let refused = || to.stats().refused.load(Ordering::Relaxed);
    for _ in 0..2_000 {
        if refused() > 0 {
            break;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(refused(), 1, "{:?}", stranger.stats());
    friend.send(&addr, &ping(2));
    let message = receiver.recv_timeout(Duration::from_secs(20)).unwrap();
    assert_eq!(message, ping(2));
}
