//! Plots of a plan: load by hour and kind of day, and loss against circuits.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use measured::calendar::Calendar;
use plotters::prelude::*;
use trunks::offered::{Ends, GroupLoad};
use trunks::overflow::{self, Stream};
use trunks::plan::{GroupPlan, LossTarget};

/// Number of groups that are plotted: those with the highest load.
const MAX_PLOTTED_GROUPS: usize = 6;
/// Width and height of a plot, in pixels.
const SIZE_PX: (u32, u32) = (1000, 400);
/// The lowest loss that is plotted, on a logarithmic axis.
const MIN_PLOTTED_LOSS: f64 = 1e-6;
/// Number of steps of a curve.
const CURVE_STEPS: u32 = 120;

type Error = Box<dyn std::error::Error>;

const COLOURS: [RGBColor; 4] =
    [RGBColor(31, 119, 180), RGBColor(214, 39, 40), RGBColor(44, 160, 44), RGBColor(148, 103, 189)];

/// Draws the plots of the groups with the highest load into a folder; returns the files.
pub fn draw(
    folder: &Path,
    loads: &BTreeMap<Ends, Vec<GroupLoad>>,
    calendar: &Calendar,
    plans: &[GroupPlan],
    aim: &LossTarget,
) -> Result<Vec<PathBuf>, Error> {
    std::fs::create_dir_all(folder)?;
    let mut by_load: Vec<&GroupPlan> = plans.iter().collect();
    by_load.sort_by(|a, b| b.hour.load.mean.total_cmp(&a.hour.load.mean));
    let mut files = Vec::new();
    for plan in by_load.into_iter().take(MAX_PLOTTED_GROUPS) {
        let (a, b) = plan.ends;
        let load_file = folder.join(format!("load-n{a}-n{b}.svg"));
        draw_load_by_hour(&load_file, plan, &loads[&plan.ends], calendar)?;
        let loss_file = folder.join(format!("loss-n{a}-n{b}.svg"));
        draw_loss_by_circuits(&loss_file, plan, aim)?;
        files.extend([load_file, loss_file]);
    }
    Ok(files)
}

/// Draws a group's mean load by hour, one line for each kind of day.
fn draw_load_by_hour(
    file: &Path,
    plan: &GroupPlan,
    loads: &[GroupLoad],
    calendar: &Calendar,
) -> Result<(), Error> {
    // By kind of day and minute: sum and number of the loads.
    let mut kinds: BTreeMap<&str, BTreeMap<u32, (f64, f64)>> = BTreeMap::new();
    for load in loads {
        let local_time = calendar.local(load.from);
        let kind = match local_time.weekday {
            6 => "Saturday",
            7 => "Sunday",
            _ => "Monday to Friday",
        };
        let minute = local_time.hour as u32 * 60 + local_time.minute as u32;
        let sum = kinds.entry(kind).or_default().entry(minute).or_default();
        *sum = (sum.0 + load.circuits_offered().mean, sum.1 + 1.0);
    }
    let means = kinds.values().flat_map(|k| k.values().map(|(s, n)| s / n));
    let max = means.fold(f64::from(plan.present), f64::max).max(1.0) * 1.15;
    let area = SVGBackend::new(file, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let title = format!("n{}-n{}: offered load by hour and kind of day", plan.ends.0, plan.ends.1);
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(52)
        .build_cartesian_2d(0.0..24.0, 0.0..max)?;
    chart.configure_mesh().light_line_style(WHITE).x_desc("hour").y_desc("erlang").x_labels(13).draw()?;
    for ((kind, minutes), colour) in kinds.iter().zip(COLOURS) {
        let points = minutes.iter().map(|(m, (s, n))| (f64::from(*m) / 60.0, s / n));
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(*kind)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
    }
    let circuits = f64::from(plan.present);
    chart
        .draw_series(DashedLineSeries::new([(0.0, circuits), (24.0, circuits)], 6, 4, BLACK.stroke_width(1)))?
        .label("circuits present")
        .legend(|(x, y)| PathElement::new([(x, y), (x + 18, y)], BLACK));
    let labels = &mut chart.configure_series_labels();
    labels
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .position(SeriesLabelPosition::UpperLeft)
        .draw()?;
    area.present()?;
    Ok(())
}

/// Draws a group's loss in the busy hour against its number of circuits, for the load and the ends of its interval.
fn draw_loss_by_circuits(file: &Path, plan: &GroupPlan, aim: &LossTarget) -> Result<(), Error> {
    let load = plan.hour.load;
    let high = if load.high.is_finite() { load.high } else { 2.0 * load.mean };
    let from = (load.low * 0.9).floor().max(0.0);
    let to = f64::from(plan.needed.max(plan.present)) * 1.15 + 5.0;
    let area = SVGBackend::new(file, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let title = format!("n{}-n{}: loss against circuits in the busy hour", plan.ends.0, plan.ends.1);
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(62)
        .build_cartesian_2d(from..to, (MIN_PLOTTED_LOSS..1.0).log_scale())?;
    chart.configure_mesh().light_line_style(WHITE).x_desc("circuits").y_desc("loss").draw()?;
    for ((name, mean), colour) in
        [("load", load.mean), ("lower end of its interval", load.low), ("upper end", high)]
            .into_iter()
            .zip(COLOURS)
    {
        let steps = (0..=CURVE_STEPS).map(|i| from + (to - from) * f64::from(i) / f64::from(CURVE_STEPS));
        let points: Result<Vec<(f64, f64)>, trunks::InvalidInput> =
            steps.map(|n| Ok((n, overflow::loss(Stream::peaked(mean, aim.peakedness), n)?))).collect();
        let points = points?.into_iter().filter(|(_, b)| *b >= MIN_PLOTTED_LOSS);
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(format!("{name}: {mean:.1} E"))
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
    }
    for (name, at) in [("present", plan.present), ("needed", plan.needed)] {
        let at = f64::from(at);
        chart.draw_series(DashedLineSeries::new(
            [(at, MIN_PLOTTED_LOSS), (at, 1.0)],
            6,
            4,
            BLACK.stroke_width(1),
        ))?;
        let position = (at, if name == "present" { 0.6 } else { 0.3 });
        chart.draw_series([Text::new(format!(" {name}"), position, ("sans-serif", 13))])?;
    }
    chart.draw_series([PathElement::new([(from, aim.loss), (to, aim.loss)], BLACK.mix(0.4))])?;
    let labels = &mut chart.configure_series_labels();
    labels
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .position(SeriesLabelPosition::LowerLeft)
        .draw()?;
    area.present()?;
    Ok(())
}
