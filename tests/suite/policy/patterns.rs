//! The patterns of load, played over the engine stand-in's model in a quarter of the usual time.

use nutmeggrade_fakes::driver::{Figures, LoadPattern, LoadShape, Simulation};
use nutmeggrade_policy::Scheduler;

/// Part of the usual time that the patterns take here.
const SCALE: f64 = 0.25;
/// Seed of the patterns.
const SEED: u64 = 11;

fn play(shape: LoadShape) -> Figures {
    let preset = nutmeggrade_fakes::fleet::preset().expect("a preset");
    let pattern = LoadPattern::scaled(shape, SEED, SCALE);
    let make = |node: usize| {
        let mut scheduler = Scheduler::new(node as u64 + 1);
        scheduler.set_preset(&preset);
        scheduler
    };
    Simulation::new(&pattern, make).run()
}

#[derive(Debug)]
struct Bound {
    whole: f64,
    stall: f64,
    preemptions: u64,
    gap: f64,
}

fn holds(shape: LoadShape, bound: &Bound) {
    let figures = play(shape);
    assert!(figures.whole >= bound.whole, "{figures:?}");
    assert!(figures.stall <= bound.stall, "{figures:?}");
    assert!(figures.preemptions <= bound.preemptions, "{figures:?}");
    assert!(figures.gap[2] <= bound.gap, "{figures:?}");
    assert!(figures.fairness >= 0.98, "{figures:?}");
}

// Each kind of load comes about on an ordinary day. Callers notice answers that are cut, streams
// that stand still while an engine computes a preempted answer again, and gaps that stutter.
cases! {
    holds {
        burst: LoadShape::Burst, &Bound { whole: 0.99, stall: 1.0, preemptions: 5, gap: 0.034 };
        two_workspaces: LoadShape::TwoWorkspaces,
            &Bound { whole: 0.99, stall: 30.0, preemptions: 60, gap: 0.042 };
        slow_endpoint: LoadShape::SlowEndpoint,
            &Bound { whole: 0.99, stall: 50.0, preemptions: 1, gap: 0.035 };
        huge_among_short: LoadShape::Huge,
            &Bound { whole: 0.99, stall: 30.0, preemptions: 5, gap: 0.02 };
        saturation_1: LoadShape::Saturation1,
            &Bound { whole: 0.99, stall: 3.0, preemptions: 10, gap: 0.037 };
        saturation_1_5: LoadShape::Saturation15,
            &Bound { whole: 0.93, stall: 30.0, preemptions: 60, gap: 0.042 };
        domain_out: LoadShape::DomainOut,
            &Bound { whole: 0.99, stall: 1.0, preemptions: 1, gap: 0.03 };
        busy_domain_out: LoadShape::DomainOutBusy,
            &Bound { whole: 0.97, stall: 15.0, preemptions: 30, gap: 0.042 };
        stale_reports: LoadShape::StaleReports,
            &Bound { whole: 0.97, stall: 1.0, preemptions: 5, gap: 0.035 };
    }
}

// For thirty seconds three times as much comes as the engines bear. Let in at once, answers push each
// other out of memory; here they wait, and those who are let in get whole answers.
#[test]
fn saturated_three_times_over() {
    let figures = play(LoadShape::Saturation3);
    assert!(figures.whole >= 0.95, "{figures:?}");
    assert!(figures.whole + figures.refused >= 0.95, "{figures:?}");
    assert!(figures.preemptions <= 60, "{figures:?}");
}

// A run that differed from the next could not be searched for the decision that went wrong.
#[test]
fn same_seed_same_figures() {
    assert_eq!(play(LoadShape::Burst), play(LoadShape::Burst));
}
