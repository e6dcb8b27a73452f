//! The operator takes the last API key away.

use std::thread;
use std::time::Duration;

use crate::client::{Call, Reply, ask};
use crate::desk::Desk;
use crate::fleet::Fleet;
use crate::record::Record;
use crate::store::Store;

const HOST: &str = "desk.example";
const KEY: &str = "xd9dnn2ctnfzs989anu6";
const UNKNOWN_KEY: &str = "neverissued0000000000";
/// `config_apply_ms` of the deployment.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// Interval between requests.
const INTERVAL: Duration = Duration::from_millis(100);

/// Runs the case; returns whether the rule held.
pub fn run(is_troubled: bool) -> Result<bool, String> {
    let record = Record::create()?;
    let store = Store::start()?;
    store.put("config", "main", &config(1, &[KEY]));
    let desks =
        [Desk::start("i-7f3a91c2", &store, &record)?, Desk::start("i-02d9e6b4", &store, &record)?];
    let fleet = Fleet::start(3, store.address)?;
    let ask_all = |name: &str, key: Option<&str>, count: usize| -> Vec<Reply> {
        let send = |number: usize| {
            let id = format!("{name}-{number}");
            let call = Call {
                method: "POST",
                path: "/once/permit",
                host: HOST,
                id: &id,
                key,
                headers: "",
                timeout: Duration::from_secs(3),
                body: "{}",
            };
            record.line(&format!("client sends {id} with key {}", key.unwrap_or("-")));
            let reply = ask(fleet.front(number % fleet.len()), &call);
            record.line(&format!("client got {} for {id}", reply.status_text()));
            thread::sleep(INTERVAL);
            reply
        };
        (0..count).map(send).collect()
    };
    let served = |replies: &[Reply]| replies.iter().filter(|r| r.is_served()).count();
    let before = ask_all("first", Some(KEY), 12);
    let unknown = ask_all("unknown", Some(UNKNOWN_KEY), 6);
    if served(&before) < 12 || unknown.iter().any(|reply| reply.status != Some(401)) {
        return Err("the deployment doesn't serve before the change".to_owned());
    }
    // With the disruption, the key is taken away; without it, the version changes nothing.
    let keys: &[&str] = if is_troubled { &[] } else { &[KEY] };
    store.put("config", "main", &config(2, keys));
    record
        .line(&format!("store acknowledged config version 2, keys of its tenant: {}", keys.len()));
    thread::sleep(CONFIG_APPLY + Duration::from_millis(500));
    let sent_from = record.now();
    let with_first = ask_all("later-first", Some(KEY), 12);
    ask_all("later-unknown", Some(UNKNOWN_KEY), 12);
    ask_all("later-none", None, 12);
    let runs: Vec<_> =
        desks.iter().flat_map(Desk::runs).filter(|run| run.at >= sent_from).collect();
    let ran = |name: &str| runs.iter().filter(|run| run.id.starts_with(name)).count();
    let (first, unknown, none) = (ran("later-first-"), ran("later-unknown-"), ran("later-none-"));
    record.say(&format!(
        "sent later than {} ms after the acknowledgement, of 12 each: {first} ran with the first key, \
         {unknown} with a key that no config ever held, {none} without a key",
        CONFIG_APPLY.as_millis()
    ));
    if !is_troubled && served(&with_first) < 12 {
        return Err("the deployment doesn't serve without the disruption".to_owned());
    }
    let first_is_revoked = is_troubled;
    let holds = unknown == 0 && none == 0 && (first == 0 || !first_is_revoked);
    record.say(if holds { "the rule held" } else { "the rule was broken" });
    Ok(holds)
}

/// Returns a config whose only tenant holds the keys.
fn config(version: u64, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-once\",\"host\":\"{HOST}\",\
         \"path_prefix\":\"/once/\",\"route_kind\":\"non_idempotent\",\"timeout_ms\":3000,\
         \"target_latency_ms\":300,\"priority\":2,\"service\":\"desk\",\"max_attempts\":1,\
         \"public\":false,\"sticky\":false,\"resumable\":false}}],\
         \"services\":[{{\"name\":\"desk\",\"health_path\":\"/health\",\"connection_limit\":100,\
         \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"huka270\",\"api_keys\":[{}],\"priority\":1}}]}}",
        keys.join(",")
    )
}
