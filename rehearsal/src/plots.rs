//! Plots of a report, as SVG: the worth over time with the incidents as bands, the wait at each processor, and the
//! set-ups that reach cold nodes against their budget.

use std::path::{Path, PathBuf};

use plotters::coord::Shift;
use plotters::prelude::*;

use crate::report::{Report, RunReport};

/// Width and height of a plot, in pixels.
const SIZE_PX: (u32, u32) = (1100, 420);
/// Up to this number of nodes each has a line of its own; with more, the wait is drawn as its median and maximum.
const MAX_LINES: usize = 12;
/// Rows for the labels of incidents, above the data; with more incidents the rows are used again.
const MAX_LABEL_ROWS: usize = 8;
/// Height of a row of labels, as a share of the largest value.
const LABEL_ROW_HEIGHT: f64 = 0.07;
/// Smallest width of an incident's band, as a share of the rehearsal.
const MIN_BAND_WIDTH: f64 = 0.002;

type Error = Box<dyn std::error::Error>;
type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Distinguishable colours, by index.
fn colour(index: usize) -> RGBColor {
    const COLOURS: [(u8, u8, u8); 12] = [
        (31, 119, 180),
        (214, 39, 40),
        (44, 160, 44),
        (148, 103, 189),
        (255, 127, 14),
        (23, 190, 207),
        (140, 86, 75),
        (227, 119, 194),
        (127, 127, 127),
        (188, 189, 34),
        (0, 0, 128),
        (0, 100, 60),
    ];
    let (r, g, b) = COLOURS[index % COLOURS.len()];
    RGBColor(r, g, b)
}

/// Draws all plots into a folder, which is created if it doesn't exist; returns the files.
pub fn draw(report: &Report, folder: &Path) -> Result<Vec<PathBuf>, Error> {
    std::fs::create_dir_all(folder)?;
    let Some(run) = report.runs.first() else { return Ok(Vec::new()) };
    let files = ["worth.svg", "wait.svg", "cold.svg"].map(|f| folder.join(f));
    draw_file(&files[0], |area| draw_worth(area, report))?;
    draw_file(&files[1], |area| draw_wait(area, report, run))?;
    draw_file(&files[2], |area| draw_cold(area, report, run))?;
    Ok(files.to_vec())
}

