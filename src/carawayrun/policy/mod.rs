//! Decision logic for request plans, load balancing, limits and roll-outs.
//!
//! This module does no I/O and reads no clock: times are milliseconds on the
//! process's clock, and random numbers come from a generator that the caller
//! passes in. The gateway and the simulations in the `lab` crate share this code.
//!
//! | item | decides |
//! |---|---|
//! | [`plan`] | which version, or cascade of versions, answers a request |
//! | [`Estimates`] | the expected quality, latency and length of a version's answers |
//! | [`Pools`] | which upstream runs a request |
//! | [`Ejection`] | which upstreams get no requests for a while |
//! | [`can_start`], [`queue_limit`] | which class of requests an upstream starts or queues |
//! | [`TokenBucket`] | whether a team is within its limits |
//! | [`RetryBudget`] | whether a request may be retried |
//! | [`evaluate`] | whether a roll-out advances, waits or is withdrawn |
//! | [`log_evidence_of_excess`] | whether a version is worse than an established one |
//! | [`DriftDetector`] | whether a version got worse without a roll-out |

mod admission;
mod binomial;
mod bucket;
mod draft;
mod drift;
mod ejection;
mod estimates;
mod evaluation;
mod explanation;
mod gate;
mod in_flight;
mod locality;
mod normal;
mod plan;
mod pools;
mod request;
mod retry;
mod tally;

pub use self::admission::{can_start, queue_limit};
pub use self::bucket::{OverLimit, TokenBucket};
pub use self::drift::{DriftDetector, DriftVerdict};
pub use self::ejection::Ejection;
pub use self::estimates::{Estimate, Estimates};
pub use self::evaluation::{
    Arms, Evaluation, Evidence, Progress, Verdict, evaluate, log_evidence_of_excess,
};
pub use self::explanation::{Explanation, Reason};
pub use self::in_flight::InFlightCounts;
pub use self::plan::plan;
pub use self::pools::{Pick, PickRequest, Pool, Pools, UpstreamCandidate};
pub use self::request::{Gate, Plan, PlanContext, PlanError, PlanRequest, Split, Step};
pub use self::retry::RetryBudget;
pub use self::tally::Tally;
