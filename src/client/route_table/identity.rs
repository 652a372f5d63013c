//! Name, zone and generation under which the registry knows this process.

use crate::client::membership::Membership;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

/// Identity of this process in its reports, its recorded segments and its polls of the route table.
pub struct Identity {
    name: String,
    /// Zone of the process.
    pub zone: String,
    /// Start of the process, Unix time in microseconds.
    started_us: u64,
    pub(super) membership: Option<Rc<Membership>>,
}

impl Identity {
    /// Creates an identity with the name returned by [`resolve_name`](super::resolve_name).
    pub fn new(name: String, zone: String, membership: Option<Rc<Membership>>) -> Rc<Self> {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Rc::new(Identity { name, zone, started_us: unix.as_micros() as u64, membership })
    }

    /// Returns the name of the process.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the generation of the process: that of its membership, or else its start, Unix time in microseconds.
    ///
    /// The registry compares it with the generation that peers report, which is that of the membership.
    pub fn generation(&self) -> u64 {
        self.membership.as_ref().map_or(self.started_us, |membership| membership.generation())
    }
}
