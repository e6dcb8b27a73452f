//! The list of endpoints is sent again only when it changed.

use nutmeggrade_fakes::fleet::Plan;
use nutmeggrade_platform::Platform;
use rstest::rstest;

use crate::support::{fleet, run};

// An unchanged list costs a few bytes. When an engine joins, the next look must show it: an instance
// that went on with the list it had would leave the engine idle, or send work to one that is gone.
#[rstest]
fn unchanged_list_is_not_sent_again() {
    run(async {
        let mut held = fleet(&Plan::default().with_nodes(1).with_engines(2)).await?;
        let client = held.fleet.client();
        let first = client.endpoints().await?;
        let whole = client.traffic().received;
        let second = client.endpoints().await?;
        let again = client.traffic().received - whole;
        assert_eq!(first, second);
        assert!(again * 2 < whole, "{again} bytes after {whole}");
        held.fleet.start_engine(2).await?;
        let third = client.endpoints().await?;
        assert_eq!(third.len(), first.len() + 1);
        Ok(())
    });
}
