//! Execution of disruptions: how they begin, go on and end.

use mustardway_mirror::publication::{Item, Key};
use mustardway_types::time::{Instant, Span};
use rand::RngExt;

use crate::arrival_rate::Burst;
use crate::network::Partition;
use crate::scenario::Kind;
use crate::strain::Quota;
use crate::target::Server;
use crate::world::{Event, World};

/// Time from a target's notice that it leaves until it stops.
const DRAIN_TIME: Span = Span::millis(3_500);
/// Time from the start of a new target until the target that it replaces gives notice.
const REPLACEMENT_OVERLAP: Span = Span::millis(2_000);
/// Time that a graceful stop of an instance takes.
const STOP_TIME: Span = Span::millis(1_700);
/// Time that the restart of an instance takes.
const RESTART_TIME: Span = Span::millis(100);

/// Time within which targets register again with a restored platform.
const TARGET_REWRITE_TIME: Span = Span::seconds(2);

/// A later step of a disruption. Targets, hosts and failure domains are given by
/// index.
#[derive(Debug, Clone)]
pub(crate) enum FollowUp {
    /// Start a target as a new incarnation.
    StartTarget(usize),
    /// Start a new target at the address of a crashed one.
    ReplaceTarget(usize),
    /// Let a target give notice that it leaves.
    DrainTarget(usize),
    /// Stop a target and remove its registration.
    TerminateTarget(usize),
    /// End the slowdown of a target and let it answer all requests again.
    RestoreTarget(usize),
    /// Crash a target for the given period, until it has crashed the given number of
    /// times.
    FlapTarget(usize, Span, usize),
    /// Let a target stand still for a moment, and again later.
    Stutter { target: usize, gap: Span, longest: Span, until: Instant },
    /// End the burst that was added to `bursts` with the given number.
    EndBurst(usize),
    /// End the delays and losses of the platform.
    RestorePlatformSpeed,
    /// Restart an instance.
    StartHost(usize),
    /// Begin the graceful stop of an instance.
    StopHost(usize),
    /// End the graceful stop of an instance.
    TerminateHost(usize),
    /// End the losses on the links of a failure domain.
    EndLosses,
    /// End the partition between two failure domains.
    HealCut(usize, usize),
    /// End the outage of the platform. If `lapsed` is set, all registrations expire.
    RestorePlatform { lapsed: bool },
    /// Let the platform answer these instances again.
    RestorePlatformAccess(Vec<usize>),
    /// End the evacuation of a failure domain.
    EndEvacuation(usize),
    /// Let the platform answer again, from the copy that was taken at `copied`.
    RestoreCopy { copied: Instant, rewrite: Span },
    /// Let the operator publish again what the platform's copy lacks.
    Republish,
}

