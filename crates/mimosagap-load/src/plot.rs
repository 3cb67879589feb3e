//! Bar charts of the results of an experiment.

use std::path::Path;

use plotters::prelude::*;

use crate::command::CommandError;
use crate::experiment::{ExperimentResults, METRICS, SeedSpread};

/// Names of the metrics with a chart, as in [`METRICS`].
const PLOTTED_METRICS: [&str; 4] = [
    "preemptions",
    "stall per stream p99, ms",
    "between tokens p95, ms",
    "goodput, tokens/s",
];

/// Width and height of the image in pixels.
const IMAGE_SIZE: (u32, u32) = (1_100, 800);

/// Writes an SVG file with one chart per metric. A bar shows the mean over the seeds of a policy, a
/// line the range.
///
/// # Errors
/// The file cannot be written.
pub fn draw_charts(results: &ExperimentResults, path: &Path) -> Result<(), CommandError> {
    let area = SVGBackend::new(path, IMAGE_SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(plot_error)?;
    let plotted_metrics = METRICS
        .iter()
        .filter(|(name, _)| PLOTTED_METRICS.contains(name));
    for (panel, (name, metric)) in area.split_evenly((2, 2)).iter().zip(plotted_metrics) {
        let spreads: Vec<(&str, SeedSpread)> = results.spread(*metric).into_iter().collect();
        draw_panel(panel, name, &spreads)?;
    }
    area.present().map_err(plot_error)
}

fn draw_panel(
    panel: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    name: &str,
    spreads: &[(&str, SeedSpread)],
) -> Result<(), CommandError> {
    let axis_max = spreads.iter().map(|(_, s)| s.max).fold(1e-9, f64::max) * 1.1;
    let labels: Vec<&str> = spreads.iter().map(|(policy, _)| *policy).collect();
    let count = u32::try_from(labels.len()).unwrap_or(0);
    let mut chart = ChartBuilder::on(panel)
        .caption(name, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(30)
        .y_label_area_size(70)
        .build_cartesian_2d((0..count).into_segmented(), 0.0..axis_max)
        .map_err(plot_error)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_label_formatter(&|position| match position {
            SegmentValue::CenterOf(index) => labels
                .get(*index as usize)
                .map_or_else(String::new, |label| (*label).to_owned()),
            _ => String::new(),
        })
        .draw()
        .map_err(plot_error)?;
    let bars = (0..).zip(spreads).map(|(index, (_, spread))| {
        let low = (SegmentValue::Exact(index), 0.0);
        let high = (SegmentValue::Exact(index + 1), spread.mean);
        let mut bar = Rectangle::new([low, high], BLUE.mix(0.5).filled());
        bar.set_margin(0, 0, 20, 20);
        bar
    });
    chart.draw_series(bars).map_err(plot_error)?;
    let ranges = (0..).zip(spreads).map(|(index, (_, spread))| {
        let low = (SegmentValue::CenterOf(index), spread.min);
        let high = (SegmentValue::CenterOf(index), spread.max);
        PathElement::new([low, high], BLACK.stroke_width(2))
    });
    chart.draw_series(ranges).map_err(plot_error)?;
    Ok(())
}

fn plot_error(error: impl std::fmt::Display) -> CommandError {
    CommandError::Setup(format!(
        "cannot write the plot: {error}; check the output directory"
    ))
}
