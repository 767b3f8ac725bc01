//! Troubles and planned changes, when they begin and when they end.

use std::sync::Arc;

use mustardway_mirror::publication::{Configuration, Item, Key, Repeat, Route, Service, Share};
use mustardway_types::time::Span;
use rand::RngExt;

use crate::network::Partition;
use crate::scenario::Kind;
use crate::target::Server;
use crate::world::{Event, World, route_address};

/// Time from a target's notice until it ends.
const DRAIN_TIME: Span = Span::millis(3_500);
/// Time between the start of a new target and the notice of the one it replaces.
const REPLACEMENT_OVERLAP: Span = Span::millis(2_000);
/// Time from the order to stop until an instance is gone.
const STOP_TIME: Span = Span::millis(1_700);
/// Time until an instance that has ended runs again.
const RESTART_TIME: Span = Span::millis(100);
/// Silence of a target after which its registration runs out, in heartbeats.
const EXPIRY_HEARTBEATS: u64 = 3;

/// What ends or goes on later.
#[derive(Debug, Clone)]
pub(crate) enum FollowUp {
    StartTarget(usize),
    ReplaceTarget(usize),
    DrainTarget(usize),
    TerminateTarget(usize),
    RestoreTarget(usize),
    FlapTarget(usize, Span, usize),
    RestorePlatformSpeed,
    StartHost(usize),
    StopHost(usize),
    TerminateHost(usize),
    HealCut(usize, usize),
    RestorePlatform { lapsed: bool },
    RestorePlatformAccess(Vec<usize>),
    EndEvacuation(usize),
}

