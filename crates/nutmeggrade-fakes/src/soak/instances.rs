//! The instances of a soak: real processes, and their signals.

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

use super::ledger::{Cause, Ledger};
use super::lives::DOMAINS;
use crate::fleet::{Process, log_folder, program_folder};
use crate::http::send;
use crate::site::{Door, Fault, Store};

/// Time from SIGTERM until the process is killed.
const GRACE: Duration = Duration::from_secs(4);
/// Time beyond it that a busy machine takes to see the process end.
const SLACK: Duration = Duration::from_secs(1);
/// Time after a SIGTERM after which it is sent again, with a SIGHUP before it.
const REPEAT: Duration = Duration::from_millis(700);
/// Pause before a process is started again.
const RESTART: Duration = Duration::from_millis(300);
const POLL: Duration = Duration::from_millis(20);
const START: Duration = Duration::from_secs(30);
/// Addresses that one soak may use; soaks of the same process have each their own.
const ADDRESSES: u8 = 16;
/// What an instance listens for, as its settings call it.
const LISTENERS: [&str; 6] = ["CLIENT", "READY", "DIRECTORY", "CONTROL", "BEACON", "METRICS"];
const READY: usize = 1;
const DIRECTORY: usize = 2;
const CONTROL: usize = 3;
const METRICS: usize = 5;

static SOAKS: AtomicU8 = AtomicU8::new(0);

/// The ports of all instances; they are the same on each, as on the users' machines.
#[derive(Debug, Clone, Copy)]
struct Ports([u16; LISTENERS.len()]);

/// One instance.
#[derive(Debug)]
struct Host {
    name: String,
    ip: Ipv4Addr,
    door: Door,
    settings: PathBuf,
    process: Mutex<Option<Process>>,
}

/// The instances of a soak.
#[derive(Debug)]
pub struct Instances {
    hosts: Vec<Host>,
    ports: Ports,
    log: PathBuf,
}

impl Instances {
    /// Starts so many instances and waits until each is ready.
    pub async fn start(store: &Store, count: usize, seed: u64) -> anyhow::Result<Self> {
        let base = base();
        let ports = Ports::choose(base)?;
        let folder = log_folder()?;
        let log = folder.join(format!("soak-{seed}.log"));
        let mut hosts = Vec::new();
        for n in 0..count {
            let name = format!("i-{n}");
            let settings = folder.join(format!("soak-{seed}-{name}.env"));
            let ip = host(base, n)?;
            let door = store.door().await?;
            hosts.push(Host { name, ip, door, settings, process: Mutex::default() });
        }
        let instances = Self { hosts, ports, log };
        for n in 0..count {
            let process = instances.spawn(n).await?;
            *instances.hosts[n].process.lock().await = Some(process);
        }
        for n in 0..count {
            instances.ready(n).await?;
        }
        Ok(instances)
    }

    /// Counts them.
    pub fn count(&self) -> usize {
        self.hosts.len()
    }

    /// Returns where the log of all of them is.
    pub const fn log(&self) -> &PathBuf {
        &self.log
    }

    /// Returns where clients ask for instances.
    pub fn directory(&self, n: usize) -> SocketAddr {
        self.address(n, DIRECTORY)
    }

    /// Returns which instance has an address.
    pub fn find(&self, address: SocketAddr) -> Option<usize> {
        self.hosts.iter().position(|h| IpAddr::V4(h.ip) == address.ip())
    }

    /// Kills an instance and starts it again after a while.
    pub async fn kill(&self, n: usize, down: Duration, ledger: &Ledger) -> anyhow::Result<()> {
        let mut process = self.hosts[n].process.lock().await;
        ledger.trouble(n, Cause::Process, down + RESTART);
        if let Some(mut running) = process.take() {
            check_lives(&mut running, ledger)?;
            running.kill()?;
        }
        sleep(down).await;
        *process = Some(self.spawn(n).await?);
        Ok(())
    }

