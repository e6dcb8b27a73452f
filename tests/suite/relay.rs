//! Tests of an instance that serves routes, with fakes of the platform, the endpoints and the
//! clients.

mod answer_body;
mod backoff;
mod broken_streams;
mod clients;
mod config;
mod crashers;
mod crashing_parts;
mod cut_off;
mod cut_responses;
mod endless_responses;
mod endpoints;
mod final_status;
mod fleet;
mod framing;
mod leases;
mod leaving;
mod limits;
mod logs;
mod lost_notices;
mod members;
mod memory;
mod moves;
mod odd_entries;
mod outcomes;
mod paces;
mod partial_heads;
mod refused_waits;
mod rollouts;
mod settings;
mod silent_endpoints;
mod site;
mod slow_peers;
mod stalls;
mod stop;
mod stop_streams;
mod store;
mod streams;
mod supply;
mod transmissions;
mod version_records;
mod versions;

use nutmeggrade_fakes::site::{Answer, RawClient};
use site::Site;

/// Sends a request to `/ROUTE/x` and returns the response.
async fn ask(site: &Site, route: &str, id: &str) -> anyhow::Result<Answer> {
    RawClient::ask(site.client(), route, id, "X-Nutmeggrade-Deadline-Ms: 20000\r\n").await
}

/// Headers of a request that carries a prompt.
const PROMPT_HEADERS: &str = "X-Nutmeggrade-Deadline-Ms: 20000\r\nX-Nutmeggrade-Model-Name: m\r\n\
     X-Nutmeggrade-Token-Count: 100,80\r\n";
