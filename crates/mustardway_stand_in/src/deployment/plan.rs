//! Addresses and names of the processes and services of a deployment.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::Duration;

use compact_str::{CompactString, format_compact};
use mustardway_types::address;

use super::user::User;

/// Number of instances in a deployment of the users' present size.
pub const INSTANCE_COUNT: usize = 8;

/// Port of every front, target, service and platform.
const PORT: u16 = 7600;

/// Port on which an instance accepts its peers.
const PEER_PORT: u16 = 7601;

/// Port of an instance's admin address, and of the control addresses of stand-ins.
const ADMIN_PORT: u16 = 7602;

/// Loopback networks that are tried, as the second octet of the address.
const NETWORK_OCTETS: std::ops::Range<u8> = 0..100;

/// Third octet of the platform's addresses.
const PLATFORM_OCTET: u8 = 1;

/// Third octet of the instances' addresses.
const INSTANCE_OCTET: u8 = 10;

/// Third octet of the targets' addresses.
const TARGET_OCTET: u8 = 20;

/// Third octet of the control addresses of target processes.
const CONTROL_OCTET: u8 = 30;

/// Third octet of the services' addresses.
const SERVICE_OCTET: u8 = 40;

/// Name and addresses of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// Name of the instance.
    pub id: CompactString,
    /// Name of the failure domain.
    pub domain: CompactString,
    /// Address for callers.
    pub front: SocketAddr,
    /// Address for peers.
    pub peer: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
}

/// Name and addresses of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name of the target.
    pub id: CompactString,
    /// Name of the service that the target belongs to.
    pub service: CompactString,
    /// Address of the service.
    pub address: address::Address,
    /// Name of the failure domain.
    pub domain: CompactString,
    /// Address on which the target listens.
    pub endpoint: SocketAddr,
}

/// Name and control address of a failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Domain {
    /// Name of the failure domain.
    pub name: CompactString,
    /// Control address of the process that runs the domain's targets.
    pub control: SocketAddr,
}

/// Name and address of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Name of the service.
    pub name: CompactString,
    /// Address to which callers send packets.
    pub address: address::Address,
}

/// Capacity limits of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Requests that run at one time when warm.
    pub slots: u32,
    /// Requests that run at one time when cold.
    pub cold_slots: u32,
    /// Maximum number of open flows.
    pub connections: u32,
    /// Time that a cold target needs to become warm.
    pub warm_up: Duration,
    /// Maximum number of requests that wait for a slot.
    pub queue: u32,
}

/// Names, addresses and limits of a whole deployment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// User whose deployment this is.
    pub user: User,
    /// Address on which the platform listens.
    pub platform: SocketAddr,
    /// Address on which faults of the platform are set.
    pub platform_control: SocketAddr,
    /// Failure domains of the deployment.
    pub domains: Vec<Domain>,
    /// Services of the user.
    pub services: Vec<Service>,
    /// Instances of all failure domains.
    pub instances: Vec<Instance>,
    /// Targets of all services.
    pub targets: Vec<Target>,
    /// Capacity limits of each target.
    pub limits: Limits,
}

impl Plan {
    /// Plans the deployment of `user` in a free loopback network.
    ///
    /// # Errors
    ///
    /// Fails when every loopback network is in use.
    pub fn new(user: User) -> io::Result<Plan> {
        for network in NETWORK_OCTETS {
            if TcpListener::bind(loopback_address(network, PLATFORM_OCTET, 1, PORT)).is_ok() {
                return Ok(Plan::in_network(user, network));
            }
        }
        Err(io::Error::new(
            io::ErrorKind::AddrInUse,
            "every loopback network from 127.0 to 127.99 is in use",
        ))
    }

    /// Plans the deployment of `user` with addresses 127.`network`.x.y.
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

    /// Adds `count` targets of the service added last, spread over the failure domains.
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

    /// Adds the instance `index`; failure domains are assigned in turn.
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

    /// Returns the addresses on which callers reach the instances.
    pub fn fronts(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(|instance| instance.front).collect()
    }

    /// Returns the targets of a failure domain.
    pub fn targets_in(&self, domain: &str) -> Vec<&Target> {
        self.targets.iter().filter(|target| target.domain == domain).collect()
    }

    /// Returns the targets of a service.
    pub fn targets_of(&self, service: &str) -> Vec<&Target> {
        self.targets.iter().filter(|target| target.service == service).collect()
    }
}

/// Returns the address 127.`network`.`role`.`host` with `port`.
fn loopback_address(network: u8, role: u8, host: u8, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, network, role, host), port))
}
