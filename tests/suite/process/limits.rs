//! Callers, operators and peers that don't keep to the protocol.

use http::{Method, StatusCode};
use nutmeggrade_core::prelude::*;
use nutmeggrade_fakes::fleet::{Fleet, NodeAddresses, Plan};
use nutmeggrade_fakes::http::send;
use rstest::rstest;

use super::raw::Raw;
use crate::support::{fleet, run, until};

const NODE: &str = "node-0";
const ENTRIES: &[u8] = b"GET /v1/entries HTTP/1.1\r\nhost: a\r\n\r\n";
/// Far below what an instance would take without limits, far above what it needs.
const MEMORY_KB: u64 = 160 << 10;

fn plan(header_wait_ms: &str) -> Plan {
    Plan::default()
        .with_nodes(1)
        .with_engines(1)
        .with_services(0)
        .with_flag("header-wait", header_wait_ms)
        .with_flag("write-wait", "400")
}

fn node(fleet: &Fleet) -> NodeAddresses {
    fleet.nodes[NODE]
}

fn memory_kb(fleet: &mut Fleet) -> anyhow::Result<u64> {
    let id = fleet.process(NODE)?.id();
    let text = std::fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = text.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    let number = line.and_then(|l| l.split_whitespace().next()).unwrap_or("");
    Ok(number.parse()?)
}

/// The instance still answers, and did not pile up what it was sent.
async fn is_well(fleet: &mut Fleet) -> anyhow::Result<()> {
    let heard = fleet.caller("staatsbos").stream(0, "permit-draft", "a len=3").await?;
    anyhow::ensure!(heard.is_whole(), "{heard:?}");
    let (status, _) = send(node(fleet).admin, Method::GET, "/live", &[], Vec::new()).await?;
    anyhow::ensure!(status == StatusCode::OK, "admin: {status}");
    let used = memory_kb(fleet)?;
    anyhow::ensure!(used < MEMORY_KB, "{used} kB");
    Ok(())
}

async fn ends(fleet: &Fleet, sent: &[&[u8]]) -> anyhow::Result<String> {
    let mut raw = Raw::connect(node(fleet).callers).await?;
    for part in sent {
        raw.write(part).await?;
    }
    raw.read_to_end().await
}

// Clients connect and send nothing, half a head, or half a body, or keep a connection that they
// never use again. Each would hold its connection for ever, until nobody else gets one.
#[rstest]
fn idle_connections_are_closed() {
    run(async {
        let mut held = fleet(&plan("400")).await?;
        let fleet = &mut held.fleet;
        assert_eq!(ends(fleet, &[]).await?, "");
        let head = b"POST /v1/completions HTTP/1.1\r\nhost: a\r\n";
        ends(fleet, &[head]).await?;
        assert!(ends(fleet, &[ENTRIES]).await?.starts_with("HTTP/1.1 200"));
        let body = b"nutmeggrade-workspace: a\r\ncontent-length: 100\r\n\r\n{";
        let answer = ends(fleet, &[head, body]).await?;
        assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
        assert!(answer.contains("\"code\":1015"), "{answer}");
        is_well(fleet).await
    });
}

// More clients connect than an instance takes. The next one is told so at once and asks elsewhere;
// in the listen queue it would wait for its whole deadline.
#[rstest]
fn connections_beyond_the_limit_are_refused() {
    run(async {
        let plan = Plan::default().with_nodes(1).with_engines(1).with_services(0);
        let held = fleet(&plan.with_flag("connections", "4")).await?;
        let entry = node(&held.fleet).callers;
        let ask = || send(entry, Method::GET, "/v1/entries", &[], Vec::new());
        until("no connection is left of the start", async || Ok(ask().await?.0.is_success()))
            .await?;
        let mut open = Vec::new();
        let full = async || {
            open.push(Raw::connect(entry).await?);
            Ok(!ask().await?.0.is_success())
        };
        until("it is full", full).await?;
        let (status, answer) = ask().await?;
        let failure: Failure = serde_json::from_slice(&answer)?;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!((failure.code, failure.run), (Code::TooManyConnections, RunStatus::NotRun));
        drop(open);
        until("there is room again", async || Ok(ask().await?.0.is_success())).await
    });
}

