//! A fleet: a registry, hollow proxies in workers, and a few real ones.

use super::args::{Args, Scenario};
use super::clock::now_us;
use super::error::{Error, Result};
use super::hands::Hands;
use super::meter::Meter;
use super::order::{Order, ProxyPlan};
use super::plan::{Plan, entry, restarted, zone};
use super::process::Folder;
use super::real::{Real, RealPlan};
use super::registry::Registry;
use super::truth::Account;
use crate::fault_relay::Relay;
use std::net::SocketAddr;
use tokio::net::TcpListener;

/// Hollow proxies of a worker that start at once: more would wait for each other's lists on its one thread.
const STARTED_AT_ONCE: usize = 8;
/// The first registration of a backend outlives the start of all agents, which renew it for the TTL of the run.
const FIRST_TTL_MS: u64 = 600_000;
/// One in so many proxies is in the region that is cut off.
const REGIONS: usize = 4;

/// A running fleet.
pub struct Fleet {
    /// Who is in it.
    pub plan: Plan,
    /// Its registry.
    pub registry: Registry,
    /// What all should hold.
    pub account: Account,
    /// The real proxies.
    pub real: Vec<Real>,
    /// What the first real proxy sends and receives, and what a hollow one of the same service does.
    pub meters: Option<(Meter, Meter)>,
    /// The number of that hollow one.
    pub partner: Option<usize>,
    /// In front of the region that is cut off, where one is.
    pub region: Option<Relay>,
    /// The workers.
    pub hands: Vec<Hands>,
    /// What the run goes by.
    pub args: Args,
    real_numbers: Vec<usize>,
    _folder: Folder,
}

impl Fleet {
    /// Starts one of this size with these workers; all hold the truth when it is done.
    pub async fn start(args: &Args, size: usize, hands: Vec<Hands>) -> Result<Fleet> {
        let plan = Plan::new(size, args.services, args.largest);
        let folder = Folder::make(&format!("scale-{size}"))?;
        let registry = Registry::start(&folder, args).await?;
        let account = Account::new(&plan);
        for service in plan.names() {
            registry.register(service.as_deref(), &account.entries(&service), FIRST_TTL_MS).await?;
        }
        let real_numbers = plan.real(args.real);
        let metered = real_numbers.first().copied();
        let partner = metered.and_then(|real| plan.partner(real, &real_numbers));
        let meters = match partner {
            Some(_) => Some((meter(registry.address).await?, meter(registry.address).await?)),
            None => None,
        };
        let region = match args.played().contains(&Scenario::Region) {
            true => Some(Relay::start(registry.address).await),
            false => None,
        };
        let mut fleet = Fleet {
            plan,
            registry,
            account,
            real: Vec::new(),
            meters,
            partner,
            region,
            hands,
            args: args.clone(),
            real_numbers,
            _folder: folder,
        };
        fleet.fill().await?;
        Ok(fleet)
    }

    async fn fill(&mut self) -> Result<()> {
        let began = now_us();
        let numbers: Vec<usize> = (0..self.plan.size()).collect();
        for some in numbers.chunks(STARTED_AT_ONCE * self.hands.len()) {
            let plans: Vec<ProxyPlan> = some.iter().map(|number| self.proxy(*number, false)).collect();
            self.start_proxies(plans).await?;
            self.all_hold_lists(0).await?;
        }
        for (place, number) in self.real_numbers.clone().into_iter().enumerate() {
            let metered = self.meters.as_ref().filter(|_| place == 0).map(|(real, _)| real.address);
            let plan = RealPlan {
                number,
                registry: metered.unwrap_or(self.registry.address),
                service: self.plan.services[number].as_deref(),
                peers: self.plan.peers(number),
                report_ms: self.args.report_ms,
            };
            self.real.push(Real::start(&self.args.proxy, &self._folder, plan).await?);
        }
        self.all_hold_lists(began).await?;
        self.real_hold_lists().await
    }

    /// What a proxy is started with; `again` after a restart of its machine.
    fn proxy(&self, number: usize, again: bool) -> ProxyPlan {
        let cut = self.region.as_ref().filter(|_| self.in_region(number)).map(|relay| relay.address);
        let metered = self.meters.as_ref().filter(|_| self.partner == Some(number)).map(|(_, m)| m.address);
        ProxyPlan {
            number,
            real: self.real_numbers.contains(&number),
            service: self.plan.services[number].clone(),
            peers: self.plan.peers(number),
            zone: zone(number),
            registry: cut.or(metered).unwrap_or(self.registry.address),
            agent_registry: cut.unwrap_or(self.registry.address),
            entry: if again { restarted(number) } else { entry(number) },
            ttl_ms: self.args.ttl_ms,
            report_ms: self.args.report_ms,
            fresh: again,
        }
    }

    /// Whether a proxy is in the region that is cut off.
    pub fn in_region(&self, number: usize) -> bool {
        number % REGIONS == REGIONS - 1
            && !self.real_numbers.contains(&number)
            && self.partner != Some(number)
    }

    /// The hollow proxies but the one that is compared with a real one.
    pub fn hollow(&self) -> Vec<usize> {
        let fixed = |number: &usize| self.real_numbers.contains(number) || self.partner == Some(*number);
        (0..self.plan.size()).filter(|number| !fixed(number)).collect()
    }

    /// How many hollow proxies there are.
    pub fn hollow_count(&self) -> usize {
        self.plan.size() - self.real_numbers.len()
    }

    fn hands_of(&self, number: usize) -> &Hands {
        &self.hands[number % self.hands.len()]
    }

    async fn start_proxies(&self, plans: Vec<ProxyPlan>) -> Result<()> {
        for (place, hands) in self.hands.iter().enumerate() {
            let own = plans.iter().filter(|plan| plan.number % self.hands.len() == place);
            hands.order(&Order::Start(own.cloned().collect())).await?;
        }
        Ok(())
    }

    /// Ends hollow proxies and their backends' agents at once.
    pub async fn stop(&mut self, numbers: &[usize]) -> Result<()> {
        for number in numbers {
            let name = entry(*number)["host"].as_str().unwrap_or_default().to_string();
            self.account.remove(&self.plan.services[*number], &name);
            self.hands_of(*number).order(&Order::Stop(vec![*number])).await?;
        }
        Ok(())
    }

    /// Starts them again: their backends are newly born.
    pub async fn start_again(&mut self, numbers: &[usize]) -> Result<()> {
        let plans: Vec<ProxyPlan> = numbers.iter().map(|number| self.proxy(*number, true)).collect();
        plans.iter().for_each(|plan| self.account.put(&plan.service, plan.entry.clone()));
        self.start_proxies(plans).await
    }
}

async fn meter(target: SocketAddr) -> Result<Meter> {
    Meter::start(target).await.map_err(|source| Error::Process { what: "a relay".into(), source })
}

/// An address that takes connections and says nothing, as behind a cut network.
pub async fn silence() -> Result<SocketAddr> {
    let failed = |source| Error::Process { what: "a silent listener".into(), source };
    let listener = TcpListener::bind("127.0.0.1:0").await.map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            // Held, and read to its end, so that the caller's writes go through.
            tokio::spawn(async move { tokio::io::copy(&mut stream, &mut tokio::io::sink()).await });
        }
    });
    Ok(address)
}
