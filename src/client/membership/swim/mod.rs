//! The SWIM protocol (Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
//! Membership Protocol", 2002) as the crate `foca` implements it, without sockets or clock.
//!
//! Datagrams and timers go in; datagrams, timers and notifications come out. [`Swim`] owns the protocol's state, frames
//! the datagrams, bounds the number of members and counts them.
//!
//! A member has a generation, which rises with each restart and with each return after it was taken for dead, and
//! within it an incarnation, which rises with each suspicion that it refutes.

mod frame;
mod member;
mod timing;

pub use member::{Member, MemberCount, MemberId, MemberState};
pub use timing::Timing;

use frame::{frame, unframe};

use foca::{
    AccumulatingRuntime, Codec, Foca, NoCustomBroadcast, OwnedNotification, PostcardCodec, State, Timer,
};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest datagram, under the smallest usual MTU.
pub const MAX_DATAGRAM: usize = 1400;

/// Longest name, as for a DNS label.
pub const MAX_NAME_BYTES: usize = 63;
/// The most members, dead ones included, with which a new one that announces itself is still accepted.
///
/// Failure: a stranger announces made-up members and fills the memory. So many members with short names take 11 MB
/// (measured as the resident memory of `limits::as_many_members_...` over that of another test of its file). Members
/// that other members gossip about are accepted beyond it.
pub const MAX_MEMBERS: usize = 16_384;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// It is not of this protocol, or was damaged on its way.
    Malformed,
    /// It is of another cluster.
    OtherCluster,
    /// Its sender is new, and [`MAX_MEMBERS`] are known.
    TooManyMembers,
}

/// One process's part in the protocol.
pub struct Swim {
    foca: Foca<MemberId, PostcardCodec, StdRng, NoCustomBroadcast>,
    /// What the protocol wants done.
    output: AccumulatingRuntime<MemberId>,
    /// crc32 of the cluster's name.
    cluster_hash: u32,
}

impl Swim {
    /// Alone at first; `seed` seeds the random choice of members to probe and to gossip with.
    pub fn new(id: MemberId, timing: &Timing, cluster: &str, seed: u64) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        let foca = Foca::new(id, timing.config(), rng, PostcardCodec);
        let cluster_hash = crc32fast::hash(cluster.as_bytes());
        Swim { foca, output: AccumulatingRuntime::new(), cluster_hash }
    }

    /// This process's identity.
    pub fn id(&self) -> &MemberId {
        self.foca.identity()
    }

    /// Handles a datagram; returns its sender.
    pub fn receive(&mut self, datagram: &[u8]) -> Result<MemberId, DropReason> {
        let body = unframe(datagram, self.cluster_hash)?;
        let header = PostcardCodec.decode_header(body).map_err(|_| DropReason::Malformed)?;
        let sender: MemberId = header.src;
        if sender.name.is_empty() || sender.name.len() > MAX_NAME_BYTES || sender.zone.len() > MAX_NAME_BYTES
        {
            return Err(DropReason::Malformed);
        }
        if self.foca.iter_membership_state().len() >= MAX_MEMBERS && !self.knows(sender.addr) {
            return Err(DropReason::TooManyMembers);
        }
        // The protocol ignores a datagram that is late, repeated or meant for an earlier generation.
        self.foca.handle_data(body, &mut self.output).map_err(|_| DropReason::Malformed)?;
        Ok(sender)
    }

    fn knows(&self, addr: SocketAddr) -> bool {
        self.foca.iter_membership_state().any(|member| member.id().addr == addr)
    }

    /// Handles a timer that is due. One that a later change made obsolete does nothing.
    ///
    /// Failure: with `notify_down_members`, foca 2.0.0 tells a suspect that it is down when its suspicion runs out, even
    /// if it refuted the suspicion in time, and the member needlessly takes a new generation. Such a timer is ignored
    /// unless the suspicion that it belongs to still stands.
    pub fn handle_timer(&mut self, timer: Timer<MemberId>) {
        if let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = &timer
            && !self.is_suspect(member_id, *incarnation)
        {
            return;
        }
        let _ = self.foca.handle_timer(timer, &mut self.output);
    }

    fn is_suspect(&self, id: &MemberId, incarnation: u16) -> bool {
        self.foca.iter_membership_state().any(|member| {
            member.id() == id && member.state() == State::Suspect && member.incarnation() == incarnation
        })
    }

    /// Asks the member at an address to accept this process.
    pub fn announce(&mut self, seed: SocketAddr) {
        let id = MemberId { addr: seed, generation: 0, name: String::new(), zone: String::new() };
        if seed != self.id().addr {
            let _ = self.foca.announce(id, &mut self.output);
        }
    }

    /// Announces to the other members that this process leaves.
    pub fn leave(&mut self) {
        let _ = self.foca.leave_cluster(&mut self.output);
    }

    /// The next datagram to send, and its receiver.
    pub fn next_datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        let (to, body) = self.output.to_send()?;
        Some((to.addr, frame(&body, self.cluster_hash)))
    }

    /// The next timer to set, and the delay after which it is due.
    pub fn next_timer(&mut self) -> Option<(Duration, Timer<MemberId>)> {
        self.output.to_schedule()
    }

    /// The next change among the members.
    pub fn next_notification(&mut self) -> Option<OwnedNotification<MemberId>> {
        self.output.to_notify()
    }

    /// All other members that are not forgotten.
    pub fn members(&self) -> impl Iterator<Item = Member> {
        self.foca.iter_membership_state().map(|member| Member {
            id: member.id().clone(),
            state: match member.state() {
                State::Alive => MemberState::Alive,
                State::Suspect => MemberState::Suspect,
                State::Down => MemberState::Gone,
            },
            incarnation: member.incarnation(),
        })
    }

    /// Counts the members.
    pub fn count(&self) -> MemberCount {
        let own = self.id();
        let others = self.latest_generations();
        let alive = || others.values().filter(|member| member.state != MemberState::Gone);
        let order = |name: &str| (crc32fast::hash(name.as_bytes()), name.to_string());
        let own_order = order(&own.name);
        let in_zone = alive().filter(|member| member.id.zone == own.zone).count();
        let before_own = alive().filter(|member| order(&member.id.name) < own_order).count();
        MemberCount {
            alive: 1 + alive().count() as u32,
            in_zone: 1 + in_zone as u32,
            known: 1 + others.len() as u32,
            rank: before_own as u32,
        }
    }

    /// The other members by name. One that restarted at another address is known by two identities; the latest counts.
    fn latest_generations(&self) -> HashMap<String, Member> {
        let mut latest: HashMap<String, Member> = HashMap::new();
        for member in self.members().filter(|member| member.id.name != self.id().name) {
            let known = latest.get(&member.id.name);
            if known.is_none_or(|known| known.id.generation < member.id.generation) {
                latest.insert(member.id.name.clone(), member);
            }
        }
        latest
    }
}
