//! Members of a pool in one data centre, and their prefix homes.

use compact_str::CompactString;
use slotmap::Key;

use crate::resource::UpstreamKey;

/// Points of each upstream on the ring of prefix homes.
const RING_POINTS: u64 = 4;

/// The members of a pool in one data centre, and which of them is home to a
/// prompt prefix.
#[derive(Debug, Clone)]
pub(crate) struct Place {
    pub(crate) data_centre: CompactString,
    pub(crate) upstreams: Vec<UpstreamKey>,
    ring: Vec<RingPoint>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RingPoint {
    point: u64,
    upstream: UpstreamKey,
}

/// The place of a data centre, added where it is missing.
pub(crate) fn place_of<'a>(
    places: &'a mut Vec<Place>,
    data_centre: &CompactString,
) -> &'a mut Place {
    let known = places
        .iter()
        .position(|place| place.data_centre == *data_centre);
    let index = known.unwrap_or_else(|| {
        places.push(Place {
            data_centre: data_centre.clone(),
            upstreams: Vec::new(),
            ring: Vec::new(),
        });
        places.len() - 1
    });
    &mut places[index]
}

impl Place {
    /// Adds a member; [`Place::seal`] follows the last one.
    pub(crate) fn add(&mut self, upstream: UpstreamKey) {
        self.upstreams.push(upstream);
        let id = upstream.data().as_ffi();
        self.ring.extend((0..RING_POINTS).map(|copy| RingPoint {
            point: mix(id ^ copy.rotate_left(48)),
            upstream,
        }));
    }

    /// Puts members and prefix homes in order.
    pub(crate) fn seal(&mut self) {
        self.upstreams.sort_unstable();
        self.upstreams.dedup();
        self.ring.sort_unstable();
    }

    /// The member that a prefix is sent to first.
    pub(crate) fn home(&self, prefix: u64) -> Option<UpstreamKey> {
        if prefix == 0 {
            return None;
        }
        let point = mix(prefix);
        let index = self.ring.partition_point(|other| other.point < point);
        let found = self.ring.get(index).or_else(|| self.ring.first());
        found.map(|found| found.upstream)
    }
}

// SplitMix64's finalizer (Steele, Lea and Flood, 2014).
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
