//! The endpoint list is transferred again only when it has changed.

use nutmeggrade_fakes::fleet::Plan;
use nutmeggrade_platform::Platform;
use rstest::rstest;

use crate::support::{fleet, run};

// An unchanged list costs a few bytes. When an engine joins, the next request has to return it: an
// instance with an old list would leave the engine idle, or send requests to one that is gone.
#[rstest]
fn unchanged_list_is_not_sent_again() {
    run(async {
        let mut guard = fleet(&Plan::default().with_nodes(1).with_engines(2)).await?;
        let client = guard.fleet.client();
        let first = client.endpoints().await?;
        let first_bytes = client.traffic().received;
        let second = client.endpoints().await?;
        let second_bytes = client.traffic().received - first_bytes;
        assert_eq!(first, second);
        assert!(second_bytes * 2 < first_bytes, "{second_bytes} bytes after {first_bytes}");
        guard.fleet.start_engine(2).await?;
        let third = client.endpoints().await?;
        assert_eq!(third.len(), first.len() + 1);
        Ok(())
    });
}
