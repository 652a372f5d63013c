//! The name, zone and generation by which the registry knows this process.

use crate::client::membership::Membership;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

/// The identity of this process in its reports, its recorded segments and its requests for the table.
pub struct Identity {
    name: String,
    /// Its zone.
    pub zone: String,
    /// Start of the process, Unix time in microseconds.
    started_us: u64,
    pub(super) membership: Option<Rc<Membership>>,
}

impl Identity {
    /// An identity by the name that [`resolve_name`](super::resolve_name) gave.
    pub fn new(name: String, zone: String, membership: Option<Rc<Membership>>) -> Rc<Self> {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Rc::new(Identity { name, zone, started_us: unix.as_micros() as u64, membership })
    }

    /// The name of the process.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The generation of the process: that of its membership, or else its start, Unix time in microseconds.
    ///
    /// The registry compares the two: peers report the generation that membership has.
    pub fn generation(&self) -> u64 {
        self.membership.as_ref().map_or(self.started_us, |membership| membership.generation())
    }
}
