//! Plays many roll-outs in virtual time and prints how they were handled.
//!
//! `cargo run --release -p nutmeggrade-fakes --example rollouts -- --seeds 1000`

use std::collections::BTreeMap;

use anyhow::Context;
use nutmeggrade_fakes::rollout::{Fault, Flaw, Plan, Report, RolloutEnd, simulate};

const SIZES: [usize; 3] = [7, 18, 70];

/// What became of the roll-outs of one kind.
#[derive(Debug, Default)]
struct Row {
    plays: u32,
    right: u32,
    in_time: u32,
    broken: Vec<u64>,
    late: Vec<f64>,
}

impl Row {
    fn add(&mut self, plan: &Plan, report: &Report) {
        self.plays += 1;
        self.right += u32::from(report.is_correct());
        self.in_time += u32::from(report.is_correct() && report.is_in_time());
        if report.is_broken() {
            self.broken.push(plan.seed);
        }
        if let RolloutEnd::Decided(_, after) = report.end
            && !report.is_in_time()
        {
            self.late.push(after.as_secs_f64() - plan.duration.as_secs_f64());
        }
    }

    fn print(&self, name: &str) {
        let latest = self.late.iter().copied().fold(0.0, f64::max);
        println!(
            "{name:32} plays={} right={} in_time={} latest_s={latest:.1} broken={} {:?}",
            self.plays,
            self.right,
            self.in_time,
            self.broken.len(),
            self.broken.iter().take(5).collect::<Vec<_>>()
        );
    }
}

fn main() -> anyhow::Result<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let mut options = getopts::Options::new();
    options.optopt("", "seeds", "roll-outs", "N").optopt("", "from", "first seed", "N");
    options.optflag("", "each", "print each roll-out that ended wrong or broke a rule");
    let matches =
        options.parse(&args).context("usage: rollouts [--seeds N] [--from N] [--each]")?;
    let number = |name: &str, or| matches.opt_get_default(name, or).context("a whole number");
    let (seeds, from) = (number("seeds", 200_u64)?, number("from", 1)?);
    let mut rows: BTreeMap<String, Row> = BTreeMap::new();
    for seed in from..from + seeds {
        let at = usize::try_from(seed)?;
        let fault = Fault::ALL[at / SIZES.len() % Fault::ALL.len()];
        let plan = Plan::draw(seed, SIZES[at % SIZES.len()], fault, at % 2 == 0);
        let report = simulate(&plan)?;
        if matches.opt_present("each") && (report.is_broken() || !report.is_correct()) {
            println!("{plan:?} {report:?}");
        }
        let flaw = if plan.flaw == Flaw::None { "good".to_owned() } else { flaw_name(plan.flaw) };
        rows.entry(flaw).or_default().add(&plan, &report);
        rows.entry(format!("fault {:?}", plan.fault)).or_default().add(&plan, &report);
        rows.entry(format!("instances {}", plan.instances)).or_default().add(&plan, &report);
        rows.entry("all".to_owned()).or_default().add(&plan, &report);
    }
    for (name, row) in &rows {
        row.print(name);
    }
    Ok(())
}

fn flaw_name(flaw: Flaw) -> String {
    let text = format!("{flaw:?}");
    format!("bad {}", text.split('(').next().unwrap_or_default())
}
