//! The names that a change may use.

use std::collections::BTreeSet;

use super::{Change, Configuration, Preset};
use crate::code::Code;
use crate::endpoint::Endpoint;
use crate::failure::Failure;
use crate::id::{DomainId, EndpointId};
use crate::peer::Entry;

/// Failure domains and endpoints that the platform lists.
///
/// An operator who mistypes a failure domain's name in a hurry would see an accepted change while
/// the failing domain still gets work. A name that is nowhere listed is therefore refused, not only
/// warned of. Lists lag, so the operator may confirm the one refusal by its code.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Known {
    /// Failure domains of instances and endpoints.
    pub domains: BTreeSet<DomainId>,
    /// Endpoints.
    pub endpoints: BTreeSet<EndpointId>,
}

impl Known {
    /// Collects the names out of the platform's lists.
    pub fn new(endpoints: &[Endpoint], instances: &[Entry]) -> Self {
        let of_endpoints = endpoints.iter().map(|e| e.domain.clone());
        let of_instances = instances.iter().map(|e| e.domain.clone());
        Self {
            domains: of_endpoints.chain(of_instances).collect(),
            endpoints: endpoints.iter().map(|e| e.id.clone()).collect(),
        }
    }

    /// Refuses a change that names what is not known or leaves no failure domain in service.
    ///
    /// `confirmed` is the number of a refusal that the operator overrides.
    pub fn judge(
        &self,
        now: Option<&Configuration>,
        change: &Change,
        confirmed: u64,
    ) -> Result<(), Failure> {
        let refusals = self.refusals(now, change);
        let overridden = |f: &Failure| u64::from(f.code.number()) == confirmed;
        match refusals.into_iter().find(|f| !overridden(f)) {
            Some(refusal) => Err(refusal),
            None => Ok(()),
        }
    }

    fn refusals(&self, now: Option<&Configuration>, change: &Change) -> Vec<Failure> {
        match change {
            Change::DomainOut { domain } => self.domain_out(now, domain),
            Change::EndpointOut { endpoint } if !self.endpoints.contains(endpoint) => {
                vec![unknown("endpoint", endpoint.as_str(), &names(&self.endpoints))]
            }
            Change::PutPreset { content, .. } => self.preset_names(content),
            _ => Vec::new(),
        }
    }

    fn domain_out(&self, now: Option<&Configuration>, domain: &DomainId) -> Vec<Failure> {
        let mut refusals = Vec::new();
        if !self.domains.contains(domain) {
            refusals.push(unknown("failure domain", domain.as_str(), &names(&self.domains)));
        }
        let out = |d: &DomainId| d == domain || now.is_some_and(|c| c.out_domains.contains(d));
        if self.domains.iter().all(out) {
            let detail = format!("no failure domain would be in service without {domain}");
            refusals.push(confirmable(Code::LastDomain, &detail));
        }
        refusals
    }

    fn preset_names(&self, preset: &Preset) -> Vec<Failure> {
        let named = preset.models.values().flat_map(|m| &m.endpoints);
        let missing = named.filter(|e| !self.endpoints.contains(e));
        missing.map(|e| unknown("endpoint", e.as_str(), &names(&self.endpoints))).collect()
    }
}

fn names<T: ToString>(known: &BTreeSet<T>) -> String {
    let names: Vec<_> = known.iter().map(ToString::to_string).collect();
    names.join(", ")
}

fn unknown(kind: &str, name: &str, known: &str) -> Failure {
    confirmable(Code::UnknownName, &format!("no {kind} {name}; known: {known}"))
}

fn confirmable(code: Code, detail: &str) -> Failure {
    let number = code.number();
    Failure::new(code, &format!("{detail}; to do it all the same add --confirm {number}"))
}
