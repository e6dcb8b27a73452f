//! Crowds at the addresses of an instance with its own interface.

use std::net::SocketAddr;

use nutmeggrade_fakes::crowd::{Crowd, CrowdRequest, Framing, open_descriptors, peak_memory};
use nutmeggrade_fakes::fleet::{Deployment, Fleet, NodeAddresses, Plan};
use rstest::rstest;
use serde_json::json;

use crate::run_alone;
use crate::support::until;

const NODE: &str = "node-0";
/// Memory of an instance by default, in MB.
const MEMORY_MB: u64 = 256;
/// Descriptors that an instance may use with the connections of the test's settings.
const DESCRIPTORS: usize = 1_000;
const CONNECTIONS: &str = "500";
/// Largest body, in bytes.
const BODY_BYTES: usize = 8 << 20;

async fn start() -> anyhow::Result<Fleet> {
    let plan = Plan::default().with_nodes(1).with_engines(1).with_services(0);
    let plan = plan.with_flag("connections", CONNECTIONS);
    Fleet::start(&plan.with_flag("body", &BODY_BYTES.to_string())).await
}

/// Checks that the instance lives within its limits and answers an ordinary request, though the crowd
/// stays connected.
async fn ensure_sound(fleet: &mut Fleet, crowd: &Crowd) -> anyhow::Result<()> {
    anyhow::ensure!(!crowd.is_empty(), "no client could connect");
    fleet.set_faults("engine-0", &json!({})).await?;
    let caller = fleet.caller("staatsbos");
    let answered = async || {
        let output = caller.stream(0, "permit-draft", "a len=3").await;
        Ok(output.is_ok_and(|o| o.is_whole()))
    };
    until("an ordinary request is answered", answered).await?;
    let process = fleet.process(NODE)?;
    anyhow::ensure!(process.exit_status()?.is_none(), "the process has ended");
    let memory = peak_memory(process.id())?;
    println!("at most {} MB of memory", memory >> 20);
    anyhow::ensure!(memory < MEMORY_MB << 20, "{} MB of memory, {MEMORY_MB} allowed", memory >> 20);
    let descriptors = open_descriptors(process.id())?;
    anyhow::ensure!(descriptors < DESCRIPTORS, "{descriptors} descriptors");
    Ok(())
}

fn head(path: &str) -> CrowdRequest {
    CrowdRequest::new(&format!(
        "POST {path} HTTP/1.1\r\nhost: a\r\nnutmeggrade-workspace: crowd-{{n}}\r\n\
         nutmeggrade-request: crowd-{{n}}\r\ncontent-type: application/json\r\n"
    ))
}

fn crowd_is_survived(
    address: fn(&NodeAddresses) -> SocketAddr,
    count: usize,
    request: &CrowdRequest,
) {
    run_alone(async {
        let mut fleet = start().await?;
        fleet.set_faults("engine-0", &json!({ "hang": true })).await?;
        let crowd = Crowd::send(address(&fleet.nodes[NODE]), count, request).await;
        ensure_sound(&mut fleet, &crowd).await
    });
}

// Many clients send bodies of legal size, complete or short of their end, in one write, in pieces or in
// chunks: the buffers of all together exhaust the memory.
cases!(crowd_is_survived {
    stalled_bodies_at_once:
        |n| n.callers, 80,
        &head("/v1/completions").with_body(Framing::Whole, BODY_BYTES).without_end();
    stalled_bodies_in_pieces:
        |n| n.callers, 80,
        &head("/v1/completions").with_body(Framing::Pieces(60 << 10), BODY_BYTES).without_end();
    stalled_large_chunks:
        |n| n.callers, 80,
        &head("/v1/completions").with_body(Framing::Chunks(64 << 10), BODY_BYTES).without_end();
    // A buffer per chunk costs many times the chunk.
    stalled_small_chunks:
        |n| n.callers, 80,
        &head("/v1/completions").with_body(Framing::Chunks(1), 1 << 20).without_end();
    chunked_bodies_over_the_limit:
        |n| n.callers, 80,
        &head("/v1/completions").with_body(Framing::Chunks(64 << 10), 2 * BODY_BYTES);
    announced_bodies_over_the_limit:
        |n| n.callers, 200,
        &head("/v1/completions").with_body(Framing::Whole, 2 * BODY_BYTES);
    // Strangers reach the address of operators and peers.
    stalled_small_chunks_at_the_admin_address:
        |n| n.admin, 60, &head("/peer/sync").with_body(Framing::Chunks(1), 512 << 10).without_end();
});

// Complete bodies of legal size wait for an engine that never answers.
#[rstest]
fn complete_bodies_without_answer() {
    run_alone(async {
        let mut fleet = start().await?;
        fleet.set_faults("engine-0", &json!({ "hang": true })).await?;
        let prompt = format!("{} len=3", "a".repeat(100 << 10));
        let model = Deployment::PERMIT_DESK.model;
        let mut body = json!({ "model": model, "prompt": prompt }).to_string();
        // The prompt may not exceed the model's context; blanks fill the body up to its limit.
        body.push_str(&" ".repeat(BODY_BYTES - body.len()));
        let request = head("/v1/completions").with_text(&body);
        let crowd = Crowd::send(fleet.nodes[NODE].callers, 80, &request).await;
        ensure_sound(&mut fleet, &crowd).await
    });
}
