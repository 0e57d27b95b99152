//! The burn report as text.

use std::fmt::Write;

use super::burn::{Alert, BurnReport, ObjectiveBurn, WindowBurn};
use crate::resource::{Indicator, Objective};

/// Formats the report for a terminal.
///
/// # Panics
///
/// Never panics, since writing to a string does not fail.
pub fn burn_text(report: &BurnReport) -> String {
    let mut text = format!(
        "Burn at {}, generation {}\n",
        report.time, report.generation
    );
    if report.partial {
        text.push_str(
            "Partial: the table service is unavailable, so this is one gateway's memory only\n",
        );
    }
    if report.objectives.is_empty() {
        text.push_str("No objectives; apply a resource of the kind Objective\n");
    }
    for objective in &report.objectives {
        write_objective(&mut text, objective).expect("writing to a string");
    }
    text
}

/// Describes an objective in words.
pub(super) fn describe_objective(objective: &Objective) -> String {
    let what = match objective.indicator {
        Indicator::Availability => "do not fail".to_owned(),
        Indicator::FirstByte => format!("have their first byte in {} ms", objective.threshold_ms),
        Indicator::Duration => format!("are done in {} ms", objective.threshold_ms),
    };
    let task = objective.task.as_deref().unwrap_or("all tasks");
    let team = objective.team.as_deref().unwrap_or("all teams");
    format!(
        "{}% of {}, {task}, {team} {what} over {} days",
        format_percent(objective.target),
        objective.service,
        objective.window_days
    )
}

/// Returns the label of an alert level.
pub(super) fn alert_label(alert: Alert) -> &'static str {
    match alert {
        Alert::None => "ok",
        Alert::Slow => "SLOW BURN",
        Alert::Fast => "FAST BURN",
    }
}

/// Formats a share as a percentage with up to three decimals, without trailing
/// zeros and without the percent sign.
pub(super) fn format_percent(share: f64) -> String {
    let text = format!("{:.3}", share * 100.0);
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}

fn write_objective(text: &mut String, burn: &ObjectiveBurn) -> std::fmt::Result {
    let objective = &burn.objective;
    writeln!(text, "\n{}: {}", burn.name, alert_label(burn.alert))?;
    writeln!(text, "  {}", describe_objective(objective))?;
    writeln!(
        text,
        "  budget left {}%, {} bad of {}",
        format_percent(burn.budget_left),
        burn.budget.bad(),
        burn.budget.total
    )?;
    let rates: Vec<String> = burn.windows.iter().map(format_window).collect();
    writeln!(text, "  burn rate {}", rates.join(", "))?;
    for part in &burn.parts {
        let version = if part.version.is_empty() {
            "-"
        } else {
            part.version.as_str()
        };
        writeln!(
            text,
            "    {} {version}: rate {:.2}, {} bad of {}",
            part.team,
            part.rate,
            part.count.bad(),
            part.count.total
        )?;
    }
    Ok(())
}

fn format_window(burn: &WindowBurn) -> String {
    format!("{} {:.2}", burn.window.as_str(), burn.rate)
}
