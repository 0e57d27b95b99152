//! Account of the memory that is held for clients and upstreams.
//!
//! Load pattern: a crowd of clients sends bodies that are each within the limits and
//! together exceed the host's memory. Most stop short of their end and stay connected.
//! Those that bring no progress give way to the others; who does not fit is refused.
//! Clients that read slowly keep their answers while there is room for them.

use std::cmp::Reverse;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

/// Share of the host's memory that may be held: 3/8. The rest is for the program itself,
/// the kernel's buffers and the allocator.
const LIMIT_PARTS: (u64, u64) = (3, 8);

/// Largest holding that may use the whole limit, in bytes.
const SMALL_BYTES: usize = 64 * 1024;

/// Time without a byte after which a request that is being read, or an answer that is
/// being delivered, gives way.
const SILENCE: Duration = Duration::from_millis(250);

/// Time that the rest of a body may take at its rate before it gives way.
const LONGEST_REST: Duration = Duration::from_secs(5);

/// Rate below which a body of unknown length gives way, in bytes per second.
const SLOW_RATE: f64 = 64.0 * 1024.0;

new_key_type! {
    /// Key of a holder in an account.
    pub struct HolderKey;
}

/// What memory is held for. Each use may fill a part of the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryUse {
    /// A client's request.
    Request,
    /// An upstream's answer.
    Answer,
}

impl MemoryUse {
    // Part of `limit` that a holder of `bytes` may fill, together with all others.
    fn ceiling(self, limit: usize, bytes: usize) -> usize {
        match self {
            _ if bytes <= SMALL_BYTES => limit,
            Self::Request => limit / 8 * 5,
            Self::Answer => limit / 8 * 7,
        }
    }
}

/// A request that is being read.
#[derive(Debug, Clone, Copy)]
struct Reading {
    began: Duration,
    last_bytes: Duration,
    /// Whole length, if the client announced it.
    announced: Option<usize>,
}

#[derive(Debug, Clone, Copy)]
struct Holder {
    purpose: MemoryUse,
    bytes: usize,
    /// `None` once it is read whole.
    reading: Option<Reading>,
    /// Time at which the client of an answer last took a part of it; `None` before its
    /// delivery, while it gives way to nobody.
    taken_at: Option<Duration>,
}

/// A reservation does not fit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryFull;

/// Memory held, by holder. Times are on the caller's clock.
#[derive(Debug)]
pub struct MemoryAccount {
    limit: usize,
    held: usize,
    holders: SlotMap<HolderKey, Holder>,
}

impl MemoryAccount {
    /// Creates the account of a host with so many bytes of memory.
    pub fn new(host_memory: u64) -> Self {
        Self {
            limit: limit(host_memory),
            held: 0,
            holders: SlotMap::with_key(),
        }
    }

    /// Changes the memory of the host. What is held stays.
    pub fn set_host_memory(&mut self, host_memory: u64) {
        self.limit = limit(host_memory);
    }

    /// Bytes that are held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Adds a holder without memory. A request is being read until [`Self::finish_reading`].
    pub fn open(&mut self, purpose: MemoryUse, now: Duration) -> HolderKey {
        let reading = Reading {
            began: now,
            last_bytes: now,
            announced: None,
        };
        self.holders.insert(Holder {
            purpose,
            bytes: 0,
            reading: (purpose == MemoryUse::Request).then_some(reading),
            taken_at: None,
        })
    }

    /// Removes a holder and returns its memory.
    pub fn close(&mut self, key: HolderKey) {
        if let Some(holder) = self.holders.remove(key) {
            self.held -= holder.bytes;
        }
    }

    /// Returns true while a holder has not given way.
    pub fn contains(&self, key: HolderKey) -> bool {
        self.holders.contains_key(key)
    }

    /// Records the length that a client announced for its body.
    pub fn announce(&mut self, key: HolderKey, length: usize) {
        let reading = self.reading_mut(key);
        if let Some(reading) = reading {
            reading.announced = Some(length);
        }
    }

    /// Records that a request was read whole: it may run, so it gives way to nobody.
    pub fn finish_reading(&mut self, key: HolderKey) {
        if let Some(holder) = self.holders.get_mut(key) {
            holder.reading = None;
        }
    }

