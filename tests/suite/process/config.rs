//! Configurations on real processes: accepted ones come into force everywhere and stay.

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
async fn in_force(fleet: &Fleet, version: u64) -> anyhow::Result<()> {
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

async fn domain_out(fleet: &Fleet) -> anyhow::Result<Configuration> {
    let newest = newest_config(&fleet.client()).await?.config.context("no configuration")?;
    let change = Change::DomainOut { domain: DomainId::new(DOMAIN)? };
    Ok(newest.next(ChangeId::new("c-out")?, "anna", "switch work", &change)?)
}

async fn ran(fleet: &Fleet, engine: &str) -> anyhow::Result<usize> {
    let log = fleet.log(engine).await?;
    Ok(log["runs"].as_object().map_or(0, serde_json::Map::len))
}

// The platform goes down in the moment in which a change was accepted, and the operator's command
// reached one instance only. Without the others' help two of three would go on using the domain.
#[rstest]
fn peers_hand_on_what_the_platform_can_not() {
    run(async {
        let held = fleet(&plan()).await?;
        let next = domain_out(&held.fleet).await?;
        held.fleet.set_faults("platform", &json!({ "down": true })).await?;
        held.fleet.push_config("node-1", &next).await?;
        in_force(&held.fleet, next.version).await?;
        let before = ran(&held.fleet, "engine-0").await?;
        let caller = held.fleet.caller("staatsbos");
        let heard = join_all((0..6).map(|n| caller.stream(n, "district-sort", "a len=5"))).await;
        assert!(heard.into_iter().all(|h| h.is_ok_and(|h| h.is_whole())));
        assert_eq!(ran(&held.fleet, "engine-0").await?, before);
        Ok(())
    });
}

// An instance is replaced while the platform is down for long. It serves as soon as a peer has told
// it the configuration, and callers hear of it.
#[rstest]
fn starts_in_an_outage() {
    run(async {
        let mut held = fleet(&plan().with_nodes(2)).await?;
        held.fleet.set_faults("platform", &json!({ "down": true })).await?;
        let seed = held.fleet.nodes["node-0"].admin.to_string();
        held.fleet.add_flag("seeds", &seed);
        held.fleet.start_node(2)?;
        held.fleet.wait_until_ready().await?;
        let heard = held.fleet.caller("staatsbos").stream(2, "district-sort", "a len=5").await?;
        assert!(heard.is_whole(), "{heard:?}");
        Ok(())
    });
}

// Without the platform and without a peer to ask, nothing can be known about what is out.
#[rstest]
fn is_not_ready_without_a_configuration() {
    run(async {
        let mut held = fleet(&plan().with_nodes(1)).await?;
        held.fleet.set_faults("platform", &json!({ "down": true })).await?;
        held.fleet.start_node(1)?;
        sleep(Duration::from_secs(1)).await;
        let answer = held.fleet.caller("staatsbos").stream(1, "district-sort", "a").await?;
        assert_eq!(code(&answer), Some(4003), "{answer:?}");
        Ok(())
    });
}

/// Waits until a process that was sent a stop answers no more.
async fn stopped(fleet: &Fleet, name: &str) -> anyhow::Result<()> {
    let start = Instant::now();
    while timeout(Duration::from_millis(500), fleet.status(name)).await.is_ok() {
        ensure!(start.elapsed() < PATIENCE, "{name} goes on");
    }
    Ok(())
}

fn code(heard: &StreamOutput) -> Option<u64> {
    heard.failure.as_ref()?.get("code")?.as_u64()
}

// An instance is stopped by its machine while operators take a domain out, and goes on, alone, with
// callers already waiting at its door. It must not send them into the domain on what it knew before.
#[rstest]
fn frozen_instance_wakes_after_a_change() {
    run(async {
        let mut held = fleet(&plan().with_relays()).await?;
        held.fleet.relay("platform")?.set(Link::Stalled);
        held.fleet.process("node-1")?.signal(Signal::SIGSTOP)?;
        stopped(&held.fleet, "node-1").await?;
        let caller = held.fleet.caller("staatsbos");
        let waiting: Vec<_> = (0..12)
            .map(|_| {
                let caller = caller.clone();
                tokio::spawn(async move { caller.stream(1, "district-sort", "a len=5").await })
            })
            .collect();
        let words = ["domain", "out", DOMAIN, "--who", "anna", "--why", "switch work"];
        let (code, output) =
            held.fleet.run_nutmegctl(&[&words[..], &["--wait", "2500"]].concat()).await?;
        assert_eq!(code, 5, "{output}");
        assert!(output.contains("node-1"), "{output}");
        for peer in ["node-0", "node-2"] {
            held.fleet.process(peer)?.signal(Signal::SIGSTOP)?;
        }
        let before = ran(&held.fleet, "engine-0").await?;
        held.fleet.process("node-1")?.signal(Signal::SIGCONT)?;
        for heard in join_all(waiting).await {
            let heard = heard??;
            assert_eq!(self::code(&heard), Some(4004), "{heard:?}");
        }
        assert_eq!(ran(&held.fleet, "engine-0").await?, before);
        for peer in ["node-0", "node-2"] {
            held.fleet.process(peer)?.signal(Signal::SIGCONT)?;
        }
        in_force(&held.fleet, 2).await
    });
}

// The platform is away for much longer than the fence. Generations and idempotent calls go on; what
// may not be repeated is refused, because nothing could record it or tell of an earlier attempt.
#[rstest]
fn serves_through_a_long_outage() {
    run(async {
        let held = fleet(&plan()).await?;
        held.fleet.set_faults("platform", &json!({ "down": true })).await?;
        let caller = held.fleet.caller("staatsbos");
        let start = Instant::now();
        let mut n = 0;
        while start.elapsed() < Duration::from_secs(4) {
            let heard = caller.stream(n, "district-sort", "a len=5").await?;
            assert!(heard.is_whole(), "{heard:?}");
            let (status, _) = caller.operation(n, "lookup-permit", None, "plot-1").await?;
            assert!(status.is_success(), "{status}");
            n += 1;
        }
        let (status, failure) = caller.operation(0, "issue-permit", Some("k"), "plot-1").await?;
        assert_eq!(status, 503);
        assert_eq!((&failure["code"], &failure["run"]), (&json!(4001), &json!("unknown")));
        let log = held.fleet.log("service-0").await?;
        assert!(log.get("issue-permit/plot-1").is_none(), "{log}");
        held.fleet.set_faults("platform", &json!({})).await?;
        let words = ["domain", "out", DOMAIN, "--who", "anna", "--why", "switch work"];
        let (code, output) = held.fleet.run_nutmegctl(&words).await?;
        assert_eq!(code, 0, "{output}");
        Ok(())
    });
}

// Two operators change at once and the answer of an accepted write gets lost. Each learns truly
// whether the change was accepted, and every accepted one is in force.
#[rstest]
fn racing_operators_learn_the_truth() {
    run(async {
        let held = fleet(&plan()).await?;
        let fleet = &held.fleet;
        let mut accepted = 1;
        for round in 0..3 {
            fleet.set_faults("platform", &json!({ "lose": 1 })).await?;
            let place = if round % 2 == 0 { "out" } else { "in" };
            let change = |domain| async move {
                let words = ["domain", place, domain, "--who", domain, "--why", "race"];
                fleet.run_nutmegctl(&words).await
            };
            let both = tokio::join!(change(DOMAIN), change("gooi"));
            for (code, output) in [both.0?, both.1?] {
                ensure!(matches!(code, 0 | 4), "{code}: {output}");
                accepted += u64::from(code == 0 && output.contains("accepted"));
            }
            let newest = newest_config(&fleet.client()).await?.config.context("none")?;
            assert_eq!(newest.version, accepted);
            in_force(fleet, accepted).await?;
        }
        Ok(())
    });
}

// A failure domain is taken out at short notice and comes back while long answers run everywhere.
// None of them breaks, nothing new goes there meanwhile, and it is used again afterwards.
#[rstest]
fn domain_leaves_and_returns_while_streams_run() {
    run(async {
        let held = fleet(&plan()).await?;
        let caller = held.fleet.caller("staatsbos");
        let streams: Vec<_> = (0..6)
            .map(|n| {
                let caller = caller.clone();
                tokio::spawn(async move { caller.stream(n, "permit-draft", "a len=250").await })
            })
            .collect();
        while ran(&held.fleet, "engine-0").await? + ran(&held.fleet, "engine-1").await? < 6 {
            sleep(PAUSE).await;
        }
        let go = |place| ["domain", place, DOMAIN, "--who", "anna", "--why", "switch work"];
        assert_eq!(held.fleet.run_nutmegctl(&go("out")).await?.0, 0);
        let before = ran(&held.fleet, "engine-0").await?;
        for n in 0..6 {
            assert!(caller.stream(n, "district-sort", "a len=5").await?.is_whole());
        }
        assert_eq!(ran(&held.fleet, "engine-0").await?, before);
        assert_eq!(held.fleet.run_nutmegctl(&go("in")).await?.0, 0);
        let start = Instant::now();
        while ran(&held.fleet, "engine-0").await? == before {
            assert!(caller.stream(0, "district-sort", "a len=5").await?.is_whole());
            ensure!(start.elapsed() < PATIENCE, "the domain is not used again");
        }
        for stream in streams {
            let heard = stream.await??;
            assert!(heard.is_whole(), "{heard:?}");
        }
        Ok(())
    });
}
