//! Demonstrates a complete deployment: `demo [--keep]`.
//!
//! Starts all processes, serves streams and calls while a failure domain is taken out of service
//! and put back, and fails if anything was duplicated, lost or run twice. `--keep` keeps the
//! processes running until Ctrl-C.

use anyhow::Context;
use futures::future::join_all;
use nutmeggrade_fakes::fleet::{Fleet, MODEL, Plan, SERVICE, StreamOutput};
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
    // On every way out the fleet is dropped, which stops its processes.
    let fleet = tokio::select! {
        fleet = demo() => fleet?,
        signalled = wait_for_signal() => {
            signalled?;
            anyhow::bail!("stopped by a signal");
        }
    };
    if keep {
        print_hints(&fleet)?;
        wait_for_signal().await?;
    }
    Ok(())
}

async fn demo() -> anyhow::Result<Fleet> {
    let fleet = Fleet::start(&Plan::default()).await.context("start the fleet")?;
    println!("started: platform, 3 engines, 1 service, {} instances\n", fleet.nodes.len());
    println!("{:<44}seen", "step");
    let outcome = run_steps(&fleet).await?;
    println!(
        "\ndemo: served {} of {}, duplicated {}, lost {}, ran-twice {}",
        outcome.served, outcome.asked, outcome.duplicated, outcome.lost, outcome.ran_twice
    );
    anyhow::ensure!(outcome.is_successful(), "a request failed, was duplicated, or ran twice");
    Ok(fleet)
}

/// Waits for Ctrl-C or SIGTERM, which end the demo and its processes.
async fn wait_for_signal() -> anyhow::Result<()> {
    let mut term = signal(SignalKind::terminate()).context("handle SIGTERM")?;
    tokio::select! {
        _ = term.recv() => Ok(()),
        interrupted = tokio::signal::ctrl_c() => interrupted.context("handle Ctrl-C"),
    }
}

#[derive(Debug, Default)]
struct Outcome {
    asked: usize,
    served: usize,
    duplicated: usize,
    lost: usize,
    ran_twice: u64,
}

impl Outcome {
    fn is_successful(&self) -> bool {
        self.served == self.asked && self.duplicated == 0 && self.lost == 0 && self.ran_twice == 0
    }

    fn count(&mut self, result: &StreamOutput) {
        self.asked += 1;
        if result.is_whole() {
            self.served += 1;
        } else {
            self.lost += 1;
        }
        if !result.in_order() {
            self.duplicated += 1;
        }
    }
}

fn print_row(step: &str, seen: &str) {
    println!("{step:<44}{seen}");
}

async fn run_steps(fleet: &Fleet) -> anyhow::Result<Outcome> {
    let mut outcome = Outcome::default();
    let entries = fleet.caller("staatsbos").fetch_entries(0).await?;
    print_row("GET /v1/entries", &format!("{} addresses", entries.len()));
    anyhow::ensure!(entries.len() == fleet.nodes.len(), "an instance is missing from the entries");
    let streams = async {
        let stream = |n: usize| async move {
            let caller = fleet.caller(["staatsbos", "gemeente-ede"][n % 2]);
            let (task, length) = [("permit-draft", 250), ("district-sort", 12)][n % 2];
            caller.stream(n, task, &format!("application {n} len={length}")).await
        };
        join_all((0..STREAMS).map(stream)).await
    };
    let (results, cycled) = futures::join!(streams, cycle_domain(fleet));
    cycled?;
    for result in results {
        match result {
            Ok(result) => outcome.count(&result),
            Err(error) => {
                println!("stream failed: {error:#}");
                outcome.count(&StreamOutput::default());
            }
        }
    }
    print_row(
        "streams while it left and returned",
        &format!("{} of {STREAMS} whole", outcome.served),
    );
    issue_permit(fleet, &mut outcome).await?;
    Ok(outcome)
}

async fn cycle_domain(fleet: &Fleet) -> anyhow::Result<()> {
    for direction in ["out", "in"] {
        let args = ["domain", direction, DOMAIN, "--who", "demo", "--why", "show a change"];
        let (code, text) = fleet.run_nutmegctl(&args).await?;
        anyhow::ensure!(code == 0, "nutmegctl exited with {code}: {text}");
        let step = format!("nutmegctl domain {direction} {DOMAIN}");
        print_row(&step, "accepted and in force everywhere");
    }
    Ok(())
}

async fn issue_permit(fleet: &Fleet, outcome: &mut Outcome) -> anyhow::Result<()> {
    let caller = fleet.caller("staatsbos");
    let key = Some("plot-17-2026");
    let first = caller.operation(0, "issue-permit", key, "plot-17").await?;
    let second = caller.operation(1, "issue-permit", key, "plot-17").await?;
    let lookup = caller.operation(2, "lookup-permit", None, "plot-17").await?;
    for (status, _) in [&first, &second, &lookup] {
        outcome.asked += 1;
        outcome.served += usize::from(status.is_success());
    }
    let log = fleet.log("service-0").await?;
    let ran = log.get("issue-permit/plot-17").and_then(serde_json::Value::as_u64).unwrap_or(0);
    outcome.ran_twice = ran.saturating_sub(1);
    print_row("issue-permit twice with one key", &format!("ran {ran} time(s)"));
    print_row("lookup-permit", lookup.0.as_str());
    anyhow::ensure!(ran > 0, "the permit was not issued");
    anyhow::ensure!(first.1 == second.1, "the retry got a different response");
    Ok(())
}

/// Prints commands for trying the running deployment; `docs/operators/try-it.md` explains more.
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
