//! `dillholdctl dimension`: calculates the circuits that groups need for a chosen loss, from the intervals that
//! controllers measured.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use measured::calendar::Calendar;
use measured::record::{decode, Interval};
use serde::Serialize;
use trunks::busy::{busy_hours, BusyHour, BusyHourRule, NamedDays, MIN_DAYS};
use trunks::offered::{loads_by_group, Ends, GroupLoad};
use trunks::plan::{build_network, distribute_circuits, size_group, GroupPlan, LossTarget, Verdict};

use crate::dimension_plots;

/// Exit code: some files could not be used and were skipped.
const FILES_SKIPPED_EXIT_CODE: u8 = 3;

/// Arguments of `dimension`.
#[derive(Args)]
pub struct Dimension {
    /// Interval files that controllers wrote, or folders that contain them.
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// The highest acceptable loss of every class.
    #[arg(long, default_value_t = 0.01)]
    loss: f64,
    /// The highest acceptable loss of one class, as result-post=0.002. May be repeated.
    #[arg(long, value_name = "CLASS=LOSS", value_parser = parse_class_loss)]
    class_loss: Vec<(String, f64)>,
    /// Use the N-th highest hour of each kind of day instead of the time-consistent busy hour.
    #[arg(long, value_name = "N", value_parser = clap::value_parser!(u32).range(1..=1000))]
    nth: Option<u32>,
    /// A named day that is evaluated separately from the others, as 2026-05-09=race. May be repeated.
    #[arg(long, value_name = "DATE=NAME", value_parser = parse_named_day)]
    day: Vec<((i16, i8, i8), String)>,
    /// Peakedness of the traffic (variance over mean); 1 for Poisson traffic.
    #[arg(long, default_value_t = 1.0)]
    peakedness: f64,
    /// Price of one circuit, for the cost of the change.
    #[arg(long, default_value_t = 1.0)]
    price: f64,
    /// Write the plan to this file, as JSON.
    #[arg(long, value_name = "OUT")]
    json: Option<PathBuf>,
    /// Draw plots (SVG) of load by hour and of loss against circuits into this folder.
    #[arg(long, value_name = "DIR")]
    plots: Option<PathBuf>,
}

fn parse_class_loss(text: &str) -> Result<(String, f64), String> {
    let parts = text.split_once('=').filter(|(name, _)| !name.is_empty());
    let loss = parts.and_then(|(name, loss)| Some((name.to_string(), loss.parse::<f64>().ok()?)));
    loss.filter(|(_, loss)| *loss > 0.0 && *loss < 1.0)
        .ok_or_else(|| format!("'{text}': expected a class and a loss, as result-post=0.002"))
}

fn parse_named_day(text: &str) -> Result<((i16, i8, i8), String), String> {
    let error = || format!("'{text}': expected a date and a name, as 2026-05-09=race");
    let (date, name) = text.split_once('=').filter(|(_, n)| !n.is_empty()).ok_or_else(error)?;
    let parts: Vec<&str> = date.split('-').collect();
    let [year, month, day] = parts[..] else { return Err(error()) };
    let (year, month, day) = (year.parse().ok(), month.parse().ok(), day.parse().ok());
    let date = year.zip(month).zip(day).map(|((year, month), day)| (year, month, day)).ok_or_else(error)?;
    if !(1..=12).contains(&date.1) || !(1..=31).contains(&date.2) {
        return Err(error());
    }
    Ok((date, name.into()))
}

/// A file that could not be used, and why.
#[derive(Clone, Debug, Serialize)]
struct Skipped {
    file: String,
    why: String,
}

/// The result of `dimension`.
#[derive(Serialize)]
struct Plan {
    loss: f64,
    peakedness: f64,
    files: usize,
    skipped: Vec<Skipped>,
    time_zone: String,
    groups: Vec<GroupPlan>,
    /// The loss of the whole network with the present circuits, where blocked calls try tandems.
    network: NetworkLoss,
    /// By group: the present circuits, redistributed so that they carry the most calls (Moe's principle).
    best_use: Vec<(Ends, u32)>,
    remarks: Vec<String>,
}

/// The loss at the network's fixed point.
#[derive(Serialize)]
struct NetworkLoss {
    /// Share of all calls that is lost.
    loss: f64,
    /// Share of all calls that is carried over tandems.
    by_tandem: f64,
    converged: bool,
    rounds: usize,
    /// Share lost in the second stable state, if there is one with the reserve that controllers keep.
    second_state: Option<f64>,
    /// Share lost in the second stable state, if there is one without any reserve.
    second_state_without_reserve: Option<f64>,
}

/// Circuits that controllers reserve in a group against calls in transit, as a multiple of the square root of its size.
const RESERVE_ROOTS: f64 = 0.4;

