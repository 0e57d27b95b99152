//! Table of results, in Markdown.

use std::fmt::Write;
use std::fs;
use std::path::Path;

use crate::command::Failure;

/// Heading of the section that `Report::write` replaces.
const SECTION_HEADING: &str = "## Policy\n";

/// Text above the table: the conditions of the runs.
const NOTES: &str = "\
Cost counts the second hour; the first is only learned from. At most 100 requests
a second are simulated, so the letter's size is one request in 53, and at most 400 of
a rolled-out model. 70% of answers are rated, 10 s later on average; a gate gets 90%
of its ratings. Bad versions fail 0.1 to 0.5 more, are slow 0.15 to 0.5 more often or
rated 0.1 to 0.4 lower (40 a seed, and 100 good ones). Fixed steps are 5, 20, 50 and
100% for half an hour each; the fixed sample is 715 answers, then late ratings.
Unloaded is 0.3 of the capacity; a quarter of the work is for people who wait, three
tenths of plain calls are status reads. Three eighths of the slots are kept free of
batch work, which the agent does not do yet (it keeps a quarter).
";

/// Values of one measure, one per seed.
#[derive(Debug, Clone, Default)]
pub(crate) struct Sample {
    values: Vec<f64>,
}

impl Sample {
    pub(crate) fn push(&mut self, value: f64) {
        self.values.push(value);
    }

    pub(crate) fn mean(&self) -> f64 {
        self.values.iter().sum::<f64>() / self.values.len().max(1) as f64
    }

    pub(crate) fn median(&self) -> f64 {
        self.quantile(0.5)
    }

    /// The quantile at `share`, by the nearest rank; NaN if there are no values.
    pub(crate) fn quantile(&self, share: f64) -> f64 {
        let mut sorted = self.values.clone();
        sorted.sort_by(f64::total_cmp);
        let last = sorted.len().saturating_sub(1);
        let index = (share * last as f64).round() as usize;
        sorted.get(index).copied().unwrap_or(f64::NAN)
    }
}

/// Bound that a median should meet.
#[derive(Debug, Clone, Copy)]
enum Target {
    AtMost(f64),
    AtLeast(f64),
}

/// One row of the table.
#[derive(Debug, Clone)]
pub(crate) struct Row {
    pub(crate) deployment: &'static str,
    pub(crate) measure: &'static str,
    pub(crate) method: String,
    pub(crate) median: f64,
    min: f64,
    max: f64,
    target: Option<Target>,
}

impl Row {
    /// Creates a row whose median should be at most `target`.
    pub(crate) fn new(
        deployment: &'static str,
        measure: &'static str,
        method: &str,
        sample: &Sample,
        target: Option<f64>,
    ) -> Self {
        Self {
            deployment,
            measure,
            method: method.into(),
            median: sample.median(),
            min: sample.quantile(0.0),
            max: sample.quantile(1.0),
            target: target.map(Target::AtMost),
        }
    }

    /// Requires a median of at least `target` instead.
    pub(crate) fn at_least(self, target: f64) -> Self {
        Self {
            target: Some(Target::AtLeast(target)),
            ..self
        }
    }

    fn target_status(&self) -> String {
        match self.target {
            None => String::new(),
            Some(Target::AtMost(most)) => {
                format!(
                    "at most {}: {}",
                    format_value(most),
                    target_label(self.median <= most)
                )
            }
            Some(Target::AtLeast(least)) => {
                format!(
                    "at least {}: {}",
                    format_value(least),
                    target_label(self.median >= least)
                )
            }
        }
    }
}

fn target_label(met: bool) -> &'static str {
    if met { "met" } else { "**not met**" }
}

/// Results of all measures.
#[derive(Debug)]
pub(crate) struct Report {
    pub(crate) rows: Vec<Row>,
    seeds: u64,
}

impl Report {
    pub(crate) fn new(seeds: u64) -> Self {
        Self {
            rows: Vec::new(),
            seeds,
        }
    }

    pub(crate) fn push(&mut self, row: Row) {
        self.rows.push(row);
    }

    pub(crate) fn markdown(&self) -> String {
        let mut text = format!(
            "{SECTION_HEADING}\nCommand: `cargo run --release -p carawayrun-lab -- experiment \
             --seeds {} --docs docs`. Seeded outcomes, no network; median over {} seeds, then the \
             least and the most. A target is judged on the median.\n\n{NOTES}\n\
             | deployment | measure | way | median | least | most | target |\n\
             |---|---|---|---|---|---|---|\n",
            self.seeds, self.seeds
        );
        for row in &self.rows {
            writeln!(
                text,
                "| {} | {} | {} | {} | {} | {} | {} |",
                row.deployment,
                row.measure,
                row.method,
                format_value(row.median),
                format_value(row.min),
                format_value(row.max),
                row.target_status()
            )
            .expect("writing to a String does not fail");
        }
        text
    }

    /// Replaces the section of the page, or appends it if there is none.
    pub(crate) fn write(&self, docs: &Path) -> Result<(), Failure> {
        let page = docs.join("MEASUREMENTS.md");
        let old = fs::read_to_string(&page).unwrap_or_else(|_| "# Measurements\n".into());
        let section = format!(
            "{}\nPlots: [cost](plots/policy-cost.svg), [exposure](plots/policy-exposure.svg), \
             [overload](plots/policy-overload.svg).\n",
            self.markdown()
        );
        let text = match old.split_once(SECTION_HEADING) {
            None => format!("{}\n\n{section}", old.trim_end()),
            Some((before, rest)) => {
                let after = rest.find("\n## ").map_or("", |index| &rest[index + 1..]);
                let gap = if after.is_empty() { "" } else { "\n" };
                format!("{before}{section}{gap}{after}")
            }
        };
        fs::write(&page, text).map_err(|error| format!("{}: {error}", page.display()).into())
    }
}

fn format_value(value: f64) -> String {
    match value.abs() {
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 10.0 => format!("{value:.1}"),
        _ => format!("{value:.3}"),
    }
}
