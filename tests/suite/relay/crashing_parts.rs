//! A part of prompts that crashes each engine which begins to answer a request that has it.

use std::net::SocketAddr;
use std::time::Duration;

use nutmeggrade_fakes::site::{Answer, Behaviour, Endpoint, Entry, RawClient};

use super::PROMPT_HEADERS;
use super::members::{Pair, start_pair, until_all_have};
use crate::support::run;

/// The part that crashes engines.
const CULPRIT: u64 = 0xbad;
/// Engines that run before the first crash.
const ENGINES: usize = 12;
/// Requests with the culprit, which come one after the other.
const CRASHING_REQUESTS: usize = 10;
/// Engines that may crash before the part is held.
const MAX_CRASHES: usize = 5;
const STREAM: Behaviour = Behaviour::Stream { events: 20, pause: Duration::from_millis(5) };

async fn start_engines(pair: &Pair, delay: Duration) -> anyhow::Result<Vec<Endpoint>> {
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let entry = |address| Entry::new("writers", address);
        let engine = pair.start_endpoint(&format!("e-{number}"), STREAM, entry).await?;
        engine.crash_on_part(CULPRIT, delay);
        engines.push(engine);
    }
    until_all_have([&pair.first, &pair.other], "endpoints", ENGINES as u64).await?;
    Ok(engines)
}

/// Sends a request whose prompt has a part that all share, this one and one of its own.
async fn ask(client: SocketAddr, route: &str, part: u64, number: usize) -> anyhow::Result<Answer> {
    let prefix =
        format!("X-Nutmeggrade-Prompt-Prefix: 5e:40,{part:x}:30,{:x}:30\r\n", 1_000 + number);
    let headers = format!("{PROMPT_HEADERS}{prefix}");
    RawClient::ask(client, route, &format!("a-{part:x}-{number}"), &headers).await
}

fn is_held(answer: &Answer) -> bool {
    answer.status == 503 && String::from_utf8_lossy(&answer.message.body).contains("crash_held")
}

fn crashed(engines: &[Endpoint]) -> usize {
    engines.iter().filter(|e| e.is_dead()).count()
}

/// Checks how many engines crash before requests with the culprit are refused at all instances, and
/// that requests without it are served.
fn part_is_held(route: &'static str, delay: Duration) {
    run(async {
        let pair = start_pair().await?;
        let clients = [pair.first.addresses().client, pair.other.addresses().client];
        let engines = start_engines(&pair, delay).await?;
        for number in 0..CRASHING_REQUESTS {
            let client = clients[number % 2];
            let neighbour = tokio::spawn(ask(client, route, 0x90, 100 + number));
            ask(client, route, CULPRIT, number).await?;
            assert!(!is_held(&neighbour.await??), "a neighbour is held");
        }
        let count = crashed(&engines);
        assert!(count <= MAX_CRASHES, "{count} engines crashed");
        for (number, client) in clients.into_iter().enumerate() {
            assert!(is_held(&ask(client, route, CULPRIT, 200 + number).await?));
            let sound = ask(client, route, 0x90, 300 + number).await?;
            assert_eq!((sound.status, sound.is_whole), (200, true));
        }
        assert_eq!(crashed(&engines), count);
        Ok(())
    });
}

// Guards against requests that share a part which crashes engines and nothing else: each of them is
// new, and takes further engines down.
cases! {part_is_held {
    drafts: "draft", Duration::from_millis(80);
    resumable: "sort", Duration::from_millis(80);
    late_crash: "draft", Duration::from_millis(700);
}}
