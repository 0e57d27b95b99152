//! The description of the resource API matches its routes and bodies.

use std::collections::BTreeSet;

use carawayrun::control::RolloutPhase;
use carawayrun::ops::api::{
    AgentStatus, ApplyBody, AuditBody, ConditionView, DeleteBody, ErrorBody, ErrorDetail, ListBody,
    MemberStatus, NamedRollout, ResourceView, RolloutStatus, Status, StatusBody, WatchLine,
};
use carawayrun::ops::why::{Attempt, Decision};
use carawayrun::ops::{OPENAPI, ROUTES};
use carawayrun::report::burn_report;
use carawayrun::resource::{
    Change, ChangeAction, ChangeItem, Config, Kind, Resource, WriteId, parse_manifests,
};
use serde_json::{Value, json};

fn description() -> Value {
    serde_json::from_str(OPENAPI).expect("the description is JSON")
}

#[test]
fn description_lists_exactly_the_served_routes() {
    let description = description();
    let paths = description["paths"].as_object().expect("paths");
    let described: BTreeSet<String> = paths
        .iter()
        .flat_map(|(path, calls)| {
            let methods = calls.as_object().expect("calls").keys();
            methods.map(move |method| format!("{} {path}", method.to_uppercase()))
        })
        .collect();
    let served: BTreeSet<String> = ROUTES
        .iter()
        .map(|route| format!("{} {}", route.method, route.path))
        .collect();
    assert_eq!(described, served);
}

#[test]
fn bodies_match_their_schemas() {
    for (name, body) in bodies() {
        assert_matches_schema(
            &description(),
            &json!({"$ref": format!("#/components/schemas/{name}")}),
            &body,
            name,
        );
    }
}

#[test]
fn example_resources_match_their_schemas() {
    for resource in examples() {
        let name = resource.kind.as_str();
        let body = serde_json::to_value(&resource).expect("JSON");
        assert_matches_schema(
            &description(),
            &json!({"$ref": "#/components/schemas/Resource"}),
            &body,
            name,
        );
        let spec = json!({"$ref": format!("#/components/schemas/{name}")});
        assert_matches_schema(&description(), &spec, &body["spec"], name);
    }
}

#[test]
fn schema_check_rejects_wrong_bodies() {
    let schema = json!({"$ref": "#/components/schemas/DeleteBody"});
    for wrong in [
        json!({}),
        json!({"generation": 1, "more": 2}),
        json!({"generation": "1"}),
    ] {
        assert!(
            check_schema(&description(), &schema, &wrong).is_err(),
            "{wrong}"
        );
    }
}

fn examples() -> Vec<Resource> {
    let luzcena = parse_manifests(include_str!("../../examples/luzcena.yaml"));
    let association = parse_manifests(include_str!("../../examples/association.yaml"));
    let mut all = luzcena.expect("the manifest parses");
    all.extend(association.expect("the manifest parses"));
    all
}

fn bodies() -> Vec<(&'static str, Value)> {
    let resource = examples().remove(0);
    let view = ResourceView {
        resource: resource.clone(),
        status: status(),
    };
    let change = change(resource);
    let watch = |line: WatchLine| ("WatchLine", to_json(&line));
    vec![
        ("ResourceView", to_json(&view)),
        (
            "ListBody",
            to_json(&ListBody {
                generation: 1,
                items: vec![view],
            }),
        ),
        (
            "ApplyBody",
            to_json(&ApplyBody {
                generation: 1,
                dry_run: true,
                items: change.items.clone(),
            }),
        ),
        ("DeleteBody", to_json(&DeleteBody { generation: 1 })),
        (
            "AuditBody",
            to_json(&AuditBody {
                changes: vec![change.clone()],
            }),
        ),
        watch(WatchLine::Change {
            change: Box::new(change),
        }),
        watch(WatchLine::Heartbeat {
            generation: 1,
            in_force: 1,
            store_available: true,
        }),
        watch(WatchLine::Gone { oldest: 1 }),
        ("StatusBody", to_json(&status_body())),
        ("Decision", to_json(&decision())),
        ("BurnReport", burn()),
        ("ErrorBody", to_json(&error())),
    ]
}

fn to_json(value: &impl serde::Serialize) -> Value {
    serde_json::to_value(value).expect("bodies are JSON")
}

fn status() -> Status {
    Status {
        generation: 1,
        live: 2,
        in_force: 1,
        pending: vec!["gw-2".into()],
        conditions: vec![ConditionView {
            name: "InForce".into(),
            holds: true,
            reason: "Everywhere".into(),
            message: "all".into(),
            since: "2026-12-03T22:24:00Z".into(),
        }],
        rollout: Some(rollout()),
    }
}

fn rollout() -> RolloutStatus {
    RolloutStatus {
        phase: RolloutPhase::Running,
        share: 0.1,
    }
}

fn change(resource: Resource) -> Change {
    Change {
        generation: 1,
        write_id: WriteId("w".into()),
        author: "ana".into(),
        reason: "why".into(),
        time: "2026-12-03T22:24:00Z".into(),
        items: vec![ChangeItem {
            action: ChangeAction::Put,
            kind: Kind::Service,
            name: "scene-model".into(),
            before: None,
            after: Some(resource),
        }],
    }
}

