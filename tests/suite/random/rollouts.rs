//! Simulated rollouts of randomly generated versions with injected faults.

use nutmeggrade_fakes::rollout::{Fault, Plan, simulate};

const SMALL_FLEETS: [usize; 2] = [7, 18];
const LARGE_FLEET: usize = 70;

/// Checks that no rule is broken: a bad version stays within its exposure bound, and no response is
/// cut.
fn keeps_rules(seeds: std::ops::Range<u64>, instances: usize, fault: Fault) {
    for seed in seeds {
        let plan = Plan::draw(seed, instances, fault, seed % 2 == 0);
        let report = simulate(&plan).expect("play");
        assert!(!report.is_broken(), "{plan:?} {report:?}");
    }
}

// Guards against a bad version that exceeds its exposure bound, and against cut responses, while
// the judge, a failure domain, the store or every instance fails.
cases! {keeps_rules {
    small_calm: 1..5, SMALL_FLEETS[0], Fault::None;
    small_judge_killed: 5..9, SMALL_FLEETS[0], Fault::JudgeKilled;
    small_domain_cut: 9..13, SMALL_FLEETS[1], Fault::DomainPartitioned;
    small_store_away: 13..17, SMALL_FLEETS[1], Fault::StoreUnavailable;
    small_all_killed: 17..21, SMALL_FLEETS[0], Fault::AllKilled;
    large_domain_cut: 21..23, LARGE_FLEET, Fault::DomainPartitioned;
    domain_cut_just_before_the_switch: 21_022..21_023, SMALL_FLEETS[1], Fault::DomainPartitioned;
}}
