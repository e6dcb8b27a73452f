//! Short randomised soaks of real processes: seeds that once broke a promise, and one that never did.
//!
//! A seed repeats what goes wrong and when, not how processes take turns. Promises that name a time are
//! left out here, since a busy machine may not run everybody in time; `--example soak` checks them.

use nutmeggrade_fakes::soak::{Plan, run as soak};
use tokio::sync::Semaphore;

use crate::support::run;

/// Soaks that run at a time; each has four instances.
static SLOTS: Semaphore = Semaphore::const_new(3);

/// Runs the soak of a seed and checks that no promise was broken.
fn keeps_promises(seed: u64) {
    run(async {
        let slot = SLOTS.acquire().await?;
        let verdict = soak(&Plan::new(seed).without_time_limits()).await?;
        drop(slot);
        let (asked, served) = verdict.requests;
        assert!(
            verdict.violations.is_empty(),
            "{:#?} after {:#?}",
            verdict.violations,
            verdict.actions
        );
        assert!(served > 0 && asked > served, "{served} of {asked} served");
        Ok(())
    });
}

// The first seed never failed. The second had answers of two endpoints joined, and an instance ended by
// a settings signal during its start; in the others a search that found no room after an endpoint may
// have run its request was about to be told as a refusal.
cases! {keeps_promises {
    never_failed: 102;
    joined_answers_and_early_signal: 101;
    no_room_after_a_run: 106;
    no_room_after_a_run_again: 120;
}}
