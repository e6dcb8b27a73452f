//! Simulates many rollouts in virtual time and prints a summary by kind.
//!
//! `cargo run --release -p nutmeggrade-fakes --example rollouts -- --seeds 1000`

use std::collections::BTreeMap;

use anyhow::Context;
use nutmeggrade_fakes::rollout::{Fault, Flaw, Plan, Report, RolloutEnd, simulate};

const FLEET_SIZES: [usize; 3] = [7, 18, 70];

/// Results of the rollouts of one kind.
#[derive(Debug, Default)]
struct Summary {
    plays: u32,
    right: u32,
    in_time: u32,
    broken: Vec<u64>,
    delays_s: Vec<f64>,
}

impl Summary {
    fn record(&mut self, plan: &Plan, report: &Report) {
        self.plays += 1;
        self.right += u32::from(report.is_correct());
        self.in_time += u32::from(report.is_correct() && report.is_in_time());
        if report.is_broken() {
            self.broken.push(plan.seed);
        }
        if let RolloutEnd::Decided(_, after) = report.end
            && !report.is_in_time()
        {
            self.delays_s.push(after.as_secs_f64() - plan.duration.as_secs_f64());
        }
    }

    fn print_summary(&self, name: &str) {
        let latest = self.delays_s.iter().copied().fold(0.0, f64::max);
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
    options.optflag("", "each", "print each roll-out that ended wrong or violated a rule");
    let matches =
        options.parse(&args).context("usage: rollouts [--seeds N] [--from N] [--each]")?;
    let number_option =
        |name: &str, or| matches.opt_get_default(name, or).context("a whole number");
    let (seeds, from) = (number_option("seeds", 200_u64)?, number_option("from", 1)?);
    let mut summaries: BTreeMap<String, Summary> = BTreeMap::new();
    for seed in from..from + seeds {
        let index = usize::try_from(seed)?;
        let fault = Fault::ALL[index / FLEET_SIZES.len() % Fault::ALL.len()];
        let plan = Plan::draw(seed, FLEET_SIZES[index % FLEET_SIZES.len()], fault, index % 2 == 0);
        let report = simulate(&plan)?;
        if matches.opt_present("each") && (report.is_broken() || !report.is_correct()) {
            println!("{plan:?} {report:?}");
        }
        let category =
            if plan.flaw == Flaw::None { "good".to_owned() } else { flaw_name(plan.flaw) };
        summaries.entry(category).or_default().record(&plan, &report);
        summaries.entry(format!("fault {:?}", plan.fault)).or_default().record(&plan, &report);
        summaries
            .entry(format!("instances {}", plan.instances))
            .or_default()
            .record(&plan, &report);
        summaries.entry("all".to_owned()).or_default().record(&plan, &report);
    }
    for (name, summary) in &summaries {
        summary.print_summary(name);
    }
    Ok(())
}

fn flaw_name(flaw: Flaw) -> String {
    let text = format!("{flaw:?}");
    format!("bad {}", text.split('(').next().unwrap_or_default())
}
