//! Watch loop of discovery: polls, passes answers to the listener, and waits between calls.

use super::missing_service::MissingServiceWarning;
use super::poll::{PollAnswer, Poller};
use super::watch_state::WatchState;
use super::{EndpointListener, Settings};
use crate::client::list::ParsedEntries;
use crate::client::registry::CallError;
use crate::interface::ListKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::time::{Instant, sleep};
use tracing::debug;

/// Delay after an answer without a change that arrived sooner than this.
///
/// Without the delay, a registry that answers watches without waiting would be polled in a tight loop. The platform
/// requires the next watch within 200 ms of the last answer, whatever is configured.
const UNCHANGED_DELAY: Duration = Duration::from_millis(100);

/// Watches the endpoint list at the registries in `addresses`, and passes it to `listener`.
///
/// When `addresses` changes, the watch starts again at the new addresses with the full list. `on_demand` is used only
/// where the schedule polls on demand: calls are made while it is true, and the function returns once its sender is
/// dropped. Otherwise the function never returns. `first_list` is notified once the first list has been passed to the
/// listener.
pub async fn run_watch(
    listener: impl EndpointListener,
    mut addresses: watch::Receiver<Vec<SocketAddr>>,
    settings: Settings,
    on_demand: watch::Receiver<bool>,
    first_list: oneshot::Sender<()>,
) {
    let mut first_list = Some(first_list);
    let mut poller = Poller::new(settings.clone());
    loop {
        let registries = addresses.borrow_and_update().clone();
        let watch = EndpointWatch::new(&listener, registries, &settings, &mut poller, &mut first_list);
        tokio::select! {
            () = watch.watch_endpoint(on_demand.clone()) => return,
            Ok(()) = addresses.changed() => {}
        }
        poller.disconnect();
    }
}

/// Watch of the endpoint list at one set of registries.
struct EndpointWatch<'a, L> {
    listener: &'a L,
    settings: &'a Settings,
    state: WatchState,
    poller: &'a mut Poller,
    missing_service: MissingServiceWarning,
    /// Notified of the first list, and `None` from then on.
    first_list: &'a mut Option<oneshot::Sender<()>>,
}

impl<'a, L: EndpointListener> EndpointWatch<'a, L> {
    fn new(
        listener: &'a L,
        registries: Vec<SocketAddr>,
        settings: &'a Settings,
        poller: &'a mut Poller,
        first_list: &'a mut Option<oneshot::Sender<()>>,
    ) -> Self {
        let backoff = settings.schedule.backoff_bounds(registries.len());
        EndpointWatch {
            listener,
            settings,
            state: WatchState::new(registries, backoff),
            poller,
            missing_service: MissingServiceWarning::default(),
            first_list,
        }
    }

    /// Polls for ever, or until the sender of `on_demand` is dropped if lists are polled on demand.
    async fn watch_endpoint(mut self, mut on_demand: watch::Receiver<bool>) {
        loop {
            if self.settings.schedule.on_demand && !self.wait_until_wanted(&mut on_demand).await {
                return;
            }
            if self.listener.take_resync_request() {
                self.state.resync();
                self.poller.disconnect();
            }
            let begun = Instant::now();
            let answer = self.poller.poll(self.state.next_request()).await;
            let delay = match answer.and_then(|answer| self.accept(answer)) {
                Ok(has_changed) if has_changed || begun.elapsed() >= UNCHANGED_DELAY => continue,
                Ok(_) => UNCHANGED_DELAY,
                Err(error) => self.record_failure(&error),
            };
            self.pause(delay).await;
        }
    }

    /// Waits until a poll is wanted, and applies late answers meanwhile. Returns false once the sender is dropped.
    async fn wait_until_wanted(&mut self, on_demand: &mut watch::Receiver<bool>) -> bool {
        loop {
            tokio::select! {
                biased;
                wanted = on_demand.wait_for(|wanted| *wanted) => return wanted.is_ok(),
                answer = self.poller.late_answer() => self.accept_late(answer),
            }
        }
    }

    /// Waits for the delay before the next call, or until a late answer was applied.
    async fn pause(&mut self, delay: Duration) {
        tokio::select! {
            () = sleep(delay) => {}
            answer = self.poller.late_answer() => self.accept_late(answer),
        }
    }

    /// Applies an answer to a call whose poll has failed already.
    fn accept_late(&mut self, answer: PollAnswer) {
        // An answer that is rejected leaves the watch as the failed poll has left it.
        let _ = self.accept(answer);
    }

    /// Applies an answer if it continues the held list; returns whether that changed the list.
    fn accept(&mut self, answer: PollAnswer) -> Result<bool, CallError> {
        let accepted = self.state.accept(&answer.page, answer.request);
        if accepted.is_err() {
            self.poller.disconnect();
        }
        accepted.map(|()| self.apply(answer))
    }

    /// Passes an accepted answer to the listener; returns whether it changed the list.
    fn apply(&mut self, answer: PollAnswer) -> bool {
        let PollAnswer { page, request } = answer;
        if let (Some(service), true) = (&self.settings.service, page.is_full) {
            self.missing_service.record_full_list(service, page.entries.is_empty());
        }
        let has_content = page.is_full || !page.entries.is_empty();
        let kind = if page.is_full { ListKind::Full } else { ListKind::Delta };
        let version = page.version;
        let ParsedEntries { entries, unreadable } = page.into_entries();
        if unreadable > 0 && kind == ListKind::Delta {
            // The registry sends a skipped entry again only as part of the full list.
            self.state.resync();
        }
        debug!("discovery: applying version {version}, {} entries", entries.len());
        if has_content {
            self.listener.apply(kind, version, entries);
            if let Some(first_list) = self.first_list.take() {
                // The receiver may be dropped: not every caller waits for the first list.
                let _ = first_list.send(());
            }
        }
        has_content && unreadable == 0 && request.after != Some(version)
    }

    /// Records a failed call; returns the delay before the next one.
    fn record_failure(&mut self, error: &CallError) -> Duration {
        if self.settings.schedule.on_demand {
            self.listener.poll_failed();
        }
        let delay = self.state.record_failure(error);
        self.settings.schedule.remaining_delay(delay, error, self.poller.time_since_last_call())
    }
}