fn network_loss(plans: &[GroupPlan]) -> Result<NetworkLoss, String> {
    let solve = |roots| build_network(plans, roots).solve().map_err(|e| e.to_string());
    let (with_reserve, without_reserve) = (solve(RESERVE_ROOTS)?, solve(0.0)?);
    Ok(NetworkLoss {
        loss: with_reserve.from_empty.total_loss,
        by_tandem: with_reserve.from_empty.by_tandem,
        converged: with_reserve.from_empty.converged,
        rounds: with_reserve.from_empty.iterations,
        second_state: with_reserve.from_full.map(|s| s.total_loss),
        second_state_without_reserve: without_reserve.from_full.map(|s| s.total_loss),
    })
}

/// Replaces each folder in a list of paths by its interval files, in order of their names.
fn interval_files(paths: &[PathBuf]) -> Result<Vec<PathBuf>, String> {
    let mut files = Vec::new();
    for path in paths {
        if path.is_dir() {
            let entries = std::fs::read_dir(path).map_err(|e| format!("{}: {e}", path.display()))?;
            let files_inside = entries.filter_map(|e| e.ok().map(|e| e.path()));
            let mut interval_files: Vec<PathBuf> =
                files_inside.filter(|p| p.extension().is_some_and(|e| e == "interval")).collect();
            interval_files.sort();
            files.extend(interval_files);
        } else {
            files.push(path.clone());
        }
    }
    Ok(files)
}

fn read_intervals(files: &[PathBuf]) -> (Vec<Interval>, Vec<Skipped>) {
    let (mut intervals, mut skipped) = (Vec::new(), Vec::new());
    for file in files {
        let bytes = std::fs::read(file).map_err(|e| e.to_string());
        match bytes.and_then(|bytes| decode(&bytes).map_err(|e| e.to_string())) {
            Ok(interval) => intervals.push(interval),
            Err(why) => skipped.push(Skipped { file: file.display().to_string(), why }),
        }
    }
    (intervals, skipped)
}

/// The circuits of a group in the latest interval that has any.
fn present_circuits(loads: &[GroupLoad]) -> u32 {
    loads.iter().rev().map(|l| l.circuits).find(|c| *c > 0.0).unwrap_or(0.0) as u32
}

fn remarks(hours: &BTreeMap<Ends, Vec<BusyHour>>, intervals: &[Interval]) -> Vec<String> {
    let mut remarks = Vec::new();
    let mut scarce_kinds: BTreeMap<String, usize> = BTreeMap::new();
    for hour in hours.values().flatten().filter(|h| !h.has_enough_days()) {
        scarce_kinds.insert(hour.kind.name().into(), hour.days);
    }
    for (kind, days) in scarce_kinds {
        remarks.push(format!(
            "{days} days of the kind '{kind}': fewer than {MIN_DAYS} do not show how such days differ"
        ));
    }
    let kinds: Vec<&str> = hours.values().flatten().map(|h| h.kind.name()).collect();
    for kind in ["weekday", "saturday", "sunday"].iter().filter(|k| !kinds.contains(k)) {
        remarks.push(format!("no whole hour of a {kind} was measured: the load on such days is unknown"));
    }
    let one_end = hours.values().filter(|h| h.iter().any(|h| !h.both_ends)).count();
    if one_end > 0 {
        let estimate = "the load of the other end is estimated from the circuits in use";
        remarks.push(format!("{one_end} groups have files of one end only: {estimate}"));
    }
    let partial = intervals.iter().filter(|i| i.measured != (i.from, i.to)).count();
    if partial > 0 {
        remarks
            .push(format!("{partial} intervals were measured in part, after a start or before a shutdown"));
    }
    let uncounted: u64 = intervals.iter().map(|i| i.uncounted).sum();
    if uncounted > 0 {
        remarks.push(format!("{uncounted} calls were not counted because the meter was full"));
    }
    remarks
}