fn status_body() -> StatusBody {
    StatusBody {
        node: "gw-1.1".into(),
        generation: 1,
        closed: "draining".into(),
        members: vec![MemberStatus {
            node: "gw-1.1".into(),
            role: "gateway".into(),
            data_centre: "dc-a".into(),
            state: "alive".into(),
            generation: 1,
        }],
        agents: vec![AgentStatus {
            node: "agent-1.1".into(),
            upstream: "scene-01".into(),
            data_centre: "dc-a".into(),
            open: true,
            running: 1,
            queued: 1,
            slots: 1,
            warm: vec!["scene-large-3".into()],
        }],
        rollouts: vec![NamedRollout {
            name: "next".into(),
            model: "scene".into(),
            from: "scene-large-3".into(),
            to: "scene-large-4".into(),
            status: rollout(),
        }],
        suspended: vec!["scene-large-4".into()],
    }
}

fn decision() -> Decision {
    Decision {
        request: "gw-1.1.1".into(),
        time: "2026-12-03T22:24:00Z".into(),
        team: "shops".into(),
        service: "scene-model".into(),
        task: "room-plan".into(),
        generation: 1,
        explanation: vec!["because".into()],
        attempts: vec![Attempt {
            step: 0,
            attempt: 0,
            version: "scene-large-3".into(),
            upstream: "scene-01".into(),
            result: "answered".into(),
            message: "".into(),
            start_ms: 1,
            took_ms: 1,
        }],
        code: "".into(),
        ran: "yes".into(),
        version: "scene-large-3".into(),
        total_ms: 1,
        cost_micros: 1,
    }
}

fn burn() -> Value {
    let config = Config::empty()
        .with_resources(1, &examples())
        .expect("the configuration is valid");
    to_json(&burn_report(&config, &[], 0, false))
}

fn error() -> ErrorBody {
    ErrorBody {
        error: ErrorDetail {
            code: "conflict".into(),
            message: "no".into(),
            problems: vec!["one".into()],
            current: Some(json!(3)),
            write_id: Some("w".into()),
        },
    }
}

fn assert_matches_schema(description: &Value, schema: &Value, value: &Value, what: &str) {
    if let Err(error) = check_schema(description, schema, value) {
        panic!("{what}: {error}");
    }
}

/// Checks a value against a schema; a field that the schema does not name is an
/// error.
fn check_schema(description: &Value, schema: &Value, value: &Value) -> Result<(), String> {
    let schema = resolve_schema(description, schema);
    for key in ["oneOf", "anyOf"] {
        if let Some(choices) = schema[key].as_array() {
            let errors: Vec<String> = choices
                .iter()
                .filter_map(|choice| check_schema(description, choice, value).err())
                .collect();
            return if errors.len() < choices.len() {
                Ok(())
            } else {
                Err(errors.join(" | "))
            };
        }
    }
    if let Some(choices) = schema["enum"].as_array() {
        return if choices.contains(value) {
            Ok(())
        } else {
            Err(format!("{value} is not in the enumeration"))
        };
    }
    let is_match = match schema["type"].as_str() {
        Some("string") => value.is_string(),
        Some("integer") => value.is_u64(),
        Some("number") => value.is_number(),
        Some("boolean") => value.is_boolean(),
        Some("null") => value.is_null(),
        Some("array") => {
            let items = value
                .as_array()
                .ok_or_else(|| format!("{value} is no array"))?;
            return items
                .iter()
                .try_for_each(|item| check_schema(description, &schema["items"], item));
        }
        _ => return check_object(description, &schema, value),
    };
    if is_match {
        Ok(())
    } else {
        Err(format!("{value} is no {}", schema["type"]))
    }
}

fn check_object(description: &Value, schema: &Value, value: &Value) -> Result<(), String> {
    let object = value
        .as_object()
        .ok_or_else(|| format!("{value} is no object"))?;
    for required in schema["required"].as_array().into_iter().flatten() {
        let name = required.as_str().unwrap_or_default();
        if !object.contains_key(name) {
            return Err(format!("{name} is missing"));
        }
    }
    for (name, field) in object {
        let known = schema["properties"]
            .get(name)
            .or_else(|| schema.get("additionalProperties"));
        let known = known.ok_or_else(|| format!("{name} is not described"))?;
        check_schema(description, known, field).map_err(|error| format!("{name}: {error}"))?;
    }
    Ok(())
}

/// Returns the schema with its reference resolved and its `allOf` parts merged.
fn resolve_schema(description: &Value, schema: &Value) -> Value {
    if let Some(name) = schema["$ref"].as_str() {
        let pointer = name.trim_start_matches('#');
        let target = description
            .pointer(pointer)
            .expect("the reference resolves");
        return resolve_schema(description, target);
    }
    let Some(parts) = schema["allOf"].as_array() else {
        return schema.clone();
    };
    let mut merged = json!({"type": "object", "properties": {}, "required": []});
    for part in parts {
        let part = resolve_schema(description, part);
        for (name, field) in part["properties"].as_object().into_iter().flatten() {
            merged["properties"][name] = field.clone();
        }
        let required = part["required"].as_array().cloned().unwrap_or_default();
        merged["required"]
            .as_array_mut()
            .expect("a list")
            .extend(required);
    }
    merged
}
