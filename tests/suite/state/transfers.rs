//! Limit of what an instance sends to its peers at a time.

use nutmeggrade_state::transfers::Transfers;

/// Bytes per second of a link of 20 Mbit/s.
const LINK: f64 = 2_500_000.0;

// Guards against a start in which hundreds of peers get the endpoints from one instance at once,
// and none of them before its request times out.
#[test]
fn transfers_in_progress_fit_the_link() {
    let transfers = Transfers::new(LINK);
    let begun: Vec<_> = (0..300).filter_map(|_| transfers.begin(400_000)).collect();
    assert_eq!(begun.len(), 3);
    drop(begun);
    assert!(transfers.begin(400_000).is_some());
}

// Guards against a list that is never sent because it is larger than the limit.
#[test]
fn one_transfer_of_any_size_is_possible() {
    let transfers = Transfers::new(LINK);
    let first = transfers.begin(40_000_000);
    assert!(first.is_some());
    assert!(transfers.begin(1).is_none());
}
