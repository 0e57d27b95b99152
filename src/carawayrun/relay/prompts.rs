//! Shared prompt parts that engines still hold.
//!
//! Load pattern: requests share the beginnings of their prompts, and an engine that was sent
//! one of them answers the next sooner until other prompts have filled its memory. No answer
//! says what was kept. Each gateway remembers what it sent where, tells the others of new
//! copies, and estimates from the tokens that engines take in how far each copy has moved
//! towards eviction.

use std::hash::{Hash, Hasher};
use std::time::Duration;

use compact_str::CompactString;
use rustc_hash::{FxHashMap, FxHasher};

use super::moving_rate::MovingRate;
use crate::peer::message::PromptCopy;

/// Most engines that a part is known to be held at, so that a hot part does not draw every
/// gateway to ever more engines.
const MAX_COPIES: usize = 4;

/// Most parts that are remembered.
const MAX_PARTS: usize = 2_048;

/// Time without use after which a part may be forgotten for another.
const PART_TTL: Duration = Duration::from_secs(30);

/// Time after which tokens that were sent count half.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Part of an engine's memory that is taken in before the use of a copy is told again.
const RETELL_SHARE: f64 = 0.25;

/// Steepness of the chance around the point where an engine has taken in as much as its
/// memory holds.
const EVICTION_STEEPNESS: i32 = 4;

/// Most copies in one report, to leave room for the rest of a datagram.
const MAX_REPORTED_COPIES: usize = 16;

/// Length of a copy in a report, with its field's key and length.
const COPY_BYTES: usize = 17;

/// Part of a prefix that its affinity engines are taken to have lost while nothing is known
/// of them: they are the first choice, but a known copy is better.
pub const AFFINITY_LOSS: f64 = 0.5;

/// Key of a prompt part for one model of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PartKey(u32);

impl PartKey {
    /// Returns the key of the part with this ID.
    pub fn of(service: &str, model: &str, id: &str) -> Self {
        let mut hasher = FxHasher::default();
        (service, model, id).hash(&mut hasher);
        Self((hasher.finish() >> 32) as u32)
    }
}

/// Part of a prompt, in the order of the prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Key of the part.
    pub key: PartKey,
    /// Length in tokens.
    pub tokens: u32,
}

/// Memory of an engine for parts that are not in use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CacheSpace {
    /// Tokens that it holds beside those of the requests there.
    pub tokens: f64,
    /// Tokens that it takes in, per second.
    pub intake: f64,
}

impl CacheSpace {
    /// Part of the space that is taken in within a time.
    fn turnover(&self, age: Duration) -> f64 {
        if self.tokens <= 0.0 {
            return f64::INFINITY;
        }
        age.as_secs_f64() * self.intake / self.tokens
    }

    /// Chance that a part is still held this long after its last use.
    fn chance(&self, age: Duration) -> f64 {
        1.0 / (1.0 + self.turnover(age).powi(EVICTION_STEEPNESS))
    }
}

/// Prompt that is sent to an engine.
#[derive(Debug, Clone, Copy)]
pub struct PromptSend<'a> {
    /// Service of the engine.
    pub service: &'a str,
    /// Digest of the engine's incarnation.
    pub engine: u64,
    /// Shared parts of the prompt.
    pub parts: &'a [PromptPart],
    /// Tokens of the whole prompt and the expected answer.
    pub kv_tokens: u64,
    /// Memory of the engine for other parts.
    pub space: CacheSpace,
}

/// Copy of a part at an engine.
#[derive(Debug, Clone, Copy)]
struct PartCopy {
    engine: u64,
    used_at: Duration,
    /// Time of the last report of it, by whichever gateway.
    told_at: Option<Duration>,
}

#[derive(Debug, Clone, Copy, Default)]
struct PartCopies([Option<PartCopy>; MAX_COPIES]);

impl PartCopies {
    fn iter(&self) -> impl Iterator<Item = &PartCopy> {
        self.0.iter().flatten()
    }

    fn used_at(&self) -> Duration {
        let uses = self.iter().map(|copy| copy.used_at);
        uses.max().unwrap_or_default()
    }

    // Records a use at an engine; a new copy takes the place of the one used least recently.
    fn record_use(&mut self, engine: u64, now: Duration) -> &mut PartCopy {
        let is_there = |copy: &Option<PartCopy>| copy.is_some_and(|copy| copy.engine == engine);
        let index = self.0.iter().position(is_there).unwrap_or_else(|| {
            let uses = self.0.iter().enumerate();
            let oldest = uses.min_by_key(|(_, copy)| copy.map(|copy| copy.used_at));
            let index = oldest.map_or(0, |(index, _)| index);
            self.0[index] = None;
            index
        });
        let copy = self.0[index].get_or_insert(PartCopy {
            engine,
            used_at: now,
            told_at: None,
        });
        copy.used_at = copy.used_at.max(now);
        copy
    }
}

