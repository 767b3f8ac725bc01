//! Addresses and names of everything in a deployment.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::Duration;

use compact_str::{CompactString, format_compact};
use mustardway_types::address;

use super::user::User;

/// Instances in a deployment of today's size.
pub const INSTANCE_COUNT: usize = 8;

/// Port of every front, target and platform.
const PORT: u16 = 7600;

/// Port for peers of an instance.
const PEER_PORT: u16 = 7601;

/// Port for operators of an instance, and for controls of stand-ins.
const ADMIN_PORT: u16 = 7602;

/// Networks of loopback that are tried, as second octet.
const NETWORK_OCTETS: std::ops::Range<u8> = 0..100;

/// Third octet of each role.
const PLATFORM_OCTET: u8 = 1;
const INSTANCE_OCTET: u8 = 10;
const TARGET_OCTET: u8 = 20;
const CONTROL_OCTET: u8 = 30;
const SERVICE_OCTET: u8 = 40;

/// One instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// Name.
    pub id: CompactString,
    /// Failure domain.
    pub domain: CompactString,
    /// Where callers reach it.
    pub front: SocketAddr,
    /// Where its peers reach it.
    pub peer: SocketAddr,
    /// Where operators reach it.
    pub admin: SocketAddr,
}

/// One target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name.
    pub id: CompactString,
    /// Service that it serves.
    pub service: CompactString,
    /// Address of that service.
    pub address: address::Address,
    /// Failure domain.
    pub domain: CompactString,
    /// Where it listens.
    pub endpoint: SocketAddr,
}

/// One failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Domain {
    /// Name.
    pub name: CompactString,
    /// Where the process of its targets is controlled.
    pub control: SocketAddr,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Name.
    pub name: CompactString,
    /// Where callers send to.
    pub address: address::Address,
}

/// What targets bear.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Requests that run at one time.
    pub slots: u32,
    /// The same, cold.
    pub cold_slots: u32,
    /// Open flows.
    pub connections: u32,
    /// Time from cold to warm.
    pub warm_up: Duration,
    /// Requests that wait for a slot.
    pub queue: u32,
}

/// A whole deployment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// Whose it is.
    pub user: User,
    /// Where the platform listens.
    pub platform: SocketAddr,
    /// Where the platform is made to fail.
    pub platform_control: SocketAddr,
    /// Failure domains.
    pub domains: Vec<Domain>,
    /// Services.
    pub services: Vec<Service>,
    /// Instances.
    pub instances: Vec<Instance>,
    /// Targets.
    pub targets: Vec<Target>,
    /// What each target bears.
    pub limits: Limits,
}

impl Plan {
    /// The deployment of `user` in a free network of loopback.
    ///
    /// # Errors
    ///
    /// Fails when every network is in use.
    pub fn new(user: User) -> io::Result<Plan> {
        for network in NETWORK_OCTETS {
            if TcpListener::bind(loopback_address(network, PLATFORM_OCTET, 1, PORT)).is_ok() {
                return Ok(Plan::in_network(user, network));
            }
        }
        Err(io::Error::new(io::ErrorKind::AddrInUse, "every network of loopback is in use"))
    }

    /// The deployment of `user` with addresses 127.`network`.x.y.
    pub fn in_network(user: User, network: u8) -> Plan {
        let mut plan = Plan {
            user,
            platform: loopback_address(network, PLATFORM_OCTET, 1, PORT),
            platform_control: loopback_address(network, PLATFORM_OCTET, 1, ADMIN_PORT),
            domains: Vec::new(),
            services: Vec::new(),
            instances: Vec::new(),
            targets: Vec::new(),
            limits: Limits {
                slots: user.slots(),
                cold_slots: 1,
                connections: 2_000,
                warm_up: Duration::from_secs(5),
                queue: 64,
            },
        };
        for (index, name) in (1..).zip(user.domains()) {
            let control = loopback_address(network, CONTROL_OCTET, index, ADMIN_PORT);
            plan.domains.push(Domain { name: name.into(), control });
        }
        for (index, service) in (1..).zip(user.services()) {
            let address = address::Address(loopback_address(network, SERVICE_OCTET, index, PORT));
            plan.services.push(Service { name: service.name.into(), address });
            plan.add_targets(network, service.targets);
        }
        for index in 0..INSTANCE_COUNT {
            plan.add_instance(network, index);
        }
        plan
    }

    /// Adds targets of the last service.
    fn add_targets(&mut self, network: u8, count: usize) {
        let Some(service) = self.services.last().cloned() else { return };
        for index in 0..count {
            let host = self.targets.len() as u8 + 1;
            self.targets.push(Target {
                id: format_compact!("{}-{:02}", service.name, index + 1),
                service: service.name.clone(),
                address: service.address,
                domain: self.domains[index % self.domains.len()].name.clone(),
                endpoint: loopback_address(network, TARGET_OCTET, host, PORT),
            });
        }
    }

    fn add_instance(&mut self, network: u8, index: usize) {
        let domain = self.domains[index % self.domains.len()].name.clone();
        let host = index as u8 + 1;
        self.instances.push(Instance {
            id: format_compact!("{domain}-{}", index / self.domains.len() + 1),
            domain,
            front: loopback_address(network, INSTANCE_OCTET, host, PORT),
            peer: loopback_address(network, INSTANCE_OCTET, host, PEER_PORT),
            admin: loopback_address(network, INSTANCE_OCTET, host, ADMIN_PORT),
        });
    }

    /// Where callers reach the instances.
    pub fn fronts(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(|instance| instance.front).collect()
    }

    /// Targets of a failure domain.
    pub fn targets_in(&self, domain: &str) -> Vec<&Target> {
        self.targets.iter().filter(|target| target.domain == domain).collect()
    }

    /// Targets of a service.
    pub fn targets_of(&self, service: &str) -> Vec<&Target> {
        self.targets.iter().filter(|target| target.service == service).collect()
    }
}

fn loopback_address(network: u8, role: u8, host: u8, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, network, role, host), port))
}
