//! Planned stops cut nobody off.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};

use http::{Method, StatusCode};
use nix::sys::signal::Signal;
use nutmeggrade_core::prelude::*;
use nutmeggrade_fakes::fleet::{Client, Fleet, Plan, StreamOutput};
use nutmeggrade_fakes::http::send;
use rstest::rstest;
use serde_json::{Value, json};

use super::raw::Raw;
use crate::support::{fleet, run, until};

/// Two for each instance, so that every restart meets some that kept its address.
const CLIENTS: usize = 14;

/// A fleet that stops within a second or two.
fn plan(keep_ms: &str, drain_ms: &str) -> Plan {
    Plan::default()
        .with_nodes(3)
        .with_engines(2)
        .with_flag("beacon", "100")
        .with_flag("silence", "500")
        .with_flag("entry-keep", keep_ms)
        .with_flag("drain", drain_ms)
}

/// What the clients of a rolling restart share.
#[derive(Default)]
struct Shared {
    over: AtomicBool,
    alive: Mutex<BTreeMap<String, SocketAddr>>,
}

impl Shared {
    fn see(&self, fleet: &Fleet) {
        let alive = fleet.nodes.iter().map(|(name, node)| (name.clone(), node.callers)).collect();
        *self.alive.lock().unwrap_or_else(PoisonError::into_inner) = alive;
    }

    /// Returns an instance that is not the one being restarted.
    fn any(&self, n: usize) -> anyhow::Result<SocketAddr> {
        let alive = self.alive.lock().unwrap_or_else(PoisonError::into_inner);
        let found = alive.values().nth(n % alive.len().max(1)).copied();
        found.ok_or_else(|| anyhow::anyhow!("no instance"))
    }

    fn leave(&self, name: &str) {
        self.alive.lock().unwrap_or_else(PoisonError::into_inner).remove(name);
    }
}

/// Uses the system without a pause; fails at the first refusal, broken stream or lost call.
async fn use_it(shared: &Shared, n: usize) -> anyhow::Result<u64> {
    let mut client = Client::new("staatsbos", shared.any(n)?);
    let mut served = 0;
    while !shared.over.load(Ordering::Relaxed) {
        if client.is_stale() {
            client.restart(shared.any(n)?);
        }
        client.refresh_if_due().await?;
        let heard = client.stream("permit-draft", "a len=30").await?;
        anyhow::ensure!(heard.is_whole(), "broken stream: {heard:?}");
        client.refresh_if_due().await?;
        let subject = format!("plot-{n}-{served}");
        let (status, answer) = client.operation("issue-permit", Some(&subject), &subject).await?;
        anyhow::ensure!(status == StatusCode::OK, "lost call: {status} {answer}");
        client.refresh_if_due().await?;
        let (status, answer) = client.operation("lookup-permit", None, &subject).await?;
        anyhow::ensure!(status == StatusCode::OK, "lost look-up: {status} {answer}");
        served += 1;
    }
    Ok(served)
}

// Operators replace all seven instances one after the other while households use the system. Whoever
// kept an address, as the answer of `/v1/entries` allows, would be refused by an instance that
// closes at once, and answers that run would break off.
#[rstest]
fn rolling_restart_loses_nothing() {
    run(async {
        let mut held = fleet(&plan("1000", "60000").with_nodes(7).with_engines(3)).await?;
        let shared = Shared::default();
        shared.see(&held.fleet);
        let clients = futures_of(&shared);
        let restart = async {
            for n in 0..7 {
                let name = format!("node-{n}");
                shared.leave(&name);
                let status = held.fleet.stop_node(&name).await?;
                anyhow::ensure!(status.success(), "{name} ended with {status}");
                held.fleet.start_node(n)?;
                held.fleet.wait_until_ready().await?;
                shared.see(&held.fleet);
            }
            shared.over.store(true, Ordering::Relaxed);
            anyhow::Ok(())
        };
        let (served, restarted) = tokio::join!(clients, restart);
        restarted?;
        let served = served?;
        assert!(served.iter().all(|n| *n > 0), "{served:?}");
        let log = held.fleet.log("service-0").await?;
        let issued = log.as_object().into_iter().flatten();
        let issued: Vec<_> = issued.filter(|(k, _)| k.starts_with("issue-permit/")).collect();
        assert_eq!(issued.len() as u64, served.iter().sum::<u64>());
        assert!(issued.iter().all(|(_, ran)| **ran == json!(1)), "{issued:?}");
        Ok(())
    });
}

async fn futures_of(shared: &Shared) -> anyhow::Result<Vec<u64>> {
    let clients = futures::future::try_join_all((0..CLIENTS).map(|n| use_it(shared, n)));
    let served = clients.await;
    // A client that failed ends the test once the restart in hand is through.
    shared.over.store(true, Ordering::Relaxed);
    served
}

// An answer runs for longer than an instance may take to stop. Its caller is told where to go on,
// and gets the rest of the same answer there.
#[rstest]
fn long_stream_is_told_where_to_resume() {
    run(async {
        let mut held = fleet(&plan("0", "0")).await?;
        let caller = held.fleet.caller("staatsbos");
        let mut heard = StreamOutput::default();
        let entry = held.fleet.nodes["node-0"].callers;
        held.fleet.process("node-0")?.signal(Signal::SIGTERM)?;
        caller.read_stream(entry, "permit-draft", "a len=400", &mut heard, None).await?;
        assert!(!heard.done, "{heard:?}");
        let moved = heard.moved.take().expect("told where to go on");
        let next = moved["entries"][0].as_str().expect("an address").parse()?;
        assert_ne!(next, entry);
        caller.read_stream(next, "permit-draft", "a len=400", &mut heard, None).await?;
        assert!(heard.is_whole(), "{heard:?}");
        assert_eq!(heard.tokens.len(), 400);
        assert!(held.fleet.wait_for_exit("node-0").await?.success());
        Ok(())
    });
}

