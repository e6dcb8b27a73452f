//! The instances of a soak: real processes, started, signalled and killed.

use std::fmt::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use anyhow::Context;
use http::Method;
use nix::sys::signal::Signal;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::{Instant, sleep};

use super::endpoints::DOMAINS;
use super::plan::Plan;
use super::records::{DisturbanceKind, Records};
use crate::fleet::{Process, log_folder, program_folder};
use crate::http::send;
use crate::site::{Fault, Store, StoreListener};

/// Time beyond the grace period that a busy machine takes to report the exit.
const EXIT_MARGIN: Duration = Duration::from_secs(1);
/// Time after SIGTERM at which SIGHUP and a second SIGTERM are sent.
const SIGNAL_REPEAT_DELAY: Duration = Duration::from_millis(700);
/// Delay before a process is started again.
const RESTART_DELAY: Duration = Duration::from_millis(300);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of addresses reserved for one soak, so that concurrent soaks of one process don't overlap.
const ADDRESSES_PER_SOAK: u8 = 16;
/// Listeners of an instance, by the names in its settings.
const LISTENERS: [&str; 6] = ["CLIENT", "READY", "DIRECTORY", "CONTROL", "BEACON", "METRICS"];
const READY_LISTENER: usize = 1;
const DIRECTORY_LISTENER: usize = 2;
const CONTROL_LISTENER: usize = 3;
const METRICS_LISTENER: usize = 5;

static SOAK_COUNT: AtomicU8 = AtomicU8::new(0);

/// The ports of the listeners, the same on every instance, as in the users' deployment.
#[derive(Debug, Clone, Copy)]
struct Ports([u16; LISTENERS.len()]);

/// The address, settings and process of one instance.
#[derive(Debug)]
struct InstanceHost {
    name: String,
    ip: Ipv4Addr,
    store_access: StoreListener,
    settings_file: PathBuf,
    process: Mutex<Option<Process>>,
}

/// The instances of a soak.
#[derive(Debug)]
pub struct Instances {
    hosts: Vec<InstanceHost>,
    ports: Ports,
    log: PathBuf,
    /// Grace period in the settings: the time from SIGTERM to the process's exit.
    grace: Duration,
}

impl Instances {
    /// Starts the instances of a plan and waits until each is ready.
    pub async fn start(store: &Store, plan: &Plan) -> anyhow::Result<Self> {
        let (count, seed, grace) = (plan.instances, plan.seed, plan.grace);
        let base = address_base();
        let ports = Ports::choose(base)?;
        let directory = log_folder()?;
        let log = directory.join(format!("soak-{seed}.log"));
        let mut hosts = Vec::new();
        for n in 0..count {
            let name = format!("i-{n}");
            let settings_file = directory.join(format!("soak-{seed}-{name}.env"));
            let ip = instance_ip(base, n)?;
            let store_access = store.open_listener().await?;
            hosts.push(InstanceHost {
                name,
                ip,
                store_access,
                settings_file,
                process: Mutex::default(),
            });
        }
        let instances = Self { hosts, ports, log, grace };
        for n in 0..count {
            let process = instances.spawn(n).await?;
            *instances.hosts[n].process.lock().await = Some(process);
        }
        for n in 0..count {
            instances.ready(n).await?;
        }
        Ok(instances)
    }

    /// Returns the number of instances.
    pub fn count(&self) -> usize {
        self.hosts.len()
    }

    /// Returns the path of the log file that all instances write to.
    pub const fn log(&self) -> &PathBuf {
        &self.log
    }

    /// Returns the address of an instance's directory listener.
    pub fn directory(&self, n: usize) -> SocketAddr {
        self.address(n, DIRECTORY_LISTENER)
    }

    /// Returns the index of the instance with an address.
    pub fn find(&self, address: SocketAddr) -> Option<usize> {
        self.hosts.iter().position(|h| IpAddr::V4(h.ip) == address.ip())
    }

    /// Kills an instance and starts it again after `down`.
    pub async fn kill(&self, n: usize, down: Duration, records: &Records) -> anyhow::Result<()> {
        let mut process = self.hosts[n].process.lock().await;
        records.add_disturbance(n, DisturbanceKind::Process, down + RESTART_DELAY);
        if let Some(mut running) = process.take() {
            check_running(&mut running, records)?;
            running.kill()?;
        }
        sleep(down).await;
        *process = Some(self.spawn(n).await?);
        Ok(())
    }

