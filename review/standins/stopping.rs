//! An instance is stopped as planned, and in its grace period takes requests with long prompts.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use crate::client::{Call, Reply, ask};
use crate::engine::{EVENT_TOKENS, Engine};
use crate::fleet::Fleet;
use crate::record::Record;
use crate::store::Store;

const HOST: &str = "writers.example";
/// `grace_s` of the deployment.
const GRACE: Duration = Duration::from_secs(8);
/// Streams before the stop, in turn on each of the three machines.
const BEFORE: usize = 36;
/// Interval between them.
const INTERVAL: Duration = Duration::from_millis(250);
/// Prompt of the streams before the stop, in tokens: 157 ms to read.
const SHORT_PROMPT: u64 = 2_200;
/// Prompt of the streams that are sent to the stopping instance, in tokens: 1,714 ms to read.
const LONG_PROMPT: u64 = 24_000;
/// Longest output, in tokens.
const OUTPUT: u64 = 8;
/// When the streams are sent to the stopping instance, after the SIGTERM. The rule excuses those that
/// are sent up to 3 s after it.
const SENT_AFTER: [Duration; 4] = [
    Duration::from_millis(5_950),
    Duration::from_millis(6_050),
    Duration::from_millis(6_150),
    Duration::from_millis(6_250),
];

/// Runs the case; returns whether the rule held.
pub fn run(is_troubled: bool) -> Result<bool, String> {
    let record = Record::create()?;
    let store = Store::start()?;
    store.put("config", "main", &config());
    let engines = ["i-7f3a91c2", "i-02d9e6b4", "i-aace57a9", "i-fc002de0"]
        .into_iter()
        .map(|id| Engine::start(id, &store, &record))
        .collect::<Result<Vec<_>, _>>()?;
    let mut fleet = Fleet::start(3, store.address)?;
    let start: Vec<_> = (0..BEFORE)
        .map(|number| {
            let (address, record) = (fleet.front(number % fleet.len()), record.clone());
            let id = format!("before-{number}");
            let worker = thread::spawn(move || stream(address, &id, SHORT_PROMPT, &record));
            thread::sleep(INTERVAL);
            worker
        })
        .collect();
    let before: Vec<Reply> =
        start.into_iter().map(|worker| worker.join().unwrap_or_default()).collect();
    if !before.iter().all(Reply::is_served) {
        return Err("the deployment doesn't serve before the stop".to_owned());
    }
    // The machines have run undisturbed for longer than `contact_ms` by now.
    if is_troubled {
        fleet.terminate(0);
        record.line("machine 1 gets SIGTERM");
    }
    let stopped_at = record.now();
    let workers: Vec<_> = SENT_AFTER
        .iter()
        .enumerate()
        .map(|(number, after)| {
            let (address, record) = (fleet.front(0), record.clone());
            let wait = (stopped_at + *after).saturating_sub(record.now());
            thread::spawn(move || {
                thread::sleep(wait);
                let id = format!("stopping-{number}");
                let reply = stream(address, &id, LONG_PROMPT, &record);
                (id, reply)
            })
        })
        .collect();
    if is_troubled {
        thread::sleep((stopped_at + GRACE).saturating_sub(record.now()));
        fleet.kill(0);
        record.line("the grace period of machine 1 is over");
    }
    let replies: Vec<_> = workers.into_iter().filter_map(|w| w.join().ok()).collect();
    let passed_on = |id: &str| engines.iter().any(|engine| engine.has_run(id));
    let lost = replies.iter().filter(|(id, reply)| passed_on(id) && !reply.is_whole).count();
    let served = replies.iter().filter(|(_, reply)| reply.is_served()).count();
    let refused = replies.iter().filter(|(_, reply)| reply.status == Some(503)).count();
    record.say(&format!(
        "of {} requests that the machine read later than 3 s after its SIGTERM: {served} served, \
         {refused} refused, {lost} passed on to a server and cut off",
        replies.len()
    ));
    if !is_troubled && served < replies.len() {
        return Err("the deployment doesn't serve without the stop".to_owned());
    }
    record.say(if lost == 0 { "the rule held" } else { "the rule was broken" });
    Ok(lost == 0)
}

fn stream(address: SocketAddr, id: &str, prompt: u64, record: &Record) -> Reply {
    let headers = format!(
        "X-Nutmeggrade-Model-Name: m\r\nX-Nutmeggrade-Token-Count: {prompt},{OUTPUT}\r\n\
         X-Nutmeggrade-Prompt-Prefix: 5c1e07a2:79,{:x}:{}\r\n",
        id.bytes().fold(17_u32, |hash, byte| hash.wrapping_mul(31).wrapping_add(u32::from(byte))),
        prompt - 79
    );
    let call = Call {
        method: "POST",
        path: "/draft/permit",
        host: HOST,
        id,
        key: None,
        headers: &headers,
        timeout: Duration::from_secs(39),
        body: "{}",
    };
    record.line(&format!("client sends {id}, prompt of {prompt} tokens"));
    let reply = ask(address, &call);
    let events = reply.body.windows(4).filter(|w| w == b"id: ").count() as u64;
    let end = if reply.is_whole { "whole" } else { "cut off" };
    let (status, all) = (reply.status_text(), OUTPUT / EVENT_TOKENS);
    record.line(&format!("client got {status} for {id}, {events} of {all} events, {end}"));
    reply
}

fn config() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r-draft\",\"host\":\"{HOST}\",\
         \"path_prefix\":\"/draft/\",\"route_kind\":\"streaming\",\"timeout_ms\":39000,\
         \"target_latency_ms\":1800,\"priority\":1,\"service\":\"writers\",\"max_attempts\":1,\
         \"public\":false,\"sticky\":true,\"resumable\":false,\"gap_aim_ms\":180}}],\
         \"services\":[{{\"name\":\"writers\",\"health_path\":\"/health\",\
         \"connection_limit\":222,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":1.0,\
         \"cold_per_s\":38.0,\"inference_engine\":{{\"slots\":24,\"kv_cache_tokens\":34206,\
         \"token_kv_bytes\":163840,\"link_mbps\":24000.0,\"migrations\":true,\"backups\":true,\
         \"stride\":4,\"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"cache_handle_s\":5.0,\
         \"model_list\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}