    /// Records that an answer is being delivered, and that its client has just taken what
    /// there was.
    pub fn record_delivery(&mut self, key: HolderKey, now: Duration) {
        if let Some(holder) = self.holders.get_mut(key) {
            holder.taken_at = Some(now);
        }
    }

    /// Lowers what a holder has to `bytes`.
    pub fn release(&mut self, key: HolderKey, bytes: usize) {
        if let Some(holder) = self.holders.get_mut(key) {
            let released = holder.bytes.saturating_sub(bytes);
            holder.bytes -= released;
            self.held -= released;
        }
    }

    /// Raises what a holder has to `bytes`; returns how many others gave way to it. Those
    /// are no longer holders.
    ///
    /// # Errors
    ///
    /// [`MemoryFull`] if it does not fit and no one else gives way.
    pub fn reserve(
        &mut self,
        key: HolderKey,
        bytes: usize,
        now: Duration,
    ) -> Result<usize, MemoryFull> {
        let holder = self.holders.get_mut(key).ok_or(MemoryFull)?;
        if let Some(reading) = &mut holder.reading {
            reading.last_bytes = now;
        }
        let added = bytes.saturating_sub(holder.bytes);
        if added == 0 {
            return Ok(0);
        }
        let ceiling = holder.purpose.ceiling(self.limit, bytes);
        let mut excess = (self.held + added).saturating_sub(ceiling);
        let mut victims = Vec::new();
        if excess > 0 {
            for (victim, held) in self.victims(key, now) {
                victims.push(victim);
                excess = excess.saturating_sub(held);
                if excess == 0 {
                    break;
                }
            }
        }
        // Nobody gives way to one that does not fit all the same.
        if excess > 0 {
            return Err(MemoryFull);
        }
        for victim in &victims {
            self.close(*victim);
        }
        self.holders[key].bytes += added;
        self.held += added;
        Ok(victims.len())
    }

    fn reading_mut(&mut self, key: HolderKey) -> Option<&mut Reading> {
        self.holders.get_mut(key)?.reading.as_mut()
    }

    // The holders that give way and what they hold, in order: the requests that are longest
    // silent first, then the slowest, then the answers whose clients have longest taken
    // nothing.
    fn victims(&self, asking: HolderKey, now: Duration) -> Vec<(HolderKey, usize)> {
        let mut silent = Vec::new();
        let mut slow = Vec::new();
        let mut untaken = Vec::new();
        for (key, holder) in &self.holders {
            if let Some(taken_at) = holder.taken_at
                && now.saturating_sub(taken_at) >= SILENCE
                && key != asking
                && holder.bytes > 0
            {
                untaken.push((key, holder.bytes, taken_at));
            }
            let Some(reading) = holder.reading.filter(|_| key != asking && holder.bytes > 0) else {
                continue;
            };
            let silence = now.saturating_sub(reading.last_bytes);
            if silence >= SILENCE {
                silent.push((key, holder.bytes, silence));
                continue;
            }
            let took = now.saturating_sub(reading.began).max(SILENCE);
            let rate = holder.bytes as f64 / took.as_secs_f64();
            let rest = reading.announced;
            let rest = rest.map(|length| length.saturating_sub(holder.bytes));
            let is_slow = rest.map_or(rate < SLOW_RATE, |rest| {
                rest as f64 > rate * LONGEST_REST.as_secs_f64()
            });
            if is_slow {
                slow.push((key, holder.bytes, rate));
            }
        }
        silent.sort_by_key(|(_, _, silence)| Reverse(*silence));
        slow.sort_by(|(_, _, one), (_, _, other)| one.total_cmp(other));
        untaken.sort_by_key(|(_, _, taken_at)| *taken_at);
        let silent = silent.into_iter().map(|(key, bytes, _)| (key, bytes));
        let slow = slow.into_iter().map(|(key, bytes, _)| (key, bytes));
        let untaken = untaken.into_iter().map(|(key, bytes, _)| (key, bytes));
        silent.chain(slow).chain(untaken).collect()
    }
}

fn limit(host_memory: u64) -> usize {
    let (part, whole) = LIMIT_PARTS;
    usize::try_from(host_memory / whole * part).unwrap_or(usize::MAX)
}
