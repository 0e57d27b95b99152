//! Bar charts of the medians of some measures.

use std::fs;
use std::path::Path;

use plotters::prelude::*;

use super::report::{Report, Row};
use crate::command::Failure;

/// Width and height of a chart, in pixels.
const SIZE: (u32, u32) = (900, 420);
const LABEL_AREA: u32 = 60;

/// Writes the charts to the directory `plots` in `docs`.
pub(crate) fn write(report: &Report, docs: &Path) -> Result<(), Failure> {
    let folder = docs.join("plots");
    fs::create_dir_all(&folder)?;
    let charts = [
        ("policy-cost.svg", "cost / oracle"),
        ("policy-exposure.svg", "requests answered by a bad version"),
        ("policy-overload.svg", "p99 at 2x / unloaded, streams"),
    ];
    for (file, measure) in charts {
        let rows: Vec<&Row> = report
            .rows
            .iter()
            .filter(|row| row.measure == measure)
            .collect();
        chart(&folder.join(file), measure, &rows)?;
    }
    Ok(())
}

fn chart(path: &Path, title: &str, rows: &[&Row]) -> Result<(), Failure> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|error| error.to_string())?;
    let top = rows.iter().map(|row| row.median).fold(1.0, f64::max) * 1.2;
    let mut chart = ChartBuilder::on(&area)
        .caption(format!("{title} (median, log scale)"), ("sans-serif", 18))
        .margin(10)
        .y_label_area_size(LABEL_AREA)
        .x_label_area_size(10)
        .build_cartesian_2d(0.0..rows.len() as f64, (0.1..top).log_scale())
        .map_err(|error| error.to_string())?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .disable_x_axis()
        .draw()
        .map_err(|error| error.to_string())?;
    for (index, row) in rows.iter().enumerate() {
        let left = index as f64 + 0.1;
        let bar = Rectangle::new(
            [(left, 0.1), (left + 0.8, row.median.max(0.1))],
            BLUE.mix(0.5).filled(),
        );
        let position = (left, 0.11 + 0.03 * (index % 2) as f64);
        let label = format!("{}: {} {:.2}", row.deployment, row.method, row.median);
        let text = Text::new(
            label,
            position,
            ("sans-serif", 9)
                .into_font()
                .transform(FontTransform::Rotate270),
        );
        chart
            .draw_series(std::iter::once(bar))
            .map_err(|error| error.to_string())?;
        chart
            .draw_series(std::iter::once(text))
            .map_err(|error| error.to_string())?;
    }
    area.present().map_err(|error| error.to_string().into())
}
