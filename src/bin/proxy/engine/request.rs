//! A request's life: taken, owed one answer, answered.

use super::Engine;
use crate::upstream::{Call, Served};
use load_balancer::interface::{BackendId, Event, RequestId};
use load_balancer::replay::Ending;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A request still without an answer so long before the caller's deadline is failed whatever the module says.
const BACKSTOP: Duration = Duration::from_millis(10);
/// Of a short wait it takes this part at the most: less than the margin of the module's own deadline.
const BACKSTOP_PART: u32 = 10;

/// How long before the end of a caller's wait its request is failed whatever the module says.
pub(super) fn backstop(wait: Duration) -> Duration {
    BACKSTOP.min(wait / BACKSTOP_PART)
}

/// A request's final answer.
pub enum Answer {
    /// A backend's answer.
    Served(Served),
    /// Turned away; a further try is harmless.
    Refused {
        /// How long the caller should stay away, where that is told.
        retry_after: Option<Duration>,
    },
    /// Failed; nothing is promised.
    Failed,
    /// No answer in time; nothing is promised.
    TimedOut,
    /// Its caller stopped half-way.
    Broken,
}

/// A request as it came in, its names resolved.
pub struct Incoming {
    /// What is sent to backends.
    pub call: Call,
    /// Place of its class in the settings.
    pub class: u16,
    /// Place of its tenant.
    pub tenant: u16,
    /// What it is about.
    pub key: Option<String>,
    /// When all of it had come that is held.
    pub received: Instant,
    /// How long its caller waits from its last byte on.
    pub patience: Duration,
}

/// What a request is owed. The way to the caller is spent by its one answer.
pub(super) enum Life {
    Owed(oneshot::Sender<Answer>),
    Over,
}

pub(super) struct Out {
    pub(super) backend: BackendId,
    pub(super) sent: Instant,
    pub(super) cancel: Option<oneshot::Sender<()>>,
}

pub(super) struct Open {
    pub(super) call: Rc<Call>,
    pub(super) life: Life,
    /// Attempts by number; `None` once resolved.
    pub(super) attempts: Vec<Option<Out>>,
    /// For how long backends drop its repeats, where they do.
    pub(super) window: Option<Duration>,
    /// When the first of the resolved attempts was sent that may have run.
    pub(super) ran: Option<Instant>,
}

impl Open {
    /// Until when a further attempt may begin: past that, backends run a repeat again. One that is out may run.
    pub(super) fn begin_by(&self) -> Option<Instant> {
        let out = self.attempts.iter().flatten().map(|out| out.sent);
        Some(out.chain(self.ran).min()? + self.window?)
    }

    /// Gives the answer if one is still owed.
    pub(super) fn answer(&mut self, answer: Answer) {
        if let Life::Owed(caller) = std::mem::replace(&mut self.life, Life::Over) {
            // A caller that has just left takes no answer; its hang-up says so.
            let _ = caller.send(answer);
        }
    }
    /// Its caller has left: what of its body is not written yet never is.
    pub(super) fn leave(&mut self) {
        self.life = Life::Over;
        if let Some(rest) = &self.call.rest {
            rest.withdraw();
        }
    }
    pub(super) fn done(&self) -> bool {
        matches!(self.life, Life::Over) && self.attempts.iter().all(Option::is_none)
    }
}

/// A caller that waits. When it is gone without an answer, the module is told.
pub(super) struct Here {
    pub(super) engine: Rc<Engine>,
    pub(super) request: RequestId,
    /// How it ends, unless it leaves.
    pub(super) ending: Cell<Ending>,
}

impl Here {
    /// Notes the end that an answer is.
    pub(super) fn ends(&self, answer: Answer) -> Answer {
        self.ending.set(match answer {
            Answer::Served(_) => Ending::Served,
            Answer::Refused { .. } => Ending::Refused,
            Answer::Failed | Answer::TimedOut => Ending::Failed,
            Answer::Broken => Ending::Left,
        });
        answer
    }
}

impl Drop for Here {
    fn drop(&mut self) {
        let left = {
            let s = &mut *self.engine.state.borrow_mut();
            let open = s.requests.get_mut(&self.request);
            let owed = open.filter(|r| matches!(r.life, Life::Owed(_)));
            let left = owed.map(|r| r.leave()).is_some();
            s.forget(self.request);
            left
        };
        if left {
            self.engine.tell(Event::ClientGone { request: self.request });
        }
        self.engine.observe_end(self.request, self.ending.get());
    }
}
