//! Servers read slowly, while clients send bodies within the limits.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Call, Reply, ask};
use crate::desk::Desk;
use crate::fleet::Fleet;
use crate::record::Record;
use crate::store::Store;

const HOST: &str = "archive.example";
/// `memory_mb` of a machine.
const MEMORY_LIMIT: u64 = 110 << 20;
/// Interval between two looks at the memory of the processes.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);
/// Time between the end of a process and its start.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Length of a body, below the config's `max_body_bytes` of 4,194,304.
const BODY_BYTES: usize = 4_000_000;
/// Bytes that a slow server reads in a second: it has a whole body after 2.5 s, in time.
const SLOW_BYTES_PER_S: usize = 1_600_000;
/// Interval between two requests to a machine.
const INTERVAL: Duration = Duration::from_millis(66);
/// Time for which clients send.
const TRAFFIC: Duration = Duration::from_secs(30);
/// Ends of processes, on each of two machines, that the rule doesn't bear.
const MAX_ENDS: usize = 3;

/// Runs the case; returns whether the rule held.
pub fn run(is_troubled: bool) -> Result<bool, String> {
    let record = Record::create()?;
    let store = Store::start()?;
    store.put("config", "main", &config());
    let read_rate = is_troubled.then_some(SLOW_BYTES_PER_S);
    for number in 0..6 {
        Desk::start_reading(&format!("i-7f3a91c{number}"), read_rate, &store, &record)?;
    }
    let mut fleet = Fleet::start(2, store.address)?;
    let machines: Vec<SocketAddr> = (0..fleet.len()).map(|index| fleet.front(index)).collect();
    let senders: Vec<_> = machines
        .iter()
        .enumerate()
        .map(|(index, address)| {
            let (address, record) = (*address, record.clone());
            thread::spawn(move || send_all(address, index, &record))
        })
        .collect();
    let mut ends = vec![0; fleet.len()];
    let mut most = vec![0; fleet.len()];
    let mut restarts: Vec<Option<Instant>> = vec![None; fleet.len()];
    let start = Instant::now();
    while start.elapsed() < TRAFFIC {
        for index in 0..fleet.len() {
            if restarts[index].is_some_and(|at| Instant::now() >= at) {
                fleet.spawn(index)?;
                restarts[index] = None;
            }
            let Some(memory) = fleet.memory(index) else { continue };
            most[index] = memory.max(most[index]);
            if memory > MEMORY_LIMIT {
                fleet.kill(index);
                ends[index] += 1;
                restarts[index] = Some(Instant::now() + RESTART_DELAY);
                let megabytes = memory >> 20;
                record.line(&format!("machine {} has {megabytes} MB and is killed", index + 1));
            }
        }
        thread::sleep(LOOK_INTERVAL);
    }
    let replies: Vec<Reply> =
        senders.into_iter().flat_map(|sender| sender.join().unwrap_or_default()).collect();
    let served = replies.iter().filter(|reply| reply.is_served()).count();
    let lost = replies.iter().filter(|reply| reply.status.is_none()).count();
    let most: Vec<u64> = most.iter().map(|bytes| bytes >> 20).collect();
    record.say(&format!(
        "killed for memory over {} MB: {ends:?} times on the machines, most memory {most:?} MB; of {} \
         requests {served} served, {lost} without an answer",
        MEMORY_LIMIT >> 20,
        replies.len()
    ));
    let beyond = ends.iter().filter(|ends| **ends >= MAX_ENDS).count();
    let holds = beyond < 2;
    record.say(if holds { "the rule held" } else { "the rule was broken" });
    Ok(holds)
}

/// Sends requests to a machine at a steady rate, each on a connection of its own.
fn send_all(address: SocketAddr, machine: usize, record: &Record) -> Vec<Reply> {
    let start = Instant::now();
    let mut workers = Vec::new();
    for number in 0.. {
        let due = INTERVAL * number;
        if due > TRAFFIC {
            break;
        }
        thread::sleep(due.saturating_sub(start.elapsed()));
        let record = record.clone();
        workers.push(thread::spawn(move || {
            let id = format!("upload-{}-{number}", machine + 1);
            let body = "x".repeat(BODY_BYTES);
            let call = Call {
                method: "POST",
                path: "/upload/permit",
                host: HOST,
                id: &id,
                key: None,
                headers: "",
                timeout: Duration::from_secs(3),
                body: &body,
            };
            record.line(&format!("client sends {id}"));
            let reply = ask(address, &call);
            record.line(&format!("client got {} for {id}", reply.status_text()));
            reply
        }));
    }
    workers.into_iter().filter_map(|worker| worker.join().ok()).collect()
}

fn config() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r-upload\",\"host\":\"{HOST}\",\
         \"path_prefix\":\"/upload/\",\"route_kind\":\"non_idempotent\",\"timeout_ms\":3000,\
         \"target_latency_ms\":300,\"priority\":2,\"service\":\"desk\",\"max_attempts\":1,\
         \"public\":false,\"sticky\":false,\"resumable\":false}}],\
         \"services\":[{{\"name\":\"desk\",\"health_path\":\"/health\",\"connection_limit\":100,\
         \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}
