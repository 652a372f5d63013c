//! SWIM protocol (Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
//! Membership Protocol", 2002) as the crate `foca` implements it, without sockets or clock.
//!
//! Its inputs are datagrams and timers, its outputs datagrams, timers and notifications. [`Swim`] owns the protocol's
//! state, frames the datagrams, and limits and counts the members.
//!
//! A member has a generation, which increases with each restart and each time that it rejoins after it was declared
//! dead. Within a generation its incarnation increases with each suspicion that it refutes.

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

/// Longest datagram in bytes, below the usual MTU.
pub const MAX_DATAGRAM: usize = 1400;

/// Longest name or zone of a member in bytes, as for a DNS label.
pub const MAX_NAME_BYTES: usize = 63;
/// Number of known members, including dead ones, from which datagrams of new members are dropped.
///
/// Without a limit, forged announcements would exhaust the memory. This many members with short names take 11 MB
/// of resident memory. Members learned from the gossip of known members are accepted beyond the limit.
pub const MAX_MEMBERS: usize = 16_384;

/// Reason for dropping a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// The datagram is not of this protocol, or was damaged in transit.
    Malformed,
    /// The datagram belongs to another cluster.
    OtherCluster,
    /// The datagram's sender is a new member, and [`MAX_MEMBERS`] members are known already.
    TooManyMembers,
}

/// Protocol instance of one process.
pub struct Swim {
    foca: Foca<MemberId, PostcardCodec, StdRng, NoCustomBroadcast>,
    /// Pending datagrams, timers and notifications.
    output: AccumulatingRuntime<MemberId>,
    /// CRC-32 of the cluster's name.
    cluster_hash: u32,
}

impl Swim {
    /// Creates an instance that knows no other members; `seed` seeds the random choice of members to probe and to
    /// gossip with.
    pub fn new(id: MemberId, timing: &Timing, cluster: &str, seed: u64) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        let foca = Foca::new(id, timing.config(), rng, PostcardCodec);
        let cluster_hash = crc32fast::hash(cluster.as_bytes());
        Swim { foca, output: AccumulatingRuntime::new(), cluster_hash }
    }

    /// Returns this process's identity.
    pub fn id(&self) -> &MemberId {
        self.foca.identity()
    }

    /// Handles a received datagram; returns its sender.
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
        // The protocol ignores datagrams that are late, repeated or addressed to an earlier generation.
        self.foca.handle_data(body, &mut self.output).map_err(|_| DropReason::Malformed)?;
        Ok(sender)
    }

    fn knows(&self, addr: SocketAddr) -> bool {
        self.foca.iter_membership_state().any(|member| member.id().addr == addr)
    }

    /// Handles a timer that is due. A timer made obsolete by a later change has no effect.
    ///
    /// With `notify_down_members`, foca 2.0.0 notifies a suspect that it is down when its suspicion timer expires, even
    /// if it refuted the suspicion in time, and the member would needlessly take a new generation. Such a timer is
    /// ignored unless its suspicion is still current.
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

    /// Announces this process to the member at address `seed`, which adds it to its members.
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

    /// Removes and returns the next datagram to send, with its destination.
    pub fn next_datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        let (to, body) = self.output.to_send()?;
        Some((to.addr, frame(&body, self.cluster_hash)))
    }

    /// Removes and returns the next timer to set, with the delay after which it is due.
    pub fn next_timer(&mut self) -> Option<(Duration, Timer<MemberId>)> {
        self.output.to_schedule()
    }

    /// Removes and returns the next notification of a change among the members.
    pub fn next_notification(&mut self) -> Option<OwnedNotification<MemberId>> {
        self.output.to_notify()
    }

    /// Returns all other members that are not forgotten.
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

    /// Counts the members and determines this process's rank.
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

    /// Returns the other members by name. Of a member that restarted at another address, which has two identities, the
    /// one with the highest generation is returned.
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
