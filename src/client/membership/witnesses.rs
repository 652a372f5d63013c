//! What this process reports of the other members to the registry, which compares the reports of all proxies.

use super::Membership;
use super::swim::MemberState;
use crate::route_table::Witness;

impl Membership {
    /// This process's generation: its start, Unix time in microseconds, or later if others took it for dead since.
    pub fn generation(&self) -> u64 {
        self.swim.borrow().id().generation
    }

    /// How many members are alive or suspect, this one included.
    pub fn alive(&self) -> u32 {
        self.count.borrow().alive
    }

    /// At most `max` of the other members, from place `first` on in their order by name and generation.
    ///
    /// Places count modulo the number of members, so that a caller that goes on by `max` each time reports all in turn.
    pub fn witnessed_members(&self, first: usize, max: usize) -> Vec<Witness> {
        let mut members: Vec<Witness> = self
            .swim
            .borrow()
            .members()
            .map(|member| Witness {
                name: member.id.name,
                generation: member.id.generation,
                alive: member.state != MemberState::Gone,
            })
            .collect();
        members.sort_by(|a, b| (&a.name, a.generation).cmp(&(&b.name, b.generation)));
        if let Some(first) = first.checked_rem(members.len()) {
            members.rotate_left(first);
        }
        members.truncate(max);
        members
    }
}
