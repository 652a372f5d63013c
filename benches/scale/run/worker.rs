//! A worker: hosts many hollow proxies on one thread and does what the driver orders.

use super::agent::Agent;
use super::clock::now_ms;
use super::hollow::{Hollow, Shared};
use super::order::{Answer, Order, ProxyPlan, Truth};
use super::standing::Standings;
use super::traffic::{BUCKET_MS, Traffic};
use load_balancer::client::traffic::{Traffic as Counted, TrafficKind};
use load_balancer::platform_settings::{self, PlatformSettings};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, Write};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{MissedTickBehavior, interval};

/// What runs of a proxy here.
enum Member {
    Hollow(Box<Hollow>),
    /// The backend's agent of a real proxy.
    Agent(#[allow(dead_code)] Agent),
}

/// The worker's proxies and what they share.
struct Worker {
    members: BTreeMap<usize, Member>,
    standings: HashMap<Option<String>, Rc<RefCell<Standings>>>,
    shared: Shared,
    rates: Rc<RefCell<Traffic>>,
}

/// The worker as a process: orders are lines of JSON on standard input, answers on standard output. It ends with its
/// input.
pub fn process() -> std::io::Result<()> {
    let (send, orders) = unbounded_channel();
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            let Ok(order) = serde_json::from_str(&line) else { return };
            if send.send(order).is_err() {
                return;
            }
        }
    });
    serve(orders, |answer| {
        let mut out = std::io::stdout().lock();
        serde_json::to_writer(&mut out, &answer)?;
        writeln!(out)?;
        out.flush()
    })
}

/// Does what is ordered until nobody orders any more, or nobody takes the answers.
pub fn serve(
    mut orders: UnboundedReceiver<Order>,
    answer: impl Fn(Answer) -> std::io::Result<()>,
) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let mut worker = Worker::new();
        spawn_local(count(worker.shared.traffic.clone(), worker.rates.clone()));
        while let Some(order) = orders.recv().await {
            answer(worker.carry_out(order))?;
        }
        Ok(())
    })
}

/// The settings of a real proxy of so many.
fn facts(peers: usize) -> Option<PlatformSettings> {
    let settings = super::config::settings(0, peers);
    platform_settings::parse(settings.to_string().as_bytes()).ok()
}

/// Keeps how many calls there were when.
async fn count(counted: Counted, rates: Rc<RefCell<Traffic>>) {
    let mut ticks = interval(Duration::from_millis(BUCKET_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let mut before = 0;
    loop {
        ticks.tick().await;
        let calls: u64 = TrafficKind::ALL.iter().map(|kind| counted.count(*kind).messages_sent).sum();
        rates.borrow_mut().at(now_ms(), calls - before);
        before = calls;
    }
}

impl Worker {
    fn new() -> Worker {
        let (members, standings) = (BTreeMap::new(), HashMap::new());
        Worker { members, standings, shared: Shared::default(), rates: Rc::default() }
    }

    fn carry_out(&mut self, order: Order) -> Answer {
        match order {
            Order::Start(plans) => {
                plans.into_iter().for_each(|plan| self.start(plan));
                Answer::Done
            }
            Order::Stop(numbers) => {
                numbers.iter().for_each(|number| drop(self.members.remove(number)));
                Answer::Done
            }
            Order::HoldLists(truths) => self.since(|hollow| {
                let same = |truth: &&Truth| truth.service.as_deref() == hollow.service();
                truths.iter().find(same).map(|truth| hollow.holds_list(truth.sum))
            }),
            Order::HoldTable(revision) => self.since(|hollow| Some(hollow.holds_table(revision))),
            Order::ListsTaken => {
                Answer::Counts(self.hollow().map(|(number, hollow)| (number, hollow.lists_taken())).collect())
            }
            Order::Traffic => {
                let mut traffic = Traffic::of_clients(&self.shared.traffic);
                traffic.whole_lists = self.shared.whole_lists.get();
                traffic.buckets = self.rates.borrow().buckets.clone();
                Answer::Traffic(traffic)
            }
        }
    }

    fn start(&mut self, plan: ProxyPlan) {
        let number = plan.number;
        let member = if plan.real {
            Member::Agent(Agent::start(plan, self.shared.traffic.clone()))
        } else {
            let Some(standings) = self.standings(&plan) else { return };
            Member::Hollow(Box::new(Hollow::start(plan, standings, &self.shared)))
        };
        self.members.insert(number, member);
    }

    fn standings(&mut self, plan: &ProxyPlan) -> Option<Rc<RefCell<Standings>>> {
        if !self.standings.contains_key(&plan.service) {
            let made = Rc::new(RefCell::new(Standings::new(&facts(plan.peers)?)?));
            self.standings.insert(plan.service.clone(), made);
        }
        self.standings.get(&plan.service).cloned()
    }

    /// Since when each hollow proxy holds what is asked for; those that `asked` says nothing of are left out.
    fn since(&self, asked: impl Fn(&Hollow) -> Option<Option<u64>>) -> Answer {
        Answer::Since(self.hollow().filter_map(|(number, hollow)| Some((number, asked(hollow)?))).collect())
    }

    fn hollow(&self) -> impl Iterator<Item = (usize, &Hollow)> {
        self.members.iter().filter_map(|(number, member)| match member {
            Member::Hollow(hollow) => Some((*number, hollow.as_ref())),
            Member::Agent(_) => None,
        })
    }
}
