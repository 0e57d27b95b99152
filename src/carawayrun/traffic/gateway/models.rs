//! The list of models that a team may use.

use actix_http::body::BoxBody;
use actix_http::{HttpMessage, Request, Response, StatusCode};
use compact_str::CompactString;
use serde::Serialize;

use super::auth::authenticate;
use super::handler::early_refusal;
use super::headers::RequestHeaders;
use super::refusal::Refusal;
use super::shared::Worker;
use crate::http::json;
use crate::resource::{Config, Phase, TeamKey};

#[derive(Debug)]
#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<Model>,
}

#[derive(Debug)]
#[derive(Serialize)]
struct Model {
    id: CompactString,
    object: &'static str,
    created: u64,
    owned_by: CompactString,
}

/// Builds the response with the models and versions that the caller's team may
/// use.
pub(super) fn list(worker: &Worker, request: &Request) -> Response<BoxBody> {
    match list_permitted(worker, request) {
        Ok(data) => json(
            StatusCode::OK,
            &ModelList {
                object: "list",
                data,
            },
        ),
        Err(refusal) => early_refusal(worker, &refusal),
    }
}

fn list_permitted(worker: &Worker, request: &Request) -> Result<Vec<Model>, Refusal> {
    let view = worker.shared.handle.view();
    let headers = RequestHeaders::read(request.headers())?;
    let team = authenticate(&view.config, &headers.bearer)?;
    Ok(permitted_models(&view.config, team.key))
}

fn permitted_models(config: &Config, team: TeamKey) -> Vec<Model> {
    let Some(team) = config.teams.get(team) else {
        return Vec::new();
    };
    let mut found: Vec<Model> = Vec::new();
    for name in &team.spec.versions {
        let Some(version) = config.versions.by_name(name) else {
            continue;
        };
        if version.spec.phase == Phase::Withdrawn {
            continue;
        }
        for id in [&version.spec.model, &version.name] {
            if found.iter().all(|known| known.id != *id) {
                found.push(Model {
                    id: id.clone(),
                    object: "model",
                    created: 0,
                    owned_by: version.spec.service.clone(),
                });
            }
        }
    }
    found
}