    /// Has an instance stand still for a while.
    pub async fn pause(&self, n: usize, time: Duration, ledger: &Ledger) -> anyhow::Result<()> {
        let process = self.hosts[n].process.lock().await;
        let Some(running) = process.as_ref() else { return Ok(()) };
        ledger.trouble(n, Cause::Process, time);
        running.signal(Signal::SIGSTOP)?;
        sleep(time).await;
        running.signal(Signal::SIGCONT)
    }

    /// Stops an instance as planned and starts it again.
    pub async fn stop(&self, n: usize, ledger: &Ledger) -> anyhow::Result<()> {
        let mut process = self.hosts[n].process.lock().await;
        ledger.trouble(n, Cause::Stop, GRACE + RESTART);
        if let Some(mut running) = process.take() {
            check_lives(&mut running, ledger)?;
            end(running, ledger).await?;
        }
        sleep(RESTART).await;
        *process = Some(self.spawn(n).await?);
        Ok(())
    }

    /// Stops all instances as planned, for good.
    pub async fn stop_all(&self, ledger: &Ledger) -> anyhow::Result<()> {
        let stop = async |host: &Host| match host.process.lock().await.take() {
            Some(running) => end(running, ledger).await,
            None => Ok(()),
        };
        futures::future::try_join_all(self.hosts.iter().map(stop)).await.map(drop)
    }

    /// Changes an instance's settings, with a signal or without.
    pub async fn reload(&self, n: usize, is_told: bool, ledger: &Ledger) -> anyhow::Result<()> {
        let process = self.hosts[n].process.lock().await;
        let Some(running) = process.as_ref() else { return Ok(()) };
        ledger.trouble(n, Cause::Reload, Duration::from_millis(500));
        self.write_settings(n, 1)?;
        if is_told {
            running.signal(Signal::SIGHUP)?;
        }
        Ok(())
    }

    /// Has the store treat one instance, or all, badly for a while.
    pub async fn fail_store(
        &self,
        only: Option<usize>,
        fault: Fault,
        time: Duration,
        ledger: &Ledger,
    ) {
        let hit: Vec<usize> =
            (0..self.hosts.len()).filter(|n| only.is_none_or(|o| o == *n)).collect();
        for n in &hit {
            ledger.trouble(*n, Cause::Store, time);
            self.hosts[*n].door.set(fault);
        }
        sleep(time).await;
        for n in &hit {
            self.hosts[*n].door.set(Fault::None);
        }
    }

    /// Reads the metrics of an instance.
    pub async fn metrics(&self, n: usize) -> anyhow::Result<String> {
        let (_, text) =
            send(self.address(n, METRICS), Method::GET, "/metrics", &[], Vec::new()).await?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }

    /// Waits until an instance is ready.
    pub async fn ready(&self, n: usize) -> anyhow::Result<()> {
        let begun = Instant::now();
        while begun.elapsed() < START {
            let path = "/nutmeggrade/readiness";
            let got = send(self.address(n, READY), Method::GET, path, &[], Vec::new()).await;
            if got.is_ok_and(|(status, _)| status.is_success()) {
                return Ok(());
            }
            sleep(POLL).await;
        }
        anyhow::bail!("{} never became ready", self.hosts[n].name)
    }

