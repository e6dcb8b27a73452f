//! Instances as processes of their own, started as the platform does.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::client::{Call, ask};

/// Port of the metrics in `deploy/relay.env`.
const METRICS_PORT: u16 = 9464;
/// Number of free ports that an instance needs: clients, readiness, control, directory, peers.
const PORTS: u16 = 5;
/// Draws of addresses and ports until all are free.
const MAX_DRAWS: u32 = 50;
const SIGKILL: i32 = 9;
/// Time in which all instances become ready.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// Longest time for a case; then its processes are killed.
const MAX_CASE: Duration = Duration::from_secs(110);

/// The processes that run.
static PIDS: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Instances of a small deployment. Each has a loopback address of its own, and the ports are the
/// same on all of them, as on the platform's machines.
pub struct Fleet {
    ips: Vec<Ipv4Addr>,
    base: u16,
    store: SocketAddr,
    folder: PathBuf,
    children: Vec<Option<Child>>,
}

impl Fleet {
    /// Starts instances, and waits until all are ready.
    pub fn start(count: u8, store: SocketAddr) -> Result<Self, String> {
        end_after_timeout();
        let (ips, base) = draw_addresses(count)?;
        let folder = std::env::var("SCRATCH").map_err(|_| "SCRATCH isn't set".to_owned())?;
        let children = ips.iter().map(|_| None).collect();
        let mut fleet = Self { ips, base, store, folder: folder.into(), children };
        for index in 0..fleet.ips.len() {
            fleet.spawn(index)?;
        }
        let start = Instant::now();
        while (0..fleet.ips.len()).any(|index| !fleet.is_ready(index)) {
            if start.elapsed() > START_TIMEOUT {
                return Err("the instances didn't become ready".to_owned());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Ok(fleet)
    }

    /// Returns the number of instances.
    pub fn len(&self) -> usize {
        self.ips.len()
    }

    /// Returns the address of an instance for clients.
    pub fn front(&self, index: usize) -> SocketAddr {
        self.address(index, 0)
    }

    /// Asks an instance whether it is ready, as the platform does.
    pub fn is_ready(&self, index: usize) -> bool {
        let call = Call {
            method: "GET",
            path: "/nutmeggrade/readiness",
            host: "readiness",
            id: "-",
            key: None,
            headers: "",
            timeout: Duration::from_secs(1),
            body: "",
        };
        ask(self.address(index, 1), &call).status == Some(200)
    }

    /// Starts an instance with the deploy file's command and its settings template.
    pub fn spawn(&mut self, index: usize) -> Result<(), String> {
        let boot = self.folder.join(format!("boot-{index}.env"));
        let template = fs::read_to_string("deploy/relay.env").map_err(|e| e.to_string())?;
        fs::write(&boot, self.fill(&template, index)).map_err(|e| e.to_string())?;
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("instance-{index}.log")))
            .map_err(|e| e.to_string())?;
        let child = Command::new("target/release/nutmeggrade")
            .arg("relay")
            .env("NUTMEGGRADE_BOOT", &boot)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|e| e.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|e| format!("target/release/nutmeggrade: {e}"))?;
        PIDS.lock().unwrap().push(pid(&child));
        self.children[index] = Some(child);
        Ok(())
    }

    /// Returns the resident memory of an instance in bytes; `None` if it doesn't run.
    pub fn memory(&self, index: usize) -> Option<u64> {
        let child = self.children[index].as_ref()?;
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kilobytes: u64 = line.trim().strip_suffix(" kB")?.parse().ok()?;
        Some(kilobytes << 10)
    }

    /// Kills an instance.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.children[index].take() {
            PIDS.lock().unwrap().retain(|running| *running != pid(&child));
            drop(child.kill());
            drop(child.wait());
        }
    }

    fn address(&self, index: usize, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ips[index]), self.base + port)
    }

    fn fill(&self, template: &str, index: usize) -> String {
        let seeds: Vec<String> =
            (0..self.ips.len().min(3)).map(|i| self.address(i, 2).to_string()).collect();
        let values = [
            ("node_name", format!("edge-veluwe-{}", index + 1)),
            ("zone", "veluwe".to_owned()),
            ("ip", self.ips[index].to_string()),
            ("platform.address", self.store.to_string()),
            ("listen.frontend", self.address(index, 0).to_string()),
            ("listen.readiness", self.address(index, 1).to_string()),
            ("listen.control_plane", self.address(index, 2).to_string()),
            ("listen.directory_service", self.address(index, 3).to_string()),
            ("internal_ports.0", (self.base + 4).to_string()),
            ("seed_nodes", seeds.join(",")),
            ("limits.file_descriptors", "4100".to_owned()),
            ("limits.memory_mb", "110".to_owned()),
            ("limits.link_mbps", "1000.0".to_owned()),
            ("bounds.grace_s", "8".to_owned()),
            ("bounds.ttl_max_s", "5".to_owned()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.budget_window_s", "10".to_owned()),
            ("bounds.retry_budget_extra", "54".to_owned()),
            ("bounds.cold_overrun", "1.5".to_owned()),
            ("bounds.cold_tolerance", "5".to_owned()),
            // The contracts in force have no roll-outs.
            ("bounds.exposure_share", String::new()),
            ("bounds.exposure_tolerance", String::new()),
        ];
        values.iter().fold(template.to_owned(), |text, (name, value)| {
            text.replace(&format!("{{{{{name}}}}}"), value)
        })
    }
}

fn pid(child: &Child) -> i32 {
    i32::try_from(child.id()).unwrap_or_default()
}

fn signal(pid: i32, number: i32) {
    unsafe extern "C" {
        fn kill(pid: i32, number: i32) -> i32;
    }
    if pid > 0 {
        // SAFETY: `kill` takes two numbers. The child isn't reaped yet, so the pid is its own.
        unsafe { kill(pid, number) };
    }
}

/// Ends a case that hangs, with all its processes.
fn end_after_timeout() {
    thread::spawn(|| {
        thread::sleep(MAX_CASE);
        for pid in PIDS.lock().unwrap().iter() {
            signal(*pid, SIGKILL);
        }
        eprintln!("the case took too long");
        std::process::exit(2);
    });
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for index in 0..self.children.len() {
            self.kill(index);
        }
    }
}

/// Draws loopback addresses on which the same ports are free.
fn draw_addresses(count: u8) -> Result<(Vec<Ipv4Addr>, u16), String> {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut seed = since.as_nanos() as u64 ^ u64::from(std::process::id());
    for _ in 0..MAX_DRAWS {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let [_, _, second, third, low, high, ..] = seed.to_be_bytes();
        let base = 20_000 + u16::from_be_bytes([low, high]) % 10_000;
        let ips: Vec<Ipv4Addr> =
            (1..=count).map(|last| Ipv4Addr::new(127, second | 1, third, last)).collect();
        let is_free = |ip: &Ipv4Addr| {
            let mut ports = (base..base + PORTS).chain([METRICS_PORT]);
            ports.all(|port| {
                TcpListener::bind((*ip, port)).is_ok() && UdpSocket::bind((*ip, port)).is_ok()
            })
        };
        if ips.iter().all(is_free) {
            return Ok((ips, base));
        }
    }
    Err("no free ports".to_owned())
}
