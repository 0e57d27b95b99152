//! Simulates the policy with seeded outcomes and compares it with baselines.
//!
//! There is no network and no other process: arrivals, answers, ratings and
//! queues come from seeded generators. The decisions are made by the code that
//! the gateway runs.

mod cost;
mod deployment;
mod exposure;
mod overload;
mod plots;
mod queue;
mod report;
mod truth;

use bpaf::Bpaf;

use self::deployment::Deployment;
use self::report::Report;
use crate::command::Failure;

/// Flags.
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(generate(options))]
pub(crate) struct Options {
    /// Number of seeds, from one
    #[bpaf(argument("N"), fallback(10))]
    seeds: u64,
    /// One part alone: cost, exposure or overload
    #[bpaf(argument("PART"), optional)]
    only: Option<String>,
    /// Directory of the pages; nothing is written without it
    #[bpaf(argument("DIR"), optional)]
    docs: Option<std::path::PathBuf>,
}

impl Options {
    /// Returns true if `part` is to be run.
    fn includes(&self, part: &str) -> bool {
        self.only.as_deref().is_none_or(|only| only == part)
    }
}

/// Runs the selected parts for all deployments and prints the table of results.
pub(crate) fn run(options: &Options) -> Result<(), Failure> {
    if options.seeds == 0 {
        return Err("--seeds must be at least 1, got 0".into());
    }
    let mut report = Report::new(options.seeds);
    for deployment in Deployment::ALL {
        if options.includes("cost") {
            cost::measure(deployment, options.seeds, &mut report);
        }
        if options.includes("exposure") {
            exposure::measure(deployment, options.seeds, &mut report);
        }
        if options.includes("overload") {
            overload::measure(deployment, options.seeds, &mut report);
        }
    }
    println!("{}", report.markdown());
    if let Some(docs) = &options.docs {
        report.write(docs)?;
        plots::write(&report, docs)?;
    }
    Ok(())
}
