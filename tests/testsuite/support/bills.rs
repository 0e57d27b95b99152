//! The bills that the table service holds.

use std::collections::HashMap;

use serde_json::Value;

/// How many bills each request has.
#[derive(Debug, Default)]
pub(crate) struct Bills {
    counts: HashMap<String, usize>,
}

impl Bills {
    /// Reads rows `bill/<gateway life>/<batch>`.
    pub(crate) fn of_rows(rows: &[Value]) -> Self {
        let mut bills = Self::default();
        for row in rows {
            let key = row["key"].as_str().unwrap_or_default();
            let life = key.split('/').nth(1).unwrap_or_default();
            for bill in row["value"].as_array().into_iter().flatten() {
                let id = format!("{life}.{}", bill["sequence"]);
                *bills.counts.entry(id).or_default() += 1;
            }
        }
        bills
    }

    /// Number of bills of a request.
    pub(crate) fn count(&self, request_id: &str) -> usize {
        self.counts.get(request_id).copied().unwrap_or(0)
    }

    /// Requests that have more than one bill.
    pub(crate) fn doubled(&self) -> Vec<String> {
        let doubled = self.counts.iter().filter(|(_, count)| **count > 1);
        doubled.map(|(id, _)| id.clone()).collect()
    }
}
