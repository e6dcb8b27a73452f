//! Stand-ins of the platform's store, servers and clients, and the cases that use them.
//!
//! `standins CASE` runs a case from the repository's root and exits with 1 if the rule was broken, 0
//! if it held and 2 if the case couldn't run. `TROUBLE=0` leaves the disruption out.

mod bodies;
mod client;
mod desk;
mod fleet;
mod http;
mod keys;
mod listing;
mod record;
mod store;

use std::process::exit;

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    let run = match case.as_str() {
        "bodies" => bodies::run,
        "keys" => keys::run,
        "listing" => listing::run,
        _ => {
            eprintln!("usage: standins bodies|keys|listing");
            exit(2);
        }
    };
    match run(is_troubled) {
        Ok(true) => exit(0),
        Ok(false) => exit(1),
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            exit(2);
        }
    }
}
