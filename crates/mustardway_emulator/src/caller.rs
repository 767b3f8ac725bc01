//! Model of the callers: requests, the flows that carry them, retransmission and
//! retries.

use std::net::{Ipv4Addr, SocketAddrV4};

use mustardway_flow::packet::{Flags, Packet};
use mustardway_flow::token::Token;
use mustardway_types::time::{Instant, Span};

/// Times after the opening packet at which copies of it are sent.
pub(crate) const COPY_DELAYS: [Span; 2] = [Span::millis(200), Span::millis(600)];
/// Time after which an unanswered opening packet makes the flow fail.
pub(crate) const OPENING_TIMEOUT: Span = Span::millis(1_400);
/// Initial retransmission interval.
const RETRANSMIT_MIN: Span = Span::millis(200);
/// Maximum retransmission interval.
const RETRANSMIT_MAX: Span = Span::millis(1_600);
/// Maximum number of retries of a request.
pub(crate) const RETRIES_MAX: u32 = 2;
/// Number of caller addresses in each failure domain.
const CALLERS_PER_DOMAIN: u32 = 40;

/// A request of a caller.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) class: usize,
    pub(crate) domain: usize,
    /// Time at which the caller first sent the request.
    pub(crate) asked: Instant,
    pub(crate) tries: u32,
    /// Latest flow that carried the request.
    pub(crate) flow: Option<u32>,
    /// Number of times that targets ran the request.
    pub(crate) runs: u32,
    /// Whether the outcome is recorded.
    pub(crate) is_finished: bool,
}

/// The state of a flow at its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    Opening,
    Open,
    Closed,
}

/// The caller's end of a flow.
#[derive(Debug, Clone)]
pub(crate) struct Flow {
    pub(crate) domain: usize,
    pub(crate) class: usize,
    pub(crate) address: SocketAddrV4,
    pub(crate) route: SocketAddrV4,
    pub(crate) stage: Stage,
    /// Time at which the first opening packet was sent.
    pub(crate) opened: Instant,
    /// Number of copies of the opening packet that were sent.
    pub(crate) copies: u32,
    /// Target that accepted the flow, with the target's incarnation.
    pub(crate) target: Option<(usize, u32)>,
    /// Token that the caller received last.
    pub(crate) token: Token,
    /// Sequence number of the next byte to send.
    pub(crate) sent: u32,
    /// Sequence number up to which data was received.
    pub(crate) received: u32,
    /// Outstanding request.
    pub(crate) request: Option<usize>,
    /// Whether the target has acknowledged the bytes of the request.
    pub(crate) is_confirmed: bool,
    pub(crate) retransmit_interval: Span,
    /// Number of the current timer. Timers of earlier generations are ignored.
    pub(crate) generation: u32,
}

impl Flow {
    /// Creates a flow that is about to open. The caller's address follows from
    /// `number`, the index of the flow.
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

    /// Returns the retransmission interval and doubles the next one (exponential
    /// backoff).
    pub(crate) fn next_retransmission(&mut self) -> Span {
        let interval = self.retransmit_interval;
        self.retransmit_interval = Span(RETRANSMIT_MAX.0.min(interval.0 * 2));
        interval
    }

    /// Resets the retransmission interval, invalidates pending timers and marks the
    /// request's bytes as unacknowledged.
    pub(crate) fn reset_retransmission(&mut self) {
        self.retransmit_interval = RETRANSMIT_MIN;
        self.generation += 1;
        self.is_confirmed = false;
    }

    /// Returns the opening packet. Its acknowledgement number is the number of copies
    /// sent before it.
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

    /// Returns a packet of the open flow with `length` data bytes that begin at
    /// `sequence`.
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
