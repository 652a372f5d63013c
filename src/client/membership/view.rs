//! What operators are told of the members.

use super::Membership;
use super::swim::{MemberCount, MemberId};
use serde::Serialize;
use serde_json::{Value, json};

/// What has come and gone over the socket.
#[derive(Clone, Copy, Default, Serialize)]
pub(super) struct Traffic {
    pub(super) received: u64,
    pub(super) received_bytes: u64,
    pub(super) sent: u64,
    pub(super) sent_bytes: u64,
    pub(super) unsent: u64,
    pub(super) garbage: u64,
    pub(super) other_cluster: u64,
    pub(super) too_many_members: u64,
}

impl Membership {
    /// The view, for operators.
    pub fn page(&self) -> Value {
        let (swim, heard) = (self.swim.borrow(), self.last_received.borrow());
        let members: Vec<Value> = swim
            .members()
            .map(|m| {
                let heard_ms = heard.get(&m.id.addr).map(|at| at.elapsed().as_millis() as u64);
                json!({"name": m.id.name, "addr": m.id.addr, "zone": m.id.zone, "generation": m.id.generation,
                       "standing": m.state, "incarnation": m.incarnation, "heard_ms_ago": heard_ms})
            })
            .collect();
        let MemberCount { alive, in_zone, known, rank } = swim.count();
        let id = swim.id();
        json!({"name": id.name, "addr": id.addr, "zone": id.zone, "generation": id.generation, "alive": alive,
               "in_zone": in_zone, "known": known, "rank": rank, "members": members, "traffic": self.datagram_counts.get()})
    }
}

pub(super) fn told(id: &MemberId) -> String {
    format!("{} at {} (generation {})", id.name, id.addr, id.generation)
}