    /// Suspends an instance for the given time.
    pub async fn pause(&self, n: usize, time: Duration, records: &Records) -> anyhow::Result<()> {
        let process = self.hosts[n].process.lock().await;
        let Some(running) = process.as_ref() else { return Ok(()) };
        records.add_disturbance(n, DisturbanceKind::Process, time);
        running.signal(Signal::SIGSTOP)?;
        sleep(time).await;
        running.signal(Signal::SIGCONT)
    }

    /// Stops an instance gracefully and starts it again.
    pub async fn stop(&self, n: usize, records: &Records) -> anyhow::Result<()> {
        let mut process = self.hosts[n].process.lock().await;
        records.add_disturbance(n, DisturbanceKind::Stop, self.grace + RESTART_DELAY);
        if let Some(mut running) = process.take() {
            check_running(&mut running, records)?;
            terminate(running, self.grace, records).await?;
        }
        sleep(RESTART_DELAY).await;
        *process = Some(self.spawn(n).await?);
        Ok(())
    }

    /// Stops all instances gracefully.
    pub async fn stop_all(&self, records: &Records) -> anyhow::Result<()> {
        let stop = async |host: &InstanceHost| match host.process.lock().await.take() {
            Some(running) => terminate(running, self.grace, records).await,
            None => Ok(()),
        };
        futures::future::try_join_all(self.hosts.iter().map(stop)).await.map(drop)
    }

    /// Changes an instance's settings file and, if `is_signalled`, sends SIGHUP.
    pub async fn reload(
        &self,
        n: usize,
        is_signalled: bool,
        records: &Records,
    ) -> anyhow::Result<()> {
        let process = self.hosts[n].process.lock().await;
        let Some(running) = process.as_ref() else { return Ok(()) };
        records.add_disturbance(n, DisturbanceKind::Reload, Duration::from_millis(500));
        self.write_settings(n, 1)?;
        if is_signalled {
            running.signal(Signal::SIGHUP)?;
        }
        Ok(())
    }

    /// Applies a store fault to one instance, or to all, for the given time.
    pub async fn fail_store(
        &self,
        only: Option<usize>,
        fault: Fault,
        time: Duration,
        records: &Records,
    ) {
        let affected: Vec<usize> =
            (0..self.hosts.len()).filter(|n| only.is_none_or(|o| o == *n)).collect();
        for n in &affected {
            records.add_disturbance(*n, DisturbanceKind::Store, time);
            self.hosts[*n].store_access.set(fault);
        }
        sleep(time).await;
        for n in &affected {
            self.hosts[*n].store_access.set(Fault::None);
        }
    }

    /// Loses the responses of all calls to the store about these kinds of objects that wait now.
    pub fn lose_waiting_calls(&self, kinds: &[&str], records: &Records) {
        for (n, host) in self.hosts.iter().enumerate() {
            records.add_disturbance(n, DisturbanceKind::Store, Duration::ZERO);
            host.store_access.lose_waiting(kinds);
        }
    }

    /// Reads the metrics of an instance.
    pub async fn metrics(&self, n: usize) -> anyhow::Result<String> {
        let (_, text) =
            send(self.address(n, METRICS_LISTENER), Method::GET, "/metrics", &[], Vec::new())
                .await?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }

    /// Waits until an instance is ready.
    pub async fn ready(&self, n: usize) -> anyhow::Result<()> {
        let start = Instant::now();
        while start.elapsed() < START_TIMEOUT {
            let path = "/nutmeggrade/readiness";
            let response =
                send(self.address(n, READY_LISTENER), Method::GET, path, &[], Vec::new()).await;
            if response.is_ok_and(|(status, _)| status.is_success()) {
                return Ok(());
            }
            sleep(POLL_INTERVAL).await;
        }
        anyhow::bail!("{} did not become ready", self.hosts[n].name)
    }

