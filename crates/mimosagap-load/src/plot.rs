//! Bar charts of an experiment.

use std::path::Path;

use plotters::prelude::*;

use crate::command::CommandError;
use crate::experiment::{ExperimentResults, FIGURES, SeedSpread};

/// The figures that are drawn.
const DRAWN: [&str; 4] = [
    "preemptions",
    "stall per stream p99, ms",
    "between tokens p95, ms",
    "goodput, tokens/s",
];

const SIZE: (u32, u32) = (1_100, 800);

/// Draws the mean over the seeds as a bar and the range as a line.
///
/// # Errors
/// The file cannot be written.
pub fn draw(results: &ExperimentResults, path: &Path) -> Result<(), CommandError> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(failure)?;
    let drawn = FIGURES.iter().filter(|(name, _)| DRAWN.contains(name));
    for (panel, (name, figure)) in area.split_evenly((2, 2)).iter().zip(drawn) {
        let spread: Vec<(&str, SeedSpread)> = results.spread(*figure).into_iter().collect();
        draw_panel(panel, name, &spread)?;
    }
    area.present().map_err(failure)
}

fn draw_panel(
    panel: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    name: &str,
    spread: &[(&str, SeedSpread)],
) -> Result<(), CommandError> {
    let top = spread.iter().map(|(_, s)| s.max).fold(1e-9, f64::max) * 1.1;
    let labels: Vec<&str> = spread.iter().map(|(policy, _)| *policy).collect();
    let count = u32::try_from(labels.len()).unwrap_or(0);
    let mut chart = ChartBuilder::on(panel)
        .caption(name, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(30)
        .y_label_area_size(70)
        .build_cartesian_2d((0..count).into_segmented(), 0.0..top)
        .map_err(failure)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_label_formatter(&|position| match position {
            SegmentValue::CenterOf(number) => labels
                .get(*number as usize)
                .map_or_else(String::new, |label| (*label).to_owned()),
            _ => String::new(),
        })
        .draw()
        .map_err(failure)?;
    let bars = (0..).zip(spread).map(|(number, (_, value))| {
        let low = (SegmentValue::Exact(number), 0.0);
        let high = (SegmentValue::Exact(number + 1), value.mean);
        let mut bar = Rectangle::new([low, high], BLUE.mix(0.5).filled());
        bar.set_margin(0, 0, 20, 20);
        bar
    });
    chart.draw_series(bars).map_err(failure)?;
    let ranges = (0..).zip(spread).map(|(number, (_, value))| {
        let low = (SegmentValue::CenterOf(number), value.min);
        let high = (SegmentValue::CenterOf(number), value.max);
        PathElement::new([low, high], BLACK.stroke_width(2))
    });
    chart.draw_series(ranges).map_err(failure)?;
    Ok(())
}

fn failure(error: impl std::fmt::Display) -> CommandError {
    CommandError::Setup(format!("the plot cannot be written: {error}"))
}