// A permit is being issued when its instance is stopped with no time to drain. The household would
// not know whether it has its plot.
#[rstest]
fn running_call_is_answered() {
    run(async {
        let mut held = fleet(&plan("0", "0")).await?;
        held.fleet.set_faults("service-0", &json!({ "after_ms": 3_000 })).await?;
        let caller = held.fleet.caller("staatsbos");
        let call = caller.operation(0, "issue-permit", Some("k"), "plot-1");
        let stop = async {
            let ran = |log: &Value| log.get("issue-permit/plot-1").is_some();
            until("the call runs", async || Ok(ran(&held.fleet.log("service-0").await?))).await?;
            held.fleet.stop_node("node-0").await
        };
        let (answered, stopped) = tokio::join!(call, stop);
        assert_eq!(answered?.0, StatusCode::OK);
        assert!(stopped?.success());
        assert_eq!(held.fleet.log("service-0").await?["issue-permit/plot-1"], 1);
        Ok(())
    });
}

// An instance leaves. Its peers stop naming it at once, whoever kept its address is served, on a
// connection that is not kept, and operators and probes still see it, until its streams are over.
#[rstest]
fn kept_entries_are_honoured() {
    run(async {
        let mut held = fleet(&plan("3000", "60000")).await?;
        let own = held.fleet.nodes["node-0"];
        let peer = held.fleet.nodes["node-1"].callers;
        let mut kept = Raw::connect(own.callers).await?;
        held.fleet.process("node-0")?.signal(Signal::SIGTERM)?;
        let address = own.callers.to_string();
        let named = async || {
            let (_, answer) = send(peer, Method::GET, "/v1/entries", &[], Vec::new()).await?;
            anyhow::Ok(String::from_utf8_lossy(&answer).contains(&address))
        };
        until("peers stop naming it", async || Ok(!named().await?)).await?;
        kept.write(b"GET /v1/entries HTTP/1.1\r\nhost: a\r\n\r\n").await?;
        let answer = kept.read_to_end().await?;
        assert!(answer.starts_with("HTTP/1.1 200 OK"), "{answer}");
        assert!(answer.contains("connection: close"), "{answer}");
        assert!(!answer.contains(&address), "{answer}");
        let caller = held.fleet.caller("staatsbos");
        let mut heard = StreamOutput::default();
        let prompt = "a len=300";
        caller.read_stream(own.callers, "permit-draft", prompt, &mut heard, Some(1)).await?;
        let listening = caller.read_stream(own.callers, "permit-draft", prompt, &mut heard, None);
        let watching = async {
            let refuses = async || Ok(Raw::connect(own.callers).await.is_err());
            until("it takes nothing new", refuses).await?;
            let (status, answer) = send(own.admin, Method::GET, "/ready", &[], Vec::new()).await?;
            let failure: Failure = serde_json::from_slice(&answer)?;
            anyhow::Ok((status, failure.code))
        };
        let (listened, watched) = tokio::join!(listening, watching);
        listened?;
        assert!(heard.is_whole(), "{heard:?}");
        assert_eq!(watched?, (StatusCode::SERVICE_UNAVAILABLE, Code::Leaving));
        assert!(held.fleet.wait_for_exit("node-0").await?.success());
        Ok(())
    });
}

// A supervisor sends SIGTERM to a process and to its group, so that it comes twice. The second one
// must not cut anybody off. Ctrl-C twice is an engineer who will not wait: streams are told at once.
#[rstest]
fn repeated_signals() {
    run(async {
        let mut held = fleet(&plan("1000", "60000")).await?;
        let caller = held.fleet.caller("staatsbos");
        let (mut first, mut second) = (StreamOutput::default(), StreamOutput::default());
        let entries = [held.fleet.nodes["node-0"].callers, held.fleet.nodes["node-1"].callers];
        let prompt = "a len=150";
        let streams = async {
            tokio::try_join!(
                caller.read_stream(entries[0], "permit-draft", prompt, &mut first, None),
                caller.read_stream(entries[1], "permit-draft", "a len=2000", &mut second, None),
            )
        };
        let signals = async {
            for name in ["node-0", "node-1"] {
                let streams = async || {
                    let text = held.fleet.metrics(name).await?;
                    Ok(text.contains("nutmeggrade_streams 1"))
                };
                until("its stream is open", streams).await?;
            }
            for _ in 0..2 {
                held.fleet.process("node-0")?.signal(Signal::SIGTERM)?;
                held.fleet.process("node-1")?.signal(Signal::SIGINT)?;
                tokio::time::sleep(std::time::Duration::from_millis(200)).await;
            }
            anyhow::Ok((
                held.fleet.wait_for_exit("node-0").await?,
                held.fleet.wait_for_exit("node-1").await?,
            ))
        };
        let (streamed, ended) = tokio::join!(streams, signals);
        streamed?;
        let ended = ended?;
        assert!(ended.0.success() && ended.1.success(), "{ended:?}");
        assert!(first.is_whole(), "{first:?}");
        assert!(second.moved.is_some() && second.in_order(), "{second:?}");
        Ok(())
    });
}
