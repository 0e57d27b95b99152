//! Stand-ins for the platform's services and the upstreams, a load generator
//! and experiments.
//!
//! Nothing here is shipped. Each stand-in is a process that listens on loopback
//! by default. Its faults are set by flag, and at run time by `PUT /faults`.

mod command;
mod engine;
mod experiment;
mod faults;
mod hosts;
mod load;
mod metadata;
mod objects;
mod pass;
mod plain;
mod rater;
mod runner;
mod serve;
mod table;

use command::Command;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> std::process::ExitCode {
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .init();
    let command = command::options().run();
    let result = match command {
        Command::Engine(options) => engine::run(&options),
        Command::Experiment(options) => experiment::run(&options),
        Command::Hosts(options) => hosts::run(&options),
        Command::Load(options) => load::run(&options),
        Command::Metadata(options) => metadata::run(&options),
        Command::Objects(options) => objects::run(&options),
        Command::Pass(options) => pass::run(&options),
        Command::Plain(options) => plain::run(&options),
        Command::Rater(options) => rater::run(&options),
        Command::Runner(options) => runner::run(&options),
        Command::Table(options) => table::run(&options),
    };
    match result {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            std::process::ExitCode::FAILURE
        }
    }
}
