//! A request is served from end to end.

use nutmeggrade_fakes::fleet::{Plan, StreamOutput};
use rstest::rstest;

use crate::support::{fleet, run};

fn plan() -> Plan {
    Plan::default().with_nodes(3).with_engines(2)
}

#[rstest]
fn streams_are_whole() {
    run(async {
        let held = fleet(&plan()).await?;
        let heard = held.fleet.caller("staatsbos").stream(0, "permit-draft", "a len=60").await?;
        assert!(heard.is_whole(), "{heard:?}");
        assert_eq!(heard.tokens.len(), 60);
        Ok(())
    });
}

// A caller's connection breaks in the middle of a long answer. It asks another instance with the id
// of its last event, and the rest of the same answer follows, nothing twice and nothing missing.
#[rstest]
fn resumes_at_another_instance() {
    run(async {
        let held = fleet(&plan()).await?;
        let caller = held.fleet.caller("staatsbos");
        let mut heard = StreamOutput::default();
        let prompt = "a len=200";
        caller.read_stream(caller.entry(0), "permit-draft", prompt, &mut heard, Some(20)).await?;
        assert!(!heard.done);
        caller.read_stream(caller.entry(1), "permit-draft", prompt, &mut heard, None).await?;
        assert!(heard.is_whole(), "{heard:?}");
        assert_eq!(heard.tokens.len(), 200);
        Ok(())
    });
}

// A household's client sends the same permit twice with one key, at two instances.
#[rstest]
fn permit_is_issued_once() {
    run(async {
        let held = fleet(&plan()).await?;
        let caller = held.fleet.caller("staatsbos");
        let first = caller.operation(0, "issue-permit", Some("k1"), "plot-1").await?;
        let second = caller.operation(1, "issue-permit", Some("k1"), "plot-1").await?;
        assert_eq!(first, second);
        let log = held.fleet.log("service-0").await?;
        assert_eq!(log["issue-permit/plot-1"], 1);
        Ok(())
    });
}
