//! Memory that untrusted clients can occupy in an instance.

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

/// Memory limit of the instance in MB, as on the smallest machines.
const MEMORY_MB: u64 = 88;
const DESCRIPTORS: u32 = 8_192;
/// More connections than the instance may accept with that memory.
const CONNECTIONS: usize = 2_500;
/// Limit of accepted connections: half of the memory at 24 KB each.
const CONNECTION_LIMIT: u64 = 1_877;
/// Bytes of a request head that is never completed.
const HEAD_BYTES: usize = 7 << 10;

/// Starts an instance as a separate process, with a configuration that allows a long time for
/// request heads.
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
    until("the instance has a configuration", started).await?;
    let text = std::fs::read_to_string(&log)?;
    let line = text.lines().find(|l| l.contains("event=started")).context("no started event")?;
    let fields = line.split(' ').filter_map(|f| f.split_once('='));
    let addresses = fields.filter_map(|(k, v)| Some((k.to_owned(), v.parse().ok()?)));
    Ok((process, addresses.collect()))
}

fn resident_mb(process: &Process) -> anyhow::Result<u64> {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.id()))?;
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).context("no VmRSS")?;
    let kb: u64 = line.split_whitespace().nth(1).context("no value of VmRSS")?.parse()?;
    Ok(kb >> 10)
}

// Untrusted clients open thousands of connections and send an incomplete request head on each. An
// instance that accepted them all would be killed for its memory use, and with it every answer in
// progress. It accepts as many connections as fit and stays within its memory.
#[test]
fn thousands_of_half_heads_stay_within_memory() {
    run(async {
        let store = Store::new();
        let (process, addresses) = start(&store).await?;
        let before = resident_mb(&process)?;
        let head = format!("GET /once/x HTTP/1.1\r\nX-Long: {}", "x".repeat(HEAD_BYTES));
        let mut connections = Vec::new();
        for _ in 0..CONNECTIONS {
            let mut stream = TcpStream::connect(addresses["clients"]).await?;
            // The instance closes refused connections during the write.
            drop(stream.write_all(head.as_bytes()).await);
            connections.push(stream);
        }
        let is_full =
            async || Ok(metric(addresses["metrics"], "connections").await? >= CONNECTION_LIMIT);
        until("the connection limit is reached", is_full).await?;
        let after = resident_mb(&process)?;
        assert!(
            after < MEMORY_MB,
            "{before} MB before, {after} MB with {CONNECTION_LIMIT} incomplete heads"
        );
        Ok(())
    });
}