// A client asks and asks and never reads an answer. What it was sent must not pile up, and its
// connection must end though no deadline of an answer is looked at while nothing can be written.
#[rstest]
fn slow_reader_is_cut() {
    run(async {
        let mut held = fleet(&plan("400")).await?;
        let mut raw = Raw::connect(node(&held.fleet).callers).await?;
        let asked = ENTRIES.repeat(64);
        let cut = async || Ok(raw.write(&asked).await.is_err());
        until("it is cut", cut).await?;
        is_well(&mut held.fleet).await
    });
}

// Scanners and broken clients send noise, and hostile ones send much of it: to callers, to
// operators, to peers. An instance that stopped or piled it up would take its callers with it.
#[rstest]
fn noise_on_every_port_does_no_harm() {
    run(async {
        let mut held = fleet(&plan("400")).await?;
        let to = node(&held.fleet);
        let long_head = [b"GET /".as_slice(), &vec![b'a'; 4 << 20]].concat();
        let many_headers =
            [b"GET / HTTP/1.1\r\n".as_slice(), &b"a: b\r\n".repeat(100_000)].concat();
        let tls = b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03".repeat(1_000);
        let zeros = vec![0; 1 << 20];
        // A subscriber of nng that announces a message of a terabyte and sends 64 megabytes of it.
        let subscriber = b"\0SP\0\0\x21\0\0".to_vec();
        let huge = [&subscriber, [0, 0, 1, 0, 0, 0, 0, 0].as_slice(), &vec![7; 64 << 20]].concat();
        let large =
            [&subscriber, [0, 0, 0, 0, 12, 0, 0, 0].as_slice(), &vec![7; 192 << 20]].concat();
        for address in [to.callers, to.admin, to.peers] {
            for noise in [&long_head, &many_headers, &tls, &zeros, &huge, &large] {
                for _ in 0..3 {
                    let mut raw = Raw::connect(address).await?;
                    // The instance may close long before everything is written.
                    drop(raw.write(noise).await);
                }
            }
        }
        is_well(&mut held.fleet).await
    });
}

// Many clients send all but the end of a large body at once.
#[rstest]
fn unfinished_bodies_do_not_pile_up() {
    run(async {
        let mut held = fleet(&plan("3000")).await?;
        let to = node(&held.fleet).callers;
        let head = "POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 1048576\r\n\r\n";
        let part = [head.as_bytes(), &vec![b' '; 1_000_000]].concat();
        let send = async || -> anyhow::Result<()> {
            let mut raw = Raw::connect(to).await?;
            drop(raw.write(&part).await);
            drop(raw.read_to_end().await?);
            Ok(())
        };
        futures::future::try_join_all((0..300).map(|_| send())).await?;
        is_well(&mut held.fleet).await
    });
}

// A stranger subscribes to an instance's heartbeats thousands of times. Each subscription costs a
// descriptor, and without one left no caller could connect.
#[rstest]
fn subscribers_are_bounded() {
    run(async {
        let mut held = fleet(&plan("400")).await?;
        let mut kept = Vec::new();
        for _ in 0..600 {
            let mut raw = Raw::connect(node(&held.fleet).peers).await?;
            raw.write(b"\0SP\0\0\x21\0\0").await?;
            kept.push(raw);
        }
        let id = held.fleet.process(NODE)?.id();
        let open = async || Ok(std::fs::read_dir(format!("/proc/{id}/fd"))?.count() < 400);
        until("those beyond the limit are closed", open).await?;
        is_well(&mut held.fleet).await
    });
}

// An instance comes up with another key, by mistake or by malice, and registers in the platform. No
// word of it counts: it is not among the entries, and its messages are dropped and counted.
#[rstest]
fn wrong_peer_key_is_ignored() {
    run(async {
        let mut held = fleet(&Plan::default().with_nodes(2).with_engines(1)).await?;
        held.fleet.start_node_with_key(7, "another-key-that-no-other-instance-has")?;
        let dropped = async || {
            let text = held.fleet.metrics(NODE).await?;
            Ok(text.contains("nutmeggrade_peer_messages_dropped_total{"))
        };
        until("its messages are dropped", dropped).await?;
        let entries = held.fleet.caller("staatsbos").ask_entries(0).await?;
        let stranger = held.fleet.nodes["node-7"].callers;
        assert_eq!(entries.len(), 2);
        assert!(!entries.contains(&stranger), "{entries:?}");
        Ok(())
    });
}
