//! Who this process is to those that hear from it.

use crate::client::membership::Membership;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

/// Who this process is to those that hear from it.
pub struct Identity {
    name: String,
    /// Its zone.
    pub zone: String,
    started: u64,
    pub(super) membership: Option<Rc<Membership>>,
}

impl Identity {
    /// By its name, see [`named`](super::named).
    pub fn new(name: String, zone: String, membership: Option<Rc<Membership>>) -> Rc<Self> {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Rc::new(Identity { name, zone, started: unix.as_micros() as u64, membership })
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Its start, or the generation that it has among the members: they must not differ.
    pub fn generation(&self) -> u64 {
        self.membership.as_ref().map_or(self.started, |m| m.generation())
    }
}
