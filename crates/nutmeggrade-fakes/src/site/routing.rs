//! Objects that operators and endpoints write to the store.

use std::net::SocketAddr;

use serde_json::{Value, json};

/// A routing configuration with one route of each kind.
#[derive(Debug, Clone)]
pub struct RoutingPlan {
    /// Version number of the configuration.
    pub version: u64,
    /// API keys of the workspace `acme`.
    pub keys: Vec<String>,
    /// Request timeout of every route, in milliseconds.
    pub timeout_ms: u64,
    /// Target time to the first event or the response, in milliseconds.
    pub target_ms: u64,
    /// Maximum number of endpoints that a repeatable request is sent to.
    pub attempts: u32,
    /// Capacity of an engine's KV cache, in tokens.
    pub memory: u64,
    /// Longest lease that an engine grants, in milliseconds; 0 if it grants none.
    pub hold_ms: u64,
    /// Whether the configuration contains the optional route `/late/`.
    pub has_late: bool,
    /// Maximum body size, in bytes.
    pub body_bytes: u64,
    /// Time for which a connection may be idle, in milliseconds.
    pub idle_ms: u64,
    /// Number of further routes, each on a host of its own.
    pub further_routes: usize,
}

impl Default for RoutingPlan {
    fn default() -> Self {
        Self {
            version: 1,
            keys: vec!["key-1".to_owned()],
            timeout_ms: 20_000,
            target_ms: 5_000,
            attempts: 2,
            memory: 30_000,
            hold_ms: 0,
            has_late: false,
            body_bytes: 100_000,
            idle_ms: 15_000,
            further_routes: 0,
        }
    }
}

impl RoutingPlan {
    /// Returns the configuration object as operators write it.
    pub fn content(&self) -> Value {
        let mut routes = vec![
            self.route("once", "non_idempotent", 1, "desk", false),
            self.route("read", "idempotent", self.attempts, "desk", false),
            self.route("draft", "streaming", 1, "writers", false),
            self.route("sort", "streaming", self.attempts, "writers", true),
        ];
        if self.has_late {
            routes.push(self.route("late", "idempotent", 2, "desk", false));
        }
        routes.extend((0..self.further_routes).map(|number| {
            let mut route = self.route("further", "idempotent", 2, "desk", false);
            // Names of real hosts don't resemble each other.
            let name = blake3::hash(&number.to_le_bytes()).to_hex();
            route["name"] = json!(format!("r-{}", &name[..7]));
            route["host"] = json!(format!("{}.example", &name[7..15]));
            route
        }));
        json!({
            "version": self.version,
            "routes": routes,
            "services": [
                { "name": "desk", "health_path": "/health", "connection_limit": 50,
                  "cold_start_s": 0.0, "cold_per_s": 0.0 },
                { "name": "writers", "health_path": "/health", "connection_limit": 50,
                  "cold_start_s": 1.0, "cold_per_s": 10.0,
                  "inference_engine": { "slots": 8, "kv_cache_tokens": self.memory,
                    "token_kv_bytes": 1_000, "link_mbps": 1_000.0, "migrations": true,
                    "backups": true, "stride": 4, "cache_handle_s": 5.0,
                    "hold_ms": self.hold_ms } },
            ],
            "limits": { "max_header_bytes": 8_192, "max_body_bytes": self.body_bytes,
              "header_timeout_ms": 3_000, "idle_timeout_ms": self.idle_ms },
            "tenants": [{ "name": "acme", "api_keys": self.keys }],
        })
    }

    fn route(
        &self,
        name: &str,
        kind: &str,
        attempts: u32,
        service: &str,
        resumable: bool,
    ) -> Value {
        json!({ "name": format!("r-{name}"), "host": "desk.example", "path_prefix": format!("/{name}/"),
            "route_kind": kind, "timeout_ms": self.timeout_ms, "target_latency_ms": self.target_ms,
            "priority": 1, "service": service, "max_attempts": attempts, "public": false,
            "sticky": service == "writers", "resumable": resumable, "gap_aim_ms": 1_000 })
    }
}

/// An endpoint's registry entry.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Name of the service.
    pub service: String,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Name of its failure domain.
    pub domain: String,
    /// Whether it has announced that it leaves.
    pub leaving: bool,
    /// Remaining time of its cold start, in milliseconds.
    pub cold_ms: u64,
    /// Software version.
    pub version: String,
    /// Start time; a larger value supersedes an entry with the same id.
    pub born: u64,
}

impl Entry {
    /// Creates the entry of a warm endpoint that is not leaving.
    pub fn new(service: &str, address: SocketAddr) -> Self {
        let (service, domain) = (service.to_owned(), "veluwe".to_owned());
        let version = "v1".to_owned();
        Self { service, address, domain, leaving: false, cold_ms: 0, version, born: 1 }
    }

    /// Sets the software version.
    #[must_use]
    pub fn with_version(mut self, version: &str) -> Self {
        version.clone_into(&mut self.version);
        self
    }

    /// Sets whether it has announced that it leaves.
    #[must_use]
    pub fn with_leaving(mut self, leaving: bool) -> Self {
        self.leaving = leaving;
        self
    }

    /// Returns the entry as endpoints write it.
    pub fn content(&self) -> Value {
        let state = if self.leaving { "draining" } else { "ready" };
        json!({ "service": self.service, "address": self.address, "zone": self.domain,
            "version": self.version, "slots": 8, "state": state, "cold_remaining_ms": self.cold_ms,
            "sequence": 1, "born": self.born })
    }
}
