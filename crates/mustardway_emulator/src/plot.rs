//! Charts of a simulation run, as SVG.

use std::path::Path;

use displaydoc::Display;
use plotters::prelude::*;

use crate::report::{Counts, Report, WINDOW};
use crate::site::Site;

/// Width and height of a chart.
const SIZE_PIXELS: (u32, u32) = (900, 400);
/// Line colours of the request classes, in order.
const COLOURS: [RGBColor; 4] =
    [RGBColor(31, 119, 180), RGBColor(214, 39, 40), RGBColor(44, 160, 44), RGBColor(148, 103, 189)];

/// Reason why a chart could not be written.
#[derive(Debug, Display)]
pub enum Error {
    /// cannot draw: {0}
    Draw(String),
}

impl std::error::Error for Error {}

/// Draws the share of requests that were answered in time, by class, over the run.
///
/// # Errors
/// Returns an error if the file cannot be written.
pub fn service_level(report: &Report, site: &Site, path: &Path) -> Result<(), Error> {
    draw(report, site, path).map_err(|error| Error::Draw(error.to_string()))
}

fn draw(report: &Report, site: &Site, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE)?;
    let last = report.windows.keys().map(|(window, _)| *window).max().unwrap_or_default() + 1;
    let end = last as f64 * WINDOW.as_seconds();
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..end, 0.0..1.02)?;
    chart
        .configure_mesh()
        .x_desc("seconds from the start of traffic")
        .y_desc("answered in time")
        .draw()?;
    for (class, site_class) in site.classes.iter().enumerate() {
        let colour = COLOURS[class % COLOURS.len()];
        let line = LineSeries::new(points(report, class, last), colour.stroke_width(2));
        chart
            .draw_series(line)?
            .label(site_class.name.to_string())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerRight)
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

/// Returns the share of a class that was answered in time, by start of the window in
/// seconds. Windows without requests are left out.
fn points(report: &Report, class: usize, last: u64) -> Vec<(f64, f64)> {
    let mut points = Vec::new();
    for window in 0..last {
        let counts = report.windows.get(&(window, class)).copied().unwrap_or_default();
        if counts == Counts::default() {
            continue;
        }
        points.push((window as f64 * WINDOW.as_seconds(), counts.in_time_share()));
    }
    points
}
