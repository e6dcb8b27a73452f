//! What strangers can make an instance hold.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;

use anyhow::Context;
use nutmeggrade_fakes::fleet::{Process, log_folder, program_folder};
use nutmeggrade_fakes::site::{RoutingPlan, Store};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::site::metric;
use crate::support::{run, until};

/// Memory that the instance may use, as on the smallest machines.
const MEMORY_MB: u64 = 88;
const DESCRIPTORS: u32 = 8_192;
/// More connections than it may take with that memory.
const STRANGERS: usize = 2_500;
/// Most of those that it takes: half of its memory by 24 KB each.
const TAKEN: u64 = 1_877;
/// Bytes of a head that never ends.
const HALF_A_HEAD: usize = 7 << 10;

/// Starts an instance as a process of its own before a store whose configuration lets heads take long.
async fn start(store: &Store) -> anyhow::Result<(Process, BTreeMap<String, SocketAddr>)> {
    let mut plan = RoutingPlan::default().content();
    plan["limits"]["header_timeout_ms"] = 60_000.into();
    store.put("config", "main", plan);
    let store_listener = store.open_listener().await?;
    let mut settings = format!(
        "NUTMEGGRADE_INSTANCE=i-1\nNUTMEGGRADE_DOMAIN=veluwe\nNUTMEGGRADE_PLATFORM={}\n\
         NUTMEGGRADE_MEMORY={MEMORY_MB}\nNUTMEGGRADE_DESCRIPTORS={DESCRIPTORS}\n",
        store_listener.address
    );
    for listener in ["CLIENT", "READY", "DIRECTORY", "CONTROL", "BEACON", "METRICS"] {
        writeln!(settings, "NUTMEGGRADE_{listener}_ADDRESS=127.0.0.1:0")?;
    }
    let (file, log) = (log_folder()?.join("memory.env"), log_folder()?.join("memory.log"));
    std::fs::write(&file, settings)?;
    let program = program_folder()?.join("nutmeggrade");
    let path = file.to_string_lossy().into_owned();
    let variables = [("NUTMEGGRADE_BOOT", path.as_str())];
    let process =
        Process::start_logged("memory", &program, &["relay".to_owned()], &variables, &log)?;
    let started = async || Ok(std::fs::read_to_string(&log)?.contains("event=config "));
    until("started", started).await?;
    let text = std::fs::read_to_string(&log)?;
    let line = text.lines().find(|l| l.contains("event=started")).context("no start")?;
    let fields = line.split(' ').filter_map(|f| f.split_once('='));
    let addresses = fields.filter_map(|(k, v)| Some((k.to_owned(), v.parse().ok()?)));
    Ok((process, addresses.collect()))
}

fn resident_mb(process: &Process) -> anyhow::Result<u64> {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.id()))?;
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).context("no VmRSS")?;
    let kb: u64 = line.split_whitespace().nth(1).context("no figure")?.parse()?;
    Ok(kb >> 10)
}

// Strangers open thousands of connections, send most of a head on each and go on no further. An instance
// that took them all would be ended for its memory, and every answer under way with it. It takes as many as
// it can hold and stays within its memory.
#[test]
fn thousands_of_half_heads_stay_within_memory() {
    run(async {
        let store = Store::new();
        let (process, addresses) = start(&store).await?;
        let before = resident_mb(&process)?;
        let head = format!("GET /once/x HTTP/1.1\r\nX-Long: {}", "x".repeat(HALF_A_HEAD));
        let mut strangers = Vec::new();
        for _ in 0..STRANGERS {
            let mut stream = TcpStream::connect(addresses["clients"]).await?;
            // One that is turned away is closed under the write.
            drop(stream.write_all(head.as_bytes()).await);
            strangers.push(stream);
        }
        let full = async || Ok(metric(addresses["metrics"], "connections").await? >= TAKEN);
        until("all that it may take", full).await?;
        let after = resident_mb(&process)?;
        assert!(after < MEMORY_MB, "{before} MB before, {after} MB with {TAKEN} half heads");
        Ok(())
    });
}
