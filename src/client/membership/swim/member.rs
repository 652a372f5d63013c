//! Members as the protocol knows them: their identities, states and count.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Identity of a member, as members send it to each other. The order of the fields is the wire format.
///
/// Members are distinguished by address. Of two identities with the same address the one with the higher generation is
/// current; the other is from before a restart.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberId {
    /// Address to which the member's datagrams are sent.
    pub addr: SocketAddr,
    /// Start of the member, Unix time in microseconds, plus one for each time that it rejoined after it was declared
    /// dead.
    pub generation: u64,
    /// Name of the member, which stays the same across restarts.
    pub name: String,
    /// Zone of the member.
    pub zone: String,
}

impl Identity for MemberId {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Self> {
        Some(MemberId { generation: self.generation + 1, ..self.clone() })
    }

    fn addr(&self) -> SocketAddr {
        self.addr
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.generation > adversary.generation
    }
}

/// State of a member, as this process sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// The member answers probes.
    Alive,
    /// The member did not answer a probe and has not refuted the suspicion yet.
    Suspect,
    /// The member has left, or its suspicion expired.
    Gone,
}

/// Member of the tier, as this process sees it.
#[derive(Clone, Debug, Serialize)]
pub struct Member {
    /// Identity of the member.
    pub id: MemberId,
    /// State of the member.
    #[serde(rename = "standing")]
    pub state: MemberState,
    /// Number of suspicions that the member has refuted within its generation.
    pub incarnation: u16,
}

/// Numbers of members, including this process, and the rank of this process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberCount {
    /// Number of members that are alive or suspect.
    pub alive: u32,
    /// Number of members in this process's zone that are alive or suspect.
    pub in_zone: u32,
    /// Number of members that are alive, suspect, or gone and not forgotten.
    pub known: u32,
    /// Position of this process among the live members, from 0, ordered by the hashes of their names. A member that
    /// joins or leaves changes the rank of each other member by at most one. Processes with similar names have
    /// unrelated ranks.
    pub rank: u32,
}

impl MemberCount {
    /// Returns whether no other member is alive.
    pub fn is_alone(&self) -> bool {
        self.alive <= 1
    }
}
