//! Tests of parsing manifests and of the problems that the checks report.

use carawayrun::resource::{Problem, Resource, check_set, parse_manifests};
use test_case::test_case;

const DIGEST: &str = "8254c329a92850f6d539dd376f4816ee2764517da5e0235514af433164480d7a";

/// Small valid configuration, in which each test changes one thing.
const MANIFESTS: &str = r"
apiVersion: carawayrun/v1
kind: Service
metadata: {name: scene}
spec:
  backend: engine
  tasks:
    - {name: plan, class: interactive, quality: 0.9, latencyMs: 400}
---
apiVersion: carawayrun/v1
kind: Service
metadata: {name: home}
spec:
  backend: plain
  routes:
    - {method: GET, path: /status, idempotent: true, class: interactive}
---
apiVersion: carawayrun/v1
kind: Version
metadata: {name: scene-1}
spec:
  model: scene-large
  service: scene
  price: {prompt: 100, cached: 10, completion: 300}
  quality: {plan: 0.95}
---
apiVersion: carawayrun/v1
kind: Version
metadata: {name: scene-2}
spec: {model: scene-large, service: scene, phase: candidate, price: {prompt: 90, completion: 300}}
---
apiVersion: carawayrun/v1
kind: Upstream
metadata: {name: scene-a}
spec: {service: scene, dataCentre: dc-a, slots: 8, versions: [scene-1]}
---
apiVersion: carawayrun/v1
kind: Team
metadata: {name: shops}
spec:
  keyDigests: [8254c329a92850f6d539dd376f4816ee2764517da5e0235514af433164480d7a]
  versions: [scene-1]
  services: [home]
---
apiVersion: carawayrun/v1
kind: Rollout
metadata: {name: next}
spec:
  {model: scene-large, from: scene-1, to: scene-2, steps: [0.05, 0.5, 1.0], maxExposure: 200, tolerance: 0.05, errorRate: 0.01}
---
apiVersion: carawayrun/v1
kind: Objective
metadata: {name: plans-fast}
spec: {service: scene, task: plan, indicator: firstByte, thresholdMs: 400, target: 0.95, windowDays: 28}
";

fn parse(text: &str) -> Vec<Resource> {
    parse_manifests(text).expect("the manifest is valid")
}

fn check(text: &str) -> Vec<String> {
    check_set(&parse(text)).map_or_else(
        |problems| problems.iter().map(Problem::to_string).collect(),
        |()| Vec::new(),
    )
}

#[test]
fn valid_configuration_has_no_problems() {
    assert_eq!(check(MANIFESTS), Vec::<String>::new());
}

#[test]
fn json_manifest_is_parsed_like_yaml() {
    let resources = parse(MANIFESTS);
    let json = serde_json::to_string(&resources[0]).expect("resources are JSON");
    assert_eq!(parse(&json), resources[..1]);
}

#[test]
fn status_in_a_manifest_is_ignored() {
    let read = MANIFESTS.replacen("spec:", "status: {generation: 7}\nspec:", 1);
    assert_eq!(parse(&read), parse(MANIFESTS));
}

#[test_case("apiVersion: carawayrun/v1", "apiVersion: v9",
    "document 1: apiVersion is `v9`; accepted is `carawayrun/v1`"; "format version")]
#[test_case("kind: Service", "kind: Pod",
    "document 1: unknown kind `Pod`; accepted are team, service, version, upstream, rollout and objective"; "kind")]
#[test_case("backend: engine", "backend: engine\n  colour: red",
    "document 1: Service/scene: spec: unknown field `colour`, expected one of `backend`, `tasks`, `routes`"; "unknown field")]
#[test_case("slots: 8, ", "",
    "document 5: Upstream/scene-a: spec: missing field `slots`"; "missing field")]
fn invalid_manifest_error_has_the_document_number(old: &str, new: &str, message: &str) {
    assert!(MANIFESTS.contains(old), "{old} is not in the manifests");
    let error =
        parse_manifests(&MANIFESTS.replacen(old, new, 1)).expect_err("the manifest is invalid");
    assert_eq!(error.to_string(), message);
}

