//! Members: who they are and what has become of them.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A member's identity. Its address is its place; of two at one address the later generation is the member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberId {
    /// Where its datagrams go.
    pub addr: SocketAddr,
    /// Its start, Unix time in microseconds, or later: rises with each start, and with each return after a death.
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

/// What has become of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It did not answer, nor did it refute that yet.
    Suspect,
    /// It has left or is taken for dead.
    Gone,
}

/// A member, as this process sees it.
#[derive(Clone, Debug, Serialize)]
pub struct Member {
    /// Who.
    pub id: MemberId,
    /// What has become of it.
    #[serde(rename = "standing")]
    pub state: MemberState,
    /// How often it has refuted a suspicion.
    pub incarnation: u16,
}

/// How many proxies there are, this one included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberCount {
    /// Alive or suspect.
    pub alive: u32,
    /// Of them in this one's zone.
    pub in_zone: u32,
    /// Alive, suspect, or gone and not forgotten.
    pub known: u32,
    /// This one's place among the alive, from 0, in an order of names by their hash: one that comes or goes moves the
    /// places of the others by one at most, and neighbours by name or host do not stand together.
    pub rank: u32,
}

impl MemberCount {
    /// Whether there is nobody else.
    pub fn is_alone(&self) -> bool {
        self.alive <= 1
    }
}
