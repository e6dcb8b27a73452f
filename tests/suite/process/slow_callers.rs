//! Callers and engines that read slowly, at an instance with its own interface.

use std::net::SocketAddr;
use std::time::Duration;

use nutmeggrade_fakes::fleet::{Deployment, Plan};
use nutmeggrade_fakes::site::Behaviour;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{Instant, sleep, timeout};

use super::faulty_endpoints::{Setup, start_engine_with};
use crate::support::{fleet, run};

const ENTRIES: &[u8] = b"GET /v1/entries HTTP/1.1\r\nhost: a\r\n\r\n";
/// Number of requests whose responses are more than the kernel holds for a caller.
const REQUESTS: usize = 2_500;
/// What a slow caller reads at a time: 100,000 bytes a second.
const READ_BYTES: usize = 4_000;
const READ_INTERVAL: Duration = Duration::from_millis(40);
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
        assert_eq!(resumes, 0.0);
        Ok(())
    });
}
