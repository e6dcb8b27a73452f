//! Clients, operators and peers that violate the protocol.

use http::{Method, StatusCode};
use nutmeggrade_core::prelude::*;
use nutmeggrade_fakes::crowd::{open_descriptors, peak_memory};
use nutmeggrade_fakes::fleet::{Fleet, NodeAddresses, Plan};
use nutmeggrade_fakes::http::send;
use rstest::rstest;

use super::raw::RawConnection;
use crate::support::{fleet, run, until};

const NODE: &str = "node-0";
const ENTRIES: &[u8] = b"GET /v1/entries HTTP/1.1\r\nhost: a\r\n\r\n";
/// Memory limit in kB: far below what an instance would use without limits, and far above what it
/// needs.
const MEMORY_LIMIT_KB: u64 = 160 << 10;

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

/// Checks that the instance still serves and that its memory stays within the limit.
async fn ensure_healthy(fleet: &mut Fleet) -> anyhow::Result<()> {
    let received = fleet.caller("staatsbos").stream(0, "permit-draft", "a len=3").await?;
    anyhow::ensure!(received.is_whole(), "{received:?}");
    let (status, _) = send(node(fleet).admin, Method::GET, "/live", &[], Vec::new()).await?;
    anyhow::ensure!(status == StatusCode::OK, "admin: {status}");
    let used = peak_memory(fleet.process(NODE)?.id())? >> 10;
    anyhow::ensure!(used < MEMORY_LIMIT_KB, "{used} kB");
    Ok(())
}

async fn until_closed(fleet: &Fleet, sent: &[&[u8]]) -> anyhow::Result<String> {
    let mut raw = RawConnection::connect(node(fleet).callers).await?;
    for part in sent {
        raw.write(part).await?;
    }
    raw.read_to_end().await
}

// Clients connect and send nothing, an incomplete head or an incomplete body, or keep an unused
// connection open. Without timeouts these would occupy all connections.
#[rstest]
fn idle_connections_are_closed() {
    run(async {
        let mut guard = fleet(&plan("400")).await?;
        let fleet = &mut guard.fleet;
        assert_eq!(until_closed(fleet, &[]).await?, "");
        let head = b"POST /v1/completions HTTP/1.1\r\nhost: a\r\n";
        until_closed(fleet, &[head]).await?;
        assert!(until_closed(fleet, &[ENTRIES]).await?.starts_with("HTTP/1.1 200"));
        let body = b"nutmeggrade-workspace: a\r\ncontent-length: 100\r\n\r\n{";
        let answer = until_closed(fleet, &[head, body]).await?;
        assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
        assert!(answer.contains("\"code\":1015"), "{answer}");
        ensure_healthy(fleet).await
    });
}

// More clients connect than an instance accepts. The next one is refused at once and can use
// another instance; in the listen queue it would wait until its deadline.
#[rstest]
fn connections_beyond_the_limit_are_refused() {
    run(async {
        let plan = Plan::default().with_nodes(1).with_engines(1).with_services(0);
        let guard = fleet(&plan.with_flag("connections", "4")).await?;
        let entry = node(&guard.fleet).callers;
        let ask = || send(entry, Method::GET, "/v1/entries", &[], Vec::new());
        until("the connections of the start are closed", async || Ok(ask().await?.0.is_success()))
            .await?;
        let mut open = Vec::new();
        let is_full = async || {
            open.push(RawConnection::connect(entry).await?);
            Ok(!ask().await?.0.is_success())
        };
        until("the connection limit is reached", is_full).await?;
        let (status, answer) = ask().await?;
        let failure: Failure = serde_json::from_slice(&answer)?;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!((failure.code, failure.run), (Code::TooManyConnections, RunStatus::NotRun));
        drop(open);
        until("connections are accepted again", async || Ok(ask().await?.0.is_success())).await
    });
}

// A client sends requests and never reads the answers. The answers must not accumulate, and the
// connection must be closed although the timeouts of answers are not checked while nothing can be
// written.
#[rstest]
fn slow_reader_is_cut() {
    run(async {
        let mut guard = fleet(&plan("400")).await?;
        let mut raw = RawConnection::connect(node(&guard.fleet).callers).await?;
        let requests = ENTRIES.repeat(64);
        let is_closed = async || Ok(raw.write(&requests).await.is_err());
        until("the connection is closed", is_closed).await?;
        ensure_healthy(&mut guard.fleet).await
    });
}

