//! The SWIM protocol (Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
//! Membership Protocol", 2002) as `foca` has it, without sockets or clock: datagrams and timers go in, datagrams,
//! timers and news come out. This file frames the datagrams, names the members and keeps what is told of them.

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
pub const MAX_NAME: usize = 63;
/// Nobody who asks is taken in beside so many: it bounds what strangers can add. Members that members tell of come in still.
/// So many with short names take 11 MB (measured as the resident memory of `limits::as_many_members_...` over that of another
/// test of its file).
pub const MAX_MEMBERS: usize = 16_384;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// It is no datagram of this protocol, or is spoilt.
    Malformed,
    /// It is another cluster's.
    OtherCluster,
    /// There are too many members to take one more in.
    TooManyMembers,
}

/// One process's part in the protocol.
pub struct Swim {
    foca: Foca<MemberId, PostcardCodec, StdRng, NoCustomBroadcast>,
    out: AccumulatingRuntime<MemberId>,
    cluster: u32,
}

impl Swim {
    /// Alone at first.
    pub fn new(id: MemberId, timing: &Timing, cluster: &str, seed: u64) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        let foca = Foca::new(id, timing.config(), rng, PostcardCodec);
        Swim { foca, out: AccumulatingRuntime::new(), cluster: crc32fast::hash(cluster.as_bytes()) }
    }

    /// This process.
    pub fn id(&self) -> &MemberId {
        self.foca.identity()
    }

    /// Takes a datagram in; says who sent it.
    pub fn receive(&mut self, datagram: &[u8]) -> Result<MemberId, DropReason> {
        let body = unframe(datagram, self.cluster)?;
        let header = PostcardCodec.decode_header(body).map_err(|_| DropReason::Malformed)?;
        let MemberId { name, zone, .. } = &header.src;
        if name.is_empty() || name.len() > MAX_NAME || zone.len() > MAX_NAME {
            return Err(DropReason::Malformed);
        }
        if self.foca.iter_membership_state().len() >= MAX_MEMBERS && !self.knows(header.src.addr) {
            return Err(DropReason::TooManyMembers);
        }
        // What comes late, twice or for an earlier generation is passed over there.
        self.foca.handle_data(body, &mut self.out).map_err(|_| DropReason::Malformed)?;
        Ok(header.src)
    }

    fn knows(&self, addr: SocketAddr) -> bool {
        self.foca.iter_membership_state().any(|m| m.id().addr == addr)
    }

    /// A timer is due. Timers that a change has overtaken are passed over.
    pub fn handle_timer(&mut self, timer: Timer<MemberId>) {
        if let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = &timer {
            // With `notify_down_members`, foca 2.0.0 tells even one who refuted in time that it is down, and it gives
            // up its generation for nothing.
            let mut all = self.foca.iter_membership_state();
            let suspect = all.any(|m| {
                m.id() == member_id && m.state() == State::Suspect && m.incarnation() == *incarnation
            });
            if !suspect {
                return;
            }
        }
        let _ = self.foca.handle_timer(timer, &mut self.out);
    }

    /// Asks whoever is at an address to be taken in.
    pub fn announce(&mut self, seed: SocketAddr) {
        let id = MemberId { addr: seed, generation: 0, name: String::new(), zone: String::new() };
        if seed != self.id().addr {
            let _ = self.foca.announce(id, &mut self.out);
        }
    }

    /// Tells the others that this process goes.
    pub fn leave(&mut self) {
        let _ = self.foca.leave_cluster(&mut self.out);
    }

    /// The next datagram to send, and where to.
    pub fn next_datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        let (to, body) = self.out.to_send()?;
        Some((to.addr, frame(&body, self.cluster)))
    }

    /// The next timer to set.
    pub fn next_timer(&mut self) -> Option<(Duration, Timer<MemberId>)> {
        self.out.to_schedule()
    }

    /// The next thing that has happened.
    pub fn next_notification(&mut self) -> Option<OwnedNotification<MemberId>> {
        self.out.to_notify()
    }

    /// All others that are remembered.
    pub fn members(&self) -> impl Iterator<Item = Member> {
        self.foca.iter_membership_state().map(|m| Member {
            id: m.id().clone(),
            state: match m.state() {
                State::Alive => MemberState::Alive,
                State::Suspect => MemberState::Suspect,
                State::Down => MemberState::Gone,
            },
            incarnation: m.incarnation(),
        })
    }

    /// How many there are. One that has moved to another address counts once, as its latest generation.
    pub fn count(&self) -> MemberCount {
        let mut latest: HashMap<String, Member> = HashMap::new();
        for member in self.members().filter(|m| m.id.name != self.id().name) {
            let held = latest.get(&member.id.name);
            if held.is_none_or(|held| held.id.generation < member.id.generation) {
                latest.insert(member.id.name.clone(), member);
            }
        }
        let alive = || latest.values().filter(|m| m.state != MemberState::Gone);
        let in_zone = alive().filter(|m| m.id.zone == self.id().zone).count();
        let place = |name: &str| (crc32fast::hash(name.as_bytes()), name.to_string());
        let own = place(&self.id().name);
        let rank = alive().filter(|m| place(&m.id.name) < own).count() as u32;
        let count = |others: usize| 1 + others as u32;
        MemberCount {
            alive: count(alive().count()),
            in_zone: count(in_zone),
            known: count(latest.len()),
            rank,
        }
    }
}
