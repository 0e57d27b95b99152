//! Account of the memory that is held for clients and upstreams.
//!
//! Load pattern: a crowd of clients sends bodies that are each within the limits and
//! together exceed the host's memory. Most stop short of their end and stay connected.
//! Those that bring no progress give way to the others; who does not fit is refused.
//! Clients that read slowly keep their answers while there is room for them. Thousands of
//! small parts cost more by their connections than by their bytes, so both count.

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

/// Part of the limit that silent requests give up at once, so that a crowd isn't searched
/// for each of them.
const BATCH_FRACTION: usize = 64;

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
    /// Memory beside `bytes`: of the connection and the parsed head.
    base: usize,
    /// `None` once it is read whole.
    reading: Option<Reading>,
    /// Time at which the client of an answer last took a part of it; `None` before its
    /// delivery, while it gives way to nobody.
    taken_at: Option<Duration>,
}

impl Holder {
    fn total(&self) -> usize {
        self.base + self.bytes
    }
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
    /// Holders that gave way and were not told yet.
    evicted: Vec<HolderKey>,
}

impl MemoryAccount {
    /// Creates the account of a host with so many bytes of memory.
    pub fn new(host_memory: u64) -> Self {
        Self {
            limit: limit(host_memory),
            held: 0,
            holders: SlotMap::with_key(),
            evicted: Vec::new(),
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
            base: 0,
            reading: (purpose == MemoryUse::Request).then_some(reading),
            taken_at: None,
        })
    }

    /// Removes a holder and returns its memory.
    pub fn close(&mut self, key: HolderKey) {
        if let Some(holder) = self.holders.remove(key) {
            self.held -= holder.total();
        }
    }

    /// Returns true while a holder has not given way.
    pub fn contains(&self, key: HolderKey) -> bool {
        self.holders.contains_key(key)
    }

    /// Records that the first byte of a request has come, before which its connection was
    /// idle.
    pub fn begin_reading(&mut self, key: HolderKey, now: Duration) {
        if let Some(reading) = self.reading_mut(key) {
            reading.began = now;
            reading.last_bytes = now;
        }
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

    /// Raises what a holder has to `bytes`, beside its base; returns how many others gave
    /// way to it. Those are no longer holders.
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
        let ceiling = holder.purpose.ceiling(self.limit, bytes);
        let evicted = self.make_room(key, added, ceiling, now)?;
        self.holders[key].bytes += added;
        self.held += added;
        Ok(evicted)
    }

    /// Changes the base of a holder, which is what its connection and its head cost; returns
    /// how many others gave way to it.
    ///
    /// # Errors
    ///
    /// As [`Self::reserve`].
    pub fn reserve_base(
        &mut self,
        key: HolderKey,
        base: usize,
        now: Duration,
    ) -> Result<usize, MemoryFull> {
        let holder = self.holders.get_mut(key).ok_or(MemoryFull)?;
        if let Some(reading) = &mut holder.reading {
            reading.last_bytes = now;
        }
        let added = base.saturating_sub(holder.base);
        let evicted = self.make_room(key, added, self.limit, now)?;
        let holder = &mut self.holders[key];
        self.held = self.held + base - holder.base;
        holder.base = base;
        Ok(evicted)
    }

    /// Has the request that is longest silent give way, if any is.
    pub fn evict_silent(&mut self, now: Duration) {
        let silent = self.holders.iter().filter_map(|(key, holder)| {
            let silence = now.saturating_sub(holder.reading?.last_bytes);
            (silence >= SILENCE).then_some((silence, key))
        });
        if let Some((_, key)) = silent.max_by_key(|(silence, _)| *silence) {
            self.evict(key);
        }
    }

    /// Removes and returns the holders that gave way since the last call.
    pub fn take_evicted(&mut self) -> Vec<HolderKey> {
        std::mem::take(&mut self.evicted)
    }

    // Has others give way until `key` may have so much more under `ceiling`; returns how
    // many did.
    fn make_room(
        &mut self,
        key: HolderKey,
        added: usize,
        ceiling: usize,
        now: Duration,
    ) -> Result<usize, MemoryFull> {
        let excess = (self.held + added).saturating_sub(ceiling);
        if added == 0 || excess == 0 {
            return Ok(0);
        }
        let batch = excess.max(self.limit / BATCH_FRACTION);
        let mut freed = 0;
        let mut victims = Vec::new();
        for victim in self.victims(key, now) {
            let wanted = if victim.is_silent { batch } else { excess };
            if freed >= wanted {
                break;
            }
            freed += victim.bytes;
            victims.push(victim.key);
        }
        // Nobody gives way to one that does not fit all the same.
        if freed < excess {
            return Err(MemoryFull);
        }
        for victim in &victims {
            self.evict(*victim);
        }
        Ok(victims.len())
    }

    fn evict(&mut self, key: HolderKey) {
        self.close(key);
        self.evicted.push(key);
    }

    fn reading_mut(&mut self, key: HolderKey) -> Option<&mut Reading> {
        self.holders.get_mut(key)?.reading.as_mut()
    }

    // The holders that give way, in order: the requests that are longest silent first, then
    // the slowest, then the answers whose clients have longest taken nothing.
    fn victims(&self, asking: HolderKey, now: Duration) -> Vec<Victim> {
        let mut silent = Vec::new();
        let mut slow = Vec::new();
        let mut untaken = Vec::new();
        for (key, holder) in &self.holders {
            let bytes = holder.total();
            if key == asking || bytes == 0 {
                continue;
            }
            let victim = Victim {
                key,
                bytes,
                is_silent: false,
            };
            if let Some(taken_at) = holder.taken_at
                && now.saturating_sub(taken_at) >= SILENCE
            {
                untaken.push((victim, taken_at));
            }
            let Some(reading) = holder.reading else {
                continue;
            };
            let silence = now.saturating_sub(reading.last_bytes);
            if silence >= SILENCE {
                let is_silent = true;
                silent.push((
                    Victim {
                        is_silent,
                        ..victim
                    },
                    silence,
                ));
                continue;
            }
            let age = now.saturating_sub(reading.began);
            // One that has only begun has no rate yet.
            if holder.bytes == 0 && age < SILENCE {
                continue;
            }
            let rate = holder.bytes as f64 / age.max(SILENCE).as_secs_f64();
            let rest = reading.announced;
            let rest = rest.map(|length| length.saturating_sub(holder.bytes));
            let is_slow = rest.map_or(rate < SLOW_RATE, |rest| {
                rest as f64 > rate * LONGEST_REST.as_secs_f64()
            });
            if is_slow {
                slow.push((victim, rate));
            }
        }
        silent.sort_by_key(|(_, silence)| Reverse(*silence));
        slow.sort_by(|(_, one), (_, other)| one.total_cmp(other));
        untaken.sort_by_key(|(_, taken_at)| *taken_at);
        let silent = silent.into_iter().map(|(victim, _)| victim);
        let slow = slow.into_iter().map(|(victim, _)| victim);
        let untaken = untaken.into_iter().map(|(victim, _)| victim);
        silent.chain(slow).chain(untaken).collect()
    }
}

/// A holder that gives way to others.
#[derive(Debug, Clone, Copy)]
struct Victim {
    key: HolderKey,
    /// What it holds, in bytes.
    bytes: usize,
    /// True for a request of which nothing comes any more.
    is_silent: bool,
}

fn limit(host_memory: u64) -> usize {
    let (part, whole) = LIMIT_PARTS;
    usize::try_from(host_memory / whole * part).unwrap_or(usize::MAX)
}
