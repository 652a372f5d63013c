//! The membership's page for operators. Its keys are a contract with their scripts.

use super::Membership;
use super::swim::MemberCount;
use serde::Serialize;
use serde_json::{Value, json};

/// Counts of the datagrams that went over the socket, since the start.
#[derive(Clone, Copy, Default, Serialize)]
pub(super) struct DatagramCounts {
    /// Received, accepted or not.
    pub(super) received: u64,
    /// Bytes in them.
    pub(super) received_bytes: u64,
    /// Sent.
    pub(super) sent: u64,
    /// Bytes in them.
    pub(super) sent_bytes: u64,
    /// Not accepted by the socket, and lost.
    pub(super) unsent: u64,
    /// Dropped as malformed.
    #[serde(rename = "garbage")]
    pub(super) malformed: u64,
    /// Dropped as another cluster's.
    pub(super) other_cluster: u64,
    /// Dropped since too many members are known.
    pub(super) too_many_members: u64,
}

impl Membership {
    /// This process, the members with their states, and the datagram counts, as JSON.
    pub fn page(&self) -> Value {
        let swim = self.swim.borrow();
        let last_received = self.last_received.borrow();
        let members: Vec<Value> = swim
            .members()
            .map(|member| {
                let received = last_received.get(&member.id.addr);
                let received_ms_ago = received.map(|at| at.elapsed().as_millis() as u64);
                json!({"name": member.id.name, "addr": member.id.addr, "zone": member.id.zone,
                       "generation": member.id.generation, "standing": member.state,
                       "incarnation": member.incarnation, "heard_ms_ago": received_ms_ago})
            })
            .collect();
        let MemberCount { alive, in_zone, known, rank } = swim.count();
        let id = swim.id();
        json!({"name": id.name, "addr": id.addr, "zone": id.zone, "generation": id.generation, "alive": alive,
               "in_zone": in_zone, "known": known, "rank": rank, "members": members,
               "traffic": self.datagram_counts.get()})
    }
}
