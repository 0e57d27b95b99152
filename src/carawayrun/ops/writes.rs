//! Write calls of the resource API.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use actix_http::StatusCode;
use compact_str::format_compact;
use serde_json::Value;

use super::api::{ApplyBody, DeleteBody};
use super::clock::now_rfc3339;
use super::handler::{Api, ApiResult, Call};
use super::refusal::Refusal;
use super::status::resource_view;
use super::store::{self, WriteOutcome};
use super::transaction::WriteTransaction;
use crate::control::Event;
use crate::http::json;
use crate::resource::{Edit, Kind, Origin, Resource, WriteId, parse_resource};

/// Longest time a write call waits until its gateway has the change in force.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval at which the generation in force is checked meanwhile.
const IN_FORCE_POLL_INTERVAL: Duration = Duration::from_millis(5);

impl Api {
    pub(super) async fn put(&self, kind: Kind, name: &str, call: &Call) -> ApiResult {
        let resource = parse_one(&call.body)?;
        if resource.kind != kind || resource.metadata.name != name {
            let found = format!("{}/{}", resource.kind, resource.metadata.name);
            return Err(Refusal::malformed(format!(
                "the body is {found} but the path says {kind}/{name}; make them the same"
            )));
        }
        let edits = vec![Edit::Put(Box::new(resource))];
        let status = match self.commit_edits(edits, false, call).await? {
            WriteOutcome::Done(change) if change.items.iter().all(|item| item.before.is_none()) => {
                StatusCode::CREATED
            }
            _ => StatusCode::OK,
        };
        let view = self.handle.view();
        let body = view
            .config
            .resource(kind, name)
            .map(|resource| resource_view(&view, &self.condition_times, resource));
        Ok(json(status, &body))
    }

    /// Commits `edit`, which deletes a resource, and answers with the generation.
    pub(super) async fn delete(&self, edit: Edit, call: &Call) -> ApiResult {
        let generation = match self.commit_edits(vec![edit], false, call).await? {
            WriteOutcome::Done(change) => change.generation,
            WriteOutcome::Unchanged(generation) => generation,
        };
        Ok(json(StatusCode::OK, &DeleteBody { generation }))
    }

    pub(super) async fn apply(&self, dry_run: bool, call: &Call) -> ApiResult {
        let edits = parse_many(&call.body)?;
        let body = match self.commit_edits(edits, dry_run, call).await? {
            WriteOutcome::Done(change) => ApplyBody {
                generation: change.generation,
                dry_run,
                items: change.items,
            },
            WriteOutcome::Unchanged(generation) => ApplyBody {
                generation,
                dry_run,
                items: Vec::new(),
            },
        };
        Ok(json(StatusCode::OK, &body))
    }

    /// Commits the edits. Unless it is a dry run, a change is then posted to the
    /// control loop, and the call waits up to [`IN_FORCE_TIMEOUT`] until it is in
    /// force.
    async fn commit_edits(
        &self,
        edits: Vec<Edit>,
        dry_run: bool,
        call: &Call,
    ) -> Result<WriteOutcome, Refusal> {
        let view = self.handle.view();
        let number = self.writes.fetch_add(1, Ordering::Relaxed);
        let origin = Origin {
            write_id: WriteId(format_compact!("{}.{number}", view.node)),
            author: call.author.clone(),
            reason: call.reason.clone(),
            time: now_rfc3339(),
        };
        let config = Arc::clone(&view.config);
        let transaction = WriteTransaction::new(config, edits, origin, dry_run);
        let written = store::run_transaction(&self.table, transaction).await?;
        if let (WriteOutcome::Done(change), false) = (&written, dry_run) {
            tracing::info!(
                name: "change.accepted",
                generation = change.generation,
                author = %change.author,
                items = change.items.len(),
                "accepted a change"
            );
            self.handle.post(Event::ChangeAccepted(change.clone()));
            self.wait_until_in_force(change.generation).await;
        }
        Ok(written)
    }

    /// Waits until this gateway has `generation` in force, so that operators
    /// read their own writes.
    async fn wait_until_in_force(&self, generation: u64) {
        let reached = async {
            while self.handle.view().config.generation < generation {
                actix_rt::time::sleep(IN_FORCE_POLL_INTERVAL).await;
            }
        };
        // After a timeout the call still succeeds; the status of the resource
        // shows that the change is not in force yet.
        let _ = actix_rt::time::timeout(IN_FORCE_TIMEOUT, reached).await;
    }
}

fn parse_one(body: &[u8]) -> Result<Resource, Refusal> {
    parse_resource(parse_json(body)?, 1).map_err(|error| Refusal::malformed(error.to_string()))
}

/// Parses a JSON array of resources, each as an edit that puts it.
fn parse_many(body: &[u8]) -> Result<Vec<Edit>, Refusal> {
    let Value::Array(values) = parse_json(body)? else {
        return Err(Refusal::malformed(
            "the body is not a JSON array of resources",
        ));
    };
    let numbered = values.into_iter().enumerate();
    numbered
        .map(|(index, value)| {
            let resource = parse_resource(value, index + 1);
            resource
                .map(|resource| Edit::Put(Box::new(resource)))
                .map_err(|error| Refusal::malformed(error.to_string()))
        })
        .collect()
}

fn parse_json(body: &[u8]) -> Result<Value, Refusal> {
    serde_json::from_slice(body)
        .map_err(|error| Refusal::malformed(format!("the body is not JSON: {error}")))
}