impl World {
    pub(crate) fn begin_disruption(&mut self, kind: &Kind) {
        match *kind {
            Kind::Crash { service, share, is_dark, lasts } => {
                for target in self.pick_targets(service, share) {
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
                for target in self.pick_targets(service, share) {
                    self.servers[target].slowdown = factor;
                    self.schedule(lasts, FollowUp::RestoreTarget(target));
                }
            }
            Kind::Flap { service, share, period, lasts } => {
                let turns = (lasts.0 / period.0).div_ceil(2) as usize;
                for target in self.pick_targets(service, share) {
                    self.run_follow_up(FollowUp::FlapTarget(target, period, turns));
                }
            }
            Kind::Mute { service, share, part, lasts } => {
                for target in self.pick_targets(service, share) {
                    self.servers[target].unanswered_share = part;
                    self.schedule(lasts, FollowUp::RestoreTarget(target));
                }
            }
            Kind::PowerOff { share, lasts } => {
                for host in self.pick_hosts(share) {
                    self.hosts[host].alive = false;
                    self.schedule(lasts + RESTART_TIME, FollowUp::StartHost(host));
                }
            }
            Kind::DomainLost { domain, lasts } => self.fail_domain(domain, lasts),
            Kind::Roll { share, gap } => {
                for (number, host) in self.pick_hosts(share).into_iter().enumerate() {
                    self.schedule(Span(gap.0 * number as u64), FollowUp::StopHost(host));
                }
            }
            Kind::Freeze { share, lasts } => {
                for host in self.pick_hosts(share) {
                    self.hosts[host].frozen_until = self.now + lasts;
                    self.hosts[host].changed_at = self.now + lasts;
                }
            }
            Kind::Cut { domain, lasts, refuses } => {
                let partition = if refuses { Partition::Refuses } else { Partition::Silent };
                for other in (0..=self.site.domains.len()).filter(|other| *other != domain) {
                    self.cut(domain, other, partition, lasts);
                }
            }
            Kind::BridgeCut { domains, lasts } => {
                self.cut(domains.0, domains.1, Partition::Silent, lasts);
            }
            Kind::PlatformDown { lasts, lapses } => {
                self.platform.is_down = true;
                self.platform_impaired_until = self.now + lasts;
                self.schedule(lasts, FollowUp::RestorePlatform { lapsed: lapses });
            }
            Kind::PlatformRefuses { share, lasts } => {
                let refused = self.pick_hosts(share);
                self.platform.refused_hosts.extend(&refused);
                self.platform_impaired_until = self.now + lasts;
                self.schedule(lasts, FollowUp::RestorePlatformAccess(refused));
            }
            Kind::PlatformSlow { delay, loss, lasts } => {
                self.platform.delay = delay;
                self.platform.loss = loss;
                self.platform_impaired_until = self.platform_impaired_until.max(self.now + lasts);
                self.schedule(lasts, FollowUp::RestorePlatformSpeed);
            }
            Kind::PlatformForgets => self.platform.forget(),
            Kind::Evacuate { domain, lasts } => {
                let item = Item::Evacuated(self.domain_names[domain].clone());
                self.platform.put(item, self.now);
                self.evacuated.insert(domain, self.now);
                self.schedule(lasts, FollowUp::EndEvacuation(domain));
            }
            Kind::Configure { routes } => self.publish_configuration(routes),
        }
    }

    pub(crate) fn run_follow_up(&mut self, follow_up: FollowUp) {
        match follow_up {
            FollowUp::StartTarget(target) => {
                let cold = self.site.services[self.servers[target].service].cold;
                self.servers[target].start(cold, self.now);
                let incarnation = self.servers[target].incarnation;
                self.queue.add(self.now, Event::Heartbeat { target, incarnation });
            }
            FollowUp::ReplaceTarget(old) => {
                let (service, domain) = (self.servers[old].service, self.servers[old].domain);
                let new = self.add_target(service, domain);
                self.servers[old].is_replaced = true;
                self.run_follow_up(FollowUp::StartTarget(new));
            }
            FollowUp::DrainTarget(target) => {
                if self.servers[target].alive {
                    self.servers[target].leaving_since = Some(self.now);
                    self.register(target);
                    self.schedule(DRAIN_TIME, FollowUp::TerminateTarget(target));
                }
            }
            FollowUp::TerminateTarget(target) => {
                self.servers[target].crash(false, self.now);
                self.platform.remove(&Key::Target(self.servers[target].id.clone()));
            }
            FollowUp::RestoreTarget(target) => {
                let server = &mut self.servers[target];
                if std::mem::take(&mut server.unanswered_share) > 0.0 {
                    server.changed_at = self.now;
                }
                server.slowdown = 1.0;
            }
            FollowUp::FlapTarget(target, period, turns) => {
                if self.servers[target].alive && turns > 0 {
                    self.crash(target, true, period);
                    let next = FollowUp::FlapTarget(target, period, turns - 1);
                    self.schedule(period + period, next);
                }
            }
            FollowUp::RestorePlatformSpeed => {
                self.platform.delay = Span::ZERO;
                self.platform.loss = 0.0;
            }
            FollowUp::StartHost(host) => self.start_host(host),
            FollowUp::StopHost(host) => {
                if self.hosts[host].runs(self.now) {
                    self.hosts[host].is_stopping = true;
                    self.schedule(STOP_TIME, FollowUp::TerminateHost(host));
                }
            }
            FollowUp::TerminateHost(host) => {
                self.hosts[host].alive = false;
                self.schedule(RESTART_TIME, FollowUp::StartHost(host));
            }
            FollowUp::HealCut(first, second) => self.network.heal(first, second, self.now),
            FollowUp::RestorePlatform { lapsed } => {
                self.platform.is_down = false;
                if lapsed {
                    self.platform.expire(self.now);
                }
            }
            FollowUp::RestorePlatformAccess(hosts) => {
                for host in hosts {
                    self.platform.refused_hosts.remove(&host);
                }
            }
            FollowUp::EndEvacuation(domain) => {
                let name = self.domain_names[domain].clone();
                self.platform.remove(&Key::Evacuated(name));
                self.evacuated.remove(&domain);
            }
        }
    }

    pub(crate) fn schedule(&mut self, after: Span, follow_up: FollowUp) {
        self.queue.add(self.now + after, Event::FollowUp(follow_up));
    }

    fn cut(&mut self, first: usize, second: usize, partition: Partition, lasts: Span) {
        if first == second {
            // A site with one failure domain has nothing to cut it from.
            return;
        }
        self.network.cut(first, second, partition);
        self.schedule(lasts, FollowUp::HealCut(first, second));
    }

    fn crash(&mut self, target: usize, is_silent: bool, lasts: Span) {
        self.servers[target].crash(is_silent, self.now);
        self.schedule(lasts, FollowUp::StartTarget(target));
    }

    fn fail_domain(&mut self, domain: usize, lasts: Span) {
        for target in 0..self.servers.len() {
            if self.servers[target].domain == domain && self.servers[target].alive {
                self.servers[target].crash(true, self.now);
                self.schedule(lasts, FollowUp::ReplaceTarget(target));
            }
        }
        for host in 0..self.hosts.len() {
            if self.hosts[host].domain == domain && self.hosts[host].runs(self.now) {
                self.hosts[host].alive = false;
                self.schedule(lasts + RESTART_TIME, FollowUp::StartHost(host));
            }
        }
    }

    fn release(&mut self, service: usize, share: f64, gap: Span) {
        for (number, old) in self.pick_targets(service, share).into_iter().enumerate() {
            let at = Span(gap.0 * number as u64);
            let domain = self.servers[old].domain;
            let new = self.add_target(service, domain);
            self.schedule(at, FollowUp::StartTarget(new));
            self.schedule(at + REPLACEMENT_OVERLAP, FollowUp::DrainTarget(old));
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

    fn pick_targets(&mut self, service: usize, share: f64) -> Vec<usize> {
        let is_eligible = |server: &Server| {
            server.service == service && server.alive && server.leaving_since.is_none()
        };
        let eligible = (0..self.servers.len()).filter(|target| is_eligible(&self.servers[*target]));
        let eligible: Vec<usize> = eligible.collect();
        self.pick(eligible, share)
    }

    fn pick_hosts(&mut self, share: f64) -> Vec<usize> {
        let eligible = (0..self.hosts.len()).filter(|host| self.hosts[*host].runs(self.now));
        let eligible: Vec<usize> = eligible.collect();
        self.pick(eligible, share)
    }

    /// Draws a share of `all`, at least one where there is any.
    fn pick(&mut self, mut all: Vec<usize>, share: f64) -> Vec<usize> {
        let count = ((all.len() as f64 * share).ceil() as usize).min(all.len());
        let mut picked = Vec::new();
        for _ in 0..count {
            let index = self.rng.random_range(0..all.len());
            picked.push(all.swap_remove(index));
        }
        picked.sort_unstable();
        picked
    }

    /// Publishes the next configuration.
    pub(crate) fn publish_configuration(&mut self, extra: usize) {
        self.configuration_version += 1;
        self.extra_routes = (extra, self.now);
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
        for number in first..first + extra {
            let mut route = routes[0].clone();
            route.address = route_address(number);
            routes.push(route);
        }
        let mut services = Vec::new();
        for (service, name) in self.site.services.iter().zip(&self.service_names) {
            let (name, cold_rate) = (name.clone(), service.cold_rate);
            services.push(Service { name, health: "/health".into(), cold_rate });
        }
        let (version, idle) = (self.configuration_version, Span::seconds(15));
        let configuration = Configuration { version, routes, services, idle };
        self.platform.put(Item::Configuration(Arc::new(configuration)), self.now);
    }

    /// A target's registration, renewed until it ends.
    pub(crate) fn heartbeat(&mut self, target: usize, incarnation: u32) {
        let server = &self.servers[target];
        if !server.alive || server.incarnation != incarnation {
            return;
        }
        let platform = self.site.domains.len();
        if self.network.partition(server.domain, platform).is_none() && !self.platform.is_down {
            self.register(target);
        }
        let next = self.now + self.site.heartbeat_interval;
        self.queue.add(next, Event::Heartbeat { target, incarnation });
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
        let silence = Span(self.site.heartbeat_interval.0 * EXPIRY_HEARTBEATS);
        // After an outage every target has time to register again.
        if self.now < self.platform_impaired_until + silence {
            return;
        }
        self.platform.expire(self.now - silence);
    }
}