/// Draws one SVG file.
fn draw_file(file: &Path, draw: impl FnOnce(&Area<'_>) -> Result<(), Error>) -> Result<(), Error> {
    let area = SVGBackend::new(file, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    draw(&area)?;
    area.present()?;
    Ok(())
}

/// A chart over the time of the rehearsal. The incidents are bands in the background, each labelled in a row of its
/// own at the top.
macro_rules! chart {
    ($area:expr, $report:expr, $title:expr, $max:expr, $y_label:expr) => {{
        let max: f64 = $max;
        let rows = $report.bands.len().min(MAX_LABEL_ROWS) as f64;
        let top = max * (1.0 + LABEL_ROW_HEIGHT * rows);
        let mut chart = ChartBuilder::on($area)
            .caption($title, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..$report.seconds, 0.0..top)?;
        chart.configure_mesh().light_line_style(WHITE).x_desc("seconds").y_desc($y_label).draw()?;
        for (i, band) in $report.bands.iter().enumerate() {
            let row = (i % MAX_LABEL_ROWS) as f64;
            let shade = colour(i + 1).mix(0.10).filled();
            let to = band.to.max(band.from + $report.seconds * MIN_BAND_WIDTH);
            chart.draw_series([Rectangle::new([(band.from, 0.0), (to, top)], shade)])?;
            let position = (band.from, top - max * LABEL_ROW_HEIGHT * (row + 0.15));
            let style = ("sans-serif", 13).into_font().color(&colour(i + 1));
            chart.draw_series([Text::new(band.kind.clone(), position, style)])?;
        }
        chart
    }};
}

/// Draws the legend of a chart.
macro_rules! legend {
    ($chart:expr, $position:ident) => {
        $chart
            .configure_series_labels()
            .position(SeriesLabelPosition::$position)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()?
    };
}

fn draw_worth(area: &Area<'_>, report: &Report) -> Result<(), Error> {
    let windows = report.windows.iter().enumerate().filter(|(_, w)| w.offered > 0.0);
    let shares: Vec<(f64, f64)> = windows.map(|(s, w)| (s as f64 + 0.5, w.earned / w.offered)).collect();
    let title =
        format!("{}: worth earned of worth offered, {:.4} in all", report.script, report.service_worth);
    let mut chart = chart!(area, report, title, 1.0, "share of worth");
    let smoothed = shares.iter().enumerate().map(|(i, (t, _))| {
        let neighbours = &shares[i.saturating_sub(2)..(i + 3).min(shares.len())];
        (*t, neighbours.iter().map(|p| p.1).sum::<f64>() / neighbours.len() as f64)
    });
    chart
        .draw_series(LineSeries::new(shares.iter().copied(), BLUE.mix(0.35)))?
        .label("each second")
        .legend(|(x, y)| PathElement::new([(x, y), (x + 18, y)], BLUE.mix(0.35)));
    chart
        .draw_series(LineSeries::new(smoothed, BLUE.stroke_width(2)))?
        .label("mean of five seconds")
        .legend(|(x, y)| PathElement::new([(x, y), (x + 18, y)], BLUE.stroke_width(2)));
    legend!(chart, LowerRight);
    Ok(())
}

fn draw_wait(area: &Area<'_>, report: &Report, run: &RunReport) -> Result<(), Error> {
    let max = run.nodes.iter().flat_map(|n| &n.wait).fold(0.1, |a: f64, b| a.max(*b));
    let title = format!("{}: wait at each node's processor (seed {})", report.script, run.seed);
    let mut chart = chart!(area, report, title, max, "seconds");
    let mut lines: Vec<(String, Vec<f64>)> = Vec::new();
    if run.nodes.len() <= MAX_LINES {
        lines.extend(run.nodes.iter().map(|n| (n.name.clone(), n.wait.clone())));
    } else {
        let seconds = run.nodes[0].wait.len();
        let sorted = |s: usize| {
            let mut all: Vec<f64> = run.nodes.iter().map(|n| n.wait[s]).collect();
            all.sort_by(f64::total_cmp);
            all
        };
        lines.push(("longest".into(), (0..seconds).map(|s| sorted(s)[run.nodes.len() - 1]).collect()));
        lines.push(("median".into(), (0..seconds).map(|s| sorted(s)[run.nodes.len() / 2]).collect()));
    }
    for (i, (name, wait)) in lines.into_iter().enumerate() {
        let points = wait.into_iter().enumerate().map(|(s, w)| (s as f64 + 0.5, w));
        let colour = colour(i);
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(1)))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
    }
    legend!(chart, MiddleRight);
    Ok(())
}

fn draw_cold(area: &Area<'_>, report: &Report, run: &RunReport) -> Result<(), Error> {
    let cold_nodes: Vec<_> = run.nodes.iter().filter(|n| !n.cold.is_empty()).collect();
    let max = cold_nodes.iter().flat_map(|n| &n.cold).fold(1.0, |a: f64, c| a.max(c.1).max(c.2));
    let title = match cold_nodes.len() {
        0 => format!("{}: no node was cold", report.script),
        _ => format!("{}: set-ups to each cold node (dashed: its budget)", report.script),
    };
    let mut chart = chart!(area, report, title, max, "set-ups within the window");
    for (i, node) in cold_nodes.iter().take(MAX_LINES).enumerate() {
        let colour = colour(i);
        // A node that is cold more than once has several periods, which are not joined by a line.
        let periods: Vec<_> = node.cold.chunk_by(|a, b| b.0 - a.0 < 1.5).collect();
        for (period_index, period) in periods.into_iter().enumerate() {
            let arrived = period.iter().map(|c| (c.0, c.1));
            let series = chart.draw_series(LineSeries::new(arrived, colour.stroke_width(2)))?;
            if period_index == 0 {
                series
                    .label(&node.name)
                    .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
            }
            let budget = period.iter().map(|c| (c.0, c.2));
            chart.draw_series(DashedLineSeries::new(budget, 6, 5, colour.stroke_width(1)))?;
        }
    }
    if !cold_nodes.is_empty() {
        legend!(chart, MiddleRight);
    }
    Ok(())
}
