//! Shows the whole system at work: `demo [--keep]`.
//!
//! Starts everything as separate processes, serves streams and calls while a failure domain leaves
//! and returns, and fails if anything was duplicated, lost or run twice.

use anyhow::Context;
use futures::future::join_all;
use nutmeggrade_fakes::fleet::{Fleet, Heard, MODEL, Plan, SERVICE};
use tokio::signal::unix::{SignalKind, signal};

const STREAMS: usize = 24;
const DOMAIN: &str = "veluwe";

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let keep = match std::env::args().nth(1).as_deref() {
        None => false,
        Some("--keep") => true,
        Some(other) => anyhow::bail!("usage: demo [--keep], not {other}"),
    };
    // Whichever way this ends, the fleet is dropped, and a dropped fleet stops its processes.
    let fleet = tokio::select! {
        shown = demo() => shown?,
        stopped = stopped() => {
            stopped?;
            anyhow::bail!("stopped by a signal");
        }
    };
    if keep {
        print_hints(&fleet)?;
        stopped().await?;
    }
    Ok(())
}

async fn demo() -> anyhow::Result<Fleet> {
    let fleet = Fleet::start(&Plan::default()).await.context("start the fleet")?;
    println!("started: platform, 3 engines, 1 service, {} instances\n", fleet.nodes.len());
    println!("{:<44}seen", "step");
    let outcome = show(&fleet).await?;
    println!(
        "\ndemo: served {} of {}, duplicated {}, lost {}, ran-twice {}",
        outcome.served, outcome.asked, outcome.duplicated, outcome.lost, outcome.twice
    );
    anyhow::ensure!(outcome.is_good(), "the demo did not end as it must");
    Ok(fleet)
}

/// Waits for Ctrl-C or SIGTERM, which end the demo and everything that it started.
async fn stopped() -> anyhow::Result<()> {
    let mut term = signal(SignalKind::terminate()).context("handle SIGTERM")?;
    tokio::select! {
        _ = term.recv() => Ok(()),
        pressed = tokio::signal::ctrl_c() => pressed.context("handle Ctrl-C"),
    }
}

#[derive(Debug, Default)]
struct Outcome {
    asked: usize,
    served: usize,
    duplicated: usize,
    lost: usize,
    twice: u64,
}

impl Outcome {
    fn is_good(&self) -> bool {
        self.served == self.asked && self.duplicated == 0 && self.lost == 0 && self.twice == 0
    }

    fn count(&mut self, heard: &Heard) {
        self.asked += 1;
        if heard.is_whole() {
            self.served += 1;
        } else {
            self.lost += 1;
        }
        if !heard.in_order() {
            self.duplicated += 1;
        }
    }
}

fn row(step: &str, seen: &str) {
    println!("{step:<44}{seen}");
}

async fn show(fleet: &Fleet) -> anyhow::Result<Outcome> {
    let mut outcome = Outcome::default();
    let entries = fleet.caller("staatsbos").ask_entries(0).await?;
    row("GET /v1/entries", &format!("{} addresses", entries.len()));
    anyhow::ensure!(entries.len() == fleet.nodes.len(), "an instance is not among the entries");
    let streams = async {
        let one = |n: usize| async move {
            let caller = fleet.caller(["staatsbos", "gemeente-ede"][n % 2]);
            let (task, length) = [("permit-draft", 250), ("district-sort", 12)][n % 2];
            caller.stream(n, task, &format!("application {n} len={length}")).await
        };
        join_all((0..STREAMS).map(one)).await
    };
    let (heard, operated) = futures::join!(streams, operate(fleet));
    operated?;
    for result in heard {
        match result {
            Ok(heard) => outcome.count(&heard),
            Err(error) => {
                println!("stream failed: {error:#}");
                outcome.count(&Heard::default());
            }
        }
    }
    row("streams while it left and returned", &format!("{} of {STREAMS} whole", outcome.served));
    issue(fleet, &mut outcome).await?;
    Ok(outcome)
}

async fn operate(fleet: &Fleet) -> anyhow::Result<()> {
    for direction in ["out", "in"] {
        let words = ["domain", direction, DOMAIN, "--who", "demo", "--why", "show a change"];
        let (code, text) = fleet.operate(&words).await?;
        anyhow::ensure!(code == 0, "nutmegctl ended with {code}: {text}");
        let step = format!("nutmegctl domain {direction} {DOMAIN}");
        row(&step, "accepted and in force everywhere");
    }
    Ok(())
}

async fn issue(fleet: &Fleet, outcome: &mut Outcome) -> anyhow::Result<()> {
    let caller = fleet.caller("staatsbos");
    let key = Some("plot-17-2026");
    let first = caller.operation(0, "issue-permit", key, "plot-17").await?;
    let second = caller.operation(1, "issue-permit", key, "plot-17").await?;
    let looked = caller.operation(2, "lookup-permit", None, "plot-17").await?;
    for (status, _) in [&first, &second, &looked] {
        outcome.asked += 1;
        outcome.served += usize::from(status.is_success());
    }
    let log = fleet.log("service-0").await?;
    let ran = log.get("issue-permit/plot-17").and_then(serde_json::Value::as_u64).unwrap_or(0);
    outcome.twice = ran.saturating_sub(1);
    row("issue-permit twice with one key", &format!("ran {ran} time(s)"));
    row("lookup-permit", looked.0.as_str());
    anyhow::ensure!(ran > 0, "the permit was not issued");
    anyhow::ensure!(first.1 == second.1, "the retry got another answer");
    Ok(())
}

/// Prints what a newcomer pastes into another shell; docs/operators/try-it.md goes on from there.
fn print_hints(fleet: &Fleet) -> anyhow::Result<()> {
    let node = fleet.nodes.values().next().context("no instance")?;
    let admin: Vec<_> = fleet.nodes.values().map(|n| n.admin.to_string()).collect();
    println!("\nrunning until Ctrl-C; in another shell, in this folder:");
    println!(
        "  export NUTMEGGRADE_PLATFORM={} NUTMEGGRADE_ADMIN={}",
        fleet.platform,
        admin.join(",")
    );
    println!("  export NUTMEGGRADE_OPERATOR_TOKEN=operator-token-on-loopback");
    println!("  export PATH=$PWD/target/release:$PATH NODE={} ADMIN={}", node.callers, node.admin);
    let engine = fleet.endpoints.get("engine-0").context("no engine")?;
    let service = fleet.endpoints.get("service-0").context("no service")?;
    println!("  export PLATFORM={} ENGINE={engine} SERVICE={service}", fleet.platform);
    println!("then try these, and what docs/operators/try-it.md says:");
    println!("  curl http://$NODE/v1/entries");
    println!(
        "  curl -N http://$NODE/v1/completions -H 'nutmeggrade-workspace: me' \\\n    -d '{{\"model\":\"{MODEL}\",\"prompt\":\"hello len=40\",\"stream\":true}}'"
    );
    println!(
        "  curl http://$NODE/v1/services/{SERVICE}/issue-permit -H 'nutmeggrade-workspace: me' \\\n    -H 'idempotency-key: k1' -d '{{\"subject\":\"plot-1\"}}'"
    );
    println!("  curl http://$ADMIN/metrics");
    println!("  nutmegctl status");
    Ok(())
}
