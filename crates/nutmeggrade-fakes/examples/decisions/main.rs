//! Simulates every load pattern with the scheduler and the baselines, and prints the table of
//! `docs/measurements/decisions.md`:
//! `cargo run --release --example decisions [PATTERN [alone]]`;
//! `alone` omits the baselines, and the pattern `weights` compares presets.

mod baseline;

use std::thread;

use baseline::{Baseline, Rule};
use nutmeggrade_core::config::{Preset, Weights};
use nutmeggrade_fakes::driver::{Figures, LoadPattern, LoadShape, Simulation};
use nutmeggrade_fakes::fleet::preset;
use nutmeggrade_policy::Scheduler;

/// Seeds of the patterns, fixed so that runs are comparable.
const SEEDS: [u64; 3] = [11, 23, 47];

fn main() -> anyhow::Result<()> {
    let pattern_filter = std::env::args().nth(1);
    let without_baselines = std::env::args().nth(2).is_some_and(|a| a == "alone");
    let preset = preset()?;
    println!(
        "| pattern | policy | whole % | whole long % | stall s | stall p99 s | preempt | \
         gap p50/95/99 ms | first p50/p99 s | fair | refused % | false % | crashes |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    if pattern_filter.as_deref() == Some("weights") {
        return weights();
    }
    for shape in LoadShape::ALL {
        if pattern_filter.as_ref().is_some_and(|w| !shape.name().contains(w.as_str())) {
            continue;
        }
        for rule in Rule::ALL.into_iter().filter(|_| !without_baselines) {
            let runs = run(shape, |_| Baseline::new(rule));
            print_row(shape, rule.name(), &runs);
        }
        let runs = run(shape, |node| scheduler(node, &preset));
        print_row(shape, "**nutmeggrade**", &runs);
    }
    Ok(())
}

/// Prints the results of several choices of weights, for the patterns in which they differ.
fn weights() -> anyhow::Result<()> {
    let choices = [
        ("all equal", Weights::default()),
        ("Permit Desk", Weights { stall: 2.0, domains: 2.0, gap: 1.0, preemptions: 1.0 }),
        ("Rāmis Kopā", Weights { stall: 1.0, domains: 1.0, gap: 2.0, preemptions: 2.0 }),
    ];
    let shapes = [LoadShape::Burst, LoadShape::Saturation15, LoadShape::DomainOutBusy];
    for shape in shapes {
        for (name, weights) in choices {
            let preset = Preset { weights, ..preset()? };
            let runs = run(shape, |node| scheduler(node, &preset));
            print_row(shape, name, &runs);
        }
    }
    Ok(())
}

fn scheduler(node: usize, preset: &Preset) -> Scheduler {
    let mut scheduler = Scheduler::new(node as u64 + 1);
    scheduler.set_preset(preset);
    scheduler
}

fn run<D: nutmeggrade_fakes::driver::Decider>(
    shape: LoadShape,
    make: impl Fn(usize) -> D + Sync,
) -> Vec<Figures> {
    let make = &make;
    thread::scope(|scope| {
        let threads = SEEDS.map(|seed| {
            scope.spawn(move || Simulation::new(&LoadPattern::new(shape, seed), make).run())
        });
        threads.into_iter().map(|t| t.join().expect("a run ends")).collect()
    })
}

fn print_row(shape: LoadShape, policy: &str, runs: &[Figures]) {
    let mean = |f: fn(&Figures) -> f64| runs.iter().map(f).sum::<f64>() / runs.len() as f64;
    println!(
        "| {} | {policy} | {:.1} | {:.1} | {:.1} | {:.2} | {:.0} | {:.1}/{:.1}/{:.1} | \
         {:.2}/{:.2} | {:.3} | {:.1} | {:.1} | {:.0} |",
        shape.name(),
        mean(|f| f.whole * 100.0),
        mean(|f| f.whole_long * 100.0),
        mean(|f| f.stall),
        mean(|f| f.stall_p99),
        mean(|f| f.preemptions as f64),
        mean(|f| f.gap[0] * 1e3),
        mean(|f| f.gap[1] * 1e3),
        mean(|f| f.gap[2] * 1e3),
        mean(|f| f.first[0]),
        mean(|f| f.first[1]),
        mean(|f| f.fairness),
        mean(|f| f.refused * 100.0),
        mean(|f| f.false_refused * 100.0),
        mean(|f| f.crashes as f64),
    );
}
