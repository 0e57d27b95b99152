use proptest::prelude::*;
use test_case::test_case;

use crate::relay::progress::{FramingAllowance, MAX_FRAMING_BYTES};

#[test_case(1, 5; "chunks of one byte")]
#[test_case(1, 12; "chunks of one byte with padded sizes")]
#[test_case(16 * 1024, 8; "long chunks")]
fn framing_of_sound_body_is_allowed(data: usize, framing: usize) {
    let mut allowance = FramingAllowance::default();
    for _ in 0..10 * MAX_FRAMING_BYTES {
        assert!(allowance.take(framing, data));
    }
}

#[test]
fn framing_without_data_is_bounded() {
    let mut allowance = FramingAllowance::default();
    assert!(allowance.take(MAX_FRAMING_BYTES, 0));
    assert!(!allowance.take(1, 0));
}

proptest! {
    // A little data now and then let any amount of framing pass.
    #[test]
    fn framing_is_bounded_by_data(pieces in prop::collection::vec((0_usize..4_096, 0_usize..64), 1..400)) {
        let mut allowance = FramingAllowance::default();
        let (mut framing, mut data) = (0, 0);
        for (more_framing, more_data) in pieces {
            if !allowance.take(more_framing, more_data) {
                break;
            }
            framing += more_framing;
            data += more_data;
            prop_assert!(framing <= MAX_FRAMING_BYTES + 16 * data);
        }
    }
}
