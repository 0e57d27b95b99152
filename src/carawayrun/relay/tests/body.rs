use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::relay::body::BodyBuffer;

// Pieces of any size are copied, as each would keep the buffer in which it arrived.
#[test]
fn body_costs_what_arrived() {
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut buffer = BodyBuffer::default();
        let mut expected = Vec::new();
        while expected.len() < 500_000 {
            let piece: Vec<u8> = (0..rng.random_range(1..20_000))
                .map(|_| rng.random())
                .collect();
            let cost = buffer.cost_with(piece.len());
            buffer.push(&piece);
            assert!(cost >= buffer.cost_with(0), "{seed}");
            assert!(
                cost <= buffer.len() + buffer.len().clamp(1024, 64 * 1024),
                "{seed}"
            );
            expected.extend_from_slice(&piece);
        }
        let body = buffer.freeze();
        assert_eq!(body.len(), expected.len());
        assert!(
            body.blocks().len() <= 7 + expected.len() / (64 * 1024),
            "{seed}"
        );
        assert_eq!(body.to_vec(), expected, "{seed}");
    }
}
