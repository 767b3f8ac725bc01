//! The parts of a packet that decide where it goes.

use std::fmt;
use std::net::SocketAddrV4;

use crate::token::Token;

/// What a packet does to its flow.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Flags {
    /// It opens the flow.
    pub opens: bool,
    /// Its acknowledgement counts.
    pub acknowledges: bool,
    /// Its sender has nothing more to send.
    pub finishes: bool,
    /// It ends the flow at once.
    pub resets: bool,
}

/// The head of a caller's packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Packet {
    /// The caller.
    pub source: SocketAddrV4,
    /// The route's address.
    pub destination: SocketAddrV4,
    /// What it does to the flow.
    pub flags: Flags,
    /// Token of the target, as the caller last received it.
    pub token: Token,
    /// Position of its first byte in what the caller sends.
    pub sequence: u32,
    /// Position up to which the caller has received; in an opening packet, how
    /// many copies of it were sent before.
    pub acknowledgement: u32,
    /// Bytes of data.
    pub length: u16,
}

/// Both ends of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Flow {
    /// The caller.
    pub caller: SocketAddrV4,
    /// The route's address.
    pub route: SocketAddrV4,
}

impl fmt::Display for Flow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}>{}", self.caller, self.route)
    }
}

impl Packet {
    /// The flow that it belongs to.
    pub fn flow(&self) -> Flow {
        Flow { caller: self.source, route: self.destination }
    }
}

/// A reset that this instance sends to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reset {
    /// The flow that it ends.
    pub flow: Flow,
    /// Position in what the caller receives.
    pub sequence: u32,
}

/// Whether position `first` comes after `second` in a stream.
pub fn is_after(first: u32, second: u32) -> bool {
    first != second && first.wrapping_sub(second) < 1 << 31
}
