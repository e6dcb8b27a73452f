//! Roll-outs of drawn versions, with drawn faults.

use nutmeggrade_fakes::rollout::{Fault, Plan, simulate};

const SMALL: [usize; 2] = [7, 18];
const LARGE: usize = 70;

/// Checks that no rule is broken: a bad version stays within its bound, and no answer is cut.
fn keeps_rules(seeds: std::ops::Range<u64>, instances: usize, fault: Fault) {
    for seed in seeds {
        let plan = Plan::draw(seed, instances, fault, seed % 2 == 0);
        let report = simulate(&plan).expect("play");
        assert!(!report.is_broken(), "{plan:?} {report:?}");
    }
}

// A version is bad in one of several ways while the judge, a failure domain, the store or everything fails.
cases! {keeps_rules {
    small_calm: 1..5, SMALL[0], Fault::None;
    small_judge_killed: 5..9, SMALL[0], Fault::JudgeKilled;
    small_domain_cut: 9..13, SMALL[1], Fault::DomainPartitioned;
    small_store_away: 13..17, SMALL[1], Fault::StoreUnavailable;
    small_all_killed: 17..21, SMALL[0], Fault::AllKilled;
    large_domain_cut: 21..23, LARGE, Fault::DomainPartitioned;
}}
