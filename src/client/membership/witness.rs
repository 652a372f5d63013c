//! What this process says of the other members to those who compare what the proxies know.

use super::Membership;
use super::swim::MemberState;
use crate::route_table::Witness;

impl Membership {
    /// This process's generation: its start, or later if it was held for dead meanwhile.
    pub fn generation(&self) -> u64 {
        self.swim.borrow().id().generation
    }

    /// How many are alive, this one included.
    pub fn alive(&self) -> u32 {
        self.count.borrow().alive
    }

    /// At most `most` of the others, going on from the place `from` in a fixed order.
    pub fn witnessed_members(&self, from: usize, most: usize) -> Vec<Witness> {
        let mut all: Vec<Witness> = self
            .swim
            .borrow()
            .members()
            .map(|m| Witness {
                name: m.id.name,
                generation: m.id.generation,
                alive: m.state != MemberState::Gone,
            })
            .collect();
        all.sort_by(|a, b| (&a.name, a.generation).cmp(&(&b.name, b.generation)));
        if let Some(from) = from.checked_rem(all.len()) {
            all.rotate_left(from);
        }
        all.truncate(most);
        all
    }
}
