//! Troubles and planned changes, when they begin and when they end.

use std::sync::Arc;

use mustardway_mirror::publication::{Configuration, Item, Key, Repeat, Route, Service, Share};
use mustardway_types::time::Span;
use rand::RngExt;

use crate::network::Barrier;
use crate::scenario::Kind;
use crate::target::Server;
use crate::world::{Event, World, route_address};

/// Time from a target's notice until it ends.
const NOTICE: Span = Span::millis(3_500);
/// Time between the start of a new target and the notice of the one it replaces.
const OVERLAP: Span = Span::millis(2_000);
/// Time from the order to stop until an instance is gone.
const STOP: Span = Span::millis(1_700);
/// Time until an instance that has ended runs again.
const RESTART: Span = Span::millis(100);
/// Silence of a target after which its registration runs out, in heartbeats.
const HEARTBEATS: u64 = 3;

/// What ends or goes on later.
#[derive(Debug, Clone)]
pub(crate) enum Later {
    StartTarget(usize),
    ReplaceTarget(usize),
    NoticeTarget(usize),
    EndTarget(usize),
    RestoreTarget(usize),
    EndFlap(usize, Span, usize),
    PlatformQuick,
    StartHost(usize),
    StopHost(usize),
    EndHost(usize),
    Heal(usize, usize),
    PlatformBack { lapsed: bool },
    PlatformServes(Vec<usize>),
    Restore(usize),
}

impl World {
    pub(crate) fn begin(&mut self, kind: &Kind) {
        match *kind {
            Kind::Crash { service, share, is_dark, lasts } => {
                for target in self.some_targets(service, share) {
                    self.crash(target, is_dark, lasts);
                }
            }
            Kind::DomainTargetsDown { domain, lasts } => {
                for target in 0..self.servers.len() {
                    if self.servers[target].domain == domain && self.servers[target].alive {
                        self.crash(target, false, lasts);
                    }
                }
            }
            Kind::Release { service, share, gap } => self.release(service, share, gap),
            Kind::Slow { service, share, factor, lasts } => {
                for target in self.some_targets(service, share) {
                    self.servers[target].slowness = factor;
                    self.later(lasts, Later::RestoreTarget(target));
                }
            }
            Kind::Flap { service, share, period, lasts } => {
                let turns = (lasts.0 / period.0).div_ceil(2) as usize;
                for target in self.some_targets(service, share) {
                    self.go_on(Later::EndFlap(target, period, turns));
                }
            }
            Kind::Mute { service, share, part, lasts } => {
                for target in self.some_targets(service, share) {
                    self.servers[target].mute = part;
                    self.later(lasts, Later::RestoreTarget(target));
                }
            }
            Kind::PowerOff { share, lasts } => {
                for host in self.some_hosts(share) {
                    self.hosts[host].alive = false;
                    self.later(lasts + RESTART, Later::StartHost(host));
                }
            }
            Kind::DomainLost { domain, lasts } => self.lose_domain(domain, lasts),
            Kind::Roll { share, gap } => {
                for (number, host) in self.some_hosts(share).into_iter().enumerate() {
                    self.later(Span(gap.0 * number as u64), Later::StopHost(host));
                }
            }
            Kind::Freeze { share, lasts } => {
                for host in self.some_hosts(share) {
                    self.hosts[host].frozen_until = self.now + lasts;
                    self.hosts[host].changed = self.now + lasts;
                }
            }
            Kind::Cut { domain, lasts, refuses } => {
                let barrier = if refuses { Barrier::Refuses } else { Barrier::Silent };
                for other in (0..=self.site.domains.len()).filter(|other| *other != domain) {
                    self.cut(domain, other, barrier, lasts);
                }
            }
            Kind::BridgeCut { domains, lasts } => {
                self.cut(domains.0, domains.1, Barrier::Silent, lasts);
            }
            Kind::PlatformDown { lasts, lapses } => {
                self.platform.is_down = true;
                self.platform_harmed = self.now + lasts;
                self.later(lasts, Later::PlatformBack { lapsed: lapses });
            }
            Kind::PlatformRefuses { share, lasts } => {
                let refused = self.some_hosts(share);
                self.platform.refused.extend(&refused);
                self.platform_harmed = self.now + lasts;
                self.later(lasts, Later::PlatformServes(refused));
            }
            Kind::PlatformSlow { delay, loss, lasts } => {
                self.platform.delay = delay;
                self.platform.loss = loss;
                self.platform_harmed = self.platform_harmed.max(self.now + lasts);
                self.later(lasts, Later::PlatformQuick);
            }
            Kind::PlatformForgets => self.platform.forget(),
            Kind::Evacuate { domain, lasts } => {
                let item = Item::Evacuated(self.domain_names[domain].clone());
                self.platform.put(item, self.now);
                self.evacuated.insert(domain, self.now);
                self.later(lasts, Later::Restore(domain));
            }
            Kind::Configure { routes } => self.configure(routes),
        }
    }

