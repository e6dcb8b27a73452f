//! How many of what to start.

use super::Deployment;

/// How many processes to start and with which settings.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Names of the model, the service and what they do.
    pub deployment: Deployment,
    /// Failure domains; processes are spread over them in turn.
    pub domains: Vec<String>,
    /// Instances of nutmeggrade.
    pub nodes: usize,
    /// Model engines.
    pub engines: usize,
    /// Plain services.
    pub services: usize,
    /// Memory of an engine, in tokens.
    pub memory: u64,
    /// Further flags for every instance.
    pub flags: Vec<String>,
    /// Whether the instances reach the platform and the endpoints through relays.
    pub relayed: bool,
}

impl Default for Plan {
    /// The Permit Desk's failure domains, seven instances, three engines, one service.
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
    /// Takes another deployment's names and failure domains.
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

    /// Adds a flag with its value for every instance.
    #[must_use]
    pub fn with_flag(mut self, flag: &str, value: &str) -> Self {
        self.flags.push(format!("--{flag}"));
        self.flags.push(value.to_owned());
        self
    }

    /// Puts a relay before the platform and each endpoint, on which links can fail.
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
