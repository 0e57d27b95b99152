//! Members of a pool in one data centre and their prefix affinity.

use compact_str::CompactString;
use slotmap::Key;

use crate::resource::UpstreamKey;

/// Points of each upstream on the hash ring.
const POINTS_PER_UPSTREAM: u64 = 4;

/// The members of a pool in one data centre, with a consistent-hash ring that maps
/// each prompt prefix to a member.
#[derive(Debug, Clone)]
pub(crate) struct Locality {
    pub(crate) data_centre: CompactString,
    pub(crate) upstreams: Vec<UpstreamKey>,
    ring: Vec<RingPoint>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RingPoint {
    point: u64,
    upstream: UpstreamKey,
}

/// Returns the locality of a data centre and adds it if it is missing.
pub(crate) fn locality_for<'a>(
    localities: &'a mut Vec<Locality>,
    data_centre: &CompactString,
) -> &'a mut Locality {
    let existing = localities
        .iter()
        .position(|locality| locality.data_centre == *data_centre);
    let index = existing.unwrap_or_else(|| {
        localities.push(Locality {
            data_centre: data_centre.clone(),
            upstreams: Vec::new(),
            ring: Vec::new(),
        });
        localities.len() - 1
    });
    &mut localities[index]
}

impl Locality {
    /// Adds a member. Call [`Locality::sort`] after the last one.
    pub(crate) fn add(&mut self, upstream: UpstreamKey) {
        self.upstreams.push(upstream);
        let id = upstream.data().as_ffi();
        self.ring
            .extend((0..POINTS_PER_UPSTREAM).map(|copy| RingPoint {
                point: mix(id ^ copy.rotate_left(48)),
                upstream,
            }));
    }

    /// Sorts the members and the ring, and removes duplicate members.
    pub(crate) fn sort(&mut self) {
        self.upstreams.sort_unstable();
        self.upstreams.dedup();
        self.ring.sort_unstable();
    }

    /// The member that requests with a prefix prefer; none for prefix zero.
    pub(crate) fn affinity_upstream(&self, prefix: u64) -> Option<UpstreamKey> {
        if prefix == 0 {
            return None;
        }
        let point = mix(prefix);
        let index = self.ring.partition_point(|other| other.point < point);
        let found = self.ring.get(index).or_else(|| self.ring.first());
        found.map(|found| found.upstream)
    }
}

// Finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
