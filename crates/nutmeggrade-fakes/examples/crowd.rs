//! Lets a crowd of clients connect to an instance that serves routes: `crowd [--clients N] [--body BYTES]
//! [--pieces BYTES | --chunks BYTES] [--whole] [--hang] [--memory MB] [--descriptors N] [--rounds N]`.
//!
//! Prints, for each round, the most memory and the descriptors of the instance while the crowd stays
//! connected, whether an ordinary request is answered, and what is left after the crowd has gone.

use std::time::Duration;

use anyhow::Context;
use getopts::{Matches, Options};
use nutmeggrade_fakes::crowd::{
    Crowd, CrowdRequest, Framing, Listener, RelayHost, open_descriptors, peak_memory,
};
use nutmeggrade_fakes::site::{Behaviour, Endpoint, RawClient, RoutingPlan};
use tokio::time::{Instant, sleep};

/// Time within which an ordinary request has to be answered.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
const ENDPOINTS: usize = 20;

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let mut options = Options::new();
    options.optopt("", "clients", "clients of the crowd, 100 by default", "N");
    options.optopt("", "body", "size of a body, 1000000 by default", "BYTES");
    options.optopt("", "pieces", "bytes of a write", "BYTES");
    options.optopt("", "chunks", "bytes of a chunk", "BYTES");
    options.optflag("", "whole", "clients complete their bodies");
    options.optflag("", "hang", "endpoints never answer the crowd");
    options.optopt("", "memory", "memory of the instance, 110 by default", "MB");
    options.optopt("", "descriptors", "descriptors of the instance, 4100 by default", "N");
    options.optopt("", "rounds", "crowds, one after the other, 1 by default", "N");
    let args: Vec<String> = std::env::args().skip(1).collect();
    let matches = options.parse(&args).with_context(|| options.usage("usage: crowd [options]"))?;
    let body = matches.opt_get_default("body", 1_000_000_usize)?;
    let clients = matches.opt_get_default("clients", 100_usize)?;
    let flags = [
        format!("--memory={}", matches.opt_get_default("memory", 110_u64)?),
        format!("--descriptors={}", matches.opt_get_default("descriptors", 4_100_u64)?),
    ];
    let plan = RoutingPlan { body_bytes: body as u64, ..RoutingPlan::default() };
    let mut host = RelayHost::start(&plan, &flags.each_ref().map(String::as_str)).await?;
    let mut endpoints = Vec::new();
    for n in 0..ENDPOINTS {
        endpoints.push(host.add_endpoint("desk", &format!("e-{n}"), Behaviour::Answer).await?);
    }
    let request = request(&matches, body)?;
    for round in 1..=matches.opt_get_default("rounds", 1_u32)? {
        let behaviour =
            if matches.opt_present("hang") { Behaviour::Hang } else { Behaviour::Answer };
        set_all(&endpoints, behaviour);
        let crowd = Crowd::send(host.address(Listener::Client), clients, &request).await;
        set_all(&endpoints, Behaviour::Answer);
        let answered = is_answered(&host).await;
        anyhow::ensure!(host.is_running()?, "the process has ended");
        println!(
            "round {round}: {} connected, {} MB at most, {} descriptors, {} held, answered: {answered}",
            crowd.len(),
            peak_memory(host.process_id())? >> 20,
            open_descriptors(host.process_id())?,
            host.metric("client_memory_bytes").await?,
        );
        drop(crowd);
        sleep(Duration::from_secs(3)).await;
        println!(
            "  afterwards: {} descriptors, {} held",
            open_descriptors(host.process_id())?,
            host.metric("client_memory_bytes").await?,
        );
    }
    Ok(())
}

fn request(matches: &Matches, body: usize) -> anyhow::Result<CrowdRequest> {
    let framing = if let Some(bytes) = matches.opt_get("chunks")? {
        Framing::Chunks(bytes)
    } else {
        matches.opt_get("pieces")?.map_or(Framing::Whole, Framing::Pieces)
    };
    let request = CrowdRequest::new(
        "POST /read/x HTTP/1.1\r\nHost: desk.example\r\nX-Nutmeggrade-Attempt-Id: crowd-{n}\r\n\
         X-Api-Key: key-1\r\nX-Nutmeggrade-Deadline-Ms: 20000\r\n",
    );
    let request = request.with_body(framing, body);
    Ok(if matches.opt_present("whole") { request } else { request.without_end() })
}

fn set_all(endpoints: &[Endpoint], behaviour: Behaviour) {
    for endpoint in endpoints {
        endpoint.set(behaviour);
    }
}

/// Returns whether an ordinary request is answered, as often as it is refused before.
async fn is_answered(host: &RelayHost) -> bool {
    let start = Instant::now();
    while start.elapsed() < ANSWER_TIMEOUT {
        let client = host.address(Listener::Client);
        let answer = RawClient::ask(client, "read", "ordinary", "").await;
        if answer.is_ok_and(|a| a.status == 200) {
            return true;
        }
        sleep(RETRY_INTERVAL).await;
    }
    false
}
