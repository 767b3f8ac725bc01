//! Callers: requests, the flows that carry them, and when bytes are sent again.

use std::net::{Ipv4Addr, SocketAddrV4};

use mustardway_flow::packet::{Flags, Packet};
use mustardway_flow::token::Token;
use mustardway_types::time::{Instant, Span};

/// Times after the opening packet at which copies are sent.
pub(crate) const COPY_DELAYS: [Span; 2] = [Span::millis(200), Span::millis(600)];
/// Time after which an opening that was not answered has failed.
pub(crate) const OPENING_TIMEOUT: Span = Span::millis(1_400);
/// First interval after which bytes are sent again.
const RETRANSMIT_MIN: Span = Span::millis(200);
/// Longest interval.
const RETRANSMIT_MAX: Span = Span::millis(1_600);
/// Further tries of a request.
pub(crate) const RETRIES_MAX: u32 = 2;
/// Pause before a further try.
pub(crate) const RETRY_DELAY: Span = Span::millis(10);
/// Callers in each failure domain.
const CALLERS_PER_DOMAIN: u32 = 40;

/// A request.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) class: usize,
    pub(crate) domain: usize,
    pub(crate) asked: Instant,
    pub(crate) tries: u32,
    /// How often targets worked on it.
    pub(crate) runs: u32,
    pub(crate) is_finished: bool,
}

/// How far a flow has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    Opening,
    Open,
    Closed,
}

/// A caller's end of a flow.
#[derive(Debug, Clone)]
pub(crate) struct Flow {
    pub(crate) domain: usize,
    pub(crate) class: usize,
    pub(crate) address: SocketAddrV4,
    pub(crate) route: SocketAddrV4,
    pub(crate) stage: Stage,
    pub(crate) opened: Instant,
    pub(crate) copies: u32,
    /// Target that has opened it, with its life.
    pub(crate) target: Option<(usize, u32)>,
    pub(crate) token: Token,
    pub(crate) sent: u32,
    pub(crate) received: u32,
    pub(crate) request: Option<usize>,
    /// The target has confirmed the request's bytes.
    pub(crate) is_confirmed: bool,
    pub(crate) retransmit_interval: Span,
    /// Timers of earlier generations are void.
    pub(crate) generation: u32,
}

impl Flow {
    /// A flow that begins, as the `number`th of a caller's failure domain.
    pub(crate) fn new(
        number: u32,
        domain: usize,
        class: usize,
        route: SocketAddrV4,
        request: usize,
        now: Instant,
    ) -> Self {
        let domain_octet = 64 + domain as u8;
        let ip = Ipv4Addr::new(100, domain_octet, 0, (number % CALLERS_PER_DOMAIN) as u8);
        let port = 1_024 + ((number / CALLERS_PER_DOMAIN) % 60_000) as u16;
        Flow {
            domain,
            class,
            address: SocketAddrV4::new(ip, port),
            route,
            stage: Stage::Opening,
            opened: now,
            copies: 0,
            target: None,
            token: Token::NONE,
            sent: number.wrapping_mul(7_919),
            received: 0,
            request: Some(request),
            is_confirmed: false,
            retransmit_interval: RETRANSMIT_MIN,
            generation: 0,
        }
    }

    /// The interval until bytes are sent again; the next one is twice as long.
    pub(crate) fn next_retransmission(&mut self) -> Span {
        let interval = self.retransmit_interval;
        self.retransmit_interval = Span(RETRANSMIT_MAX.0.min(interval.0 * 2));
        interval
    }

    /// Starts over with the shortest interval.
    pub(crate) fn reset_retransmission(&mut self) {
        self.retransmit_interval = RETRANSMIT_MIN;
        self.generation += 1;
        self.is_confirmed = false;
    }

    /// The opening packet.
    pub(crate) fn opening_packet(&self) -> Packet {
        Packet {
            source: self.address,
            destination: self.route,
            flags: Flags { opens: true, ..Flags::default() },
            token: Token::NONE,
            sequence: self.sent,
            acknowledgement: self.copies,
            length: 0,
        }
    }

    /// A packet with `length` bytes from position `sequence` on.
    pub(crate) fn packet(&self, sequence: u32, length: u16, finishes: bool) -> Packet {
        Packet {
            flags: Flags { acknowledges: true, finishes, ..Flags::default() },
            token: self.token,
            sequence,
            acknowledgement: self.received,
            length,
            ..self.opening_packet()
        }
    }
}
