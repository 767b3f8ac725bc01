//! Packets as the users' pages describe them, and the datagrams to servers.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const SYN: u8 = 1;
pub const ACK: u8 = 4;
pub const FIN: u8 = 16;
pub const RST: u8 = 128;
const BOUNCED: u8 = 32;
const HEAD: usize = 32;
/// The key of the sum, which the system does not know.
const KEY: u64 = 0x9e37_79b9_7f4a_7c15;

#[derive(Debug, Clone, Default)]
pub struct Packet {
    pub source: (Ipv4Addr2, u16),
    pub destination: (Ipv4Addr2, u16),
    pub flags: u8,
    pub pad: u8,
    pub echo: u32,
    pub sum: u32,
    pub seq: u32,
    pub ack: u32,
    pub data: Vec<u8>,
}

/// An address in four bytes, with a default.
pub type Ipv4Addr2 = [u8; 4];

pub fn socket(end: (Ipv4Addr2, u16)) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(end.0), end.1)
}

pub fn end(address: SocketAddrV4) -> (Ipv4Addr2, u16) {
    (address.ip().octets(), address.port())
}

impl Packet {
    /// Returns the packet's bytes, with its sum.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = self.bytes();
        let sum = self.expected_sum();
        bytes[18..22].copy_from_slice(&sum.to_be_bytes());
        bytes
    }

    fn bytes(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEAD + self.data.len());
        bytes.extend(self.source.1.to_be_bytes());
        bytes.extend(self.destination.0);
        bytes.extend(self.source.0);
        bytes.extend(self.destination.1.to_be_bytes());
        bytes.push(self.flags);
        bytes.push(self.pad);
        bytes.extend(self.echo.to_be_bytes());
        bytes.extend(0_u32.to_be_bytes());
        bytes.extend((self.data.len() as u16).to_be_bytes());
        bytes.extend(self.seq.to_be_bytes());
        bytes.extend(self.ack.to_be_bytes());
        bytes.extend(&self.data);
        bytes
    }

    pub fn decode(bytes: &[u8]) -> Option<Packet> {
        if bytes.len() < HEAD {
            return None;
        }
        let u16_at = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
        let u32_at = |at: usize| {
            u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
        };
        let length = usize::from(u16_at(22));
        if bytes.len() != HEAD + length {
            return None;
        }
        Some(Packet {
            source: (u32_at(6).to_be_bytes(), u16_at(0)),
            destination: (u32_at(2).to_be_bytes(), u16_at(10)),
            flags: bytes[12],
            pad: bytes[13],
            echo: u32_at(14),
            sum: u32_at(18),
            seq: u32_at(24),
            ack: u32_at(28),
            data: bytes[HEAD..].to_vec(),
        })
    }

    /// The keyed sum over all fields but `echo`, `pad` and BOUNCED.
    pub fn expected_sum(&self) -> u32 {
        let plain = Packet { echo: 0, pad: 0, flags: self.flags & !BOUNCED, ..self.clone() };
        let mut hash = KEY;
        for byte in plain.bytes() {
            hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
        ((hash >> 32) as u32 ^ hash as u32).max(1)
    }

    pub fn is_authentic(&self) -> bool {
        self.sum == self.expected_sum()
    }
}

/// A small generator of pseudo-random numbers.
#[derive(Debug, Clone)]
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }
}

pub fn hash(seed: u64, bytes: &[u8]) -> u64 {
    let mut state = seed ^ 0xcbf2_9ce4_8422_2325;
    for byte in bytes {
        state = (state ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    }
    Random(state).next()
}
