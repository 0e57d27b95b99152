//! Operator commands against running processes.
//!
//! `SNAPSHOTS=overwrite cargo test` updates the snapshots.

#![expect(
    clippy::needless_raw_string_hashes,
    reason = "snapbox writes snapshots with them"
)]

use std::io::{BufRead, BufReader, Write};
use std::process::{Output, Stdio};
use std::time::Duration;

use serde_json::{Value, json};
use snapbox::{assert_data_eq, str};

use crate::support::{Caller, LUZCENA_KEY, World, WorldBuilder, eventually, resource};

/// Exit code and output of a command.
#[derive(Debug)]
struct CommandOutput {
    code: Option<i32>,
    out: String,
    err: String,
}

fn run(world: &World, args: &[&str]) -> CommandOutput {
    run_with(world, args, "")
}

fn run_with(world: &World, args: &[&str], input: &str) -> CommandOutput {
    let mut command = world.operator_command();
    command.args(args);
    command
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    let mut child = command.spawn().expect("the command starts");
    let mut stdin = child.stdin.take().expect("standard input is piped");
    // The write fails if the command has exited without reading its input.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    command_output(child.wait_with_output().expect("the command ends"))
}

fn command_output(output: Output) -> CommandOutput {
    CommandOutput {
        code: output.status.code(),
        out: String::from_utf8(output.stdout).expect("UTF-8"),
        err: String::from_utf8(output.stderr).expect("UTF-8"),
    }
}

fn version(price: u64, resource_version: u64) -> String {
    let mut version = resource(
        "Version",
        "scene-v2",
        &json!({
            "model": "scene",
            "service": "scene",
            "price": {"prompt": price, "cached": 40, "completion": 1200},
            "quality": {"plan": 0.9, "tweak": 0.9},
            "latencyMs": 50,
        }),
    );
    version["metadata"]["resourceVersion"] = json!(resource_version);
    version.to_string()
}

async fn small_world(name: &'static str) -> World {
    WorldBuilder::new(name).engines(1).start().await
}

