//! Names that a configuration change may refer to.

use std::collections::BTreeSet;

use super::{Change, Configuration, Preset};
use crate::code::Code;
use crate::endpoint::Endpoint;
use crate::failure::Failure;
use crate::id::{DomainId, EndpointId};
use crate::peer::InstanceEntry;

/// Failure domains and endpoints in the platform's lists.
///
/// If a change with a mistyped failure domain were accepted, the failing domain would keep
/// receiving work. An unlisted name is therefore refused rather than warned about. Because the
/// lists lag, the operator can override a single refusal by its code.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct KnownNames {
    /// Failure domains of instances and endpoints.
    pub domains: BTreeSet<DomainId>,
    /// Ids of endpoints.
    pub endpoints: BTreeSet<EndpointId>,
}

impl KnownNames {
    /// Collects the names from the platform's lists.
    pub fn new(endpoints: &[Endpoint], instances: &[InstanceEntry]) -> Self {
        let endpoint_domains = endpoints.iter().map(|e| e.domain.clone());
        let instance_domains = instances.iter().map(|e| e.domain.clone());
        Self {
            domains: endpoint_domains.chain(instance_domains).collect(),
            endpoints: endpoints.iter().map(|e| e.id.clone()).collect(),
        }
    }

    /// Refuses a change that uses an unknown name or leaves no failure domain in service.
    ///
    /// `confirmed` is the number of the result code that the operator overrides.
    pub fn check_change(
        &self,
        current: Option<&Configuration>,
        change: &Change,
        confirmed: u64,
    ) -> Result<(), Failure> {
        let refusals = self.refusals(current, change);
        let is_overridden = |f: &Failure| u64::from(f.code.number()) == confirmed;
        match refusals.into_iter().find(|f| !is_overridden(f)) {
            Some(refusal) => Err(refusal),
            None => Ok(()),
        }
    }

    fn refusals(&self, current: Option<&Configuration>, change: &Change) -> Vec<Failure> {
        match change {
            Change::DomainOut { domain } => self.check_domain_out(current, domain),
            Change::EndpointOut { endpoint } if !self.endpoints.contains(endpoint) => {
                vec![unknown_name("endpoint", endpoint.as_str(), &join_names(&self.endpoints))]
            }
            Change::PutPreset { content, .. } => self.check_preset(content),
            _ => Vec::new(),
        }
    }

    fn check_domain_out(&self, current: Option<&Configuration>, domain: &DomainId) -> Vec<Failure> {
        let mut refusals = Vec::new();
        if !self.domains.contains(domain) {
            refusals.push(unknown_name(
                "failure domain",
                domain.as_str(),
                &join_names(&self.domains),
            ));
        }
        let is_out =
            |d: &DomainId| d == domain || current.is_some_and(|c| c.out_domains.contains(d));
        if self.domains.iter().all(is_out) {
            let detail = format!("no failure domain would be in service without {domain}");
            refusals.push(overridable(Code::LastDomain, &detail));
        }
        refusals
    }

    fn check_preset(&self, preset: &Preset) -> Vec<Failure> {
        let named = preset.models.values().flat_map(|m| m.endpoints.iter().flatten());
        let missing = named.filter(|e| !self.endpoints.contains(e));
        missing
            .map(|e| unknown_name("endpoint", e.as_str(), &join_names(&self.endpoints)))
            .collect()
    }
}

fn join_names<T: ToString>(names: &BTreeSet<T>) -> String {
    let names: Vec<_> = names.iter().map(ToString::to_string).collect();
    names.join(", ")
}

fn unknown_name(kind: &str, name: &str, known: &str) -> Failure {
    overridable(Code::UnknownName, &format!("no {kind} {name}; known: {known}"))
}

fn overridable(code: Code, detail: &str) -> Failure {
    let number = code.number();
    Failure::new(code, &format!("{detail}; to do it all the same add --confirm {number}"))
}
