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
//! | [`may_start`], [`queue_limit`] | which class of work an upstream starts or queues |
//! | [`Bucket`] | whether a team is within its limits |
//! | [`RetryBudget`] | whether a retry is affordable |
//! | [`judge`] | whether a roll-out goes on, waits or is withdrawn |
//! | [`is_worse`] | whether a version is worse than one that is well known |
//! | [`DriftDetector`] | whether a version turned bad without a roll-out |

mod admission;
mod ask;
mod binomial;
mod bucket;
mod draft;
mod drift;
mod ejection;
mod estimates;
mod explanation;
mod flight;
mod gate;
mod judge;
mod normal;
mod plan;
mod pools;
mod retry;
mod ring;
mod tally;

pub use self::admission::{may_start, queue_limit};
pub use self::ask::{Ask, Gate, NoPlan, Plan, Situation, Split, Step};
pub use self::bucket::{Bucket, OverLimit};
pub use self::drift::{DriftDetector, DriftVerdict};
pub use self::ejection::Ejection;
pub use self::estimates::{Estimates, Quality};
pub use self::explanation::{Explanation, Reason};
pub use self::flight::Flight;
pub use self::judge::{Arms, Evidence, Judgement, Progress, Verdict, is_worse, judge};
pub use self::plan::plan;
pub use self::pools::{Candidate, Choice, Pick, Pool, Pools};
pub use self::retry::RetryBudget;
pub use self::tally::Tally;
