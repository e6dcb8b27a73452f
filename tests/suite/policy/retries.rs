//! Retry budgets and retry delays.

use std::time::Duration;

use nutmeggrade_policy::RetryBudget;

const TIME_LEFT: Duration = Duration::from_secs(10);

// Guards against retries that triple the load while every endpoint fails.
#[test]
fn budget_is_a_tenth_of_fresh_requests() {
    let mut budget = RetryBudget::new(1);
    while budget.retry(1, TIME_LEFT).is_some() {}
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.fresh();
        retries += u32::from(budget.retry(1, TIME_LEFT).is_some());
    }
    assert!((95..=100).contains(&retries), "{retries}");
}

// Guards against requests that failed together and are retried together, or after their deadline.
#[test]
fn waits_are_spread_and_in_time() {
    let mut budget = RetryBudget::new(1);
    let waits: Vec<_> = (0..20).filter_map(|_| budget.retry(3, TIME_LEFT)).collect();
    let longest = waits.iter().max().copied().unwrap_or_default();
    assert!(longest <= Duration::from_millis(80));
    assert!(longest > Duration::from_millis(50));
    assert!(waits.windows(2).any(|w| w[0] > w[1]), "{waits:?}");
    assert_eq!(budget.retry(1, Duration::ZERO), None, "the deadline has passed");
}
