//! Configuration versions on real processes: an accepted version comes into force on all instances
//! and stays.

use std::time::Duration;

use anyhow::{Context, ensure};
use futures::future::join_all;
use nix::sys::signal::Signal;
use nutmeggrade_core::config::Change;
use nutmeggrade_core::prelude::*;
use nutmeggrade_fakes::fleet::{Fleet, Plan, StreamOutput};
use nutmeggrade_fakes::relay::Link;
use nutmeggrade_platform::newest_config;
use rstest::rstest;
use serde_json::json;
use tokio::time::{Instant, sleep, timeout};

use crate::support::{fleet, run};

const PATIENCE: Duration = Duration::from_secs(30);
const PAUSE: Duration = Duration::from_millis(50);
const DOMAIN: &str = "veluwe";

fn plan() -> Plan {
    let plan = Plan::default().with_nodes(3).with_engines(2).with_services(1);
    plan.with_flag("fence", "1000").with_flag("silence", "800").with_flag("beacon", "100")
}

/// Waits until every instance has at least `version` in force.
async fn until_in_force(fleet: &Fleet, version: u64) -> anyhow::Result<()> {
    let start = Instant::now();
    for name in fleet.nodes.keys() {
        loop {
            let status = fleet.status(name).await.unwrap_or_default();
            if status["config"].as_u64() >= Some(version) {
                break;
            }
            ensure!(start.elapsed() < PATIENCE, "{name} has {}", status["config"]);
            sleep(PAUSE).await;
        }
    }
    Ok(())
}

async fn next_without_domain(fleet: &Fleet) -> anyhow::Result<Configuration> {
    let newest = newest_config(&fleet.client()).await?.config.context("no configuration")?;
    let change = Change::DomainOut { domain: DomainId::new(DOMAIN)? };
    Ok(newest.next(ChangeId::new("c-out")?, "anna", "switch work", &change)?)
}

async fn run_count(fleet: &Fleet, engine: &str) -> anyhow::Result<usize> {
    let log = fleet.log(engine).await?;
    Ok(log["runs"].as_object().map_or(0, serde_json::Map::len))
}

// The platform goes down just after a change was accepted, and the command of the operator reached
// one instance only. Without a forward by that instance, two of three would keep using the failure
// domain.
#[rstest]
fn peers_hand_on_what_the_platform_can_not() {
    run(async {
        let guard = fleet(&plan()).await?;
        let next = next_without_domain(&guard.fleet).await?;
        guard.fleet.set_faults("platform", &json!({ "down": true })).await?;
        guard.fleet.push_config("node-1", &next).await?;
        until_in_force(&guard.fleet, next.version).await?;
        let before = run_count(&guard.fleet, "engine-0").await?;
        let caller = guard.fleet.caller("staatsbos");
        let received = join_all((0..6).map(|n| caller.stream(n, "district-sort", "a len=5"))).await;
        assert!(received.into_iter().all(|h| h.is_ok_and(|h| h.is_whole())));
        assert_eq!(run_count(&guard.fleet, "engine-0").await?, before);
        Ok(())
    });
}

// An instance is replaced during a long outage of the platform. It serves once it has the
// configuration from a peer, and clients are told about it.
#[rstest]
fn starts_in_an_outage() {
    run(async {
        let mut guard = fleet(&plan().with_nodes(2)).await?;
        guard.fleet.set_faults("platform", &json!({ "down": true })).await?;
        let seed = guard.fleet.nodes["node-0"].admin.to_string();
        guard.fleet.add_flag("seeds", &seed);
        guard.fleet.start_node(2)?;
        guard.fleet.wait_until_ready().await?;
        let received =
            guard.fleet.caller("staatsbos").stream(2, "district-sort", "a len=5").await?;
        assert!(received.is_whole(), "{received:?}");
        Ok(())
    });
}

// Without the platform and without a peer an instance can't tell which failure domains are out of
// service.
#[rstest]
fn is_not_ready_without_a_configuration() {
    run(async {
        let mut guard = fleet(&plan().with_nodes(1)).await?;
        guard.fleet.set_faults("platform", &json!({ "down": true })).await?;
        guard.fleet.start_node(1)?;
        sleep(Duration::from_secs(1)).await;
        let answer = guard.fleet.caller("staatsbos").stream(1, "district-sort", "a").await?;
        assert_eq!(code(&answer), Some(4003), "{answer:?}");
        Ok(())
    });
}

/// Waits until a process that got SIGSTOP no longer responds.
async fn until_frozen(fleet: &Fleet, name: &str) -> anyhow::Result<()> {
    let start = Instant::now();
    while timeout(Duration::from_millis(500), fleet.status(name)).await.is_ok() {
        ensure!(start.elapsed() < PATIENCE, "{name} still responds");
    }
    Ok(())
}

fn code(received: &StreamOutput) -> Option<u64> {
    received.failure.as_ref()?.get("code")?.as_u64()
}