#[actix_rt::test]
async fn applied_change_shows_in_dry_run_get_describe_and_watch() {
    let world = small_world("operate-change").await;
    let dry = run_with(&world, &["apply", "-f", "-", "--dry-run"], &version(500, 0));
    assert_eq!(dry.code, Some(0), "{}", dry.err);
    assert_data_eq!(
        dry.out,
        str![[r#"
--- a/Version/scene-v2
+++ b/Version/scene-v2
@@ -3,7 +3,7 @@
   service: scene
   phase: active
   price:
-    prompt: 400
+    prompt: 500
     cached: 40
     completion: 1200
   quality:

"#]]
    );
    assert_eq!(
        dry.err,
        " Would apply 1 changed, 0 unchanged, generation 2\n"
    );

    let made = run_with(
        &world,
        &["apply", "-f", "-", "--wait", "--reason", "dearer"],
        &version(500, 0),
    );
    assert_eq!(made.code, Some(0), "{}", made.err);
    assert!(
        made.err.starts_with(
            "  Configured Version/scene-v2\n     Applied 1 changed, 0 unchanged, generation 2\n"
        ),
        "{}",
        made.err
    );
    assert!(
        made.err
            .ends_with("    In force generation 2 at all 4 live nodes\n"),
        "{}",
        made.err
    );

    let again = run_with(&world, &["apply", "-f", "-"], &version(500, 0));
    assert_eq!(
        again.err,
        "     Applied 0 changed, 1 unchanged, generation 2\n"
    );

    let versions = run(&world, &["get", "versions"]);
    assert_data_eq!(
        versions.out,
        str![[r#"
NAME      CHANGED  IN FORCE  MODEL  SERVICE  PHASE   PRICE        SERVING
scene-v1  1        4/4       scene  scene    active  100/10/300   Warm
scene-v2  2        4/4       scene  scene    active  500/40/1200  Warm

"#]]
    );

    let described = run(&world, &["describe", "version", "scene-v2"]);
    assert_data_eq!(
        described.out,
        str![[r#"
Version/scene-v2, changed in generation 2
model: scene
service: scene
phase: active
price:
  prompt: 500
  cached: 40
  completion: 1200
quality:
  plan: 0.9
  tweak: 0.9
latencyMs: 50

CONDITION  HOLDS  REASON      SINCE                     MESSAGE
InForce    true   Everywhere  [..]  all live nodes have it in force
Serving    true   Warm        [..]  warm at 1 upstreams

GENERATION  TIME                      AUTHOR  ACTION      WHY
2           [..]  tester  configured  dearer
1           [..]  tester  created

"#]]
    );

    let all = run(&world, &["get", "versions", "--output", "yaml"]);
    let same = run_with(&world, &["apply", "-f", "-"], &all.out);
    assert_eq!(
        same.err,
        "     Applied 0 changed, 2 unchanged, generation 2\n"
    );

    let watched = run(&world, &["watch", "--from", "0", "--until", "2"]);
    assert_data_eq!(
        watched.out,
        str![[r#"
1 [..] by tester: created Service/scene, [..] and [..] more
2 [..] by tester: configured Version/scene-v2 (dearer)

"#]]
    );
}

#[actix_rt::test]
async fn refused_commands_print_cause_and_fix() {
    let world = small_world("operate-refusals").await;
    let made = run_with(&world, &["apply", "-f", "-"], &version(500, 1));
    assert_eq!(made.code, Some(0), "{}", made.err);
    let stale = run_with(&world, &["apply", "-f", "-"], &version(600, 1));
    assert_eq!(stale.code, Some(1));
    assert_eq!(
        stale.err,
        "error: Version/scene-v2 is at resource version 2, not 1; read it again and repeat the edit on that\n"
    );
    let named = run(&world, &["delete", "service", "home"]);
    assert_eq!(named.code, Some(2));
    assert!(
        named
            .err
            .contains("Team/luzcena: spec.services: there is no Service `home`"),
        "{}",
        named.err
    );
    let missing = run(&world, &["get", "team", "nobody"]);
    assert_eq!(
        (missing.code, missing.err.as_str()),
        (Some(1), "error: there is no Team `nobody`\n")
    );

    let mut other = world.operator_command();
    other
        .args(["status"])
        .env("CARAWAYRUN_OPERATOR_KEY", "wrong");
    let other = command_output(other.output().expect("the command ends"));
    assert_eq!(other.code, Some(1));
    assert!(
        other.err.starts_with("error: no operator has this key"),
        "{}",
        other.err
    );
}

#[actix_rt::test]
async fn why_explains_a_request_and_burn_report_counts_it() {
    let world = small_world("operate-why").await;
    let objective = resource(
        "Objective",
        "plans",
        &json!({"service": "scene", "task": "plan", "indicator": "availability", "target": 0.9, "windowDays": 1}),
    );
    let applied = run_with(
        &world,
        &["apply", "-f", "-", "--wait"],
        &objective.to_string(),
    );
    assert_eq!(applied.code, Some(0), "{}", applied.err);

    let call = Caller::chat("scene", 2, false).header("x-carawayrun-task", "plan");
    let answer = world.caller(1, LUZCENA_KEY).send(call).await;
    assert!(answer.is_ok(), "{}", answer.body);
    // The command asks gateway 0 first, which did not handle the request.
    let why = run(&world, &["why", &answer.request_id]);
    assert_eq!(why.code, Some(0), "{}", why.err);
    assert!(
        why.out.contains("team luzcena, scene/plan, generation 2"),
        "{}",
        why.out
    );
    assert!(
        why.out.contains(&format!("answered by {}", answer.version)),
        "{}",
        why.out
    );

    // Gateway 0 reads the count once gateway 1 has stored it.
    eventually("the request is in the report", || async {
        let report = run(&world, &["report", "burn", "--output", "json"]);
        let report: Value = serde_json::from_str(&report.out).expect("JSON");
        report["objectives"][0]["budget"] == json!({"good": 1, "total": 1})
    })
    .await;
    let report = run(&world, &["report", "burn"]);
    assert_data_eq!(
        report.out,
        str![[r#"
Burn at [..], generation 2

plans: ok
  90% of scene, plan, all teams do not fail over 1 days
  budget left 100%, 0 bad of 1
  burn rate 5m 0.00, 30m 0.00, 1h 0.00, 6h 0.00
    luzcena scene-v1: rate 0.00, 0 bad of 1

"#]]
    );
}

#[actix_rt::test]
async fn commands_read_but_do_not_write_during_a_store_outage() {
    let world = small_world("operate-outage").await;
    world.table_faults(&json!({"down": true})).await;
    let write = run_with(&world, &["apply", "-f", "-"], &version(500, 0));
    assert_eq!(write.code, Some(1));
    assert!(
        write
            .err
            .starts_with("error: the table service is unavailable and nothing was changed: "),
        "{}",
        write.err
    );
    let read = run(&world, &["get", "services"]);
    assert_data_eq!(
        read.out,
        str![[r#"
NAME   CHANGED  IN FORCE  BACKEND  TASKS  ROUTES
home   1        [..]       plain    0      2
scene  1        [..]       engine   2      0

"#]]
    );
    let report = run(&world, &["report", "burn"]);
    assert!(report.out.contains("Partial: "), "{}", report.out);
    world.table_faults(&json!({})).await;
    let write = run_with(&world, &["apply", "-f", "-", "--wait"], &version(500, 0));
    assert_eq!(write.code, Some(0), "{}", write.err);
}

#[actix_rt::test]
async fn commands_fail_over_when_the_first_gateway_is_down() {
    let mut world = small_world("operate-next").await;
    world.gateways[0].kill();
    let applied = run_with(&world, &["apply", "-f", "-"], &version(500, 0));
    assert_eq!(applied.code, Some(0), "{}", applied.err);
    assert!(applied.err.contains("generation 2"), "{}", applied.err);
    let watched = run(&world, &["watch", "--from", "1", "--until", "2"]);
    assert!(watched.out.starts_with("2 "), "{}", watched.out);
}

#[actix_rt::test]
async fn watch_continues_after_its_only_gateway_restarts() {
    let mut world = WorldBuilder::new("operate-watch")
        .engines(1)
        .gateways(1)
        .start()
        .await;
    let mut command = world.operator_command();
    command.args(["watch", "--from", "0", "--until", "2"]);
    let mut watch = command
        .stdout(Stdio::piped())
        .spawn()
        .expect("the command starts");
    let mut lines = BufReader::new(watch.stdout.take().expect("standard output is piped")).lines();
    let mut next = || lines.next().expect("a line").expect("UTF-8");
    assert!(next().starts_with("1 "));
    world.gateways[0].kill();
    // Long enough that a watch which does not reconnect would have ended.
    actix_rt::time::sleep(Duration::from_secs(2)).await;
    world.start_gateway(0);
    world.in_force(1).await;
    let applied = run_with(&world, &["apply", "-f", "-"], &version(500, 0));
    assert_eq!(applied.code, Some(0), "{}", applied.err);
    assert!(next().starts_with("2 "));
    let ended = watch.wait().expect("the command ends");
    assert_eq!(ended.code(), Some(0));
}
