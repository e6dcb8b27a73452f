//! Changes that race, lose their answers, or meet a frozen instance or an outage.

use nix::sys::signal::Signal;
use nutmeggrade_core::config::CONFIG_PREFIX;
use nutmeggrade_fakes::fleet::{Fleet, Plan};
use nutmeggrade_platform::Platform;
use rstest::rstest;
use serde_json::json;

use crate::support::{fleet, run};

const REQUIRED_FLAGS: [&str; 4] = ["--who", "anna", "--why", "switch work"];

fn plan() -> Plan {
    Plan::default().with_nodes(2).with_engines(2)
}

async fn change(fleet: &Fleet, arguments: &[&str]) -> anyhow::Result<(i32, String)> {
    fleet.run_nutmegctl(&[arguments, &REQUIRED_FLAGS].concat()).await
}

async fn versions(fleet: &Fleet) -> anyhow::Result<usize> {
    Ok(fleet.client().list(CONFIG_PREFIX).await?.objects.len())
}

// Two operators make different changes at the same time. One of them is told that another change
// came first, which one and whose; the two changes are not mixed.
#[rstest]
fn racing_operators_learn_who_won() {
    run(async {
        let guard = fleet(&plan()).await?;
        guard.fleet.set_faults("platform", &json!({ "slow_ms": 100 })).await?;
        let commands = |d| [["domain", d, "veluwe"], ["endpoint", d, "engine-1"]];
        for round in 0..10 {
            let [one, two] = commands(["out", "in"][round % 2]);
            let before = versions(&guard.fleet).await?;
            let (one, two) = tokio::join!(change(&guard.fleet, &one), change(&guard.fleet, &two));
            let (one, two) = (one?, two?);
            let accepted = [&one, &two].iter().filter(|(code, _)| *code == 0).count();
            assert_eq!(versions(&guard.fleet).await?, before + accepted, "{one:?} {two:?}");
            if let Some((_, text)) = [&one, &two].into_iter().find(|(code, _)| *code == 4) {
                assert!(text.contains("5002") && text.contains("anna"), "{text}");
                return Ok(());
            }
        }
        anyhow::bail!("no change was refused in ten rounds")
    });
}

// The platform writes a change and its answer is lost. The command reads the version back and finds
// its own change, so the operator is told that it was accepted and does not repeat it.
#[rstest]
fn lost_answer_is_settled() {
    run(async {
        let guard = fleet(&plan()).await?;
        guard.fleet.set_faults("platform", &json!({ "lose": 1 })).await?;
        let (code, text) = change(&guard.fleet, &["domain", "out", "veluwe"]).await?;
        assert_eq!(code, 0, "{text}");
        assert!(text.contains("accepted version=2"), "{text}");
        assert_eq!(versions(&guard.fleet).await?, 2);
        Ok(())
    });
}

// The platform is down. A change is not accepted, as its exit code says; the audit trail and the
// status can still be read from the instances.
#[rstest]
fn outage_leaves_the_trail_readable() {
    run(async {
        let guard = fleet(&plan()).await?;
        let (code, text) = change(&guard.fleet, &["domain", "out", "veluwe"]).await?;
        assert_eq!(code, 0, "{text}");
        guard.fleet.set_faults("platform", &json!({ "down": true })).await?;
        let (code, text) = change(&guard.fleet, &["domain", "in", "veluwe"]).await?;
        assert_eq!(code, 7, "{text}");
        let admin = guard.fleet.nodes["node-1"].admin.to_string();
        let (code, text) = guard.fleet.run_nutmegctl(&["audit", "--admin", &admin]).await?;
        assert_eq!(code, 0, "{text}");
        let line = text.lines().find(|l| l.starts_with("change version=2")).unwrap_or("");
        assert!(line.contains("anna") && line.contains("domain_out veluwe"), "{text}");
        let (code, text) = guard.fleet.run_nutmegctl(&["status", "--admin", &admin]).await?;
        assert!(code == 0 && text.contains("config=2"), "{text}");
        Ok(())
    });
}

// One instance is frozen when operators take a failure domain out of service. The command reports
// that the change is accepted, and which instance does not have it in force. Repeated after the
// instance continues, it reports that all instances have it.
#[rstest]
fn frozen_instance_is_named() {
    run(async {
        let mut guard = fleet(&plan()).await?;
        guard.fleet.process("node-1")?.signal(Signal::SIGSTOP)?;
        let arguments = ["domain", "out", "veluwe", "--wait", "500"];
        let (code, text) = change(&guard.fleet, &arguments).await?;
        assert_eq!(code, 5, "{text}");
        assert!(text.contains("accepted version=2"), "{text}");
        assert!(text.contains("in_force instance=node-0 version=2"), "{text}");
        assert!(text.contains("not_in_force instance=node-1 version=2"), "{text}");
        guard.fleet.process("node-1")?.signal(Signal::SIGCONT)?;
        let arguments = ["domain", "out", "veluwe", "--wait", "30000"];
        let (code, text) = change(&guard.fleet, &arguments).await?;
        assert_eq!(code, 0, "{text}");
        assert!(text.contains("unchanged version=2"), "{text}");
        assert_eq!(versions(&guard.fleet).await?, 2);
        Ok(())
    });
}
