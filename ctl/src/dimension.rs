//! `dillholdctl dimension`: from the intervals that controllers measured to circuits for a chosen loss.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use measured::calendar::Calendar;
use measured::record::{decode, Interval};
use serde::Serialize;
use trunks::busy::{busy_hours, BusyHour, NamedDays, Rule, DAYS_WANTED};
use trunks::offered::{by_group, Ends, GroupLoad};
use trunks::plan::{network, size, spread, Aim, GroupPlan, Verdict};

use crate::dimension_plots;

/// Exit code: some files could not be used; the others were.
const SKIPPED: u8 = 3;

/// What `dimension` is asked.
#[derive(Args)]
pub struct Dimension {
    /// Files that controllers wrote, or folders of them.
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// The loss of any class at the most.
    #[arg(long, default_value_t = 0.01)]
    loss: f64,
    /// The loss of one class, where it differs: result-post=0.002. May be given again.
    #[arg(long, value_name = "CLASS=LOSS", value_parser = class_loss)]
    class_loss: Vec<(String, f64)>,
    /// Take the N-th highest hour of each kind of day, and not the time-consistent busy hour.
    #[arg(long, value_name = "N", value_parser = clap::value_parser!(u32).range(1..=1000))]
    nth: Option<u32>,
    /// A day with a name of its own, kept apart from the others: 2026-05-09=race. May be given again.
    #[arg(long, value_name = "DATE=NAME", value_parser = named_day)]
    day: Vec<((i16, i8, i8), String)>,
    /// Peakedness of the traffic (variance over mean); 1 is Poisson.
    #[arg(long, default_value_t = 1.0)]
    peakedness: f64,
    /// Price of one circuit, for the cost of the difference.
    #[arg(long, default_value_t = 1.0)]
    price: f64,
    /// Write the plan here, as JSON.
    #[arg(long, value_name = "OUT")]
    json: Option<PathBuf>,
    /// Draw load by hour and loss against circuits (SVG) into this folder.
    #[arg(long, value_name = "DIR")]
    plots: Option<PathBuf>,
}

fn class_loss(text: &str) -> Result<(String, f64), String> {
    let parts = text.split_once('=').filter(|(name, _)| !name.is_empty());
    let loss = parts.and_then(|(name, loss)| Some((name.to_string(), loss.parse::<f64>().ok()?)));
    loss.filter(|(_, loss)| *loss > 0.0 && *loss < 1.0)
        .ok_or_else(|| format!("'{text}': a class and a loss are needed, as result-post=0.002"))
}

fn named_day(text: &str) -> Result<((i16, i8, i8), String), String> {
    let wrong = || format!("'{text}': a date and a name are needed, as 2026-05-09=race");
    let (date, name) = text.split_once('=').filter(|(_, n)| !n.is_empty()).ok_or_else(wrong)?;
    let parts: Vec<&str> = date.split('-').collect();
    let [y, m, d] = parts[..] else { return Err(wrong()) };
    let (y, m, d) = (y.parse().ok(), m.parse().ok(), d.parse().ok());
    let date = y.zip(m).zip(d).map(|((y, m), d)| (y, m, d)).ok_or_else(wrong)?;
    if !(1..=12).contains(&date.1) || !(1..=31).contains(&date.2) {
        return Err(wrong());
    }
    Ok((date, name.into()))
}

/// A file that was not used.
#[derive(Clone, Debug, Serialize)]
struct Skipped {
    file: String,
    why: String,
}

/// What comes out.
#[derive(Serialize)]
struct Plan {
    loss: f64,
    peakedness: f64,
    files: usize,
    skipped: Vec<Skipped>,
    time_zone: String,
    groups: Vec<GroupPlan>,
    /// The whole network at the circuits there are, blocked calls trying tandems.
    network: Whole,
    /// The circuits there are, spread so that they carry most (Moe's principle), group by group.
    best_use: Vec<(Ends, u32)>,
    remarks: Vec<String>,
}

/// The network's fixed point.
#[derive(Serialize)]
struct Whole {
    /// Share of all calls lost, and carried over tandems.
    loss: f64,
    by_tandem: f64,
    converged: bool,
    rounds: usize,
    /// Share lost in the second state, where there is one: with the reserve that controllers keep, and without any.
    second_state: Option<f64>,
    second_state_without_reserve: Option<f64>,
}

/// Roots of a group's circuits that controllers keep from calls that are not its own.
const RESERVE_ROOTS: f64 = 0.4;

