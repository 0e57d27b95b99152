//! Request classes and their weights.

use std::fmt;
use std::str::FromStr;

use serde::Serialize;

/// Class of requests in the users' workloads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
pub(super) enum Class {
    /// Long chat answer (a scene for an installer), streamed.
    Stream,
    /// Short chat answer (a small change), not streamed.
    Tweak,
    /// Long chat answer (a plan) that is not urgent, not streamed.
    Plan,
    /// Idempotent read of a plain service.
    Status,
    /// Call of a plain service that must take effect exactly once.
    Switch,
}

impl Class {
    pub(super) const ALL: [Self; 5] = [
        Self::Stream,
        Self::Tweak,
        Self::Plan,
        Self::Status,
        Self::Switch,
    ];

    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Stream => "stream",
            Self::Tweak => "tweak",
            Self::Plan => "plan",
            Self::Status => "status",
            Self::Switch => "switch",
        }
    }
}

/// Relative weights of the classes, in the order of [`Class::ALL`].
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Mix([u32; Class::ALL.len()]);

impl Mix {
    pub(super) fn weights(&self) -> [u32; Class::ALL.len()] {
        self.0
    }
}

impl Default for Mix {
    fn default() -> Self {
        Self([20, 30, 5, 35, 10])
    }
}

impl fmt::Display for Mix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let parts: Vec<String> = Class::ALL
            .iter()
            .zip(self.0)
            .map(|(class, weight)| format!("{}={weight}", class.as_str()))
            .collect();
        f.write_str(&parts.join(","))
    }
}

impl FromStr for Mix {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut weights = [0; Class::ALL.len()];
        for part in text.split(',') {
            let invalid = || format!("`{part}` is not CLASS=WEIGHT");
            let (name, weight) = part.split_once('=').ok_or_else(invalid)?;
            let index = Class::ALL
                .iter()
                .position(|class| class.as_str() == name)
                .ok_or_else(invalid)?;
            weights[index] = weight.parse().map_err(|_| invalid())?;
        }
        Ok(Self(weights))
    }
}
