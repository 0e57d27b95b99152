//! Counts and latencies of a run, by request class.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::call::Outcome;
use super::class::Class;

/// Results of a run, by request class.
#[derive(Debug, Default)]
pub(super) struct Report {
    classes: BTreeMap<Class, ClassStats>,
    unanswered: u64,
    elapsed: Duration,
}

#[derive(Debug)]
struct ClassStats {
    /// Number of recorded outcomes; printed and serialized as `sent`.
    ended: u64,
    answered: u64,
    broken: u64,
    wrong: u64,
    chunks: u64,
    /// Number of error answers by `code/ran`.
    refused: BTreeMap<String, u64>,
    first_us: Histogram<u64>,
    total_us: Histogram<u64>,
    /// Error texts of the first broken or wrong answers.
    messages: Vec<String>,
}

/// Maximum number of stored error texts per class.
const MAX_MESSAGES: usize = 5;

/// Highest recorded latency, in microseconds; higher ones are recorded as this.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Report as JSON.
#[derive(Debug)]
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct Summary {
    seconds: f64,
    unanswered: u64,
    classes: Vec<ClassSummary>,
}

#[derive(Debug)]
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct ClassSummary {
    class: Class,
    sent: u64,
    answered: u64,
    broken: u64,
    wrong: u64,
    chunks: u64,
    refused: BTreeMap<String, u64>,
    first_p50_ms: f64,
    first_p99_ms: f64,
    total_p50_ms: f64,
    total_p99_ms: f64,
    messages: Vec<String>,
}

impl Default for ClassStats {
    fn default() -> Self {
        let histogram = || {
            Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)
                .expect("the bounds are in order and the precision is in range")
        };
        Self {
            ended: 0,
            answered: 0,
            broken: 0,
            wrong: 0,
            chunks: 0,
            refused: BTreeMap::new(),
            first_us: histogram(),
            total_us: histogram(),
            messages: Vec::new(),
        }
    }
}

impl Report {
    pub(super) fn record(&mut self, class: Class, outcome: &Outcome) {
        let stats = self.classes.entry(class).or_default();
        stats.ended += 1;
        match outcome {
            Outcome::Answered {
                first,
                total,
                chunks,
            } => {
                stats.answered += 1;
                stats.chunks += chunks;
                stats.first_us.saturating_record(first.as_micros() as u64);
                stats.total_us.saturating_record(total.as_micros() as u64);
            }
            Outcome::Refused { code, ran } => {
                *stats.refused.entry(format!("{code}/{ran}")).or_default() += 1;
            }
            Outcome::Broken { message } => {
                stats.broken += 1;
                stats.add_message(message);
            }
            Outcome::Wrong { message } => {
                stats.wrong += 1;
                stats.add_message(message);
            }
        }
    }

    /// Returns the number of requests whose outcome was recorded.
    pub(super) fn ended_requests(&self) -> u64 {
        self.classes.values().map(|stats| stats.ended).sum()
    }

    /// Returns the number of answers with the outcome [`Outcome::Wrong`]. An answer that
    /// is incomplete because its connection or stream broke is [`Outcome::Broken`], and
    /// is not counted here.
    pub(super) fn wrong_answers(&self) -> u64 {
        self.classes.values().map(|stats| stats.wrong).sum()
    }

    pub(super) fn finish(&mut self, sent: u64, elapsed: Duration) {
        self.unanswered = sent - self.ended_requests();
        self.elapsed = elapsed;
    }

    pub(super) fn summary(&self) -> Summary {
        Summary {
            seconds: self.elapsed.as_secs_f64(),
            unanswered: self.unanswered,
            classes: self
                .classes
                .iter()
                .map(|(class, stats)| stats.summary(*class))
                .collect(),
        }
    }
}

impl ClassStats {
    // Stores the error text of a broken or wrong answer; drops it if `MAX_MESSAGES`
    // are stored.
    fn add_message(&mut self, message: &str) {
        if self.messages.len() < MAX_MESSAGES {
            self.messages.push(message.to_owned());
        }
    }

    fn summary(&self, class: Class) -> ClassSummary {
        ClassSummary {
            class,
            sent: self.ended,
            answered: self.answered,
            broken: self.broken,
            wrong: self.wrong,
            chunks: self.chunks,
            refused: self.refused.clone(),
            first_p50_ms: quantile_ms(&self.first_us, 0.5),
            first_p99_ms: quantile_ms(&self.first_us, 0.99),
            total_p50_ms: quantile_ms(&self.total_us, 0.5),
            total_p99_ms: quantile_ms(&self.total_us, 0.99),
            messages: self.messages.clone(),
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<8}{:>8}{:>8}{:>8}{:>8}{:>12}{:>12}{:>12}{:>12}  errors (code/ran)",
            "class", "sent", "ok", "broken", "wrong", "first p50", "p99 ms", "total p50", "p99 ms"
        )?;
        for (class, stats) in &self.classes {
            let errors: Vec<String> = stats
                .refused
                .iter()
                .map(|(code, count)| format!("{code}: {count}"))
                .collect();
            writeln!(
                f,
                "{:<8}{:>8}{:>8}{:>8}{:>8}{:>12.2}{:>12.2}{:>12.2}{:>12.2}  {}",
                class.as_str(),
                stats.ended,
                stats.answered,
                stats.broken,
                stats.wrong,
                quantile_ms(&stats.first_us, 0.5),
                quantile_ms(&stats.first_us, 0.99),
                quantile_ms(&stats.total_us, 0.5),
                quantile_ms(&stats.total_us, 0.99),
                errors.join(", ")
            )?;
            for message in &stats.messages {
                writeln!(f, "        {message}")?;
            }
        }
        write!(
            f,
            "{:.1} s, {} requests without an outcome",
            self.elapsed.as_secs_f64(),
            self.unanswered
        )
    }
}

fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}
