//! Explanation of how a plan was chosen.

use std::fmt;

use compact_str::CompactString;

/// Rule that selected a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The session is pinned to this version.
    Pinned,
    /// Least expected cost among the plans that meet the target.
    Cheapest,
    /// Explores a cheaper version whose estimate is uncertain and that may meet the
    /// target. Limited to a share of requests.
    Explored,
    /// The best permitted version, since none meets the target.
    BestEffort,
}

/// How a plan was chosen, with the figures that an operator can check.
#[derive(Debug, Clone, PartialEq)]
pub struct Explanation {
    /// Rule that selected the plan.
    pub reason: Reason,
    /// Names of the versions, in the order of the steps.
    pub versions: Vec<CompactString>,
    /// Target quality.
    pub target: f64,
    /// Expected quality.
    pub quality: f64,
    /// Standard error of the expected quality.
    pub std_error: f64,
    /// Expected cost, in millionths of the currency unit.
    pub cost_micros: f64,
    /// Expected time to the first byte, in milliseconds.
    pub first_ms: f64,
    /// Number of versions that were considered.
    pub considered: usize,
    /// Chance of a second step; zero for a single version.
    pub escalation: f64,
    /// Whether the split of a roll-out that still compares its versions
    /// selected a version.
    pub from_split: bool,
    /// Whether the session lost its pinned version.
    pub unpinned: bool,
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.versions.join(" then "))?;
        f.write_str(match self.reason {
            Reason::Pinned => "the session is on this version",
            Reason::Cheapest => "least expected cost that meets the target",
            Reason::Explored => "cheaper and may meet the target; tried to find out",
            Reason::BestEffort => "no permitted version meets the target; this is the best",
        })?;
        write!(
            f,
            "; quality {:.3} ± {:.3} of target {:.3}, cost {:.0} micros, first byte {:.0} ms, \
             {} versions weighed",
            self.quality,
            self.std_error,
            self.target,
            self.cost_micros,
            self.first_ms,
            self.considered
        )?;
        if self.escalation > 0.0 {
            write!(f, ", second step for {:.0}%", self.escalation * 100.0)?;
        }
        if self.from_split {
            f.write_str(", drawn by a roll-out")?;
        }
        if self.unpinned {
            f.write_str(", the session's version was withdrawn or is not permitted")?;
        }
        Ok(())
    }
}
