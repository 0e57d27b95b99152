//! Pace of each engine relative to the usual one of its service.
//!
//! Load pattern: some engines of a service are half as fast as the others, without a
//! fault, and any of them is slower for moments. Streams pass through the gateways in
//! any case, and the gaps between their events show the speed of an engine apart from
//! the wait before the first one. The ratios of all gateways are added up, so an engine
//! is known after a few streams and forgotten within tens of seconds.

use std::time::Duration;

use compact_str::CompactString;
use rustc_hash::FxHashMap;

use crate::peer::message::UpstreamPace;

/// Time after which a stream counts half.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Number of streams of usual pace that an unknown engine is taken to have had.
const PRIOR_STREAMS: f64 = 4.0;

/// Greatest ratio, in either direction, that one stream counts as.
const MAX_RATIO: f64 = 4.0;

/// Least pace of an engine.
const MIN_PACE: f64 = 0.5;

/// Greatest pace of an engine; one that is slower is left to health checks and to the
/// evaluation of its version.
const MAX_PACE: f64 = 4.0;

/// Fewest gaps between events that tell an engine's pace.
const MIN_GAPS: usize = 4;

/// Most gaps of a stream that are kept.
const MAX_GAPS: usize = 64;

/// Number of streams after which the usual gap of a model is known.
const MIN_STREAMS: u32 = 8;

/// Weight of the newest stream in the usual gap.
const STREAM_EWMA_WEIGHT: f64 = 0.02;

/// Most engines in one report, to leave room for the rest of a datagram.
const MAX_REPORTED_PACES: usize = 16;

/// Most streams that one entry of a report counts as.
const MAX_REPORTED_STREAMS: u32 = 64;

/// Engines whose pace is remembered.
const MAX_ENGINES: usize = 4_096;

/// Gaps between the events of one stream.
#[derive(Debug, Default)]
pub struct StreamGaps {
    last: Option<Duration>,
    gaps_ms: Vec<f64>,
}

impl StreamGaps {
    /// Records that `events` came together at `now`, on any clock.
    pub fn record(&mut self, events: u64, now: Duration) {
        if events == 0 {
            return;
        }
        let before = self.last.replace(now);
        if let Some(before) = before.filter(|_| self.gaps_ms.len() < MAX_GAPS) {
            let gap_ms = now.saturating_sub(before).as_secs_f64() * 1_000.0;
            self.gaps_ms.push(gap_ms / events as f64);
        }
    }

    /// Lower quartile of the gaps in milliseconds, which leaves out steps in which
    /// prompts were read; `None` if there are too few.
    pub fn step_ms(&self) -> Option<f64> {
        if self.gaps_ms.len() < MIN_GAPS {
            return None;
        }
        let mut sorted = self.gaps_ms.clone();
        sorted.sort_by(f64::total_cmp);
        Some(sorted[sorted.len() / 4]).filter(|gap_ms| *gap_ms > 0.0)
    }
}

/// A whole stream of an engine.
#[derive(Debug, Clone, Copy)]
pub struct StreamSample<'a> {
    /// Service of the engine.
    pub service: &'a str,
    /// Model that answered.
    pub model: &'a str,
    /// Digest of the engine's incarnation.
    pub engine: u64,
    /// Typical gap between events, in milliseconds.
    pub step_ms: f64,
    /// Time from the first event to the end, in milliseconds.
    pub generation_ms: f64,
    /// Tokens of the answer that the client expected; zero if it said nothing.
    pub tokens: u32,
    /// False for a version under evaluation, which must not become what is usual.
    pub is_reference: bool,
}

/// What is usual for a model, at an engine of pace 1.
#[derive(Debug, Clone, Copy, Default)]
struct UsualPace {
    streams: u32,
    /// Natural logarithm of the gap in milliseconds.
    log_step: f64,
    /// Milliseconds of generation per expected token.
    token_ms: f64,
}

/// Decayed sum of the logarithms of ratios.
#[derive(Debug, Clone, Copy, Default)]
struct PaceSum {
    streams: f64,
    log_ratios: f64,
    at: Duration,
}

impl PaceSum {
    fn add(&mut self, streams: f64, log_ratio: f64, now: Duration) {
        let decay = self.decay(now);
        self.streams = self.streams * decay + streams;
        self.log_ratios = self.log_ratios * decay + streams * log_ratio;
        self.at = now;
    }

