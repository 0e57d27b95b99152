//! The command line: help texts, errors and exit codes.
//!
//! `SNAPSHOTS=overwrite cargo test` writes the snapshots anew.

#![expect(
    clippy::needless_raw_string_hashes,
    reason = "snapshots are written with them"
)]

use std::io::Write;
use std::process::{Command, Output, Stdio};

use snapbox::{assert_data_eq, str};
use test_case::test_case;

fn command(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_carawayrun"));
    command
        .args(args)
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .env_clear()
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    command
}

fn run(args: &[&str]) -> Output {
    run_with(args, "")
}

fn run_with(args: &[&str], input: &str) -> Output {
    let mut child = command(args).spawn().expect("it starts");
    let mut stdin = child.stdin.take().expect("it has a standard input");
    // A command that does not read its input may have ended already.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("it ends")
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).expect("text")
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).expect("text")
}

#[test]
fn help_lists_the_commands() {
    let output = run(&["--help"]);
    assert_eq!(output.status.code(), Some(0));
    assert_data_eq!(
        stdout(&output),
        str![[r#"
A model-aware router for versions and cascades

Usage: carawayrun [--log=FILTER] [--log-format=FORMAT] [--log-output=OUTPUT] COMMAND ...

Log settings, the same for all commands.
        --log=FILTER         Filter of log lines, such as info or carawayrun=debug
                             [env:CARAWAYRUN_LOG: N/A]
                             [default: warn,carawayrun=info]
        --log-format=FORMAT  Form of log lines: text or json
                             [env:CARAWAYRUN_LOG_FORMAT: N/A]
        --log-output=OUTPUT  Where log lines go: stdout or stderr
                             [env:CARAWAYRUN_LOG_OUTPUT: N/A]

Commands:
    gateway                  Runs an entry host's process: callers' HTTP and the operators' API
    agent                    Runs the process beside one upstream
    relay                    Runs a gateway that reaches upstreams directly, on the users' platform
    apply                    Writes the resources of manifests, all in one change
    get                      Lists resources, or shows one
    describe                 Shows one resource: desired state, conditions and its last changes
    watch                    Shows each change of the configuration as it comes
    delete                   Removes one resource
    rollout                  Shows or steers a roll-out
    status                   Shows what a gateway knows: generation, members, agents and roll-outs
    report                   Reports on what the system did
    why                      Shows how a request was decided and what became of it
    check                    Checks manifests and settings and changes nothing
    digest                   Prints the SHA-256 digest of a key read from standard input
    settings                 Prints the reference of all commands and flags as Markdown
    completions              Prints the completion script of a shell

Available options:
    -h, --help               Prints help information
    -V, --version            Prints version information


"#]]
    );
}

#[test]
fn help_of_apply_shows_examples() {
    assert_data_eq!(
        stdout(&run(&["apply", "--help"])),
        str![[r#"
Writes the resources of manifests, all in one change

Usage: carawayrun apply [--server=URL] -f=FILE... [--dry-run] [--wait] [--timeout-s=SECONDS] [
--reason=TEXT]

Resources that are not in the manifests stay as they are. With --dry-run the difference is shown and
nothing is written.

Gateways to talk to; the operator's key comes from `CARAWAYRUN_OPERATOR_KEY`.
        --server=URL         Operators' URL of a gateway; several, divided by commas, are tried in
                             turn
                             [env:CARAWAYRUN_SERVER: N/A]
                             [default: http://127.0.0.1:7001]

Available options:
    -f, --file=FILE          Manifest, folder of manifests, or - for standard input; may be repeated
        --dry-run            Shows what would change and writes nothing
        --wait               Waits until the change is in force at all live nodes
        --timeout-s=SECONDS  Longest time to wait, in seconds
                             [default: 60]
        --reason=TEXT        Why, for the audit trail
    -h, --help               Prints help information

Examples:
  carawayrun apply -f examples/luzcena.yaml --dry-run
  carawayrun apply -f manifests/ --wait --reason "festival peak"


"#]]
    );
}

#[test]
fn help_of_report_burn_shows_examples() {
    assert_data_eq!(
        stdout(&run(&["report", "burn", "--help"])),
        str![[r"
Burn of each service-level objective and what is left of its error budget

Usage: carawayrun report burn [-o=FORM]

Rates are shown for 5 minutes, 30 minutes, 1 hour and 6 hours, the budget for the objective's
window, by team and version.

Available options:
    -o, --output=FORM  Form: text, json or html
    -h, --help         Prints help information

Examples:
  carawayrun report burn
  carawayrun report burn --output html > burn.html


"]]
    );
}

#[test_case(&["gateway"]; "gateway")]
#[test_case(&["agent"]; "agent")]
#[test_case(&["apply"]; "apply")]
#[test_case(&["get"]; "get")]
#[test_case(&["describe"]; "describe")]
#[test_case(&["watch"]; "watch")]
#[test_case(&["delete"]; "delete")]
#[test_case(&["rollout"]; "rollout")]
#[test_case(&["rollout", "undo"]; "rollout undo")]
#[test_case(&["status"]; "status")]
#[test_case(&["report"]; "report")]
#[test_case(&["why"]; "why")]
#[test_case(&["check"]; "check")]
#[test_case(&["digest"]; "digest")]
#[test_case(&["completions"]; "completions")]
fn every_command_has_help(path: &[&str]) {
    let mut args = path.to_vec();
    args.push("--help");
    let output = run(&args);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    assert!(
        stdout(&output).contains("Usage: carawayrun"),
        "{}",
        stdout(&output)
    );
}

#[test_case(&["fly"], "error: no such command or positional: `fly`, did you mean `why`?\n"; "unknown command")]
#[test_case(&["get", "pods"], "error: couldn't parse `pods`: unknown kind `pods`; accepted are team, service, version, upstream, rollout and objective\n"; "unknown kind")]
#[test_case(&["get", "teams", "--output", "xml"], "error: --output: couldn't parse `xml`: `xml` is not accepted; give table, json or yaml\n"; "unknown form")]
#[test_case(&["why", "gw-1"], "error: couldn't parse `gw-1`: `gw-1` is not an id of the form NAME.INCARNATION[.SEQUENCE]\n"; "no request id")]
#[test_case(&["completions", "tcsh"], "error: couldn't parse `tcsh`: unknown shell `tcsh`; accepted are bash, zsh, fish and elvish\n"; "unknown shell")]
#[test_case(&["apply"], "error: give at least one -f FILE\n"; "no file")]
#[test_case(&["get", "teams"], "error: CARAWAYRUN_OPERATOR_KEY is not set; give it the operator's key\n"; "no key")]
#[test_case(&["check"], "error: nothing to check; give -f FILE or -- COMMAND FLAGS\n"; "nothing to check")]
#[test_case(&["check", "-f", "no-such-file"], "error: can't read no-such-file: No such file or directory (os error 2)\n"; "no such file")]
#[test_case(&["digest"], "error: standard input holds no key; pipe one in, such as printf %s \"$KEY\" | carawayrun digest\n"; "empty input")]
#[test_case(&["status", "--log-format=xml"], "error: --log-format: couldn't parse `xml`: `xml` is not accepted; give text or json\n"; "joined value")]
#[test_case(&["gateway", "--name", "X_y"], "error: --name: `X_y`: names are 1 to 63 of a-z, 0-9 and `-`\n"; "wrong name")]
fn wrong_usage_is_exit_code_two_and_one_clear_message(args: &[&str], message: &str) {
    let output = run(args);
    assert_eq!(stderr(&output), message);
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(stdout(&output), "");
}

#[test]
fn a_wrong_variable_is_named() {
    let output = command(&["gateway"])
        .env("CARAWAYRUN_NAME", "Wrong")
        .output()
        .expect("it ends");
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(
        stderr(&output),
        "error: CARAWAYRUN_NAME: `Wrong`: names are 1 to 63 of a-z, 0-9 and `-`\n"
    );
}

#[test]
fn a_wrong_log_filter_is_wrong_usage() {
    let output = run(&["--log", "x=y", "digest"]);
    assert_eq!(output.status.code(), Some(2));
    assert_data_eq!(
        stderr(&output),
        str![[r"
error: --log `x=y`: [..]; give a level or TARGET=LEVEL, several divided by commas

"]]
    );
}

#[test]
fn a_wrong_server_is_wrong_usage() {
    let output = command(&["status", "--server", "10.0.0.5:7001"])
        .env("CARAWAYRUN_OPERATOR_KEY", "key")
        .output()
        .expect("it ends");
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(
        stderr(&output),
        "error: --server `10.0.0.5:7001` is not a URL; accepted is http://HOST:PORT\n"
    );
}

#[test]
fn a_server_that_is_not_there_is_a_failure() {
    // Port 1 of loopback is not listened on.
    let output = command(&[
        "status",
        "--server",
        "http://127.0.0.1:1,http://127.0.0.1:2",
    ])
    .env("CARAWAYRUN_OPERATOR_KEY", "key")
    .output()
    .expect("it ends");
    assert_eq!(output.status.code(), Some(1));
    assert_data_eq!(
        stderr(&output),
        str![[r"
error: no server could be reached: http://127.0.0.1:1: [..]; http://127.0.0.1:2: [..]; see --server

"]]
    );
}

#[test_case("examples/luzcena.yaml", "     Checked 44 resources\n")]
#[test_case("examples/association.yaml", "     Checked 34 resources\n")]
fn the_examples_pass_the_check(file: &str, said: &str) {
    let output = run(&["check", "-f", file]);
    assert_eq!(stderr(&output), said);
    assert_eq!(output.status.code(), Some(0));
}

#[test]
fn both_deployments_go_together() {
    let output = run(&[
        "check",
        "-f",
        "examples/luzcena.yaml",
        "-f",
        "examples/association.yaml",
    ]);
    assert_eq!(stderr(&output), "     Checked 78 resources\n");
    assert_eq!(output.status.code(), Some(0));
}

#[test]
fn every_example_is_a_whole_configuration() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/examples");
    for entry in std::fs::read_dir(folder).expect("the folder is there") {
        let file = entry.expect("it can be read").path();
        let output = run(&["check", "-f", file.to_str().expect("text")]);
        assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    }
}

#[test]
fn settings_are_checked_without_starting_anything() {
    let good = [
        "check",
        "--",
        "gateway",
        "--name",
        "gw-1",
        "--data-centre",
        "dc-a",
        "--table-addr",
        "127.0.0.1:1",
        "--hosts-addr",
        "127.0.0.1:1",
        "--cluster-key",
        "0123456789abcdef",
    ];
    let output = run(&good);
    assert_eq!(stderr(&output), "     Checked settings of gateway\n");
    assert_eq!(output.status.code(), Some(0));
    let mut short = good;
    short[good.len() - 1] = "short";
    let output = run(&short);
    assert_eq!(
        stderr(&output),
        "error: the cluster key has 5 bytes; give at least 16\n"
    );
    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn the_reference_of_settings_is_committed() {
    let written = stdout(&run(&["settings"]));
    assert_data_eq!(written, snapbox::file!["../../docs/SETTINGS.md"].raw());
}

#[test]
fn problems_of_manifests_are_listed() {
    let manifest = "{apiVersion: carawayrun/v1, kind: Upstream, metadata: {name: a}, \
                    spec: {service: scene, dataCentre: X, slots: 0}}";
    let output = run_with(&["check", "-f", "-"], manifest);
    assert_eq!(output.status.code(), Some(2));
    assert_data_eq!(
        stderr(&output),
        str![[r"
error: 3 problems
Upstream/a: spec.dataCentre: `X` is not accepted; accepted is 1 to 63 of a-z, 0-9, `-` and `.`, with a letter or digit at both ends
Upstream/a: spec.slots: `0` is not accepted; accepted is a whole number from 1 to 65536
Upstream/a: spec.service: there is no Service `scene`; create it in the same apply, or take the name out

"]]
    );
}

#[test]
fn a_manifest_that_is_not_yaml_names_its_source() {
    let output = run_with(&["check", "-f", "-"], "kind: [");
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr(&output).starts_with("error: standard input: document 1: not a resource: "));
}

#[test]
fn a_digest_leaves_out_the_line_end() {
    let expected = "8254c329a92850f6d539dd376f4816ee2764517da5e0235514af433164480d7a\n";
    for input in ["k", "k\n", "k\r\n"] {
        assert_eq!(stdout(&run_with(&["digest"], input)), expected);
    }
}

#[test_case("bash", "_bpaf_dynamic_completion")]
#[test_case("zsh", "#compdef carawayrun")]
#[test_case("fish", "complete")]
#[test_case("elvish", "edit:completion")]
fn completions_are_printed(shell: &str, part: &str) {
    let output = run(&["completions", shell]);
    assert_eq!(output.status.code(), Some(0));
    assert!(stdout(&output).contains(part), "{}", stdout(&output));
}

#[test]
fn the_key_of_the_cluster_is_not_shown_by_help() {
    for role in ["gateway", "agent"] {
        let output = command(&[role, "--help"])
            .env("CARAWAYRUN_CLUSTER_KEY", "a-secret-of-ours")
            .env("CARAWAYRUN_PREVIOUS_KEY", "a-secret-of-ours")
            .output()
            .expect("it ends");
        assert!(!stdout(&output).contains("a-secret"), "{}", stdout(&output));
    }
}