// An instance is frozen while operators take a failure domain out of service, and continues,
// without its peers, with client requests already queued. It must not serve them with the outdated
// configuration.
#[rstest]
fn frozen_instance_wakes_after_a_change() {
    run(async {
        let mut guard = fleet(&plan().with_relays()).await?;
        guard.fleet.relay("platform")?.set(Link::Stalled);
        guard.fleet.process("node-1")?.signal(Signal::SIGSTOP)?;
        until_frozen(&guard.fleet, "node-1").await?;
        let caller = guard.fleet.caller("staatsbos");
        let waiting: Vec<_> = (0..12)
            .map(|_| {
                let caller = caller.clone();
                tokio::spawn(async move { caller.stream(1, "district-sort", "a len=5").await })
            })
            .collect();
        let arguments = ["domain", "out", DOMAIN, "--who", "anna", "--why", "switch work"];
        let (code, output) =
            guard.fleet.run_nutmegctl(&[&arguments[..], &["--wait", "2500"]].concat()).await?;
        assert_eq!(code, 5, "{output}");
        assert!(output.contains("node-1"), "{output}");
        for peer in ["node-0", "node-2"] {
            guard.fleet.process(peer)?.signal(Signal::SIGSTOP)?;
        }
        let before = run_count(&guard.fleet, "engine-0").await?;
        guard.fleet.process("node-1")?.signal(Signal::SIGCONT)?;
        for received in join_all(waiting).await {
            let received = received??;
            assert_eq!(self::code(&received), Some(4004), "{received:?}");
        }
        assert_eq!(run_count(&guard.fleet, "engine-0").await?, before);
        for peer in ["node-0", "node-2"] {
            guard.fleet.process(peer)?.signal(Signal::SIGCONT)?;
        }
        until_in_force(&guard.fleet, 2).await
    });
}

// The platform is down for much longer than the fence. Generations and idempotent calls are served;
// calls that may not be repeated are refused, because they can't be recorded and an earlier attempt
// can't be looked up.
#[rstest]
fn serves_through_a_long_outage() {
    run(async {
        let guard = fleet(&plan()).await?;
        guard.fleet.set_faults("platform", &json!({ "down": true })).await?;
        let caller = guard.fleet.caller("staatsbos");
        let start = Instant::now();
        let mut n = 0;
        while start.elapsed() < Duration::from_secs(4) {
            let received = caller.stream(n, "district-sort", "a len=5").await?;
            assert!(received.is_whole(), "{received:?}");
            let (status, _) = caller.operation(n, "lookup-permit", None, "plot-1").await?;
            assert!(status.is_success(), "{status}");
            n += 1;
        }
        let (status, failure) = caller.operation(0, "issue-permit", Some("k"), "plot-1").await?;
        assert_eq!(status, 503);
        assert_eq!((&failure["code"], &failure["run"]), (&json!(4001), &json!("unknown")));
        let log = guard.fleet.log("service-0").await?;
        assert!(log.get("issue-permit/plot-1").is_none(), "{log}");
        guard.fleet.set_faults("platform", &json!({})).await?;
        let arguments = ["domain", "out", DOMAIN, "--who", "anna", "--why", "switch work"];
        let (code, output) = guard.fleet.run_nutmegctl(&arguments).await?;
        assert_eq!(code, 0, "{output}");
        Ok(())
    });
}

// Two operators make changes at once, and the answer of an accepted write is lost. Each is told
// correctly whether the change was accepted, and every accepted change is in force.
#[rstest]
fn racing_operators_learn_the_truth() {
    run(async {
        let guard = fleet(&plan()).await?;
        let fleet = &guard.fleet;
        let mut accepted = 1;
        for round in 0..3 {
            fleet.set_faults("platform", &json!({ "lose": 1 })).await?;
            let direction = if round % 2 == 0 { "out" } else { "in" };
            let change = |domain| async move {
                let arguments = ["domain", direction, domain, "--who", domain, "--why", "race"];
                fleet.run_nutmegctl(&arguments).await
            };
            let both = tokio::join!(change(DOMAIN), change("gooi"));
            for (code, output) in [both.0?, both.1?] {
                ensure!(matches!(code, 0 | 4), "{code}: {output}");
                accepted += u64::from(code == 0 && output.contains("accepted"));
            }
            let newest =
                newest_config(&fleet.client()).await?.config.context("no configuration")?;
            assert_eq!(newest.version, accepted);
            until_in_force(fleet, accepted).await?;
        }
        Ok(())
    });
}

// A failure domain is taken out of service and brought back while long answers run everywhere. No
// answer breaks, the domain gets no new requests meanwhile, and it is used again afterwards.
#[rstest]
fn domain_leaves_and_returns_while_streams_run() {
    run(async {
        let guard = fleet(&plan()).await?;
        let caller = guard.fleet.caller("staatsbos");
        let streams: Vec<_> = (0..6)
            .map(|n| {
                let caller = caller.clone();
                tokio::spawn(async move { caller.stream(n, "permit-draft", "a len=250").await })
            })
            .collect();
        while run_count(&guard.fleet, "engine-0").await?
            + run_count(&guard.fleet, "engine-1").await?
            < 6
        {
            sleep(PAUSE).await;
        }
        let command =
            |direction| ["domain", direction, DOMAIN, "--who", "anna", "--why", "switch work"];
        assert_eq!(guard.fleet.run_nutmegctl(&command("out")).await?.0, 0);
        let before = run_count(&guard.fleet, "engine-0").await?;
        for n in 0..6 {
            assert!(caller.stream(n, "district-sort", "a len=5").await?.is_whole());
        }
        assert_eq!(run_count(&guard.fleet, "engine-0").await?, before);
        assert_eq!(guard.fleet.run_nutmegctl(&command("in")).await?.0, 0);
        let start = Instant::now();
        while run_count(&guard.fleet, "engine-0").await? == before {
            assert!(caller.stream(0, "district-sort", "a len=5").await?.is_whole());
            ensure!(start.elapsed() < PATIENCE, "the domain is not used again");
        }
        for stream in streams {
            let received = stream.await??;
            assert!(received.is_whole(), "{received:?}");
        }
        Ok(())
    });
}
