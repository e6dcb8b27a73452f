//! A running deployment and its control.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::ExitStatus;
use std::time::Duration;

use anyhow::Context;
use http::Method;
use nix::sys::signal::Signal;
use nutmeggrade_core::config::Configuration;
use nutmeggrade_core::id::{ChangeId, PresetId};
use nutmeggrade_platform::{HttpPlatform, Platform};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use super::process::{Process, program_folder};
use super::{Caller, Plan, Usage};
use crate::http::{request_json, send};
use crate::relay::Relay;

/// Shared secret of the instances.
const PEER_KEY: &str = "peer-key-of-a-fleet-on-loopback";
/// Token with which the operators authenticate.
const OPERATOR_TOKEN: &str = "operator-token-on-loopback";
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const STOP_TIMEOUT: Duration = Duration::from_mins(1);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Listening addresses of an instance.
#[derive(Debug, Clone, Copy)]
pub struct NodeAddresses {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators and probes.
    pub admin: SocketAddr,
    /// Address for peers.
    pub peers: SocketAddr,
}

/// A complete deployment as separate processes, which are killed when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    plan: Plan,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Address of each engine and service, by name.
    pub endpoints: BTreeMap<String, SocketAddr>,
    /// Addresses of each instance, by name.
    pub nodes: BTreeMap<String, NodeAddresses>,
    relays: BTreeMap<String, Relay>,
    processes: BTreeMap<String, Process>,
}

