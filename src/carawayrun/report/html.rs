//! The burn report as a self-contained HTML page with plots.

use std::fmt::Write;

use plotters::prelude::*;
use snafu::{ResultExt, Snafu};

use super::burn::{BurnReport, ObjectiveBurn, WindowBurn};
use super::text::{alert_label, describe_objective, format_percent};

/// Width of a plot, in pixels.
const PLOT_WIDTH: u32 = 900;

/// Height of a plot, in pixels.
const PLOT_HEIGHT: u32 = 240;

/// Factor by which the y axis extends beyond the highest rate shown.
const Y_AXIS_FACTOR: f64 = 1.1;

/// Minimum rate at the top of the axis, before headroom.
const MIN_AXIS_TOP: f64 = 2.0;

const STYLE: &str = "body{font:15px sans-serif;margin:2em auto;max-width:60em}\
table{border-collapse:collapse}td,th{padding:.2em .8em;border-bottom:1px solid #ccc;text-align:left}\
.fast{color:#b00}.slow{color:#a60}.none{color:#070}";

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Error while drawing the plot of an objective.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(display("can't draw the plot of `{name}`: {source}"))]
pub struct DrawError {
    name: String,
    source: BoxError,
}

/// Formats the report as an HTML page.
///
/// # Errors
///
/// [`DrawError`] where the drawing library fails.
pub fn burn_html(report: &BurnReport) -> Result<String, DrawError> {
    let mut page = format!(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>Burn</title>\
         <style>{STYLE}</style></head><body><h1>Burn at {}</h1><p>Generation {}</p>",
        escape_html(&report.time),
        report.generation
    );
    if report.partial {
        page.push_str("<p>Partial: the table service is unavailable, so this is one gateway's memory only.</p>");
    }
    for objective in &report.objectives {
        page.push_str(&section(objective)?);
    }
    page.push_str("</body></html>\n");
    Ok(page)
}

fn section(burn: &ObjectiveBurn) -> Result<String, DrawError> {
    let name = escape_html(&burn.name);
    let plot = plot_svg(burn).context(DrawSnafu { name: name.clone() })?;
    let word = alert_label(burn.alert);
    let class = match word {
        "FAST BURN" => "fast",
        "SLOW BURN" => "slow",
        _ => "none",
    };
    let mut text = String::new();
    append(
        &mut text,
        format_args!("<h2>{name} <span class=\"{class}\">{word}</span></h2>"),
    );
    append(
        &mut text,
        format_args!(
            "<p>{}</p>",
            escape_html(&describe_objective(&burn.objective))
        ),
    );
    append(
        &mut text,
        format_args!(
            "<p>Error budget left: <b>{}%</b>, {} bad of {}</p>",
            format_percent(burn.budget_left),
            burn.budget.bad(),
            burn.budget.total
        ),
    );
    text.push_str(&plot);
    text.push_str(&windows_table(&burn.windows));
    text.push_str(&parts_table(burn));
    Ok(text)
}

fn windows_table(windows: &[WindowBurn]) -> String {
    let mut text =
        String::from("<table><tr><th>Window</th><th>Burn rate</th><th>Bad</th><th>All</th></tr>");
    for burn in windows {
        append(
            &mut text,
            format_args!(
                "<tr><td>{}</td><td>{:.2}</td><td>{}</td><td>{}</td></tr>",
                burn.window.as_str(),
                burn.rate,
                burn.count.bad(),
                burn.count.total
            ),
        );
    }
    text.push_str("</table>");
    text
}

fn parts_table(burn: &ObjectiveBurn) -> String {
    let mut text = String::from(
        "<table><tr><th>Team</th><th>Version</th><th>Burn rate</th><th>Bad</th><th>All</th></tr>",
    );
    for part in &burn.parts {
        append(
            &mut text,
            format_args!(
                "<tr><td>{}</td><td>{}</td><td>{:.2}</td><td>{}</td><td>{}</td></tr>",
                escape_html(&part.team),
                escape_html(&part.version),
                part.rate,
                part.count.bad(),
                part.count.total
            ),
        );
    }
    text.push_str("</table>");
    text
}

/// Plots the burn rates of the last six hours as SVG.
fn plot_svg(burn: &ObjectiveBurn) -> Result<String, BoxError> {
    let mut svg = String::new();
    let size = (PLOT_WIDTH, PLOT_HEIGHT);
    draw_plot(burn, SVGBackend::with_string(&mut svg, size)).map_err(|error| error.to_string())?;
    Ok(svg)
}

/// Draws the rates and a line at rate 1, at which the budget lasts exactly.
fn draw_plot<B: DrawingBackend>(
    burn: &ObjectiveBurn,
    backend: B,
) -> Result<(), DrawingAreaErrorKind<B::ErrorType>> {
    let oldest = burn.series.iter().map(|point| point.minutes_ago).max();
    let left = -hours(oldest.unwrap_or(60));
    let top = burn
        .series
        .iter()
        .fold(MIN_AXIS_TOP, |top, point| top.max(point.rate));
    let points = burn
        .series
        .iter()
        .map(|point| (-hours(point.minutes_ago), point.rate));
    let area = backend.into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(45)
        .build_cartesian_2d(left..0.0, 0.0..top * Y_AXIS_FACTOR)?;
    chart
        .configure_mesh()
        .x_desc("hours")
        .y_desc("burn rate")
        .draw()?;
    chart.draw_series(LineSeries::new(points, &BLUE))?;
    chart.draw_series(LineSeries::new([(left, 1.0), (0.0, 1.0)], &RED))?;
    area.present()
}

fn hours(minutes: u64) -> f64 {
    minutes as f64 / 60.0
}

fn append(text: &mut String, arguments: std::fmt::Arguments<'_>) {
    text.write_fmt(arguments).expect("writing to a string");
}

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
