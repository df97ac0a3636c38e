//! Plots of the results of experiments.

use crate::experiment::{
    distinct_names,
    spread,
    Row,
    QUANTILES, //
};
use plotters::prelude::*;
use std::path::Path;

/// Width and height of a plot in pixels.
const SIZE_PX: (u32, u32) = (900, 500);

/// Writes an SVG plot of latency by quantile for the first stream, with one line per policy.
pub fn write(path: &Path, rows: &[Row]) -> Result<(), Box<dyn std::error::Error>> {
    let Some(stream) = rows.first().map(|row| row.stream.clone()) else {
        return Ok(());
    };
    let selected = rows.iter().filter(|row| row.stream == stream);
    let max_ms = selected
        .flat_map(|row| row.latency_ms.iter().copied())
        .fold(1.0, f64::max);
    let area = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(20)
        .caption(
            format!("latency of {stream}, median over the seeds"),
            ("sans-serif", 20),
        )
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0..QUANTILES.len() - 1, (0.5f64..max_ms * 1.2).log_scale())?;
    let quantile = |index: &usize| {
        QUANTILES
            .get(*index)
            .map_or_else(String::new, f64::to_string)
    };
    chart
        .configure_mesh()
        .x_desc("quantile")
        .y_desc("latency in ms")
        .x_label_formatter(&quantile)
        .draw()?;
    for (index, policy) in distinct_names(rows, |row| &row.policy)
        .into_iter()
        .enumerate()
    {
        let is_selected = |row: &&Row| row.stream == stream && row.policy == policy;
        let points = (0..QUANTILES.len()).map(|position| {
            let values = rows
                .iter()
                .filter(is_selected)
                .map(|row| row.latency_ms[position])
                .collect();
            (position, spread(values).median)
        });
        let color = Palette99::pick(index).to_rgba();
        let series = LineSeries::new(points, color.stroke_width(2));
        let label = policy.to_string();
        chart
            .draw_series(series)?
            .label(label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], color));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
