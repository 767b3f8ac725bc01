//! The packet fields that decide where a packet goes.

use std::fmt;
use std::net::SocketAddrV4;

use crate::token::Token;

/// Flags of a packet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Flags {
    /// The packet opens the flow.
    pub opens: bool,
    /// The acknowledgement number is valid.
    pub acknowledges: bool,
    /// The sender has no more data to send.
    pub finishes: bool,
    /// The packet ends the flow immediately.
    pub resets: bool,
}

/// The header of a caller's packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Packet {
    /// Address of the caller.
    pub source: SocketAddrV4,
    /// Address of the route.
    pub destination: SocketAddrV4,
    /// Flags of the packet.
    pub flags: Flags,
    /// Token of the target, as the caller last received it.
    pub token: Token,
    /// Sequence number of the packet's first byte in the caller's stream.
    pub sequence: u32,
    /// Sequence number up to which the caller has received the target's stream. In an
    /// opening packet, the number of copies sent before it.
    pub acknowledgement: u32,
    /// Number of data bytes.
    pub length: u16,
}

/// The two ends of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Flow {
    /// Address of the caller.
    pub caller: SocketAddrV4,
    /// Address of the route.
    pub route: SocketAddrV4,
}

impl fmt::Display for Flow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}>{}", self.caller, self.route)
    }
}

impl Packet {
    /// Returns the flow that the packet belongs to.
    pub fn flow(&self) -> Flow {
        Flow { caller: self.source, route: self.destination }
    }

    /// Returns whether the packet is the first one that its caller sent after the opening
    /// packet with sequence number `opening`, or carries the same data as that.
    pub fn is_first_after(&self, opening: u32) -> bool {
        self.sequence == opening.wrapping_add(1)
    }
}

/// A reset that this instance sends to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reset {
    /// The flow to reset.
    pub flow: Flow,
    /// Sequence number in the stream that the caller receives.
    pub sequence: u32,
}

/// Returns whether sequence number `first` comes after `second`. Sequence numbers
/// wrap around.
pub fn is_after(first: u32, second: u32) -> bool {
    first != second && first.wrapping_sub(second) < 1 << 31
}