    fn address(&self, n: usize, port: usize) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.hosts[n].ip), self.ports.0[port])
    }

    /// Starts an instance and waits until it listens: before that it is being loaded, and a signal
    /// ends it whatever its code does.
    async fn spawn(&self, n: usize) -> anyhow::Result<Process> {
        self.write_settings(n, 0)?;
        let host = &self.hosts[n];
        let path = host.settings.to_str().context("path of the settings")?;
        let program = program_folder()?.join("nutmeggrade");
        let variables = [("NUTMEGGRADE_BOOT", path)];
        let args = ["relay".to_owned()];
        let process = Process::start_logged(&host.name, &program, &args, &variables, &self.log)?;
        let begun = Instant::now();
        while TcpStream::connect(self.address(n, READY)).await.is_err() {
            anyhow::ensure!(begun.elapsed() < START, "{} does not listen", host.name);
            sleep(POLL).await;
        }
        Ok(process)
    }

    fn write_settings(&self, n: usize, change: u32) -> anyhow::Result<()> {
        let host = &self.hosts[n];
        let seeds: Vec<String> =
            (0..self.hosts.len().min(3)).map(|s| self.address(s, CONTROL).to_string()).collect();
        let mut text = format!(
            "NUTMEGGRADE_INSTANCE={}\nNUTMEGGRADE_DOMAIN={}\nNUTMEGGRADE_PLATFORM={}\n\
             NUTMEGGRADE_SEEDS={}\nNUTMEGGRADE_GRACE={}\nNUTMEGGRADE_RESEND_RATIO=0.2\n\
             NUTMEGGRADE_RESEND_EXTRA={}\nNUTMEGGRADE_COLD_OVERRUN=1.5\n\
             NUTMEGGRADE_COLD_TOLERANCE=5\n",
            host.name,
            DOMAINS[n % DOMAINS.len()],
            host.door.address,
            seeds.join(","),
            GRACE.as_secs(),
            54 + change,
        );
        for (port, name) in LISTENERS.iter().enumerate() {
            writeln!(text, "NUTMEGGRADE_{name}_ADDRESS={}", self.address(n, port))?;
        }
        // Readers must never find half of it.
        let fresh = host.settings.with_extension("new");
        std::fs::write(&fresh, text).context("write settings")?;
        std::fs::rename(&fresh, &host.settings).context("put settings in place")
    }
}

/// Notes it if a process ended without being told to.
fn check_lives(process: &mut Process, ledger: &Ledger) -> anyhow::Result<()> {
    if let Some(status) = process.exit_status()? {
        ledger.broken(format!("{} ended by itself: {status}", process.name));
    }
    Ok(())
}

async fn end(mut process: Process, ledger: &Ledger) -> anyhow::Result<()> {
    process.signal(Signal::SIGTERM)?;
    let begun = Instant::now();
    let mut is_repeated = false;
    while begun.elapsed() < GRACE + SLACK {
        if begun.elapsed() > REPEAT && !is_repeated {
            is_repeated = true;
            // It may end in this moment.
            drop(process.signal(Signal::SIGHUP));
            drop(process.signal(Signal::SIGTERM));
        }
        if let Some(status) = process.exit_status()? {
            if !status.success() {
                ledger.broken(format!("{} ended with {status} when stopped", process.name));
            }
            return Ok(());
        }
        sleep(POLL).await;
    }
    ledger.broken(format!("{} still ran {SLACK:?} after its grace", process.name));
    process.kill()
}

/// Returns the first bytes of the addresses of this soak: all of 127.0.0.0/8 is this machine.
fn base() -> [u8; 3] {
    let pid = std::process::id().to_be_bytes();
    let soak = SOAKS.fetch_add(1, Ordering::Relaxed) % (u8::MAX / ADDRESSES);
    [pid[2].max(1), pid[3], soak * ADDRESSES]
}

fn host(base: [u8; 3], n: usize) -> anyhow::Result<Ipv4Addr> {
    let last = u8::try_from(n + 1).context("too many instances")?;
    anyhow::ensure!(last < ADDRESSES, "too many instances");
    Ok(Ipv4Addr::new(127, base[0], base[1], base[2] + last))
}

impl Ports {
    /// Takes ports that the system has free at the first address.
    fn choose(base: [u8; 3]) -> anyhow::Result<Self> {
        let ip = IpAddr::V4(host(base, 0)?);
        // Held until all are chosen, so that each is another one.
        let mut sockets = Vec::new();
        let mut listeners = Vec::new();
        let mut ports = [0; LISTENERS.len()];
        for (port, name) in ports.iter_mut().zip(LISTENERS) {
            let taken = if name == "BEACON" {
                let socket = UdpSocket::bind((ip, 0)).context("find a port")?;
                let port = socket.local_addr()?.port();
                sockets.push(socket);
                port
            } else {
                let listener = TcpListener::bind((ip, 0)).context("find a port")?;
                let port = listener.local_addr()?.port();
                listeners.push(listener);
                port
            };
            *port = taken;
        }
        Ok(Self(ports))
    }
}