    pub(crate) fn go_on(&mut self, later: Later) {
        match later {
            Later::StartTarget(target) => {
                let cold = self.site.services[self.servers[target].service].cold;
                self.servers[target].start(cold, self.now);
                let life = self.servers[target].life;
                self.queue.add(self.now, Event::Beat { target, life });
            }
            Later::ReplaceTarget(old) => {
                let (service, domain) = (self.servers[old].service, self.servers[old].domain);
                let new = self.add_target(service, domain);
                self.servers[old].is_replaced = true;
                self.go_on(Later::StartTarget(new));
            }
            Later::NoticeTarget(target) => {
                if self.servers[target].alive {
                    self.servers[target].leaving = Some(self.now);
                    self.register(target);
                    self.later(NOTICE, Later::EndTarget(target));
                }
            }
            Later::EndTarget(target) => {
                self.servers[target].crash(false, self.now);
                self.platform.remove(&Key::Target(self.servers[target].id.clone()));
            }
            Later::RestoreTarget(target) => {
                let server = &mut self.servers[target];
                if std::mem::take(&mut server.mute) > 0.0 {
                    server.changed = self.now;
                }
                server.slowness = 1.0;
            }
            Later::EndFlap(target, period, turns) => {
                if self.servers[target].alive && turns > 0 {
                    self.crash(target, true, period);
                    let next = Later::EndFlap(target, period, turns - 1);
                    self.later(period + period, next);
                }
            }
            Later::PlatformQuick => {
                self.platform.delay = Span::ZERO;
                self.platform.loss = 0.0;
            }
            Later::StartHost(host) => self.start_host(host),
            Later::StopHost(host) => {
                if self.hosts[host].runs(self.now) {
                    self.hosts[host].is_stopping = true;
                    self.later(STOP, Later::EndHost(host));
                }
            }
            Later::EndHost(host) => {
                self.hosts[host].alive = false;
                self.later(RESTART, Later::StartHost(host));
            }
            Later::Heal(first, second) => self.network.heal(first, second, self.now),
            Later::PlatformBack { lapsed } => {
                self.platform.is_down = false;
                if lapsed {
                    self.platform.expire(self.now);
                }
            }
            Later::PlatformServes(hosts) => {
                for host in hosts {
                    self.platform.refused.remove(&host);
                }
            }
            Later::Restore(domain) => {
                let name = self.domain_names[domain].clone();
                self.platform.remove(&Key::Evacuated(name));
                self.evacuated.remove(&domain);
            }
        }
    }

    pub(crate) fn later(&mut self, after: Span, later: Later) {
        self.queue.add(self.now + after, Event::Later(later));
    }

    fn cut(&mut self, first: usize, second: usize, barrier: Barrier, lasts: Span) {
        if first == second {
            // A site with one failure domain has nothing to cut it from.
            return;
        }
        self.network.cut(first, second, barrier);
        self.later(lasts, Later::Heal(first, second));
    }

    fn crash(&mut self, target: usize, is_dark: bool, lasts: Span) {
        self.servers[target].crash(is_dark, self.now);
        self.later(lasts, Later::StartTarget(target));
    }

    fn lose_domain(&mut self, domain: usize, lasts: Span) {
        for target in 0..self.servers.len() {
            if self.servers[target].domain == domain && self.servers[target].alive {
                self.servers[target].crash(true, self.now);
                self.later(lasts, Later::ReplaceTarget(target));
            }
        }
        for host in 0..self.hosts.len() {
            if self.hosts[host].domain == domain && self.hosts[host].runs(self.now) {
                self.hosts[host].alive = false;
                self.later(lasts + RESTART, Later::StartHost(host));
            }
        }
    }

