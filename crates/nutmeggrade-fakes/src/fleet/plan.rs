//! Size and settings of a fleet.

use super::Deployment;

/// Numbers of processes to start, and their settings.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Names of the model, the service, the task classes and the operations.
    pub deployment: Deployment,
    /// Failure domains; processes are distributed over them in turn.
    pub domains: Vec<String>,
    /// Number of nutmeggrade instances.
    pub nodes: usize,
    /// Number of model engines.
    pub engines: usize,
    /// Number of plain services.
    pub services: usize,
    /// Key/value memory of an engine, in tokens.
    pub memory: u64,
    /// Additional command-line flags of every instance.
    pub flags: Vec<String>,
    /// Whether instances reach the platform and the endpoints through fault-injecting TCP relays.
    pub relayed: bool,
}

impl Default for Plan {
    /// Seven instances, three engines and one service in the Permit Desk's failure domains.
    fn default() -> Self {
        let deployment = Deployment::PERMIT_DESK;
        Self {
            deployment,
            domains: deployment.domains.map(ToOwned::to_owned).to_vec(),
            nodes: 7,
            engines: 3,
            services: 1,
            memory: 40_000,
            flags: Vec::new(),
            relayed: false,
        }
    }
}

impl Plan {
    /// Uses another deployment's names and failure domains.
    #[must_use]
    pub fn with_deployment(mut self, deployment: Deployment) -> Self {
        self.deployment = deployment;
        self.domains = deployment.domains.map(ToOwned::to_owned).to_vec();
        self
    }

    /// Sets the number of instances.
    #[must_use]
    pub fn with_nodes(mut self, nodes: usize) -> Self {
        self.nodes = nodes;
        self
    }

    /// Sets the number of engines.
    #[must_use]
    pub fn with_engines(mut self, engines: usize) -> Self {
        self.engines = engines;
        self
    }

    /// Sets the number of plain services.
    #[must_use]
    pub fn with_services(mut self, services: usize) -> Self {
        self.services = services;
        self
    }

    /// Adds a flag and its value for every instance.
    #[must_use]
    pub fn with_flag(mut self, flag: &str, value: &str) -> Self {
        self.flags.push(format!("--{flag}"));
        self.flags.push(value.to_owned());
        self
    }

    /// Puts a fault-injecting TCP relay in front of the platform and each endpoint.
    #[must_use]
    pub fn with_relays(mut self) -> Self {
        self.relayed = true;
        self
    }

    /// Returns the failure domain of the n-th process of a kind.
    pub fn domain(&self, n: usize) -> &str {
        &self.domains[n % self.domains.len()]
    }
}