    fn decay(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at);
        (-age.div_duration_f64(HALF_LIFE)).exp2()
    }

    fn pace(&self, now: Duration) -> f64 {
        let decay = self.decay(now);
        let log_pace = self.log_ratios * decay / (self.streams * decay + PRIOR_STREAMS);
        log_pace.exp().clamp(MIN_PACE, MAX_PACE)
    }
}

/// Paces of the engines as seen by all gateways.
#[derive(Debug, Default)]
pub struct Paces {
    usual: FxHashMap<(CompactString, CompactString), UsualPace>,
    engines: FxHashMap<u64, PaceSum>,
    /// Own streams that were not reported yet: number and sum of logarithms.
    untold: FxHashMap<u64, (u32, f64)>,
}

impl Paces {
    /// Time of an engine's step relative to the usual one: 2 for an engine half as fast, 1
    /// for one that is not known.
    pub fn pace(&self, engine: u64, now: Duration) -> f64 {
        self.engines.get(&engine).map_or(1.0, |sum| sum.pace(now))
    }

    /// Time to generate an answer at an engine of pace 1, in milliseconds; zero while
    /// nothing is known of the model.
    pub fn generation_ms(&self, service: &str, model: &str, tokens: u32) -> f64 {
        let usual = self.usual.get(&(service.into(), model.into()));
        usual.map_or(0.0, |usual| usual.token_ms * f64::from(tokens))
    }

    /// Records a stream that ended whole.
    pub fn record(&mut self, sample: &StreamSample<'_>, now: Duration) {
        let pace = self.pace(sample.engine, now);
        let usual = self
            .usual
            .entry((sample.service.into(), sample.model.into()))
            .or_default();
        let log_step = sample.step_ms.max(f64::MIN_POSITIVE).ln();
        let is_known = usual.streams >= MIN_STREAMS;
        let limit = MAX_RATIO.ln();
        let log_ratio = (log_step - usual.log_step).clamp(-limit, limit);
        if sample.is_reference {
            usual.streams = usual.streams.saturating_add(1);
            let weight = STREAM_EWMA_WEIGHT.max(1.0 / f64::from(usual.streams));
            let residual = if is_known {
                log_ratio - pace.ln()
            } else {
                log_step - usual.log_step
            };
            usual.log_step += weight * residual;
            if sample.tokens > 0 {
                let token_ms = sample.generation_ms / f64::from(sample.tokens) / pace;
                usual.token_ms += weight * (token_ms - usual.token_ms);
            }
        }
        if is_known {
            self.add(sample.engine, 1.0, log_ratio, now);
            let untold = self.untold.entry(sample.engine).or_default();
            untold.0 += 1;
            untold.1 += log_ratio;
        }
    }

    /// Takes own streams since the last report, for the other gateways.
    pub fn take_untold(&mut self) -> Vec<UpstreamPace> {
        let engines = self.untold.keys().copied().take(MAX_REPORTED_PACES);
        let engines: Vec<u64> = engines.collect();
        let told = engines.into_iter().filter_map(|engine| {
            let (streams, log_ratios) = self.untold.remove(&engine)?;
            Some(UpstreamPace {
                incarnation: engine,
                streams,
                log_ratio: (log_ratios / f64::from(streams.max(1))) as f32,
            })
        });
        told.collect()
    }

    /// Records what another gateway saw.
    pub fn receive(&mut self, told: &[UpstreamPace], now: Duration) {
        let limit = MAX_RATIO.ln();
        for pace in told {
            let log_ratio = f64::from(pace.log_ratio);
            if log_ratio.is_finite() {
                let streams = f64::from(pace.streams.min(MAX_REPORTED_STREAMS));
                self.add(
                    pace.incarnation,
                    streams,
                    log_ratio.clamp(-limit, limit),
                    now,
                );
            }
        }
    }

    fn add(&mut self, engine: u64, streams: f64, log_ratio: f64, now: Duration) {
        if self.engines.len() >= MAX_ENGINES && !self.engines.contains_key(&engine) {
            let is_recent = |sum: &PaceSum| sum.decay(now) > 0.01;
            self.engines.retain(|_, sum| is_recent(sum));
            if self.engines.len() >= MAX_ENGINES {
                return;
            }
        }
        let sum = self.engines.entry(engine).or_default();
        sum.add(streams, log_ratio, now);
    }
}
