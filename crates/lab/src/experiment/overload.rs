//! Time to the first byte of streams and status reads under overload and after
//! the loss of a data centre.

use carawayrun::resource::Config;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::deployment::Deployment;
use super::queue::{Setup, UrgentStats, Workload, simulate};
use super::report::{Report, Row, Sample};
use super::truth::Truth;

/// Streams of an engine, the most urgent class; tweaks and tags are the others.
const STREAMS: Workload = Workload {
    service_time: 4.0,
    first_byte_time: 0.2,
    budget_ms: 2_000,
    class_shares: [0.25, 0.35, 0.4],
};
/// Status reads of a plain service, the most urgent class; switches and bookings
/// are of the normal class.
const STATUS_READS: Workload = Workload {
    service_time: 0.01,
    first_byte_time: 0.008,
    budget_ms: 200,
    class_shares: [0.3, 0.3, 0.4],
};
/// Offered load at which nothing waits, as a multiple of the capacity.
const UNLOADED_LOAD: f64 = 0.3;
/// Offered load at a festival's peak, as a multiple of the capacity.
const PEAK_LOAD: f64 = 2.0;
/// Offered load when a data centre is lost, as a multiple of the capacity.
const LOSS_LOAD: f64 = 0.9;
/// Duration of a run with streams, in seconds.
const STREAM_SECONDS: f64 = 120.0;
/// Duration of a run with status reads, in seconds.
const READ_SECONDS: f64 = 20.0;
/// Fewest upstreams of a plain service, which is what it has today.
const MIN_PLAIN_UPSTREAMS: usize = 3;

/// Measures both workloads and adds the rows to `report`.
pub(crate) fn measure(deployment: Deployment, seeds: u64, report: &mut Report) {
    let engines = Scenario {
        name: "streams",
        deployment,
        workload: STREAMS,
        duration: STREAM_SECONDS,
    };
    engines.measure(seeds, report);
    let plain = Scenario {
        name: "status reads",
        deployment: Deployment {
            upstreams: (deployment.upstreams / 10).max(MIN_PLAIN_UPSTREAMS),
            ..deployment
        },
        workload: STATUS_READS,
        duration: READ_SECONDS,
    };
    plain.measure(seeds, report);
}

/// A workload on a deployment.
struct Scenario {
    name: &'static str,
    deployment: Deployment,
    workload: Workload,
    duration: f64,
}

impl Scenario {
    fn measure(&self, seeds: u64, report: &mut Report) {
        let mut ratios: [Sample; 3] = Default::default();
        let mut refused: [Sample; 2] = Default::default();
        for seed in 1..=seeds {
            let mut rng = SmallRng::seed_from_u64(seed);
            let truth = Truth::draw(&self.deployment, &mut rng);
            let config = self.deployment.config(&truth);
            let unloaded = self.simulate(&config, UNLOADED_LOAD, true, false, seed);
            let protected_peak = self.simulate(&config, PEAK_LOAD, true, false, seed);
            let unprotected_peak = self.simulate(&config, PEAK_LOAD, false, false, seed);
            let data_centre_loss = self.simulate(&config, LOSS_LOAD, true, true, seed);
            ratios[0].push(protected_peak.p99() / unloaded.p99());
            ratios[1].push(unprotected_peak.p99() / unloaded.p99());
            ratios[2].push(data_centre_loss.p99() / unloaded.p99());
            refused[0].push(protected_peak.refused_share());
            refused[1].push(data_centre_loss.refused_share());
        }
        self.report(&ratios, &refused, report);
    }

    fn report(&self, ratios: &[Sample; 3], refused: &[Sample; 2], report: &mut Report) {
        let deployment_name = self.deployment.name;
        let measure = match self.name {
            "streams" => "p99 at 2x / unloaded, streams",
            _ => "p99 at 2x / unloaded, status reads",
        };
        let methods = ["priorities and limits", "one queue without limits"];
        report.push(Row::new(
            deployment_name,
            measure,
            methods[0],
            &ratios[0],
            Some(2.0),
        ));
        report.push(Row::new(
            deployment_name,
            measure,
            methods[1],
            &ratios[1],
            None,
        ));
        let measure = match self.name {
            "streams" => "share refused at 2x, streams",
            _ => "share refused at 2x, status reads",
        };
        report.push(Row::new(
            deployment_name,
            measure,
            methods[0],
            &refused[0],
            None,
        ));
        let method = format!("{}, a data centre lost at load 0.9", self.name);
        report.push(Row::new(
            deployment_name,
            "p99 / unloaded",
            &method,
            &ratios[2],
            None,
        ));
        report.push(Row::new(
            deployment_name,
            "share refused",
            &method,
            &refused[1],
            None,
        ));
    }

    fn simulate(
        &self,
        config: &Config,
        load: f64,
        admission_control: bool,
        data_centre_loss: bool,
        seed: u64,
    ) -> UrgentStats {
        let setup = Setup {
            workload: self.workload,
            load,
            duration: self.duration,
            admission_control,
            data_centre_loss,
            seed,
        };
        simulate(config, self.deployment.data_centres, setup)
    }
}
