//! The command line of the lab.

use bpaf::Bpaf;

use crate::{
    engine, experiment, hosts, load, metadata, objects, pass, plain, rater, runner, table,
};

/// One stand-in or tool.
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(options, generate(options))]
pub(crate) enum Command {
    /// Model engine: chat completions, orders, cache events
    #[bpaf(command)]
    Engine(#[bpaf(external(engine::options))] engine::Options),
    /// Drives the pure policy with seeded outcomes
    #[bpaf(command)]
    Experiment(#[bpaf(external(experiment::options))] experiment::Options),
    /// Lagging list of hosts
    #[bpaf(command)]
    Hosts(#[bpaf(external(hosts::options))] hosts::Options),
    /// Sends a mixed load to gateways and reports what came back
    #[bpaf(command)]
    Load(#[bpaf(external(load::options))] load::Options),
    /// Metadata store of the users' platform
    #[bpaf(command)]
    Metadata(#[bpaf(external(metadata::options))] metadata::Options),
    /// Object store
    #[bpaf(command)]
    Objects(#[bpaf(external(objects::options))] objects::Options),
    /// Passes every call on, for comparison with the gateway and the agent
    #[bpaf(command)]
    Pass(#[bpaf(external(pass::options))] pass::Options),
    /// Plain service whose calls may not all be repeated
    #[bpaf(command)]
    Plain(#[bpaf(external(plain::options))] plain::Options),
    /// Rates answers
    #[bpaf(command)]
    Rater(#[bpaf(external(rater::options))] rater::Options),
    /// Runner of the users' platform
    #[bpaf(command)]
    Runner(#[bpaf(external(runner::options))] runner::Options),
    /// Transactional table service
    #[bpaf(command)]
    Table(#[bpaf(external(table::options))] table::Options),
}

/// Why a tool of the lab stopped.
pub(crate) type Failure = Box<dyn std::error::Error>;
