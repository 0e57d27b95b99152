//! Burn rates, error budgets and their reports.

use carawayrun::report::{
    Alert, BUCKET_MS, BurnReport, BurnSums, Cell, HOUR_MS, HourRow, Sample, Window, burn_html,
    burn_report, burn_text, measures,
};
use carawayrun::resource::{Config, parse_manifests};
use snapbox::{assert_data_eq, str};
use test_case::test_case;

/// 2026-12-03T22:24:00Z.
const NOW_MS: u64 = 1_796_336_640_000;

const MINUTE_MS: u64 = 60_000;

const MANIFEST: &str = "
apiVersion: carawayrun/v1
kind: Service
metadata: {name: scene}
spec: {backend: engine, tasks: [{name: plan, class: interactive, quality: 0.9, latencyMs: 400}]}
---
apiVersion: carawayrun/v1
kind: Objective
metadata: {name: plans}
spec: {service: scene, task: plan, indicator: firstByte, thresholdMs: 400, target: 0.9, windowDays: 28}
";

fn config() -> Config {
    let resources = parse_manifests(MANIFEST).expect("the manifest parses");
    let config = Config::empty().with_resources(1, &resources);
    config.expect("the configuration is valid")
}

/// Requests to one version that ended at the same time.
#[derive(Debug, Clone, Copy)]
struct Requests {
    minutes_ago: u64,
    version: &'static str,
    good: u32,
    bad: u32,
}

fn rows(all: &[Requests]) -> Vec<HourRow> {
    let measure = &measures(&config())[0];
    let mut sums = BurnSums::default();
    for requests in all {
        let wall_ms = NOW_MS - requests.minutes_ago * MINUTE_MS;
        for number in 0..requests.good + requests.bad {
            let first_ms = if number < requests.good { 400 } else { 401 };
            let sample = Sample {
                team: "shops",
                service: "scene",
                task: "plan",
                failed: false,
                first_ms,
                total_ms: 1_000,
            };
            let good = measure.evaluate(&sample).expect("the request counts");
            let cell = Cell {
                measure: measure.name.clone(),
                team: "shops".into(),
                version: requests.version.into(),
            };
            sums.record(cell, wall_ms, good);
        }
    }
    sums.iter()
        .map(|(hour, sums)| HourRow::new(hour, sums))
        .collect()
}

fn report(all: &[Requests]) -> BurnReport {
    burn_report(&config(), &rows(all), NOW_MS, false)
}

fn requests(minutes_ago: u64, good: u32, bad: u32) -> Requests {
    Requests {
        minutes_ago,
        version: "scene-1",
        good,
        bad,
    }
}

fn rate(report: &BurnReport, window: Window) -> f64 {
    let windows = report.objectives[0].windows.iter();
    let found = windows
        .filter(|burn| burn.window == window)
        .map(|burn| burn.rate);
    found.sum()
}

#[test]
fn report_without_requests_has_zero_burn_rate() {
    let report = report(&[]);
    let burn = &report.objectives[0];
    assert_eq!(burn.alert, Alert::None);
    assert!((burn.budget_left - 1.0).abs() < 1e-9);
    assert!(
        Window::ALL
            .into_iter()
            .all(|window| rate(&report, window) == 0.0)
    );
}

#[test_case("other", "plan", None; "another service")]
#[test_case("scene", "tweak", None; "another task")]
#[test_case("scene", "plan", Some(true); "its own")]
fn objective_counts_only_its_service_and_task(service: &str, task: &str, expected: Option<bool>) {
    let sample = Sample {
        team: "shops",
        service,
        task,
        failed: false,
        first_ms: 1,
        total_ms: 1,
    };
    assert_eq!(measures(&config())[0].evaluate(&sample), expected);
}

#[test]
fn failed_request_within_the_threshold_is_bad() {
    let sample = Sample {
        team: "shops",
        service: "scene",
        task: "plan",
        failed: true,
        first_ms: 1,
        total_ms: 1,
    };
    assert_eq!(measures(&config())[0].evaluate(&sample), Some(false));
}

#[test]
fn burn_rate_is_bad_share_divided_by_allowed_share() {
    let report = report(&[requests(1, 80, 20)]);
    assert!((rate(&report, Window::FiveMinutes) - 2.0).abs() < 1e-9);
    assert!(
        (report.objectives[0].budget_left + 1.0).abs() < 1e-9,
        "twice the budget is used"
    );
}

