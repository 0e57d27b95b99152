//! Tests of observed state, operator keys, decisions and routes.

use std::sync::Arc;

use actix_http::{Method, Uri};
use compact_str::{CompactString, format_compact};
use test_case::test_case;

use super::api::{ConditionView, ResourceView};
use super::condition_times::ConditionTimes;
use super::operators::{OperatorKey, Operators};
use super::routes::Route;
use super::status::resource_view;
use super::why::{Decision, Decisions};
use crate::control::{AgentView, MemberView, Millis, Role, View};
use crate::peer::message::{Load, MemberState};
use crate::peer::{NodeId, RequestId};
use crate::resource::{Config, Kind, key_digest, parse_manifests};

const MANIFEST: &str = "
apiVersion: carawayrun/v1
kind: Service
metadata: {name: scene}
spec: {backend: engine, tasks: [{name: plan, class: normal, quality: 0.5, latencyMs: 1}]}
---
apiVersion: carawayrun/v1
kind: Version
metadata: {name: scene-1, resourceVersion: 7}
spec: {model: scenes, service: scene, price: {prompt: 1, completion: 1}}
---
apiVersion: carawayrun/v1
kind: Upstream
metadata: {name: scene-a, resourceVersion: 7}
spec: {service: scene, dataCentre: dc-a, slots: 1, versions: [scene-1]}
";

fn node(name: impl Into<CompactString>) -> NodeId {
    NodeId {
        name: name.into(),
        incarnation: 1,
    }
}

fn member(number: usize, generation: u64, state: MemberState) -> MemberView {
    MemberView {
        node: node(format_compact!("n{number}")),
        role: Role::Gateway,
        data_centre: "dc-a".into(),
        peer_addr: "".into(),
        state,
        generation,
    }
}

fn view(manifest: &str) -> View {
    let resources = parse_manifests(manifest).unwrap();
    let mut view = View::empty(node("n0"));
    view.config = Arc::new(Config::empty().with_resources(7, &resources).unwrap());
    view
}

fn with_agent(mut view: View, open: bool, warm: &[&str]) -> View {
    let upstream = view.config.upstreams.key("scene-a").unwrap();
    view.agents.push(AgentView {
        node: node("agent-a"),
        upstream,
        data_centre: "dc-a".into(),
        http_addr: "".into(),
        open,
        load: Some(Load {
            warm: warm.iter().map(ToString::to_string).collect(),
            ..Load::default()
        }),
        load_time: Millis(0),
    });
    view
}

fn observe(view: &View, kind: Kind, name: &str) -> ResourceView {
    let resource = view.config.resource(kind, name).unwrap();
    resource_view(view, &ConditionTimes::default(), resource)
}

fn condition(view: &ResourceView, name: &str) -> ConditionView {
    let mut conditions = view.status.conditions.iter();
    let found = conditions.find(|condition| condition.name == name);
    found.unwrap().clone()
}

#[test]
fn resource_status_lists_live_nodes_with_an_older_generation() {
    let mut view = view(MANIFEST);
    view.members = vec![
        member(0, 7, MemberState::Alive),
        member(1, 6, MemberState::Suspect),
        member(2, 6, MemberState::Dead),
        member(3, 6, MemberState::Leaving),
    ];
    let status = observe(&view, Kind::Version, "scene-1").status;
    assert_eq!((status.live, status.in_force), (2, 1));
    assert_eq!(status.pending, ["n1"]);
}

#[test]
fn resource_status_limits_the_list_of_pending_nodes() {
    let mut view = view(MANIFEST);
    view.members = (0..1010)
        .map(|number| member(number, 1, MemberState::Alive))
        .collect();
    let observed = observe(&view, Kind::Version, "scene-1");
    assert_eq!((observed.status.live, observed.status.in_force), (1010, 0));
    assert_eq!(observed.status.pending.len(), 10);
    let message = condition(&observed, "InForce").message;
    assert!(
        message.starts_with("waiting for 1010 nodes: n0, "),
        "{message}"
    );
}

#[test_case("", &["scene-1"], true, "Warm"; "warm")]
#[test_case("", &[], false, "NotWarm"; "not loaded")]
#[test_case("phase: withdrawn, ", &["scene-1"], false, "Withdrawn"; "withdrawn and still warm")]
fn version_serving_condition_depends_on_phase_and_warm_agents(
    phase: &str,
    warm: &[&str],
    holds: bool,
    reason: &str,
) {
    let manifest = MANIFEST.replace("model:", &format!("{phase}model:"));
    let view = with_agent(view(&manifest), true, warm);
    let found = condition(&observe(&view, Kind::Version, "scene-1"), "Serving");
    assert_eq!((found.holds, found.reason.as_str()), (holds, reason));
}

#[test]
fn suspended_version_has_serving_reason_suspended() {
    let mut view = with_agent(view(MANIFEST), true, &["scene-1"]);
    view.suspended = view.config.versions.key("scene-1").into_iter().collect();
    let found = condition(&observe(&view, Kind::Version, "scene-1"), "Serving");
    assert_eq!(found.reason, "Suspended");
}

