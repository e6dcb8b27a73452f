//! Requests that are served from end to end.

use nutmeggrade_fakes::fleet::{Plan, StreamOutput};
use rstest::rstest;

use crate::support::{fleet, run};

fn plan() -> Plan {
    Plan::default().with_nodes(3).with_engines(2)
}

#[rstest]
fn streams_are_whole() {
    run(async {
        let guard = fleet(&plan()).await?;
        let received =
            guard.fleet.caller("staatsbos").stream(0, "permit-draft", "a len=60").await?;
        assert!(received.is_whole(), "{received:?}");
        assert_eq!(received.tokens.len(), 60);
        Ok(())
    });
}

// The connection of a client breaks in the middle of a long answer. The client resumes at another
// instance with its last event id and gets the rest of the same answer, without repeats and gaps.
#[rstest]
fn resumes_at_another_instance() {
    run(async {
        let guard = fleet(&plan()).await?;
        let caller = guard.fleet.caller("staatsbos");
        let mut received = StreamOutput::default();
        let prompt = "a len=200";
        caller
            .read_stream(caller.entry(0), "permit-draft", prompt, &mut received, Some(20))
            .await?;
        assert!(!received.done);
        caller.read_stream(caller.entry(1), "permit-draft", prompt, &mut received, None).await?;
        assert!(received.is_whole(), "{received:?}");
        assert_eq!(received.tokens.len(), 200);
        Ok(())
    });
}

// A client sends the same call twice with one idempotency key, at two instances.
#[rstest]
fn permit_is_issued_once() {
    run(async {
        let guard = fleet(&plan()).await?;
        let caller = guard.fleet.caller("staatsbos");
        let first = caller.operation(0, "issue-permit", Some("k1"), "plot-1").await?;
        let second = caller.operation(1, "issue-permit", Some("k1"), "plot-1").await?;
        assert_eq!(first, second);
        let log = guard.fleet.log("service-0").await?;
        assert_eq!(log["issue-permit/plot-1"], 1);
        Ok(())
    });
}