#[test_case("{name: scene-a}", "{name: Scene_A}", "Upstream/Scene_A: metadata.name: `Scene_A` is not accepted; accepted is 1 to 63 of a-z, 0-9, `-` and `.`, with a letter or digit at both ends"; "name")]
#[test_case("quality: 0.9,", "quality: 1.9,", "Service/scene: spec.tasks.quality: `1.9` is not accepted; accepted is a number from 0 to 1"; "quality of a task")]
#[test_case("latencyMs: 400}", "latencyMs: 0}", "Service/scene: spec.tasks.latencyMs: `0` is not accepted; accepted is a whole number from 1 to 3600000"; "latency of a task")]
#[test_case("path: /status", "path: /../admin", "Service/home: spec.routes.path: `/../admin` is not accepted; accepted is a path that begins with `/`, without `..`, `//`, `?` and `#`"; "path")]
#[test_case("method: GET", "method: get", "Service/home: spec.routes.method: `get` is not accepted; accepted is GET, HEAD, POST, PUT, PATCH or DELETE"; "method")]
#[test_case("quality: {plan: 0.95}", "quality: {plans: 0.95}", "Version/scene-1: spec.quality.plans: `plans` is not accepted; accepted is one of: plan"; "task of a quality")]
#[test_case("cached: 10", "cached: 1000", "Version/scene-1: spec.price.cached: `1000` is not accepted; accepted is at most the price of a prompt token that is not cached"; "price")]
#[test_case("service: scene\n  price", "service: home\n  price", "Version/scene-1: spec.service: `home` is not accepted; accepted is a service with the backend engine"; "plain service of a version")]
#[test_case("slots: 8", "slots: 0", "Upstream/scene-a: spec.slots: `0` is not accepted; accepted is a whole number from 1 to 65536"; "slots")]
#[test_case("versions: [scene-1]}", "versions: [scene-9]}", "Upstream/scene-a: spec.versions: there is no Version `scene-9`; create it in the same apply, or take the name out"; "version of an upstream")]
#[test_case("services: [home]", "services: [home, home]", "Team/shops: spec.services: `home` stands there twice; remove one"; "repeated service")]
#[test_case("services: [home]", "services: [scene]", "Team/shops: spec.services: `scene` is not accepted; accepted is a service with the backend plain; engines are used by spec.versions"; "engine in services")]
#[test_case("services: [home]", "limits: {rate: 0}", "Team/shops: spec.limits.rate: `0` is not accepted; accepted is a number above 0"; "rate")]
#[test_case("164480d7a]", "164480d7]", "Team/shops: spec.keyDigests: `8254c329a92850f6d539dd376f4816ee2764517da5e0235514af433164480d7` is not accepted; accepted is 64 hexadecimal digits, as `carawayrun digest` prints them"; "digest")]
#[test_case("from: scene-1", "from: scene-2", "Rollout/next: spec.to: `scene-2` is not accepted; accepted is another version than spec.from"; "one version twice")]
#[test_case("[0.05, 0.5, 1.0]", "[0.5, 0.05, 1.0]", "Rollout/next: spec.steps: `[0.5, 0.05, 1.0]` is not accepted; accepted is at least one share above 0 and up to 1, each larger than the one before"; "decreasing steps")]
#[test_case("errorRate: 0.01", "errorRate: 0.9", "Rollout/next: spec.errorRate: `0.9` is not accepted; accepted is a number above 0 and up to 0.5"; "error rate")]
#[test_case("{model: scene-large, from", "{model: other, from", "Rollout/next: spec.from: `scene-1` is not accepted; accepted is a version of the model `other`"; "another model")]
#[test_case("target: 0.95", "target: 1", "Objective/plans-fast: spec.target: `1` is not accepted; accepted is a share above 0 and below 1, such as 0.99"; "target")]
#[test_case("task: plan,", "task: tweak,", "Objective/plans-fast: spec.task: `tweak` is not accepted; accepted is one of: plan"; "task of an objective")]
#[test_case("thresholdMs: 400, target", "target", "Objective/plans-fast: spec.thresholdMs: `0` is not accepted; accepted is a whole number from 1 to 3600000"; "threshold")]
#[test_case("windowDays: 28", "windowDays: 0", "Objective/plans-fast: spec.windowDays: `0` is not accepted; accepted is a whole number from 1 to 90"; "window")]
fn invalid_field_is_reported_with_the_accepted_values(old: &str, new: &str, message: &str) {
    assert!(MANIFESTS.contains(old), "{old} is not in the manifests");
    let found = check(&MANIFESTS.replacen(old, new, 1));
    assert!(found.iter().any(|problem| problem == message), "{found:#?}");
}

#[test]
fn key_of_two_teams_is_reported() {
    let other = format!(
        "{MANIFESTS}\n---\n{{apiVersion: carawayrun/v1, kind: Team, metadata: {{name: thieves}}, \
         spec: {{keyDigests: [{}]}}}}",
        DIGEST.to_uppercase()
    );
    assert_eq!(
        check(&other),
        [format!(
            "Team/thieves: spec.keyDigests: `{}` is a key of team `shops` too; give each team its own",
            DIGEST.to_uppercase()
        )]
    );
}

#[test]
fn repeated_resource_is_reported() {
    let repeated = format!("{MANIFESTS}\n---\n{MANIFESTS}");
    assert_eq!(check(&repeated).len(), parse(MANIFESTS).len());
}

#[test]
fn version_with_the_name_of_a_model_is_reported() {
    let clash = MANIFESTS.replace("scene-large", "scene-2");
    assert_eq!(
        check(&clash),
        [
            "Version/scene-2: metadata.name: is the name of a model too; callers could not tell them apart"
        ]
    );
}

#[test]
fn second_rollout_of_a_model_is_reported() {
    let (_, rollout) = MANIFESTS
        .split_once("kind: Rollout")
        .expect("the manifests have a roll-out");
    let (rollout, _) = rollout
        .split_once("---")
        .expect("a document follows the roll-out");
    let second = rollout.replace("{name: next}", "{name: second}");
    let two = format!("{MANIFESTS}\n---\napiVersion: carawayrun/v1\nkind: Rollout{second}");
    assert_eq!(
        check(&two),
        ["Rollout/second: spec.model: `scene-large` has the roll-out `next` already; delete one"]
    );
}
