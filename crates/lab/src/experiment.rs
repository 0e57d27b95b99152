//! Drives the pure policy with seeded outcomes and compares it with baselines.
//!
//! No network, no processes: arrivals, answers, ratings and queues are drawn
//! from seeded generators, and every decision is the one that the gateway
//! takes.

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
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub(crate) struct Options {
    /// Number of seeds, from one
    #[bpaf(argument("N"), fallback(10))]
    seeds: u64,
    /// Directory of the pages; nothing is written without it
    #[bpaf(argument("DIR"), optional)]
    docs: Option<std::path::PathBuf>,
}

pub(crate) fn run(options: &Options) -> Result<(), Failure> {
    if options.seeds == 0 {
        return Err("--seeds: 0 is not a number of seeds; give at least 1".into());
    }
    let mut report = Report::new(options.seeds);
    for deployment in Deployment::ALL {
        if std::env::var("NOCOST").is_err() {
            cost::measure(deployment, options.seeds, &mut report);
        }
        exposure::measure(deployment, options.seeds, &mut report);
        overload::measure(deployment, options.seeds, &mut report);
    }
    println!("{}", report.markdown());
    if let Some(docs) = &options.docs {
        report.write(docs)?;
        plots::write(&report, docs)?;
    }
    Ok(())
}
