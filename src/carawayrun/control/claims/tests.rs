//! Claims under lost answers, conflicts and outages.