/// Copies of prompt parts at the engines, as far as a gateway knows. Times are on the
/// caller's clock.
#[derive(Debug, Default)]
pub struct KeptPrompts {
    parts: FxHashMap<PartKey, PartCopies>,
    /// Own sends that were not kept at their engines, by service.
    sent: FxHashMap<CompactString, MovingRate>,
    /// Own copies that were not reported yet.
    untold: Vec<(u64, PartKey)>,
}

impl KeptPrompts {
    /// Tokens that this gateway sends a service's engines and that they have to read or
    /// generate, per second.
    pub fn sent_per_second(&self, service: &str, now: Duration) -> f64 {
        let sent = self.sent.get(service);
        sent.map_or(0.0, |sent| sent.per_second(now))
    }

    /// Engines that were sent one of these parts.
    pub fn holders(&self, parts: &[PromptPart]) -> Vec<u64> {
        let known = parts.iter().filter_map(|part| self.parts.get(&part.key));
        let engines = known.flat_map(|copies| copies.iter().map(|copy| copy.engine));
        let mut engines: Vec<u64> = engines.collect();
        engines.sort_unstable();
        engines.dedup();
        engines
    }

    /// Tokens at the beginning of a prompt that an engine is expected to hold. A use of a
    /// part is one of all parts before it, and a part is kept with these only.
    pub fn expected_tokens(
        &self,
        parts: &[PromptPart],
        engine: u64,
        space: &CacheSpace,
        now: Duration,
    ) -> f64 {
        let mut chance: f64 = 0.0;
        let tokens = parts.iter().rev().map(|part| {
            let copies = self.parts.get(&part.key);
            let copy = copies.and_then(|copies| copies.iter().find(|copy| copy.engine == engine));
            if let Some(copy) = copy {
                chance = chance.max(space.chance(now.saturating_sub(copy.used_at)));
            }
            chance * f64::from(part.tokens)
        });
        tokens.sum()
    }

    /// Records that a prompt is sent to an engine; returns the tokens at its beginning that
    /// the engine is expected to hold.
    pub fn record_send(&mut self, send: &PromptSend<'_>, now: Duration) -> f64 {
        let kept = self.expected_tokens(send.parts, send.engine, &send.space, now);
        let rate = self.sent.entry(send.service.into());
        let rate = rate.or_insert_with(|| MovingRate::with_half_life(HALF_LIFE));
        rate.record((send.kv_tokens as f64 - kept).max(0.0), now);
        let Some((last, before)) = send.parts.split_last() else {
            return kept;
        };
        for part in before {
            self.record_use(part.key, send.engine, now);
        }
        let Some(copy) = self.record_use(last.key, send.engine, now) else {
            return kept;
        };
        let is_told = copy.told_at.is_some_and(|at| {
            let age = now.saturating_sub(at);
            send.space.turnover(age) < RETELL_SHARE
        });
        if !is_told {
            copy.told_at = Some(now);
            // A report is due several times a second; more are told with the next use.
            if self.untold.len() < MAX_REPORTED_COPIES {
                self.untold.push((send.engine, last.key));
            }
        }
        kept
    }

    /// Forgets what an engine held, as it has crashed.
    pub fn forget(&mut self, engine: u64) {
        for copies in self.parts.values_mut() {
            for copy in &mut copies.0 {
                if copy.is_some_and(|copy| copy.engine == engine) {
                    *copy = None;
                }
            }
        }
        self.untold.retain(|(told, _)| *told != engine);
    }

    /// Takes own copies since the last report, for the other gateways: as many as fit into
    /// `room` bytes of it. The others wait for the next one.
    pub fn take_untold(&mut self, room: usize) -> Vec<PromptCopy> {
        let count = self.untold.len().min(room / COPY_BYTES);
        let untold = self.untold.drain(..count);
        let copies = untold.map(|(engine, part)| PromptCopy {
            incarnation: engine,
            part: part.0,
        });
        copies.collect()
    }

    /// Records what another gateway sent.
    pub fn receive(&mut self, told: &[PromptCopy], now: Duration) {
        for copy in told.iter().take(MAX_REPORTED_COPIES) {
            if let Some(known) = self.record_use(PartKey(copy.part), copy.incarnation, now) {
                known.told_at = Some(now);
            }
        }
    }

    // Records the use of a part at an engine; `None` if there is no room for another part.
    fn record_use(&mut self, key: PartKey, engine: u64, now: Duration) -> Option<&mut PartCopy> {
        if self.parts.len() >= MAX_PARTS && !self.parts.contains_key(&key) {
            let is_recent = |copies: &PartCopies| now.saturating_sub(copies.used_at()) < PART_TTL;
            self.parts.retain(|_, copies| is_recent(copies));
            if self.parts.len() >= MAX_PARTS {
                return None;
            }
        }
        let copies = self.parts.entry(key).or_default();
        Some(copies.record_use(engine, now))
    }
}