impl Fleet {
    /// Starts all processes with the ordinary preset and waits until every instance is ready.
    pub async fn start(plan: &Plan) -> anyhow::Result<Self> {
        let (process, listening) = start_example("platform", "platform", &[])?;
        let platform = listening.parse().context("platform address")?;
        let mut fleet = Self {
            plan: plan.clone(),
            platform,
            endpoints: BTreeMap::new(),
            nodes: BTreeMap::new(),
            relays: BTreeMap::new(),
            processes: BTreeMap::from([("platform".to_owned(), process)]),
        };
        fleet.start_relay("platform", platform)?;
        for n in 0..plan.engines {
            fleet.start_engine(n).await?;
        }
        for n in 0..plan.services {
            fleet.start_service(n).await?;
        }
        fleet.put_preset().await?;
        for n in 0..plan.nodes {
            fleet.start_node(n)?;
        }
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Returns a caller that uses the addresses of all instances.
    pub fn caller(&self, workspace: &str) -> Caller {
        let entries = self.nodes.values().map(|n| n.callers).collect();
        Caller::new(workspace, entries).with_deployment(self.plan.deployment)
    }

    /// Returns a client of the platform.
    pub fn client(&self) -> HttpPlatform {
        HttpPlatform::new(self.platform, PLATFORM_TIMEOUT)
    }

    /// Returns the relay in front of the platform or an endpoint.
    pub fn relay(&self, name: &str) -> anyhow::Result<&Relay> {
        self.relays.get(name).with_context(|| format!("no relay in front of {name}"))
    }

    /// Returns a process by name, for sending signals.
    pub fn process(&mut self, name: &str) -> anyhow::Result<&mut Process> {
        self.processes.get_mut(name).with_context(|| format!("no process {name}"))
    }

    /// Sets the injected failures of the platform, an engine or a service.
    pub async fn set_faults(&self, name: &str, faults: &Value) -> anyhow::Result<()> {
        let address = match name {
            "platform" => self.platform,
            _ => *self.endpoints.get(name).with_context(|| format!("no endpoint {name}"))?,
        };
        let body = faults.to_string().into_bytes();
        send(address, Method::POST, "/fault", &[], body).await?;
        Ok(())
    }

    /// Reads an endpoint's log of the requests it ran.
    pub async fn log(&self, name: &str) -> anyhow::Result<Value> {
        let address = self.endpoints.get(name).with_context(|| format!("no endpoint {name}"))?;
        request_json(*address, Method::GET, "/log", None).await
    }

    /// Runs `nutmegctl` and returns its exit code and output.
    pub async fn run_nutmegctl(&self, args: &[&str]) -> anyhow::Result<(i32, String)> {
        let program = program_folder()?.join("nutmegctl");
        let platform = self.platform.to_string();
        let mut command = std::process::Command::new(program);
        command.args(args).args(["--platform", &platform]);
        command.env("NUTMEGGRADE_OPERATOR_TOKEN", OPERATOR_TOKEN);
        let output = tokio::task::spawn_blocking(move || command.output()).await?;
        let output = output.context("run nutmegctl")?;
        let text = [output.stdout, output.stderr].concat();
        let code = output.status.code().unwrap_or(-1);
        Ok((code, String::from_utf8_lossy(&text).into_owned()))
    }

    /// Starts the n-th engine and registers it with the platform.
    pub async fn start_engine(&mut self, n: usize) -> anyhow::Result<()> {
        let name = format!("engine-{n}");
        let lag_ms = "300".to_owned();
        let args = ["127.0.0.1:0".to_owned(), lag_ms, self.plan.memory.to_string()];
        let attributes = json!({ "kind": "engine", "models": [self.plan.deployment.model], "memory": self.plan.memory });
        self.start_endpoint(&name, "engine", &args, n, &attributes).await
    }

    /// Starts the n-th plain service and registers it with the platform.
    pub async fn start_service(&mut self, n: usize) -> anyhow::Result<()> {
        let name = format!("service-{n}");
        let attributes = json!({ "kind": "service", "service": self.plan.deployment.service });
        self.start_endpoint(&name, "service", &[], n, &attributes).await
    }

    /// Stops an instance with SIGTERM, waits until its process ends and returns the exit status.
    pub async fn stop_node(&mut self, name: &str) -> anyhow::Result<ExitStatus> {
        self.process(name)?.signal(Signal::SIGTERM)?;
        self.wait_for_exit(name).await
    }

    /// Waits until a process ends and returns the exit status.
    pub async fn wait_for_exit(&mut self, name: &str) -> anyhow::Result<ExitStatus> {
        let start = Instant::now();
        loop {
            if let Some(status) = self.process(name)?.exit_status()? {
                return Ok(status);
            }
            anyhow::ensure!(start.elapsed() < STOP_TIMEOUT, "{name} does not end");
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Adds a flag and its value for instances that are started later.
    pub fn add_flag(&mut self, flag: &str, value: &str) {
        self.plan = self.plan.clone().with_flag(flag, value);
    }

    /// Sends an instance a configuration, as `nutmegctl` does with an accepted one.
    pub async fn push_config(&self, name: &str, config: &Configuration) -> anyhow::Result<()> {
        let node = self.nodes.get(name).with_context(|| format!("no instance {name}"))?;
        let token = format!("Bearer {OPERATOR_TOKEN}");
        let headers = [("authorization", token.as_str())];
        let body = serde_json::to_vec(config).context("encode configuration")?;
        let (status, _) = send(node.admin, Method::POST, "/config", &headers, body).await?;
        anyhow::ensure!(status.is_success(), "push to {name}: {status}");
        Ok(())
    }

    /// Starts the n-th instance, on new addresses.
    pub fn start_node(&mut self, n: usize) -> anyhow::Result<()> {
        self.start_node_with_key(n, PEER_KEY)
    }

    /// Starts the n-th instance with the given peer key.
    pub fn start_node_with_key(&mut self, n: usize, key: &str) -> anyhow::Result<()> {
        let name = format!("node-{n}");
        let relay = self.relays.get("platform");
        let platform = relay.map_or(self.platform, |r| r.address).to_string();
        let mut args = vec!["--instance".to_owned(), name.clone()];
        args.extend(["--domain".to_owned(), self.plan.domain(n).to_owned()]);
        args.extend(["--platform".to_owned(), platform]);
        args.extend(self.plan.flags.iter().cloned());
        let secrets =
            [("NUTMEGGRADE_PEER_KEY", key), ("NUTMEGGRADE_OPERATOR_TOKEN", OPERATOR_TOKEN)];
        let program = program_folder()?.join("nutmeggrade");
        let (process, line) = Process::start(&name, &program, &args, &secrets)?;
        let address = |key: &str| {
            let value = line.split(' ').find_map(|w| w.strip_prefix(key)?.strip_prefix('='));
            value.and_then(|a| a.parse().ok()).with_context(|| format!("{key} in {line:?}"))
        };
        let addresses = NodeAddresses {
            callers: address("callers")?,
            admin: address("admin")?,
            peers: address("peers")?,
        };
        self.nodes.insert(name.clone(), addresses);
        self.processes.insert(name, process);
        Ok(())
    }

    /// Waits until every instance is ready and lists all instances as entries.
    pub async fn wait_until_ready(&self) -> anyhow::Result<()> {
        let start = Instant::now();
        for (name, node) in &self.nodes {
            while !self.is_ready(node).await {
                anyhow::ensure!(start.elapsed() < READY_TIMEOUT, "{name} is not ready");
                sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Reads an instance's metrics.
    pub async fn metrics(&self, name: &str) -> anyhow::Result<String> {
        let node = self.nodes.get(name).with_context(|| format!("no instance {name}"))?;
        let response = send(node.admin, Method::GET, "/metrics", &[], Vec::new()).await?;
        Ok(String::from_utf8_lossy(&response.1).into_owned())
    }

    /// Returns the sum of an instance's metric samples whose name and labels begin with `prefix`.
    pub async fn counter(&self, name: &str, prefix: &str) -> anyhow::Result<f64> {
        let text = self.metrics(name).await?;
        let samples = text.lines().filter(|l| l.starts_with(prefix));
        let value = |line: &str| line.rsplit(' ').next().and_then(|v| v.parse::<f64>().ok());
        Ok(samples.filter_map(value).sum())
    }

    /// Returns the resource usage of a process.
    pub fn usage(&self, name: &str) -> anyhow::Result<Usage> {
        let process = self.processes.get(name).with_context(|| format!("no process {name}"))?;
        Usage::read(process.id())
    }

    /// Reads an instance's status.
    pub async fn status(&self, name: &str) -> anyhow::Result<Value> {
        let node = self.nodes.get(name).with_context(|| format!("no instance {name}"))?;
        let token = format!("Bearer {OPERATOR_TOKEN}");
        let headers = [("authorization", token.as_str())];
        let response = send(node.admin, Method::GET, "/status", &headers, Vec::new()).await?;
        serde_json::from_slice(&response.1).context("decode status")
    }

    async fn is_ready(&self, node: &NodeAddresses) -> bool {
        let ready = request_json::<Value>(node.admin, Method::GET, "/ready", None).await.is_ok();
        let path = "/v1/entries";
        let Ok(entries) = request_json::<Value>(node.callers, Method::GET, path, None).await else {
            return false;
        };
        let entry_count = entries.get("entries").and_then(Value::as_array).map_or(0, Vec::len);
        ready && entry_count >= self.nodes.len()
    }

    async fn start_endpoint(
        &mut self,
        name: &str,
        program: &str,
        args: &[String],
        n: usize,
        attributes: &Value,
    ) -> anyhow::Result<()> {
        let (process, listening) = start_example(name, program, args)?;
        let address: SocketAddr = listening.parse().context("endpoint address")?;
        self.start_relay(name, address)?;
        let listed_address = self.relays.get(name).map_or(address, |r| r.address);
        self.register(name, listed_address, self.plan.domain(n), attributes).await?;
        self.endpoints.insert(name.to_owned(), address);
        self.processes.insert(name.to_owned(), process);
        Ok(())
    }

    /// Registers an endpoint that the test itself runs.
    pub async fn register(
        &self,
        name: &str,
        address: SocketAddr,
        domain: &str,
        attributes: &Value,
    ) -> anyhow::Result<()> {
        let mut registration = json!({
            "id": name,
            "address": address,
            "domain": domain,
            "state": "live",
            "checks_fencing": true,
        });
        if let (Some(registration), Some(attributes)) =
            (registration.as_object_mut(), attributes.as_object())
        {
            registration.extend(attributes.clone());
        }
        let body = registration.to_string().into_bytes();
        let (status, _) = send(self.platform, Method::PUT, "/endpoints", &[], body).await?;
        anyhow::ensure!(status.is_success(), "register {name}: {status}");
        Ok(())
    }

    fn start_relay(&mut self, name: &str, target: SocketAddr) -> anyhow::Result<()> {
        if self.plan.relayed {
            self.relays.insert(name.to_owned(), Relay::start(target)?);
        }
        Ok(())
    }

    async fn put_preset(&self) -> anyhow::Result<()> {
        let name = PresetId::new("ordinary")?;
        let id = ChangeId::new("first")?;
        let config =
            Configuration::new(id, "fleet", "first preset", &name, &self.plan.deployment.preset()?);
        let value = serde_json::to_value(&config).context("encode configuration")?;
        self.client().create(&Configuration::key(1), &value).await?;
        Ok(())
    }
}

fn start_example(name: &str, program: &str, args: &[String]) -> anyhow::Result<(Process, String)> {
    let program = program_folder()?.join("examples").join(program);
    Process::start(name, &program, args, &[])
}