fn whole(plans: &[GroupPlan]) -> Result<Whole, String> {
    let solve = |roots| network(plans, roots).solve().map_err(|e| e.to_string());
    let (found, bare) = (solve(RESERVE_ROOTS)?, solve(0.0)?);
    Ok(Whole {
        loss: found.from_empty.total_loss,
        by_tandem: found.from_empty.by_tandem,
        converged: found.from_empty.converged,
        rounds: found.from_empty.rounds,
        second_state: found.from_full.map(|s| s.total_loss),
        second_state_without_reserve: bare.from_full.map(|s| s.total_loss),
    })
}

/// Files of a list of files and folders, in order.
fn listed(paths: &[PathBuf]) -> Result<Vec<PathBuf>, String> {
    let mut files = Vec::new();
    for path in paths {
        if path.is_dir() {
            let entries = std::fs::read_dir(path).map_err(|e| format!("{}: {e}", path.display()))?;
            let inside = entries.filter_map(|e| e.ok().map(|e| e.path()));
            let mut inside: Vec<PathBuf> =
                inside.filter(|p| p.extension().is_some_and(|e| e == "interval")).collect();
            inside.sort();
            files.extend(inside);
        } else {
            files.push(path.clone());
        }
    }
    Ok(files)
}

fn read(files: &[PathBuf]) -> (Vec<Interval>, Vec<Skipped>) {
    let (mut intervals, mut skipped) = (Vec::new(), Vec::new());
    for file in files {
        let read = std::fs::read(file).map_err(|e| e.to_string());
        match read.and_then(|bytes| decode(&bytes).map_err(|e| e.to_string())) {
            Ok(interval) => intervals.push(interval),
            Err(why) => skipped.push(Skipped { file: file.display().to_string(), why }),
        }
    }
    (intervals, skipped)
}

fn present(loads: &[GroupLoad]) -> u32 {
    loads.iter().rev().map(|l| l.circuits).find(|c| *c > 0.0).unwrap_or(0.0) as u32
}

fn remarks(hours: &BTreeMap<Ends, Vec<BusyHour>>, intervals: &[Interval]) -> Vec<String> {
    let mut remarks = Vec::new();
    let mut few: BTreeMap<String, usize> = BTreeMap::new();
    for hour in hours.values().flatten().filter(|h| !h.enough()) {
        few.insert(hour.kind.name().into(), hour.days);
    }
    for (kind, days) in few {
        remarks.push(format!(
            "{days} days of the kind '{kind}': fewer than {DAYS_WANTED} weeks do not tell how they differ"
        ));
    }
    let kinds: Vec<&str> = hours.values().flatten().map(|h| h.kind.name()).collect();
    for kind in ["weekday", "saturday", "sunday"].iter().filter(|k| !kinds.contains(k)) {
        remarks.push(format!("no whole hour of a {kind} was measured: nothing is known of them"));
    }
    let one_end = hours.values().filter(|h| h.iter().any(|h| !h.both_ends)).count();
    if one_end > 0 {
        let what = "the other side is reckoned from the circuits in use";
        remarks.push(format!("{one_end} groups have the files of one end only: {what}"));
    }
    let cut = intervals.iter().filter(|i| i.measured != (i.from, i.to)).count();
    if cut > 0 {
        remarks.push(format!("{cut} intervals were measured in part, after a start or before an end"));
    }
    let uncounted: u64 = intervals.iter().map(|i| i.uncounted).sum();
    if uncounted > 0 {
        remarks.push(format!("{uncounted} calls were not counted for want of room"));
    }
    remarks
}

