//! First bytes of streams and status reads at overload and after a loss.

use carawayrun::resource::Config;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::deployment::Deployment;
use super::queue::{Seen, Setup, Work, run};
use super::report::{Report, Row, Sample};
use super::truth::Truth;

/// Streams of an engine; tweaks and tags are the other classes.
const STREAMS: Work = Work {
    service: 4.0,
    first: 0.2,
    budget_ms: 2_000,
    shares: [0.25, 0.35, 0.4],
};
/// Status reads of a plain service; switches and bookings are normal.
const STATUS_READS: Work = Work {
    service: 0.01,
    first: 0.008,
    budget_ms: 200,
    shares: [0.3, 0.3, 0.4],
};
/// Work offered when nothing waits, as a multiple of the capacity.
const UNLOADED: f64 = 0.3;
/// Work offered at a festival's peak.
const PEAK: f64 = 2.0;
/// Work offered when a data centre is lost.
const ORDINARY: f64 = 0.9;
/// Length of a run with streams, in seconds.
const STREAM_SECONDS: f64 = 120.0;
/// Length of a run with status reads, in seconds.
const READ_SECONDS: f64 = 20.0;
/// Runners of a plain service today.
const PLAIN_UPSTREAMS: usize = 3;

pub(crate) fn measure(deployment: Deployment, seeds: u64, report: &mut Report) {
    let engines = Pools {
        name: "streams",
        size: deployment,
        work: STREAMS,
        length: STREAM_SECONDS,
    };
    engines.measure(seeds, report);
    let plain = Pools {
        name: "status reads",
        size: Deployment {
            upstreams: (deployment.upstreams / 10).max(PLAIN_UPSTREAMS),
            ..deployment
        },
        work: STATUS_READS,
        length: READ_SECONDS,
    };
    plain.measure(seeds, report);
}

struct Pools {
    name: &'static str,
    size: Deployment,
    work: Work,
    length: f64,
}

impl Pools {
    fn measure(&self, seeds: u64, report: &mut Report) {
        let mut ratios: [Sample; 3] = Default::default();
        let mut refused: [Sample; 2] = Default::default();
        for seed in 1..=seeds {
            let mut rng = SmallRng::seed_from_u64(seed);
            let truth = Truth::draw(&self.size, &mut rng);
            let config = self.size.config(&truth);
            let quiet = self.run(&config, UNLOADED, true, false, seed);
            let with = self.run(&config, PEAK, true, false, seed);
            let without = self.run(&config, PEAK, false, false, seed);
            let loss = self.run(&config, ORDINARY, true, true, seed);
            ratios[0].push(with.p99() / quiet.p99());
            ratios[1].push(without.p99() / quiet.p99());
            ratios[2].push(loss.p99() / quiet.p99());
            refused[0].push(with.refused_share());
            refused[1].push(loss.refused_share());
        }
        self.report(&ratios, &refused, report);
    }

    fn report(&self, ratios: &[Sample; 3], refused: &[Sample; 2], report: &mut Report) {
        let place = self.size.name;
        let measure = match self.name {
            "streams" => "p99 at 2x / unloaded, streams",
            _ => "p99 at 2x / unloaded, status reads",
        };
        let ways = ["priorities and limits", "one queue without limits"];
        report.push(Row::new(place, measure, ways[0], &ratios[0], Some(2.0)));
        report.push(Row::new(place, measure, ways[1], &ratios[1], None));
        let measure = match self.name {
            "streams" => "share refused at 2x, streams",
            _ => "share refused at 2x, status reads",
        };
        report.push(Row::new(place, measure, ways[0], &refused[0], None));
        let way = format!("{}, a data centre lost at load 0.9", self.name);
        report.push(Row::new(place, "p99 / unloaded", &way, &ratios[2], None));
        report.push(Row::new(place, "share refused", &way, &refused[1], None));
    }

    fn run(&self, config: &Config, load: f64, protected: bool, loss: bool, seed: u64) -> Seen {
        let setup = Setup {
            work: self.work,
            load,
            length: self.length,
            protected,
            loss,
            seed,
        };
        run(config, self.size.places, setup)
    }
}
