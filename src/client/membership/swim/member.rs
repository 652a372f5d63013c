//! The members as the protocol knows them: their identities, their states and their count.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A member's identity, as members send it to each other. The order of its fields is that of the wire.
///
/// Members are distinguished by address. Of two identities with one address the later generation is the member, and
/// the earlier one is what it was before a restart.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberId {
    /// Where its datagrams go.
    pub addr: SocketAddr,
    /// Its start, Unix time in microseconds, plus one for each time that it was taken for dead and returned.
    pub generation: u64,
    /// Its name, the same after a restart.
    pub name: String,
    /// Its zone.
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

/// A member's state, as this process sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// It answers probes.
    Alive,
    /// It did not answer a probe and has not refuted the suspicion yet.
    Suspect,
    /// It has left, or its suspicion ran out.
    Gone,
}

/// A member, as this process sees it.
#[derive(Clone, Debug, Serialize)]
pub struct Member {
    /// Its identity.
    pub id: MemberId,
    /// Its state.
    #[serde(rename = "standing")]
    pub state: MemberState,
    /// How many suspicions it has refuted within its generation.
    pub incarnation: u16,
}

/// How many members there are, this process included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberCount {
    /// Alive or suspect.
    pub alive: u32,
    /// Of these, in this process's zone.
    pub in_zone: u32,
    /// Alive, suspect, or gone and not forgotten.
    pub known: u32,
    /// This process's place among the alive, from 0, in the order of their names' hashes. A member that joins or leaves
    /// moves each other place by one at most, and processes with neighbouring names are not neighbours.
    pub rank: u32,
}

impl MemberCount {
    /// Whether no other member is alive.
    pub fn is_alone(&self) -> bool {
        self.alive <= 1
    }
}