#[test]
fn windows_count_only_requests_of_their_length() {
    let report = report(&[
        requests(20, 0, 10),
        requests(50, 0, 10),
        requests(300, 0, 10),
        requests(500, 0, 10),
    ]);
    let totals: Vec<u64> = report.objectives[0]
        .windows
        .iter()
        .map(|burn| burn.count.total)
        .collect();
    assert_eq!(totals, [0, 10, 20, 30]);
    assert_eq!(report.objectives[0].budget.total, 40);
}

#[test_case(&[requests(1, 0, 100)], Alert::Fast; "all fail now")]
#[test_case(&[requests(40, 0, 100), requests(1, 100, 0)], Alert::None; "all failed forty minutes ago")]
#[test_case(&[requests(200, 60, 40), requests(20, 60, 40)], Alert::Slow; "many fail for hours")]
#[test_case(&[requests(300, 0, 100)], Alert::None; "it is over")]
#[test_case(&[requests(40, 990, 0), requests(1, 0, 10)], Alert::None; "a blip")]
fn alert_needs_high_burn_rates_in_two_windows(all: &[Requests], alert: Alert) {
    // The burn rate is at most 1 / (1 - target), so a target of 0.9 can't reach
    // the threshold of a fast burn.
    let resources =
        parse_manifests(&MANIFEST.replace("0.9, w", "0.95, w")).expect("the manifest parses");
    let config = Config::empty()
        .with_resources(1, &resources)
        .expect("the configuration is valid");
    let found = burn_report(&config, &rows(all), NOW_MS, false).objectives[0].alert;
    assert_eq!(found, alert);
}

#[test]
fn parts_separate_the_burn_rates_of_versions() {
    let mut good = requests(1, 90, 0);
    good.version = "scene-1";
    let mut bad = requests(1, 5, 5);
    bad.version = "scene-2";
    let report = report(&[good, bad]);
    let parts = &report.objectives[0].parts;
    assert_eq!(parts.len(), 2);
    assert!(parts[0].rate.abs() < 1e-9);
    assert!((parts[1].rate - 5.0).abs() < 1e-9);
}

#[test]
fn counts_stay_valid_after_a_change_of_target_and_window() {
    let rows = rows(&[requests(1, 80, 20)]);
    let manifest = MANIFEST.replace("target: 0.9, windowDays: 28", "target: 0.5, windowDays: 7");
    let resources = parse_manifests(&manifest).expect("the manifest parses");
    let config = Config::empty()
        .with_resources(2, &resources)
        .expect("the configuration is valid");
    let burn = &burn_report(&config, &rows, NOW_MS, false).objectives[0];
    assert_eq!(burn.budget.total, 100);
    assert!((burn.budget_left - 0.6).abs() < 1e-9);
}

#[test]
fn requests_are_stored_in_the_row_of_their_hour() {
    let rows = rows(&[requests(1, 1, 0), requests(120, 1, 0)]);
    let hours: Vec<u64> = rows.iter().map(|row| row.hour).collect();
    assert_eq!(hours, [NOW_MS / HOUR_MS - 2, NOW_MS / HOUR_MS]);
    let bucket = rows[1].cells[0].buckets[0].bucket as u64;
    assert_eq!(bucket, NOW_MS % HOUR_MS / BUCKET_MS);
}

#[test]
fn text_report_shows_budget_rates_and_parts() {
    let text = burn_text(&report(&[requests(1, 97, 3), requests(100, 50, 2)]));
    assert_data_eq!(
        text,
        str![[r"
Burn at 2026-12-03T22:24:00Z, generation 1

plans: ok
  90% of scene, plan, all teams have their first byte in 400 ms over 28 days
  budget left 67.105%, 5 bad of 152
  burn rate 5m 0.30, 30m 0.30, 1h 0.30, 6h 0.33
    shops scene-1: rate 0.33, 5 bad of 152

"]]
    );
}

#[test]
fn html_report_embeds_plots_and_escapes_names() {
    let mut report = report(&[requests(1, 50, 50)]);
    report.objectives[0].name = "<plans>".into();
    let page = burn_html(&report).expect("the plot is drawn");
    assert!(page.contains("<svg"), "{page}");
    assert!(page.contains("&lt;plans&gt;") && !page.contains("<plans>"));
    assert!(!page.contains("<script"));
}
