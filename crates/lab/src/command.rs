//! The command line of the lab.

use bpaf::Bpaf;

use crate::{
    engine, experiment, hosts, load, metadata, objects, pass, plain, rater, runner, table,
};

/// Stand-ins for outer services, a load generator and experiments
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(options, generate(options))]
pub(crate) enum Command {
    /// Model engine: chat completions, orders and cache events
    #[bpaf(command)]
    Engine(#[bpaf(external(engine::options))] engine::Options),
    /// Simulates the routing policies with seeded outcomes
    #[bpaf(command)]
    Experiment(#[bpaf(external(experiment::options))] experiment::Options),
    /// List of hosts that shows changes after a delay
    #[bpaf(command)]
    Hosts(#[bpaf(external(hosts::options))] hosts::Options),
    /// Sends a mixed load to gateways and reports the answers
    #[bpaf(command)]
    Load(#[bpaf(external(load::options))] load::Options),
    /// Metadata store: tables of rows with a change feed
    #[bpaf(command)]
    Metadata(#[bpaf(external(metadata::options))] metadata::Options),
    /// Object store
    #[bpaf(command)]
    Objects(#[bpaf(external(objects::options))] objects::Options),
    /// Plain proxy, the baseline for the overhead of gateway and agent
    #[bpaf(command)]
    Pass(#[bpaf(external(pass::options))] pass::Options),
    /// Plain service whose calls are not all idempotent
    #[bpaf(command)]
    Plain(#[bpaf(external(plain::options))] plain::Options),
    /// Rates answers
    #[bpaf(command)]
    Rater(#[bpaf(external(rater::options))] rater::Options),
    /// Runner: plain calls and event streams
    #[bpaf(command)]
    Runner(#[bpaf(external(runner::options))] runner::Options),
    /// Transactional table service
    #[bpaf(command)]
    Table(#[bpaf(external(table::options))] table::Options),
}

/// Error that ends a command of the lab.
pub(crate) type Failure = Box<dyn std::error::Error>;