    fn address(&self, n: usize, listener: usize) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.hosts[n].ip), self.ports.0[listener])
    }

    /// Starts an instance and waits until it listens: until it has installed its signal handlers, any
    /// signal ends the process.
    async fn spawn(&self, n: usize) -> anyhow::Result<Process> {
        self.write_settings(n, 0)?;
        let host = &self.hosts[n];
        let path = host.settings_file.to_str().context("path of the settings file")?;
        let program = program_folder()?.join("nutmeggrade");
        let variables = [("NUTMEGGRADE_BOOT", path)];
        let args = ["relay".to_owned()];
        let process = Process::start_logged(&host.name, &program, &args, &variables, &self.log)?;
        let start = Instant::now();
        while TcpStream::connect(self.address(n, READY_LISTENER)).await.is_err() {
            anyhow::ensure!(
                start.elapsed() < START_TIMEOUT,
                "{} does not accept connections",
                host.name
            );
            sleep(POLL_INTERVAL).await;
        }
        Ok(process)
    }

    fn write_settings(&self, n: usize, resend_increment: u32) -> anyhow::Result<()> {
        let host = &self.hosts[n];
        let seeds: Vec<String> = (0..self.hosts.len().min(3))
            .map(|s| self.address(s, CONTROL_LISTENER).to_string())
            .collect();
        let mut text = format!(
            "NUTMEGGRADE_INSTANCE={}\nNUTMEGGRADE_DOMAIN={}\nNUTMEGGRADE_PLATFORM={}\n\
             NUTMEGGRADE_SEEDS={}\nNUTMEGGRADE_GRACE={}\nNUTMEGGRADE_RESEND_RATIO=0.2\n\
             NUTMEGGRADE_RESEND_EXTRA={}\nNUTMEGGRADE_COLD_OVERRUN=1.5\n\
             NUTMEGGRADE_COLD_TOLERANCE=5\nNUTMEGGRADE_FLEET_ORDER=true\nNUTMEGGRADE_LEASES=true\n",
            host.name,
            DOMAINS[n % DOMAINS.len()],
            host.store_access.address,
            seeds.join(","),
            self.grace.as_secs(),
            54 + resend_increment,
        );
        for (listener, name) in LISTENERS.iter().enumerate() {
            writeln!(text, "NUTMEGGRADE_{name}_ADDRESS={}", self.address(n, listener))?;
        }
        // Replaced atomically: readers never see a partly written file.
        let new_file = host.settings_file.with_extension("new");
        std::fs::write(&new_file, text).context("write settings file")?;
        std::fs::rename(&new_file, &host.settings_file).context("replace settings file")
    }
}

/// Records a violation if a process has ended without a signal.
fn check_running(process: &mut Process, records: &Records) -> anyhow::Result<()> {
    if let Some(status) = process.exit_status()? {
        records.add_violation(format!("{} ended without a signal: {status}", process.name));
    }
    Ok(())
}

/// Stops a process gracefully, with repeated signals, and records a violation if it fails to exit.
async fn terminate(mut process: Process, grace: Duration, records: &Records) -> anyhow::Result<()> {
    process.signal(Signal::SIGTERM)?;
    let start = Instant::now();
    let mut is_repeated = false;
    while start.elapsed() < grace + EXIT_MARGIN {
        if start.elapsed() > SIGNAL_REPEAT_DELAY && !is_repeated {
            is_repeated = true;
            // The process may have ended just before; a failed signal is no error.
            drop(process.signal(Signal::SIGHUP));
            drop(process.signal(Signal::SIGTERM));
        }
        if let Some(status) = process.exit_status()? {
            if !status.success() {
                records
                    .add_violation(format!("{} exited with {status} after SIGTERM", process.name));
            }
            return Ok(());
        }
        sleep(POLL_INTERVAL).await;
    }
    records.add_violation(format!(
        "{} still ran {EXIT_MARGIN:?} after its grace period",
        process.name
    ));
    process.kill()
}

/// Returns the last three bytes of this soak's base address in 127.0.0.0/8, which is all loopback.
fn address_base() -> [u8; 3] {
    let pid = std::process::id().to_be_bytes();
    let number = SOAK_COUNT.fetch_add(1, Ordering::Relaxed) % (u8::MAX / ADDRESSES_PER_SOAK);
    [pid[2].max(1), pid[3], number * ADDRESSES_PER_SOAK]
}

fn instance_ip(base: [u8; 3], n: usize) -> anyhow::Result<Ipv4Addr> {
    let offset = u8::try_from(n + 1).context("too many instances")?;
    anyhow::ensure!(offset < ADDRESSES_PER_SOAK, "too many instances");
    Ok(Ipv4Addr::new(127, base[0], base[1], base[2] + offset))
}

impl Ports {
    /// Chooses ports that are free at the first address.
    fn choose(base: [u8; 3]) -> anyhow::Result<Self> {
        let ip = IpAddr::V4(instance_ip(base, 0)?);
        // The sockets stay bound until all ports are chosen, so that the ports differ.
        let mut sockets = Vec::new();
        let mut listeners = Vec::new();
        let mut ports = [0; LISTENERS.len()];
        for (port, name) in ports.iter_mut().zip(LISTENERS) {
            let free_port = if name == "BEACON" {
                let socket = UdpSocket::bind((ip, 0)).context("find a free port")?;
                let port = socket.local_addr()?.port();
                sockets.push(socket);
                port
            } else {
                let listener = TcpListener::bind((ip, 0)).context("find a free port")?;
                let port = listener.local_addr()?.port();
                listeners.push(listener);
                port
            };
            *port = free_port;
        }
        Ok(Self(ports))
    }
}
