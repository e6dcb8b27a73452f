//! Load patterns on the simulated engine, in a quarter of their usual duration.

use nutmeggrade_fakes::driver::{Figures, LoadPattern, LoadShape, Simulation};
use nutmeggrade_policy::Scheduler;

/// Share of the patterns' usual duration.
const TIME_SCALE: f64 = 0.25;
/// Seed of the load patterns.
const SEED: u64 = 11;

fn run_pattern(shape: LoadShape) -> Figures {
    let preset = nutmeggrade_fakes::fleet::preset().expect("a preset");
    let pattern = LoadPattern::scaled(shape, SEED, TIME_SCALE);
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

fn stays_within(shape: LoadShape, bound: &Bound) {
    let figures = run_pattern(shape);
    assert!(figures.whole >= bound.whole, "{figures:?}");
    assert!(figures.stall <= bound.stall, "{figures:?}");
    assert!(figures.preemptions <= bound.preemptions, "{figures:?}");
    assert!(figures.gap[2] <= bound.gap, "{figures:?}");
    assert!(figures.fairness >= 0.98, "{figures:?}");
}

// Guards against cut responses, streams that stall while an engine recomputes a preempted response,
// and long gaps between tokens, under the kinds of load of an ordinary day.
cases! {
    stays_within {
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

// Guards against responses that evict each other from memory when three times the capacity arrives
// for thirty seconds: requests wait instead, and those admitted get complete responses.
#[test]
fn saturated_three_times_over() {
    let figures = run_pattern(LoadShape::Saturation3);
    assert!(figures.whole >= 0.95, "{figures:?}");
    assert!(figures.whole + figures.refused >= 0.95, "{figures:?}");
    assert!(figures.preemptions <= 60, "{figures:?}");
}

// Guards against runs that differ under the same seed, in which a wrong decision could not be
// traced.
#[test]
fn same_seed_same_figures() {
    assert_eq!(run_pattern(LoadShape::Burst), run_pattern(LoadShape::Burst));
}
