//! What the operator and the targets publish on the platform.

use std::sync::Arc;

use mustardway_mirror::publication::{Configuration, Item, Route, Service, Share};
use mustardway_types::time::Span;

use crate::world::{Event, World, route_address};

/// Number of missed heartbeats after which a registration expires.
const EXPIRY_HEARTBEATS: u64 = 3;

impl World {
    /// Publishes a new version of the configuration, with `extra` routes beyond those of
    /// the site.
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
                urgency: class.urgency,
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
        self.configuration = Item::Configuration(Arc::new(configuration));
        self.platform.put(self.configuration.clone(), self.now);
    }

    /// Renews a target's registration and schedules the next heartbeat.
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

    /// Publishes a target's current registration on the platform.
    pub(crate) fn register(&mut self, target: usize) {
        let server = &self.servers[target];
        let slots = self.site.services[server.service].slots;
        let service = &self.service_names[server.service];
        let domain = &self.domain_names[server.domain];
        let item = server.registration(service, domain, slots, self.now);
        self.platform.put(item, self.now);
    }

    /// Removes expired registrations.
    pub(crate) fn expire(&mut self) {
        if self.platform.is_down {
            return;
        }
        let silence = Span(self.site.heartbeat_interval.0 * EXPIRY_HEARTBEATS);
        // After an outage, targets get time to renew their registrations.
        if self.now < self.platform_impaired_until + silence {
            return;
        }
        self.platform.expire(self.now - silence, self.now);
    }

    /// Publishes the current configuration and evacuations again, and removes the
    /// evacuations that have ended.
    pub(crate) fn republish(&mut self) {
        self.platform.put(self.configuration.clone(), self.now);
        let mut current = Vec::new();
        for domain in self.evacuated.keys() {
            let item = Item::Evacuated(self.domain_names[*domain].clone());
            current.push(item.key());
            self.platform.put(item, self.now);
        }
        for key in self.platform.evacuated() {
            if !current.contains(&key) {
                self.platform.remove(&key, self.now);
            }
        }
    }
}
