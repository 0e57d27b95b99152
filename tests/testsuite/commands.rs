//! The command line: help texts, errors and exit codes.
//!
//! `SNAPSHOTS=overwrite cargo test` updates the snapshots.

#![expect(
    clippy::needless_raw_string_hashes,
    reason = "snapbox writes snapshots with hashes"
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
    run_with_stdin(args, "")
}

fn run_with_stdin(args: &[&str], input: &str) -> Output {
    let mut child = command(args).spawn().expect("carawayrun starts");
    let mut stdin = child.stdin.take().expect("stdin is piped");
    // Writing fails if the command has exited without reading its input.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("carawayrun exits")
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).expect("UTF-8")
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).expect("UTF-8")
}

#[test]
fn help_lists_all_commands() {
    let output = run(&["--help"]);
    assert_eq!(output.status.code(), Some(0));
    assert_data_eq!(
        stdout(&output),
        str![[r#"
A model-aware router for versions and cascades

Usage: carawayrun [--log=FILTER] [--log-format=FORMAT] [--log-output=OUTPUT] COMMAND ...

Logging options, shared by all commands.
        --log=FILTER         Log filter, such as info or carawayrun=debug
                             [env:CARAWAYRUN_LOG: N/A]
                             [default: warn,carawayrun=info]
        --log-format=FORMAT  Log format: text or json
                             [env:CARAWAYRUN_LOG_FORMAT: N/A]
        --log-output=OUTPUT  Log output: stdout or stderr
                             [env:CARAWAYRUN_LOG_OUTPUT: N/A]

Commands:
    gateway                  Runs a gateway: serves callers over HTTP, and the operators' API
    agent                    Runs the agent of one upstream
    relay                    Runs a relay: a gateway that connects to upstreams directly
    apply                    Applies the resources of manifests in one change
    get                      Lists resources or shows one
    describe                 Shows a resource: desired state, conditions and latest changes
    watch                    Shows configuration changes as they occur
    delete                   Deletes a resource
    rollout                  Shows or controls a roll-out
    status                   Shows the state of a gateway: generation, members, agents and roll-outs
    report                   Prints a report, such as the burn of error budgets
    why                      Shows how a request was routed and how it ended
    quarantine               Lists what a relay does not send, since upstreams crash under it
    evacuations              Lists the data centres that are out of service, as a relay knows them
    check                    Validates manifests and settings without changing anything
    digest                   Prints the SHA-256 digest of a key read from standard input
    settings                 Prints the reference of all commands and flags as Markdown
    completions              Prints the completion script for a shell

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
Applies the resources of manifests in one change

Usage: carawayrun apply [--server=URL] -f=FILE... [--dry-run] [--wait] [--timeout-s=SECONDS] [
--reason=TEXT]

Resources that are not in the manifests remain unchanged. With --dry-run, shows the diff and writes
nothing.

Gateways to connect to; `CARAWAYRUN_OPERATOR_KEY` holds the operator's key.
        --server=URL         Operators' URL of a gateway; several, separated by commas, are tried in
                             turn
                             [env:CARAWAYRUN_SERVER: N/A]
                             [default: http://127.0.0.1:7001]

Available options:
    -f, --file=FILE          Manifest, directory of manifests, or - for standard input; repeatable
        --dry-run            Shows the changes without writing them
        --wait               Waits until the change is in force on all live nodes
        --timeout-s=SECONDS  Maximum time to wait, in seconds
                             [default: 60]
        --reason=TEXT        Reason, recorded in the audit trail
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
Burn rate and remaining error budget of each service-level objective

Usage: carawayrun report burn [-o=FORM]

Rates are shown for 5 minutes, 30 minutes, 1 hour and 6 hours, the budget for the objective's
window, by team and version.

Available options:
    -o, --output=FORM  Output format: text, json or html
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
#[test_case(&["get", "teams", "--output", "xml"], "error: --output: couldn't parse `xml`: `xml` is not accepted; give table, json or yaml\n"; "unknown output format")]
#[test_case(&["why", "gw-1"], "error: couldn't parse `gw-1`: `gw-1` is not an id of the form NAME.INCARNATION[.SEQUENCE]\n"; "invalid request id")]
#[test_case(&["completions", "tcsh"], "error: couldn't parse `tcsh`: unknown shell `tcsh`; accepted are bash, zsh, fish and elvish\n"; "unknown shell")]
#[test_case(&["apply"], "error: give at least one -f FILE\n"; "missing file")]
#[test_case(&["get", "teams"], "error: CARAWAYRUN_OPERATOR_KEY is not set; set it to the operator's key\n"; "missing key")]
#[test_case(&["check"], "error: nothing to check; give -f FILE or -- COMMAND FLAGS\n"; "nothing to check")]
#[test_case(&["check", "-f", "no-such-file"], "error: can't read no-such-file: No such file or directory (os error 2)\n"; "file does not exist")]
#[test_case(&["digest"], "error: standard input contains no key; pipe one in, such as printf %s \"$KEY\" | carawayrun digest\n"; "empty input")]
#[test_case(&["status", "--log-format=xml"], "error: --log-format: couldn't parse `xml`: `xml` is not accepted; give text or json\n"; "value after an equals sign")]
#[test_case(&["gateway", "--name", "X_y"], "error: --name: `X_y`: names are 1 to 63 of a-z, 0-9 and `-`\n"; "invalid name")]
fn invalid_usage_exits_with_2_and_prints_one_line(args: &[&str], message: &str) {
    let output = run(args);
    assert_eq!(stderr(&output), message);
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(stdout(&output), "");
}

#[test]
fn error_names_the_invalid_environment_variable() {
    let output = command(&["gateway"])
        .env("CARAWAYRUN_NAME", "Wrong")
        .output()
        .expect("carawayrun exits");
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(
        stderr(&output),
        "error: CARAWAYRUN_NAME: `Wrong`: names are 1 to 63 of a-z, 0-9 and `-`\n"
    );
}

#[test]
fn invalid_log_filter_is_a_usage_error() {
    let output = run(&["--log", "x=y", "digest"]);
    assert_eq!(output.status.code(), Some(2));
    assert_data_eq!(
        stderr(&output),
        str![[r"
error: --log `x=y`: [..]; give a level or TARGET=LEVEL, several separated by commas

"]]
    );
}

#[test]
fn invalid_server_url_is_a_usage_error() {
    let output = command(&["status", "--server", "10.0.0.5:7001"])
        .env("CARAWAYRUN_OPERATOR_KEY", "key")
        .output()
        .expect("carawayrun exits");
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(
        stderr(&output),
        "error: --server `10.0.0.5:7001` is not a URL; expected http://HOST:PORT\n"
    );
}

#[test]
fn unreachable_servers_exit_with_1() {
    // Nothing listens on ports 1 and 2 of loopback.
    let output = command(&[
        "status",
        "--server",
        "http://127.0.0.1:1,http://127.0.0.1:2",
    ])
    .env("CARAWAYRUN_OPERATOR_KEY", "key")
    .output()
    .expect("carawayrun exits");
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
fn check_accepts_the_examples(file: &str, expected: &str) {
    let output = run(&["check", "-f", file]);
    assert_eq!(stderr(&output), expected);
    assert_eq!(output.status.code(), Some(0));
}

#[test]
fn check_accepts_both_examples_together() {
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
fn every_example_is_a_complete_configuration() {
    let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/examples");
    for entry in std::fs::read_dir(directory).expect("the directory exists") {
        let file = entry.expect("the entry is readable").path();
        let output = run(&["check", "-f", file.to_str().expect("UTF-8")]);
        assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    }
}

#[test]
fn check_validates_settings_without_starting_the_gateway() {
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
fn committed_settings_reference_is_current() {
    let written = stdout(&run(&["settings"]));
    assert_data_eq!(written, snapbox::file!["../../docs/SETTINGS.md"].raw());
}

#[test]
fn check_lists_all_problems_of_a_manifest() {
    let manifest = "{apiVersion: carawayrun/v1, kind: Upstream, metadata: {name: a}, \
                    spec: {service: scene, dataCentre: X, slots: 0}}";
    let output = run_with_stdin(&["check", "-f", "-"], manifest);
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
fn yaml_error_names_its_source() {
    let output = run_with_stdin(&["check", "-f", "-"], "kind: [");
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr(&output).starts_with("error: standard input: document 1: not a resource: "));
}

#[test]
fn digest_ignores_trailing_line_ends() {
    let expected = "8254c329a92850f6d539dd376f4816ee2764517da5e0235514af433164480d7a\n";
    for input in ["k", "k\n", "k\r\n"] {
        assert_eq!(stdout(&run_with_stdin(&["digest"], input)), expected);
    }
}

#[test_case("bash", "_bpaf_dynamic_completion")]
#[test_case("zsh", "#compdef carawayrun")]
#[test_case("fish", "complete")]
#[test_case("elvish", "edit:completion")]
fn completions_prints_the_script_of_each_shell(shell: &str, part: &str) {
    let output = run(&["completions", shell]);
    assert_eq!(output.status.code(), Some(0));
    assert!(stdout(&output).contains(part), "{}", stdout(&output));
}

#[test]
fn help_does_not_show_cluster_keys() {
    for role in ["gateway", "agent"] {
        let output = command(&[role, "--help"])
            .env("CARAWAYRUN_CLUSTER_KEY", "a-secret-of-ours")
            .env("CARAWAYRUN_PREVIOUS_KEY", "a-secret-of-ours")
            .output()
            .expect("carawayrun exits");
        assert!(!stdout(&output).contains("a-secret"), "{}", stdout(&output));
    }
}
