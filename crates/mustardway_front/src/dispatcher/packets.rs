//! Packets of callers: read from the socket, forwarded, reset, dropped or held.

use std::net::SocketAddr;
use std::sync::Arc;

use mustardway_flow::front::{self, Verdict};
use mustardway_flow::note::DropReason;
use mustardway_flow::packet::Reset;
use mustardway_types::time::{Instant, Span};

use super::Dispatcher;

/// Packets that are read in one go before other events are handled.
const PACKETS_PER_BATCH: usize = 64;
/// Time between two packets of a batch from which the process may have stalled.
const BATCH_STALL_MIN: Span = Span::millis(20);
/// Maximum number of packets that are held.
const HELD_PACKETS_MAX: usize = 256;

impl Dispatcher {
    /// Reads and forwards waiting packets, up to `PACKETS_PER_BATCH` and until the process
    /// has stalled, so that messages which arrived meanwhile are handled first.
    pub fn receive_packets(&mut self) {
        let mut now = self.now();
        if self.pause_detector.was_paused(now) {
            // The state machines must learn of a pause before they see packets that
            // arrived during it.
            self.tick();
        }
        let envelope = self.context.adapter.codec.envelope_len();
        let mut actions = Vec::new();
        let mut backlog = front::Event::BacklogRemains;
        for _ in 0..PACKETS_PER_BATCH {
            let received = self.context.socket.try_recv_from(&mut self.buffer[envelope..]);
            let before = std::mem::replace(&mut now, self.context.clock.now());
            let has_stalled = now.since(before) >= BATCH_STALL_MIN;
            match received {
                Ok((length, _)) => {
                    self.last_packet_at = now;
                    self.handle_packet(envelope + length, now, &mut actions);
                }
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                    if !has_stalled {
                        backlog = front::Event::BacklogCleared;
                    }
                    break;
                }
                Err(error) => {
                    // An ICMP error: an earlier datagram was sent to a closed port.
                    slog::debug!(self.context.logger, "reading a packet failed"; "error" => %error);
                }
            }
            if has_stalled {
                break;
            }
        }
        self.front.handle(now, backlog, &mut actions);
        self.apply_front_actions(actions, now);
    }

    /// Decides on the packet that ends at `end` in the buffer, and forwards, resets or
    /// drops it.
    fn handle_packet(&mut self, end: usize, now: Instant, actions: &mut Vec<front::Action>) {
        let codec = Arc::clone(&self.context.adapter.codec);
        let Some(packet) = codec.decode(&self.buffer[codec.envelope_len()..end]) else {
            self.report.metrics().malformed.inc();
            return;
        };
        match self.front.packet(&packet, now, actions) {
            Verdict::Forward { key, address, token } => {
                codec.address_to_target(&mut self.buffer[..end], key, token);
                self.report.metrics().forwarded.inc();
                self.send_datagram(&self.buffer[..end], address.into());
            }
            Verdict::Reset(reset) => self.send_reset(&reset),
            Verdict::Drop(reason) => self.report.metrics().count_dropped(reason),
            Verdict::Hold if self.held.len() < HELD_PACKETS_MAX => {
                self.held.push(self.buffer[codec.envelope_len()..end].to_vec());
            }
            Verdict::Hold => self.report.metrics().count_dropped(DropReason::Unconfirmed),
        }
    }

    /// Decides again on the held packets.
    pub(super) fn resume_held(&mut self, now: Instant) {
        let envelope = self.context.adapter.codec.envelope_len();
        let mut actions = Vec::new();
        for packet in std::mem::take(&mut self.held) {
            let end = envelope + packet.len();
            self.buffer[envelope..end].copy_from_slice(&packet);
            self.handle_packet(end, now, &mut actions);
        }
        self.apply_front_actions(actions, now);
    }

    pub(super) fn send_reset(&self, reset: &Reset) {
        let (bytes, address) = self.context.adapter.codec.encode_reset(reset);
        self.send_datagram(&bytes, address.into());
    }

    fn send_datagram(&self, bytes: &[u8], to: SocketAddr) {
        if let Err(error) = self.context.socket.try_send_to(bytes, to) {
            // Like any lost packet, it is retransmitted by its sender.
            slog::debug!(self.context.logger, "sending a packet failed"; "error" => %error);
        }
    }
}
