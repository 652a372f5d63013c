//! Membership page for operators. Its keys are a contract: operators' scripts parse them.

use super::Membership;
use super::swim::MemberCount;
use serde::Serialize;
use serde_json::{Value, json};

/// Counts of the membership's datagrams since the start.
#[derive(Clone, Copy, Default, Serialize)]
pub(super) struct DatagramCounts {
    /// Received datagrams, including dropped ones.
    pub(super) received: u64,
    /// Bytes of the received datagrams.
    pub(super) received_bytes: u64,
    /// Sent datagrams.
    pub(super) sent: u64,
    /// Bytes of the sent datagrams.
    pub(super) sent_bytes: u64,
    /// Datagrams that the socket did not accept, which are lost.
    pub(super) unsent: u64,
    /// Datagrams dropped as malformed.
    #[serde(rename = "garbage")]
    pub(super) malformed: u64,
    /// Datagrams dropped because they belong to another cluster.
    pub(super) other_cluster: u64,
    /// Datagrams of new members dropped because [`MAX_MEMBERS`](super::swim::MAX_MEMBERS) are known.
    pub(super) too_many_members: u64,
}

impl Membership {
    /// Returns this process, the members with their states, and the datagram counts, as JSON.
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