    fn release(&mut self, service: usize, share: f64, gap: Span) {
        for (number, old) in self.some_targets(service, share).into_iter().enumerate() {
            let at = Span(gap.0 * number as u64);
            let domain = self.servers[old].domain;
            let new = self.add_target(service, domain);
            self.later(at, Later::StartTarget(new));
            self.later(at + OVERLAP, Later::NoticeTarget(old));
        }
    }

    /// Adds a target that has not started.
    fn add_target(&mut self, service: usize, domain: usize) -> usize {
        let new = self.servers.len();
        let mut server = Server::new(new, service, domain, self.now);
        server.alive = false;
        self.servers.push(server);
        new
    }

    fn some_targets(&mut self, service: usize, share: f64) -> Vec<usize> {
        let is_fit =
            |server: &Server| server.service == service && server.alive && server.leaving.is_none();
        let fit = (0..self.servers.len()).filter(|target| is_fit(&self.servers[*target]));
        let fit: Vec<usize> = fit.collect();
        self.some(fit, share)
    }

    fn some_hosts(&mut self, share: f64) -> Vec<usize> {
        let fit = (0..self.hosts.len()).filter(|host| self.hosts[*host].runs(self.now));
        let fit: Vec<usize> = fit.collect();
        self.some(fit, share)
    }

    /// Draws a share of `all`, at least one where there is any.
    fn some(&mut self, mut all: Vec<usize>, share: f64) -> Vec<usize> {
        let count = ((all.len() as f64 * share).ceil() as usize).min(all.len());
        let mut some = Vec::new();
        for _ in 0..count {
            let drawn = self.rng.random_range(0..all.len());
            some.push(all.swap_remove(drawn));
        }
        some.sort_unstable();
        some
    }

    /// Publishes the next configuration.
    pub(crate) fn configure(&mut self, more: usize) {
        self.version += 1;
        self.further = (more, self.now);
        let mut routes = Vec::new();
        for (number, class) in self.site.classes.iter().enumerate() {
            let service = self.service_names[class.service].clone();
            routes.push(Route {
                name: class.name.clone(),
                address: route_address(number),
                shares: vec![Share { service, weight: 1 }],
                repeat: class.repeat,
                urgency: u32::from(class.repeat == Repeat::Free),
                aim: class.aim,
                limit: class.limit,
            });
        }
        let first = routes.len();
        for number in first..first + more {
            let mut route = routes[0].clone();
            route.address = route_address(number);
            routes.push(route);
        }
        let mut services = Vec::new();
        for (service, name) in self.site.services.iter().zip(&self.service_names) {
            let (name, cold_rate) = (name.clone(), service.cold_rate);
            services.push(Service { name, health: "/health".into(), cold_rate });
        }
        let (version, idle) = (self.version, Span::seconds(15));
        let configuration = Configuration { version, routes, services, idle };
        self.platform.put(Item::Configuration(Arc::new(configuration)), self.now);
    }

    /// A target's registration, renewed until it ends.
    pub(crate) fn beat(&mut self, target: usize, life: u32) {
        let server = &self.servers[target];
        if !server.alive || server.life != life {
            return;
        }
        let platform = self.site.domains.len();
        if self.network.barrier(server.domain, platform).is_none() && !self.platform.is_down {
            self.register(target);
        }
        let next = self.now + self.site.heartbeat;
        self.queue.add(next, Event::Beat { target, life });
    }

    fn register(&mut self, target: usize) {
        let server = &self.servers[target];
        let slots = self.site.services[server.service].slots;
        let service = &self.service_names[server.service];
        let domain = &self.domain_names[server.domain];
        let item = server.registration(service, domain, slots, self.now);
        self.platform.put(item, self.now);
    }

    /// Removes registrations that ran out.
    pub(crate) fn expire(&mut self) {
        if self.platform.is_down {
            return;
        }
        let silence = Span(self.site.heartbeat.0 * HEARTBEATS);
        // After an outage every target has time to register again.
        if self.now < self.platform_harmed + silence {
            return;
        }
        self.platform.expire(self.now - silence);
    }
}