impl World {
    /// Begins a disruption and schedules its follow-ups.
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
            Kind::Burst { class, factor, lasts } => {
                self.bursts.push(Burst { class, factor });
                self.schedule(lasts, FollowUp::EndBurst(self.bursts.len() - 1));
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
                    self.hosts[host].impaired_until = self.now + lasts;
                }
            }
            Kind::Throttle { share, run, period, crowded, lasts } => {
                let (from, until) = (self.now, self.now + lasts);
                for host in self.pick_hosts(share) {
                    self.throttle(host, Quota { from, until, run, period, crowded });
                }
            }
            Kind::Stutter { service, share, gap, longest, lasts } => {
                let until = self.now + lasts;
                for target in self.pick_targets(service, share) {
                    self.stutter(target, gap, longest, until);
                }
            }
            Kind::Drops { share, lasts } => self.begin_drops(share, lasts),
            Kind::Unchecked { share, lasts } => {
                for host in self.pick_hosts(share) {
                    self.leave_unchecked(host, lasts);
                }
            }
            Kind::Cut { domain, lasts, refuses } => {
                let partition = if refuses { Partition::Refuses } else { Partition::Silent };
                for other in (0..=self.site.domains.len()).filter(|other| *other != domain) {
                    self.cut(domain, other, partition, lasts);
                }
            }
            Kind::Lossy { domain, share, lasts } => {
                self.network.set_lossy(Some((domain, share)));
                self.schedule(lasts, FollowUp::EndLosses);
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
            Kind::PlatformRestored { lost, lasts, rewrite } => {
                self.platform.is_down = true;
                // Rules with a time bound hold again once everything is published again.
                let rewritten = self.now + lasts + rewrite.max(TARGET_REWRITE_TIME);
                self.platform_impaired_until = self.platform_impaired_until.max(rewritten);
                let copied = self.now - lost;
                self.schedule(lasts, FollowUp::RestoreCopy { copied, rewrite });
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

    /// Runs a later step of a disruption.
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
                self.servers[new].impaired_at = self.now;
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
                self.platform.remove(&Key::Target(self.servers[target].id.clone()), self.now);
            }
            FollowUp::RestoreTarget(target) => {
                let server = &mut self.servers[target];
                if std::mem::take(&mut server.unanswered_share) > 0.0 {
                    server.changed_at = self.now;
                    server.impaired_at = self.now;
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
            FollowUp::Stutter { target, gap, longest, until } => {
                self.stutter(target, gap, longest, until);
            }
            FollowUp::EndBurst(burst) => self.bursts[burst].factor = 1.0,
            FollowUp::RestorePlatformSpeed => {
                self.platform.delay = Span::ZERO;
                self.platform.loss = 0.0;
            }
            FollowUp::StartHost(host) => {
                let is_fault = !self.hosts[host].is_stopping;
                self.start_host(host);
                if is_fault {
                    self.hosts[host].impaired_until = self.now;
                }
            }
            FollowUp::StopHost(host) => {
                if self.hosts[host].runs(self.now) {
                    self.hosts[host].is_stopping = true;
                    self.schedule(STOP_TIME, FollowUp::TerminateHost(host));
                }
            }
            FollowUp::TerminateHost(host) => {
                if self.strain.is_used {
                    self.leave(host);
                }
                self.hosts[host].alive = false;
                self.schedule(RESTART_TIME, FollowUp::StartHost(host));
            }
            FollowUp::EndLosses => self.network.set_lossy(None),
            FollowUp::HealCut(first, second) => self.network.heal(first, second, self.now),
            FollowUp::RestorePlatform { lapsed } => {
                self.platform.is_down = false;
                if lapsed {
                    self.platform.expire(self.now, self.now);
                }
            }
            FollowUp::RestorePlatformAccess(hosts) => {
                for host in hosts {
                    self.platform.refused_hosts.remove(&host);
                }
            }
            FollowUp::EndEvacuation(domain) => {
                let name = self.domain_names[domain].clone();
                self.platform.remove(&Key::Evacuated(name), self.now);
                self.evacuated.remove(&domain);
            }
            FollowUp::RestoreCopy { copied, rewrite } => {
                self.platform.is_down = false;
                self.platform.restore(copied, self.now);
                self.schedule(rewrite, FollowUp::Republish);
            }
            FollowUp::Republish => self.republish(),
        }
    }

    /// Schedules a later step of a disruption.
    pub(crate) fn schedule(&mut self, after: Span, follow_up: FollowUp) {
        self.queue.add(self.now + after, Event::FollowUp(follow_up));
    }

    /// Starts a partition between two failure domains and schedules its end.
    fn cut(&mut self, first: usize, second: usize, partition: Partition, lasts: Span) {
        if first == second {
            // A site with one failure domain has no other domain to separate it from.
            return;
        }
        self.network.cut(first, second, partition);
        self.schedule(lasts, FollowUp::HealCut(first, second));
    }

    /// Crashes a target and schedules its restart.
    fn crash(&mut self, target: usize, is_silent: bool, lasts: Span) {
        self.servers[target].crash(is_silent, self.now);
        self.schedule(lasts, FollowUp::StartTarget(target));
    }

    /// Crashes all targets and instances in a failure domain. The targets are replaced
    /// by new ones and the instances restart.
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

    /// Replaces a share of a service's targets one by one.
    fn release(&mut self, service: usize, share: f64, gap: Span) {
        for (number, old) in self.pick_targets(service, share).into_iter().enumerate() {
            let at = Span(gap.0 * number as u64);
            let domain = self.servers[old].domain;
            let new = self.add_target(service, domain);
            self.schedule(at, FollowUp::StartTarget(new));
            self.schedule(at + REPLACEMENT_OVERLAP, FollowUp::DrainTarget(old));
        }
    }

    /// Adds a target that is not running yet and returns its index.
    fn add_target(&mut self, service: usize, domain: usize) -> usize {
        let new = self.servers.len();
        let speed = self.next_speed(service);
        let mut server = Server::new(new, service, domain, speed, self.now);
        server.alive = false;
        self.servers.push(server);
        new
    }

    /// Picks a random share of a service's running targets that are not leaving.
    fn pick_targets(&mut self, service: usize, share: f64) -> Vec<usize> {
        let is_eligible = |server: &Server| {
            server.service == service && server.alive && server.leaving_since.is_none()
        };
        let eligible = (0..self.servers.len()).filter(|target| is_eligible(&self.servers[*target]));
        let eligible: Vec<usize> = eligible.collect();
        self.pick(eligible, share)
    }

    /// Picks a random share of the running instances.
    fn pick_hosts(&mut self, share: f64) -> Vec<usize> {
        let eligible = (0..self.hosts.len()).filter(|host| self.hosts[*host].runs(self.now));
        let eligible: Vec<usize> = eligible.collect();
        self.pick(eligible, share)
    }

    /// Picks a random share of `all`, rounded up.
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
}