#[test_case("", true, "Open"; "open")]
#[test_case("", false, "NoAgent"; "its agent is suspected")]
#[test_case("drain: true, ", true, "Draining"; "draining")]
fn upstream_serving_condition_depends_on_drain_and_agent(drain: &str, open: bool, reason: &str) {
    let manifest = MANIFEST.replace("dataCentre", &format!("{drain}dataCentre"));
    let view = with_agent(view(&manifest), open, &[]);
    let found = condition(&observe(&view, Kind::Upstream, "scene-a"), "Serving");
    assert_eq!(found.reason, reason);
}

#[test]
fn each_key_of_an_operator_maps_to_the_name() {
    let keys = ["ana=old", "ana=new", "rui=other"].map(|text| {
        let (name, key) = text.split_once('=').unwrap();
        let parsed: OperatorKey = format!("{name}={}", key_digest(key)).parse().unwrap();
        parsed
    });
    let operators = Operators::new(keys.to_vec());
    let name = |key: &str| operators.name_for_key(key).map(CompactString::as_str);
    assert_eq!(name("old"), Some("ana"));
    assert_eq!(name("new"), Some("ana"));
    assert_eq!(name("other"), Some("rui"));
    assert_eq!(name(""), None);
    assert_eq!(name(&key_digest("old")), None, "a digest is no key");
}

#[test_case("ana"; "no digest")]
#[test_case("ana=12"; "short")]
#[test_case("=8254c329a92850f6d539dd376f4816ee2764517da5e0235514af433164480d7a"; "no name")]
#[test_case("ana=z254c329a92850f6d539dd376f4816ee2764517da5e0235514af433164480d7a"; "no digit")]
fn malformed_operator_key_error_states_the_format(text: &str) {
    let parsed: Result<OperatorKey, _> = text.parse();
    let message = parsed.unwrap_err().to_string();
    assert!(
        message.starts_with(&format!("`{text}` is not NAME=DIGEST")),
        "{message}"
    );
}

#[test]
fn operator_key_debug_output_omits_the_digest() {
    let digest = key_digest("k");
    let key: OperatorKey = format!("ana={digest}").parse().unwrap();
    assert!(!format!("{key:?}").contains(digest.as_str()));
}

#[test]
fn oldest_decision_is_evicted_at_capacity() {
    let decisions = Decisions::default();
    let id = |sequence| RequestId {
        gateway: node("gw"),
        sequence,
    };
    for sequence in 0..=Decisions::CAPACITY as u64 {
        decisions.push(Decision {
            request: id(sequence).to_string().into(),
            time: "".into(),
            team: "".into(),
            service: "".into(),
            task: "".into(),
            generation: 1,
            explanation: Vec::new(),
            attempts: Vec::new(),
            code: "".into(),
            ran: "yes".into(),
            version: "".into(),
            total_ms: 1,
            cost_micros: 1,
        });
    }
    assert!(decisions.find(&id(0)).is_none());
    assert!(decisions.find(&id(1)).is_some());
    assert!(decisions.find(&id(Decisions::CAPACITY as u64)).is_some());
}

#[test_case("GET", "/apis/v1/teams", Some(Route::List(Kind::Team)); "plural")]
#[test_case("GET", "/apis/v1/Team/shops", Some(Route::Get(Kind::Team, "shops".into())); "one")]
#[test_case("POST", "/apis/v1/apply?dryRun=true", Some(Route::Apply { dry_run: true }); "dry run")]
#[test_case("POST", "/apis/v1/apply?dryRun=yes", None; "wrong flag")]
#[test_case("GET", "/apis/v1/watch?from=3", Some(Route::Watch { from: Some(3) }); "watch")]
#[test_case("GET", "/apis/v1/watch?from=-3", None; "wrong number")]
#[test_case("GET", "/apis/v1/audit?after=2&limit=99999", Some(Route::Audit { after: 2, limit: 1000 }); "bounded limit")]
#[test_case("DELETE", "/apis/v1/team/shops?resourceVersion=4", Some(Route::Delete { kind: Kind::Team, name: "shops".into(), resource_version: 4 }); "delete")]
#[test_case("GET", "/apis/v1/pods", None; "unknown kind")]
#[test_case("PATCH", "/apis/v1/team/shops", None; "unknown method")]
#[test_case("GET", "/apis/v1/why/gw-1", None; "no request id")]
fn route_parse_accepts_known_calls_and_refuses_others(
    method: &str,
    path: &str,
    expected: Option<Route>,
) {
    let method = Method::from_bytes(method.as_bytes()).unwrap();
    let uri: Uri = path.parse().unwrap();
    let found = Route::parse(&method, &uri).ok();
    match expected {
        Some(route) => assert_eq!(found, Some(route)),
        None => assert!(found.is_none(), "{found:?}"),
    }
}
