//! Discovery: the list of backends, and the watch on its changes.

mod absent;
mod ask;
mod listener;
mod pace;
mod source;

pub use listener::Listener;
pub use pace::{Backoff, Pace};

use crate::catalog::ServiceName;
use crate::client::traffic::Traffic;
use crate::interface::ListKind;
use absent::AbsentService;
use ask::ask;
use source::Source;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::time::{Instant, sleep};

/// Pause after an answer without news that came at once; a watch goes on if asked within 200 ms, whatever is set.
const PAUSE_WITHOUT_NEWS: Duration = Duration::from_millis(100);

/// How discovery is followed.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How often it is asked.
    pub pace: Pace,
    /// The service whose list is asked for; without one that of the service of no name.
    pub service: Option<ServiceName>,
    /// Counts what is said and heard.
    pub traffic: Traffic,
}

impl Settings {
    /// At this pace, for the service of no name; more may be set before it is followed.
    pub fn new(pace: Pace, traffic: Traffic) -> Self {
        Settings { pace, service: None, traffic }
    }
}

/// Follows discovery for ever, wherever it moves to: there it begins with the whole list. The first one to
/// come is reported to `listed`.
pub async fn follow(
    listener: impl Listener,
    mut addresses: watch::Receiver<Vec<SocketAddr>>,
    settings: Settings,
    wanted: watch::Receiver<bool>,
    listed: oneshot::Sender<()>,
) {
    let mut listed = Some(listed);
    loop {
        let at = addresses.borrow_and_update().clone();
        tokio::select! {
            () = follow_at(&listener, at, &settings, wanted.clone(), &mut listed) => return,
            Ok(()) = addresses.changed() => {}
        }
    }
}

/// Where the list must be asked for, it does so when the module says so and tells it of failures; elsewhere it
/// watches all the time.
async fn follow_at(
    listener: &impl Listener,
    addresses: Vec<SocketAddr>,
    settings: &Settings,
    mut wanted: watch::Receiver<bool>,
    listed: &mut Option<oneshot::Sender<()>>,
) {
    let pace = settings.pace;
    let pauses = pace.pauses(addresses.len());
    let mut absent = AbsentService::default();
    let (mut source, mut link) = (Source::new(addresses, pauses), None);
    let mut hedges = pace.hedges();
    loop {
        if pace.must_ask && !*wanted.borrow_and_update() {
            if wanted.changed().await.is_err() {
                return;
            }
            continue;
        }
        if listener.wants_whole_list() {
            source.held = None;
        }
        let (asked, after) = (Instant::now(), source.after());
        let answer = ask(&mut link, &source, settings, &mut hedges).await;
        match answer.and_then(|page| source.accept(&page).map(|()| page)) {
            Ok(page) => {
                hedges.answered();
                if let (Some(service), true) = (&settings.service, page.whole) {
                    absent.heard(service, page.hosts.is_empty());
                }
                let news = page.whole || !page.hosts.is_empty();
                let (kind, seq) = (if page.whole { ListKind::Full } else { ListKind::Delta }, page.seq);
                let (hosts, unread) = page.entries();
                if unread > 0 && kind == ListKind::Delta {
                    // Nobody tells these changes again but the whole list.
                    source.held = None;
                }
                if news {
                    listener.list(kind, seq, hosts);
                    if let Some(listed) = listed.take() {
                        // Nobody may wait for it any more.
                        let _ = listed.send(());
                    }
                }
                let told = news && unread == 0 && after != Some(seq);
                if !told && asked.elapsed() < PAUSE_WITHOUT_NEWS {
                    sleep(PAUSE_WITHOUT_NEWS).await;
                }
            }
            Err(fault) => {
                link = None;
                if pace.must_ask {
                    // The module decides when to ask again.
                    listener.list_failed();
                }
                let pause = source.failed(&fault);
                sleep(pace.rest(pause, &fault, asked.elapsed())).await;
            }
        }
    }
}