/// Runs the command.
pub fn run(asked: &Dimension) -> Result<ExitCode, String> {
    let by_class = asked.class_loss.iter().cloned().collect();
    let aim = Aim { loss: asked.loss, by_class, peakedness: asked.peakedness, price: asked.price };
    if !(aim.loss > 0.0 && aim.loss < 1.0) {
        return Err(format!("--loss {}: above 0 and below 1 is needed", aim.loss));
    }
    let (intervals, skipped) = read(&listed(&asked.files)?);
    for s in &skipped {
        eprintln!("dillholdctl: skipped: {}: {}", s.file, s.why);
    }
    let Some(zone) = intervals.first().map(|i| i.time_zone.clone()) else {
        return Err("no file can be used".into());
    };
    if let Some(other) = intervals.iter().find(|i| i.time_zone != zone) {
        return Err(format!("files of two time zones: {zone} and {}", other.time_zone));
    }
    let calendar = Calendar::new(&zone, 15).map_err(|e| e.to_string())?;
    let named: NamedDays = asked.day.iter().cloned().collect();
    let rule = asked.nth.map_or(Rule::TimeConsistent, |n| Rule::Nth(n as usize));
    let loads = by_group(&intervals);
    let (mut hours, mut groups) = (BTreeMap::new(), Vec::new());
    for (ends, loads) in &loads {
        let found = busy_hours(loads, &calendar, &named, rule);
        groups.extend(size(*ends, present(loads), &found, &aim).map_err(|e| e.to_string())?);
        hours.insert(*ends, found);
    }
    if groups.is_empty() {
        return Err("no whole hour was measured of any group".into());
    }
    let circuits: u32 = groups.iter().map(|g| g.present).sum();
    let means: Vec<f64> = groups.iter().map(|g| g.hour.load.mean).collect();
    let best = spread(&means, circuits).map_err(|e| e.to_string())?;
    let plan = Plan {
        loss: aim.loss,
        peakedness: aim.peakedness,
        files: intervals.len(),
        skipped,
        time_zone: zone,
        best_use: groups.iter().map(|g| g.ends).zip(best).collect(),
        remarks: remarks(&hours, &intervals),
        network: whole(&groups)?,
        groups,
    };
    print(&plan);
    if let Some(path) = &asked.json {
        crate::write_json(path, &plan)?;
    }
    if let Some(folder) = &asked.plots {
        let drawn = dimension_plots::draw(folder, &loads, &calendar, &plan.groups, &aim);
        for file in drawn.map_err(|e| format!("{}: {e}", folder.display()))? {
            println!("drawn {}", file.display());
        }
    }
    Ok(if plan.skipped.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(SKIPPED) })
}

fn print(plan: &Plan) {
    println!("circuits for a loss of {} from {} intervals ({})", plan.loss, plan.files, plan.time_zone);
    println!(
        "{:>11} {:>9} {:>6} {:>9} {:>19} {:>8} {:>7} {:>14} {:>9}  verdict",
        "group", "busy hour", "days", "load E", "95%", "present", "needed", "of interval", "loss now"
    );
    for g in &plan.groups {
        let h = &g.hour;
        let high = g.needed_high.map_or("-".into(), |n| n.to_string());
        let loss = g.loss_now.iter().map(|(_, b)| *b).fold(0.0, f64::max);
        let verdict = match g.verdict {
            Verdict::Enlarge => "enlarge",
            Verdict::Enough => "enough",
            Verdict::Unsure => "the interval spans the decision",
        };
        let kind = h.kind.name().chars().take(3).collect::<String>();
        println!(
            "{:>11} {:>9} {:>6} {:>9.2} {:>19} {:>8} {:>7} {:>14} {:>9.5}  {verdict}",
            format!("n{}-n{}", g.ends.0, g.ends.1),
            format!("{kind} {:02}:{:02}", h.minute / 60, h.minute % 60),
            h.days,
            h.load.mean,
            format!("{:.2} to {:.2}", h.load.low, h.load.high),
            g.present,
            g.needed,
            format!("{} to {high}", g.needed_low),
            loss,
        );
    }
    let cost: f64 = plan.groups.iter().map(|g| g.cost).sum();
    let (present, needed) =
        plan.groups.iter().fold((0, 0), |s, g| (s.0 + g.present, s.1 + u64::from(g.needed)));
    println!("{present} circuits present, {needed} needed, the difference costs {cost:.2}");
    let w = &plan.network;
    let how = if w.converged { "settled" } else { "NOT settled" };
    println!(
        "all groups in their busy hours at once, tandems tried: {:.5} of all calls lost, {:.5} carried by tandem ({how} \
         after {} rounds)",
        w.loss, w.by_tandem, w.rounds
    );
    if let Some(loss) = w.second_state {
        println!("THIS NETWORK HAS A SECOND STATE under this load, in which {loss:.5} of all calls are lost");
    } else if let Some(loss) = w.second_state_without_reserve {
        println!("without reserved circuits it would have a second state, in which {loss:.5} are lost");
    }
    let moved: Vec<String> = plan
        .best_use
        .iter()
        .zip(&plan.groups)
        .filter(|((_, best), g)| *best != g.present)
        .map(|((ends, best), g)| format!("n{}-n{} {} -> {best}", ends.0, ends.1, g.present))
        .collect();
    if !moved.is_empty() {
        println!("the circuits there are carry most as: {}", moved.join(", "));
    }
    for remark in &plan.remarks {
        println!("note: {remark}");
    }
}
