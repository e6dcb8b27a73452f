//! Another program writes an entry that can't be read among those of the servers, and all processes
//! of the system are killed and started again.

use std::thread;
use std::time::Duration;

use crate::client::{Call, Reply, ask};
use crate::desk::Desk;
use crate::fleet::Fleet;
use crate::record::Record;
use crate::store::Store;

const HOST: &str = "desk.example";
/// `recovery_s` of the deployment.
const RECOVERY: Duration = Duration::from_secs(12);
/// Time between the kill of all processes and their start.
const DOWN: Duration = Duration::from_secs(1);
/// Interval between requests.
const INTERVAL: Duration = Duration::from_millis(150);
/// Requests before the fault, and after the time to recover.
const REQUESTS: usize = 40;

/// The foreign entry: JSON by its grammar, with a string that is no text in any encoding.
const FOREIGN_ENTRY: &str = r#"{"service":"\ud800","address":"127.0.0.1:9","state":"ready"}"#;

/// Runs the case; returns whether the rule held.
pub fn run(is_troubled: bool) -> Result<bool, String> {
    let record = Record::create()?;
    let store = Store::start()?;
    store.put("config", "main", &config());
    for id in ["i-7f3a91c2", "i-02d9e6b4"] {
        Desk::start(id, &store, &record)?;
    }
    let mut fleet = Fleet::start(3, store.address)?;
    let before = ask_all(&fleet, &record, "before");
    if before < REQUESTS {
        return Err(format!("only {before} of {REQUESTS} served before the fault"));
    }
    if is_troubled {
        store.put("servers", "i-foreign", FOREIGN_ENTRY);
        record.line("store acknowledged the foreign entry i-foreign");
    }
    thread::sleep(Duration::from_secs(1));
    for index in 0..fleet.len() {
        fleet.kill(index);
    }
    record.line("all processes are killed");
    thread::sleep(DOWN);
    for index in 0..fleet.len() {
        fleet.spawn(index)?;
    }
    record.line("all processes are started");
    thread::sleep(RECOVERY + Duration::from_secs(1));
    let ready = (0..fleet.len()).filter(|index| fleet.is_ready(*index)).count();
    let after = ask_all(&fleet, &record, "after");
    record.say(&format!(
        "sent later than {} s after the machines were back: {after} of {REQUESTS} served, {ready} of {} \
         machines ready; before the fault {before} of {REQUESTS} served",
        RECOVERY.as_secs(),
        fleet.len()
    ));
    let holds = after * 4 >= REQUESTS;
    record.say(if holds { "the rule held" } else { "the rule was broken" });
    Ok(holds)
}

/// Sends the requests one after the other, to all instances in turn; returns how many were served.
fn ask_all(fleet: &Fleet, record: &Record, name: &str) -> usize {
    let send = |number: usize| -> Reply {
        let id = format!("{name}-{number}");
        let call = Call {
            method: "GET",
            path: "/read/permit",
            host: HOST,
            id: &id,
            key: None,
            headers: "",
            timeout: Duration::from_secs(3),
            body: "",
        };
        record.line(&format!("client sends {id}"));
        let reply = ask(fleet.front(number % fleet.len()), &call);
        record.line(&format!("client got {} for {id}", reply.status_text()));
        thread::sleep(INTERVAL);
        reply
    };
    (0..REQUESTS).map(send).filter(Reply::is_served).count()
}

fn config() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r-read\",\"host\":\"{HOST}\",\
         \"path_prefix\":\"/read/\",\"route_kind\":\"idempotent\",\"timeout_ms\":3000,\
         \"target_latency_ms\":300,\"priority\":2,\"service\":\"desk\",\"max_attempts\":2,\
         \"public\":false,\"sticky\":false,\"resumable\":false}}],\
         \"services\":[{{\"name\":\"desk\",\"health_path\":\"/health\",\"connection_limit\":100,\
         \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}
