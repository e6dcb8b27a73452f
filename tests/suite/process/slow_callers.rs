//! Callers and engines that read slowly, at an instance with its own interface.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use nutmeggrade_core::prelude::*;
use nutmeggrade_fakes::fleet::{Deployment, Fleet, Plan};
use nutmeggrade_fakes::site::Behaviour;
use nutmeggrade_platform::newest_config;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{Instant, sleep, timeout};

use super::faulty_endpoints::{Setup, start_engine_with};
use crate::support::{fleet, run, until};

const ENTRIES: &[u8] = b"GET /v1/entries HTTP/1.1\r\nhost: a\r\n\r\n";
/// Number of requests whose responses are more than the kernel holds for a caller.
const REQUESTS: usize = 2_500;
/// What a slow caller reads at a time: 100,000 bytes a second.
const READ_BYTES: usize = 4_000;
const READ_INTERVAL: Duration = Duration::from_millis(40);
/// More than the kernel holds for an engine.
const LONG_PROMPT_BYTES: usize = 900_000;
/// Far longer than reading at this speed takes.
const READ_TIMEOUT: Duration = Duration::from_mins(1);

async fn connect(address: SocketAddr) -> anyhow::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(16 << 10)?;
    Ok(socket.connect(address).await?)
}

/// Sends many requests at once, reads the responses slowly but all the time, and checks that there is one for
/// each.
fn steady_caller_gets_all_responses(flag: &str) {
    run(async {
        let plan = Plan::default().with_nodes(1).with_engines(0).with_services(0);
        let guard = fleet(&plan.with_flag(flag, "400")).await?;
        let (mut reader, mut writer) =
            connect(guard.fleet.nodes["node-0"].callers).await?.into_split();
        let sending = tokio::spawn(async move {
            let sent = writer.write_all(&ENTRIES.repeat(REQUESTS)).await;
            sent.map(|()| writer)
        });
        let mut received = Vec::new();
        let count =
            |received: &[u8]| String::from_utf8_lossy(received).matches("HTTP/1.1 200").count();
        let reading = async {
            let mut part = [0; READ_BYTES];
            loop {
                let read = reader.read(&mut part).await.unwrap_or(0);
                received.extend_from_slice(&part[..read]);
                if read == 0 || (read < READ_BYTES && count(&received) == REQUESTS) {
                    return;
                }
                sleep(READ_INTERVAL).await;
            }
        };
        timeout(READ_TIMEOUT, reading).await?;
        assert_eq!(count(&received), REQUESTS);
        sending.await??;
        Ok(())
    });
}

// Guards against callers that read slowly and are taken for ones that read nothing (write-wait), or for idle
// ones while the rest of a response waits for them (header-wait).
cases! {steady_caller_gets_all_responses {
    within_the_write_timeout: "write-wait";
    within_the_idle_timeout: "header-wait";
}}

async fn request_stream(setup: &Setup, prompt_bytes: usize) -> anyhow::Result<TcpStream> {
    let body = json!({ "model": Deployment::PERMIT_DESK.model, "prompt": "a".repeat(prompt_bytes), "stream": true });
    let body = body.to_string();
    let mut stream = connect(setup.guard.fleet.nodes["node-0"].callers).await?;
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\nnutmeggrade-workspace: staatsbos\r\n\
         nutmeggrade-task: permit-draft\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(body.as_bytes()).await?;
    Ok(stream)
}

// Guards against a caller that pauses in reading and loses its stream, because its engine is taken for
// stalled.
#[test]
fn caller_that_pauses_keeps_its_stream() {
    run(async {
        let plan = Plan::default().with_flag("stall", "700");
        let setup = start_engine_with(plan, Behaviour::EndlessTokens(8 << 10)).await?;
        let mut stream = request_stream(&setup, 10).await?;
        let mut received = Vec::new();
        let mut part = vec![0; 64 << 10];
        for _ in 0..3 {
            let begun_at = Instant::now();
            while begun_at.elapsed() < Duration::from_secs(1) {
                let read = timeout(READ_TIMEOUT, stream.read(&mut part)).await??;
                anyhow::ensure!(read > 0, "closed");
                received.extend_from_slice(&part[..read]);
            }
            sleep(Duration::from_secs(2)).await;
        }
        let text = String::from_utf8_lossy(&received).into_owned();
        assert!(!text.contains("event:error") && !text.contains("event: error"));
        let resumes = setup.guard.fleet.counter("node-0", "nutmeggrade_resumes_total").await?;
        assert!(resumes < 1.0, "{resumes}");
        Ok(())
    });
}

/// Raises the context of the models far above the prompt.
async fn allow_long_prompts(fleet: &Fleet) -> anyhow::Result<()> {
    let mut config = newest_config(&fleet.client()).await?.config.context("no configuration")?;
    config.version += 1;
    config.id = ChangeId::new("c-context")?;
    for preset in config.presets.values_mut() {
        preset.models.values_mut().for_each(|model| model.context = 1_000_000);
    }
    fleet.push_config("node-0", &config).await?;
    until("the configuration is in force", async || {
        Ok(fleet.counter("node-0", "nutmeggrade_config_version").await? >= config.version as f64)
    })
    .await
}

// Guards against an engine that is given up as silent while it still reads a long prompt.
#[test]
fn engine_that_reads_slowly_is_not_given_up() {
    run(async {
        let plan = Plan::default().with_flag("stall", "1500");
        let setup = start_engine_with(plan, Behaviour::EndlessTokens(100)).await?;
        allow_long_prompts(&setup.guard.fleet).await?;
        setup.endpoint.read_late(Duration::from_secs(4));
        let mut stream = request_stream(&setup, LONG_PROMPT_BYTES).await?;
        let mut received = Vec::new();
        while !String::from_utf8_lossy(&received).contains("data:") {
            let read = timeout(READ_TIMEOUT, stream.read_buf(&mut received)).await??;
            anyhow::ensure!(read > 0, "closed: {}", String::from_utf8_lossy(&received));
        }
        let text = String::from_utf8_lossy(&received).into_owned();
        assert!(text.starts_with("HTTP/1.1 200"), "{text}");
        Ok(())
    });
}