// Scanners, broken clients and attackers send large amounts of invalid data to the ports for
// clients, operators and peers. An instance that stopped or buffered the data would fail its
// clients.
#[rstest]
fn noise_on_every_port_does_no_harm() {
    run(async {
        let mut guard = fleet(&plan("400")).await?;
        let to = node(&guard.fleet);
        let long_head = [b"GET /".as_slice(), &vec![b'a'; 4 << 20]].concat();
        let many_headers =
            [b"GET / HTTP/1.1\r\n".as_slice(), &b"a: b\r\n".repeat(100_000)].concat();
        let tls = b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03".repeat(1_000);
        let zeros = vec![0; 1 << 20];
        // An nng subscriber that announces a message of one terabyte and sends 64 MiB of it.
        let subscriber = b"\0SP\0\0\x21\0\0".to_vec();
        let huge_message =
            [&subscriber, [0, 0, 1, 0, 0, 0, 0, 0].as_slice(), &vec![7; 64 << 20]].concat();
        let large_message =
            [&subscriber, [0, 0, 0, 0, 12, 0, 0, 0].as_slice(), &vec![7; 192 << 20]].concat();
        for address in [to.callers, to.admin, to.peers] {
            for data in [&long_head, &many_headers, &tls, &zeros, &huge_message, &large_message] {
                for _ in 0..3 {
                    let mut raw = RawConnection::connect(address).await?;
                    // The instance may close the connection before everything is written.
                    drop(raw.write(data).await);
                }
            }
        }
        ensure_healthy(&mut guard.fleet).await
    });
}

// Many clients at once send a large body without its end.
#[rstest]
fn unfinished_bodies_do_not_pile_up() {
    run(async {
        let mut guard = fleet(&plan("3000")).await?;
        let to = node(&guard.fleet).callers;
        let head = "POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 1048576\r\n\r\n";
        let part = [head.as_bytes(), &vec![b' '; 1_000_000]].concat();
        let send = async || -> anyhow::Result<()> {
            let mut raw = RawConnection::connect(to).await?;
            drop(raw.write(&part).await);
            drop(raw.read_to_end().await?);
            Ok(())
        };
        futures::future::try_join_all((0..300).map(|_| send())).await?;
        ensure_healthy(&mut guard.fleet).await
    });
}

// An untrusted client subscribes to the heartbeats of an instance again and again. Each
// subscription uses a file descriptor, and when none is left no client can connect.
#[rstest]
fn subscribers_are_bounded() {
    run(async {
        let mut guard = fleet(&plan("400")).await?;
        let mut kept = Vec::new();
        for _ in 0..600 {
            let mut raw = RawConnection::connect(node(&guard.fleet).peers).await?;
            raw.write(b"\0SP\0\0\x21\0\0").await?;
            kept.push(raw);
        }
        let id = guard.fleet.process(NODE)?.id();
        let open = async || Ok(open_descriptors(id)? < 400);
        until("those beyond the limit are closed", open).await?;
        ensure_healthy(&mut guard.fleet).await
    });
}

// An instance starts with another peer key, by mistake or as an attack, and registers in the
// platform. It is not listed for clients, and its messages are dropped and counted.
#[rstest]
fn wrong_peer_key_is_ignored() {
    run(async {
        let mut guard = fleet(&Plan::default().with_nodes(2).with_engines(1)).await?;
        guard.fleet.start_node_with_key(7, "another-key-that-no-other-instance-has")?;
        let dropped = async || {
            let text = guard.fleet.metrics(NODE).await?;
            Ok(text.contains("nutmeggrade_peer_messages_dropped_total{"))
        };
        until("messages of the other instance are dropped", dropped).await?;
        let entries = guard.fleet.caller("staatsbos").fetch_entries(0).await?;
        let other_instance = guard.fleet.nodes["node-7"].callers;
        assert_eq!(entries.len(), 2);
        assert!(!entries.contains(&other_instance), "{entries:?}");
        Ok(())
    });
}
