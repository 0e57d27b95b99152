//! Pure decisions: plans, quality, roll-outs and choice of upstream.
//!
//! Nothing here does I/O or reads a clock: times are milliseconds on the
//! process's clock and random numbers come from a generator that is passed in,
//! so the running gateway and the experiments of the lab share this code.
//!
//! | item | answers |
//! |---|---|
//! | [`plan`] | which version, or cascade of versions, answers a request |
//! | [`Estimates`] | how good, slow and long a version's answers are |
//! | [`Pools`] | which upstream runs it |
//! | [`Ejection`] | which upstreams are left out for a while |
//! | [`can_start`], [`queue_limit`] | which class of work an upstream starts or queues |
//! | [`TokenBucket`] | whether a team is within its limits |
//! | [`RetryBudget`] | whether a retry is affordable |
//! | [`judge`] | whether a roll-out goes on, waits or is withdrawn |
//! | [`is_worse`] | whether a version is worse than one that is well known |
//! | [`DriftDetector`] | whether a version turned bad without a roll-out |

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
pub use self::evaluation::{Arms, Evaluation, Evidence, Progress, Verdict, evaluate, is_worse};
pub use self::explanation::{Explanation, Reason};
pub use self::in_flight::InFlightCounts;
pub use self::plan::plan;
pub use self::pools::{Pick, PickRequest, Pool, Pools, UpstreamCandidate};
pub use self::request::{Gate, Plan, PlanContext, PlanError, PlanRequest, Split, Step};
pub use self::retry::RetryBudget;
pub use self::tally::Tally;