/// Runs the command.
pub fn run(arguments: &Dimension) -> Result<ExitCode, String> {
    let by_class = arguments.class_loss.iter().cloned().collect();
    let aim = LossTarget {
        loss: arguments.loss,
        by_class,
        peakedness: arguments.peakedness,
        price: arguments.price,
    };
    if !(aim.loss > 0.0 && aim.loss < 1.0) {
        return Err(format!("--loss {}: must be above 0 and below 1", aim.loss));
    }
    let (intervals, skipped) = read_intervals(&interval_files(&arguments.files)?);
    for file in &skipped {
        eprintln!("dillholdctl: skipped: {}: {}", file.file, file.why);
    }
    let Some(zone) = intervals.first().map(|i| i.time_zone.clone()) else {
        return Err("no file could be used".into());
    };
    if let Some(other) = intervals.iter().find(|i| i.time_zone != zone) {
        return Err(format!("files of different time zones: {zone} and {}", other.time_zone));
    }
    let calendar = Calendar::new(&zone, 15).map_err(|e| e.to_string())?;
    let named: NamedDays = arguments.day.iter().cloned().collect();
    let rule = arguments.nth.map_or(BusyHourRule::TimeConsistent, |n| BusyHourRule::NthHighest(n as usize));
    let loads = loads_by_group(&intervals);
    let (mut hours, mut groups) = (BTreeMap::new(), Vec::new());
    for (ends, loads) in &loads {
        let found = busy_hours(loads, &calendar, &named, rule);
        groups.extend(size_group(*ends, present_circuits(loads), &found, &aim).map_err(|e| e.to_string())?);
        hours.insert(*ends, found);
    }
    if groups.is_empty() {
        return Err("no whole hour was measured on any group".into());
    }
    let circuits: u32 = groups.iter().map(|g| g.present).sum();
    let means: Vec<f64> = groups.iter().map(|g| g.hour.load.mean).collect();
    let best_use = distribute_circuits(&means, circuits).map_err(|e| e.to_string())?;
    let plan = Plan {
        loss: aim.loss,
        peakedness: aim.peakedness,
        files: intervals.len(),
        skipped,
        time_zone: zone,
        best_use: groups.iter().map(|g| g.ends).zip(best_use).collect(),
        remarks: remarks(&hours, &intervals),
        network: network_loss(&groups)?,
        groups,
    };
    print_plan(&plan);
    if let Some(path) = &arguments.json {
        crate::write_json(path, &plan)?;
    }
    if let Some(folder) = &arguments.plots {
        let files = dimension_plots::draw(folder, &loads, &calendar, &plan.groups, &aim);
        for file in files.map_err(|e| format!("{}: {e}", folder.display()))? {
            println!("plot {}", file.display());
        }
    }
    Ok(if plan.skipped.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(FILES_SKIPPED_EXIT_CODE) })
}

fn print_plan(plan: &Plan) {
    println!("circuits for a loss of {} from {} intervals ({})", plan.loss, plan.files, plan.time_zone);
    println!(
        "{:>11} {:>9} {:>6} {:>9} {:>19} {:>8} {:>7} {:>14} {:>9}  verdict",
        "group", "busy hour", "days", "load E", "95%", "present", "needed", "of interval", "loss now"
    );
    for group in &plan.groups {
        let hour = &group.hour;
        let high = group.needed_high.map_or("-".into(), |n| n.to_string());
        let loss = group.loss_now.iter().map(|(_, b)| *b).fold(0.0, f64::max);
        let verdict = match group.verdict {
            Verdict::Enlarge => "enlarge",
            Verdict::Enough => "enough",
            Verdict::Unsure => "the interval spans the decision",
        };
        let kind = hour.kind.name().chars().take(3).collect::<String>();
        println!(
            "{:>11} {:>9} {:>6} {:>9.2} {:>19} {:>8} {:>7} {:>14} {:>9.5}  {verdict}",
            format!("n{}-n{}", group.ends.0, group.ends.1),
            format!("{kind} {:02}:{:02}", hour.minute / 60, hour.minute % 60),
            hour.days,
            hour.load.mean,
            format!("{:.2} to {:.2}", hour.load.low, hour.load.high),
            group.present,
            group.needed,
            format!("{} to {high}", group.needed_low),
            loss,
        );
    }
    let cost: f64 = plan.groups.iter().map(|g| g.cost).sum();
    let (present, needed) =
        plan.groups.iter().fold((0, 0), |s, g| (s.0 + g.present, s.1 + u64::from(g.needed)));
    println!("{present} circuits present, {needed} needed, the difference costs {cost:.2}");
    let network = &plan.network;
    let convergence = if network.converged { "settled" } else { "NOT settled" };
    println!(
        "all groups in their busy hours at once, tandems tried: {:.5} of all calls lost, {:.5} carried by tandem ({convergence} \
         after {} rounds)",
        network.loss, network.by_tandem, network.rounds
    );
    if let Some(loss) = network.second_state {
        println!("THIS NETWORK HAS A SECOND STABLE STATE under this load, in which {loss:.5} of all calls are lost");
    } else if let Some(loss) = network.second_state_without_reserve {
        println!(
            "without reserved circuits it would have a second stable state, in which {loss:.5} are lost"
        );
    }
    let changes: Vec<String> = plan
        .best_use
        .iter()
        .zip(&plan.groups)
        .filter(|((_, best), g)| *best != g.present)
        .map(|((ends, best), g)| format!("n{}-n{} {} -> {best}", ends.0, ends.1, g.present))
        .collect();
    if !changes.is_empty() {
        println!("the present circuits carry the most calls as: {}", changes.join(", "));
    }
    for remark in &plan.remarks {
        println!("note: {remark}");
    }
}
