//! Plays roll-outs in virtual time: instances with the product's own tables and judges, endpoints of two
//! versions of which one may be bad, links that delay, lose and are cut, and a store that is away at times.

mod endpoints;
mod instance;
mod plan;
mod referee;
mod store;
mod world;

pub use plan::{Fault, Flaw, Plan};
pub use referee::{End, Report};
pub use world::play;
