//! Observations of the other members that this process reports; the registry compares the reports of all proxies.

use super::Membership;
use super::swim::MemberState;
use crate::route_table::Witness;

impl Membership {
    /// Returns this process's generation: its start, Unix time in microseconds, plus one for each time that it rejoined
    /// after other members declared it dead.
    pub fn generation(&self) -> u64 {
        self.swim.borrow().id().generation
    }

    /// Returns the number of members that are alive or suspect, including this process.
    pub fn alive(&self) -> u32 {
        self.count.borrow().alive
    }

    /// Returns at most `max` of the other members, from position `first` in their order by name and generation.
    ///
    /// `first` is taken modulo the number of members, so that a caller that increases it by `max` each time reports all
    /// members in turn.
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
