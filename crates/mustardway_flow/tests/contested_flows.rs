//! Several targets get the opening packet of a flow and answer it. Every instance sends the
//! flow's packets to the one that holds it, whichever answered last.

mod common;

use common::{
    AWAY, HOME, Harness, acknowledgement, forwarded_to, id, instances, opening, put, registration,
    request,
};
use mustardway_flow::contested::message::{Body, Entry, Message, Request};
use mustardway_flow::front::{Action, Event, Verdict};
use mustardway_flow::health::Outcome;
use mustardway_flow::note::Note;
use mustardway_flow::packet::Packet;
use mustardway_mirror::publication::{Change, Item};
use mustardway_types::instance;
use prost::Message as _;

const TARGETS: u64 = 8;

/// Instances of two failure domains that exchange messages. The first `near` of them are in
/// one domain, the others in another one.
struct Fleet {
    near: usize,
    harnesses: Vec<Harness>,
    /// Instances that are not running.
    stopped: Vec<usize>,
    /// Instances that do not know of the last one, which has just started.
    unaware: Vec<usize>,
    /// Bytes of the messages about contested flows.
    bytes: usize,
}

impl Fleet {
    fn new(near: usize, far: usize) -> Self {
        let names = instances(near + far);
        let harnesses = names.into_iter().map(start).collect();
        let mut fleet =
            Fleet { near, harnesses, stopped: Vec::new(), unaware: Vec::new(), bytes: 0 };
        fleet.update_peers();
        fleet
    }

    /// Returns the running instances in the failure domain of an instance.
    fn domain_of(&self, number: usize) -> Vec<usize> {
        let is_near = number < self.near;
        let all = 0..self.harnesses.len();
        all.filter(|other| (*other < self.near) == is_near && !self.stopped.contains(other))
            .collect()
    }

    /// Returns whether an instance does not know of another one, which it sends nothing.
    fn is_unaware(&self, number: usize, other: usize) -> bool {
        other == self.harnesses.len() - 1 && self.unaware.contains(&number)
    }

    fn update_peers(&mut self) {
        let names = instances(self.harnesses.len());
        let named = |numbers: Vec<usize>| -> Vec<instance::Id> {
            numbers.into_iter().map(|number| names[number].clone()).collect()
        };
        for number in 0..self.harnesses.len() {
            let other_domain = if number < self.near { self.harnesses.len() - 1 } else { 0 };
            let others = match (other_domain < self.near) == (number < self.near) {
                true => Vec::new(),
                false => self.domain_of(other_domain),
            };
            let mut neighbours = self.domain_of(number);
            neighbours.retain(|other| !self.is_unaware(number, *other));
            let event = Event::Peers {
                known: names.clone(),
                neighbours: named(neighbours),
                relays: named(others.into_iter().take(1).collect()),
            };
            self.harnesses[number].handle(event);
        }
        self.exchange();
    }

    /// Delivers all messages about contested flows.
    fn exchange(&mut self) {
        let names = instances(self.harnesses.len());
        loop {
            let mut messages = Vec::new();
            for number in 0..self.harnesses.len() {
                for action in self.harnesses[number].take_actions() {
                    let Action::SendContested { to, message } = action else { continue };
                    self.bytes += message.encoded_len();
                    messages.push((number, to, message));
                }
            }
            if messages.is_empty() {
                return;
            }
            for (from, to, message) in messages {
                let to = names.iter().position(|name| *name == to).expect("a known instance");
                let is_lost = self.stopped.contains(&to) || self.stopped.contains(&from);
                if is_lost || self.is_unaware(from, to) {
                    continue;
                }
                let from = names[from].clone();
                self.harnesses[to].handle(Event::Contested { from, message });
            }
        }
    }

    fn advance(&mut self, millis: u64) {
        for harness in &mut self.harnesses {
            harness.advance(millis);
        }
        self.exchange();
    }

    /// Sends a packet and does not wait if the instance holds it.
    fn send_once(&mut self, number: usize, packet: &Packet) -> Verdict {
        let verdict = self.harnesses[number].send(packet);
        self.exchange();
        verdict
    }

    /// Sends a packet, which may wait, and returns the target that gets it.
    fn send(&mut self, number: usize, packet: &Packet) -> Option<u64> {
        let mut verdict = self.send_once(number, packet);
        for waited in 0..5 {
            if verdict != Verdict::Hold {
                break;
            }
            if waited > 0 {
                self.advance(50);
            }
            verdict = self.send_once(number, packet);
        }
        forwarded_to(verdict)
    }

    /// Opens a flow at the second of two targets that get its opening packet, the first
    /// from the instance `first` and the second from the instance `second`. Returns the
    /// two targets.
    fn contest(&mut self, from: u16, first: usize, second: usize) -> (u64, u64) {
        let early = self.send(first, &opening(from, 1, 0)).expect("the flow is placed");
        self.advance(200);
        let late = self.send(second, &opening(from, 1, 1)).expect("the flow is placed");
        assert_eq!(self.send(second, &marked(acknowledgement(from, 1, late))), Some(late));
        (early, late)
    }

    /// Stops an instance and starts it again without its state.
    fn restart(&mut self, number: usize) {
        self.stopped.push(number);
        self.update_peers();
        self.advance(500);
        self.stopped.clear();
        let now = self.harnesses[number].now;
        self.harnesses[number] = start(instances(number + 1).swap_remove(number));
        self.harnesses[number].now = now;
        self.harnesses[number].handle(Event::Confirmed(now));
        self.update_peers();
        self.advance(500);
    }
}

fn start(name: instance::Id) -> Harness {
    Harness::with_name(name, TARGETS, 0)
}

/// Returns a packet with the mark of a flow whose opening packet may have reached several
/// targets.
fn marked(packet: Packet) -> Packet {
    Packet { token: packet.token.ambiguous(), ..packet }
}

/// Opens a contested flow of a caller of whom two different targets got the opening packet.
fn contest(fleet: &mut Fleet, from: u16, first: usize, second: usize) -> (u64, u64, u16) {
    for from in from.. {
        let (early, late) = fleet.contest(from, first, second);
        if early != late {
            return (early, late, from);
        }
    }
    unreachable!("two targets are soon chosen")
}

/// Opens a flow whose opening packet and its copy go through the instances 0 and 1 to different
/// targets, of which none has been seen to hold it. Returns both targets and the caller.
fn copy_elsewhere(fleet: &mut Fleet) -> (u64, u64, u16) {
    for from in 1.. {
        let early = fleet.send(0, &opening(from, 1, 0)).expect("the flow is placed");
        fleet.advance(200);
        let late = fleet.send(1, &opening(from, 1, 1)).expect("the flow is placed");
        if early != late {
            return (early, late, from);
        }
    }
    unreachable!("two targets are soon chosen")
}

/// Returns a request that follows another one.
fn later_request(from: u16, number: u64) -> Packet {
    Packet { sequence: 1_201, acknowledgement: 7_001, ..request(from, 1, number) }
}

/// Guards against flows that are reset by a target that answered their opening packet
/// late: instances that had not seen the flow open followed its token.
#[test]
fn late_answer_does_not_move_the_flow() {
    for (near, far) in [(2, 0), (3, 0), (7, 0), (1, 1), (1, 3), (3, 4)] {
        for second in 0..near {
            let mut fleet = Fleet::new(near, far);
            let (early, late, from) = contest(&mut fleet, 1, 0, second);
            for number in 0..near + far {
                let packet = request(from, 1, early);
                assert_eq!(fleet.send(number, &packet), Some(late), "{number} of {near} and {far}");
            }
        }
    }
}

/// The first target opens the flow, and the second one answers when the flow is open.
#[test]
fn late_answer_to_a_copy_does_not_move_the_flow() {
    let mut fleet = Fleet::new(3, 0);
    let mut contested = 0;
    for from in 1..40 {
        fleet.harnesses[1].open(500 + from, 1);
        let early = fleet.send(0, &opening(from, 1, 0)).expect("the flow is placed");
        fleet.advance(200);
        let late = fleet.send(1, &opening(from, 1, 1)).expect("the flow is placed");
        assert_eq!(fleet.send(0, &acknowledgement(from, 1, early)), Some(early));
        if early == late {
            continue;
        }
        contested += 1;
        assert_eq!(fleet.send(0, &marked(request(from, 1, late))), Some(early));
        assert_eq!(fleet.send(2, &marked(request(from, 1, late))), Some(early));
    }
    assert!(contested > 0);
}

/// All instances are stopped and started in turn.
#[test]
fn holder_is_known_after_restarts() {
    for (near, far) in [(2, 0), (3, 0), (3, 2), (1, 1), (9, 3)] {
        let mut fleet = Fleet::new(near, far);
        let (early, late, from) = contest(&mut fleet, 1, 0, 0);
        for number in 0..near + far {
            fleet.restart(number);
        }
        for number in 0..near + far {
            let packet = request(from, 1, early);
            assert_eq!(fleet.send(number, &packet), Some(late), "{number} of {near} and {far}");
        }
    }
}

/// The target that answered late is lost afterwards.
#[test]
fn loss_of_another_target_resets_no_contested_flow() {
    let mut fleet = Fleet::new(2, 0);
    let (early, late, from) = contest(&mut fleet, 1, 0, 0);
    for outcome in [Outcome::Silent, Outcome::Refused, Outcome::Replaced] {
        fleet.harnesses[1].lose_target(early, outcome);
        assert_eq!(forwarded_to(fleet.harnesses[1].send(&request(from, 1, early))), Some(late));
    }
}

/// A caller uses the addresses of a contested flow again.
#[test]
fn new_flow_with_the_same_addresses_is_placed() {
    let mut fleet = Fleet::new(3, 0);
    let (_, late, from) = contest(&mut fleet, 1, 0, 0);
    let again = Packet { sequence: 3_000_000_000, ..opening(from, 1, 0) };
    let target = fleet.send(1, &again).expect("the flow is placed");
    let other = target % TARGETS + 1;
    assert_ne!(target, late, "targets with flows are avoided");
    for number in [1, 2] {
        let packet = Packet { sequence: 3_000_000_001, ..acknowledgement(from, 1, target) };
        assert_eq!(fleet.send(number, &packet), Some(target));
    }
    // The instance that has seen the flow open keeps its target.
    let packet = Packet { sequence: 3_000_000_001, ..request(from, 1, other) };
    assert_eq!(fleet.send(1, &packet), Some(target));
}

/// A copy of the opening packet that arrives when the flow is open opens no further flow.
#[test]
fn late_copy_goes_to_the_holder() {
    let mut fleet = Fleet::new(3, 0);
    let (_, late, from) = contest(&mut fleet, 1, 0, 0);
    assert_eq!(fleet.send(1, &opening(from, 1, 2)), Some(late));
}

#[test]
fn ended_flows_are_forgotten() {
    let mut fleet = Fleet::new(2, 0);
    contest(&mut fleet, 1, 0, 0);
    assert!(fleet.harnesses.iter().all(|harness| !harness.front.contested().is_empty()));
    fleet.advance(61_000);
    assert!(fleet.harnesses.iter().all(|harness| harness.front.contested().is_empty()));
}

/// Flows with one possible target cause no messages.
#[test]
fn uncontested_flows_are_not_announced() {
    let mut fleet = Fleet::new(4, 2);
    for _ in 0..10 {
        fleet.advance(200);
    }
    fleet.bytes = 0;
    for from in 0..200 {
        fleet.harnesses[0].establish(from, 1);
    }
    fleet.exchange();
    assert_eq!(fleet.bytes, 0);
}

/// Many contested flows at once, as when the links of a failure domain lose packets.
#[test]
fn announcements_are_bounded() {
    let mut fleet = Fleet::new(6, 3);
    fleet.advance(2_000);
    fleet.bytes = 0;
    for from in 1..=300 {
        fleet.send(0, &opening(from, 1, 0));
    }
    fleet.advance(200);
    for from in 1..=300 {
        let late = fleet.send(0, &opening(from, 1, 1)).expect("the flow is placed");
        fleet.send_once(0, &marked(acknowledgement(from, 1, late)));
    }
    let mut seconds = 0;
    while fleet.harnesses[8].front.contested().len() < 300 {
        for _ in 0..20 {
            fleet.advance(50);
        }
        seconds += 1;
        assert!(seconds < 20, "{} known", fleet.harnesses[8].front.contested().len());
    }
    // 14 KB a second for what one instance sends, and the first announcement at once; the
    // relay sends as much to two more instances.
    let allowed = (seconds + 1) * 14 * 1_024 * 2;
    assert!(fleet.bytes <= allowed, "{} bytes in {seconds} s", fleet.bytes);
    assert!(fleet.bytes <= 300 * Entry::BYTES_MAX * 9);
}

/// An instance that does not know the holder follows the token.
#[test]
fn unknown_holder_is_ignored() {
    let mut fleet = Fleet::new(2, 0);
    let (early, _, from) = contest(&mut fleet, 1, 0, 0);
    let message = answer_of(&mut fleet.harnesses[1]);
    let mut harness = Harness::new(0, 0);
    harness.publish(put(registration(early, "orders", AWAY)));
    harness.handle(Event::Contested { from: instances(2).swap_remove(1), message });
    assert!(!harness.front.contested().is_empty());
    assert_eq!(forwarded_to(harness.send(&request(from, 1, early))), Some(early));
}

/// The packets of a flow go to the target that answered late, and then a peer tells the holder.
#[test]
fn misdirected_packets_are_reported() {
    let mut fleet = Fleet::new(2, 0);
    let (early, late, from) = contest(&mut fleet, 1, 0, 0);
    let mut harness = Harness::new(TARGETS, 0);
    harness.send(&request(from, 1, early));
    harness.take_actions();
    let message = answer_of(&mut fleet.harnesses[1]);
    harness.handle(Event::Contested { from: instances(2).swap_remove(1), message });
    let flow = request(from, 1, early).flow();
    let note = Note::Misdirected { flow, target: id(early), holder: id(late) };
    assert!(harness.actions.contains(&Action::Note(note)));
}

/// Returns what an instance answers to one that has just started.
fn answer_of(harness: &mut Harness) -> Message {
    let from = instances(1).swap_remove(0);
    harness.handle(Event::Contested { from, message: Body::Request(Request {}).into() });
    let mut sent = harness.take_actions();
    let Some(Action::SendContested { message, .. }) = sent.pop() else { panic!("no answer") };
    message
}

/// The caller's next packet goes through another instance than the copy of its opening packet.
#[test]
fn contested_flow_that_opens_through_a_third_instance_is_told_of() {
    let mut fleet = Fleet::new(4, 0);
    let (early, late, from) = copy_elsewhere(&mut fleet);
    assert_eq!(fleet.send(2, &marked(acknowledgement(from, 1, late))), Some(late));
    for number in [3, 0, 1] {
        let target = fleet.send(number, &later_request(from, early));
        assert_eq!(target, Some(late), "instance {number}");
    }
}

/// The flow opens at the first target, through an instance that saw no opening packet.
#[test]
fn late_answer_to_a_copy_moves_no_flow_that_opened_through_a_third_instance() {
    for number in [0, 1, 3] {
        let mut fleet = Fleet::new(4, 0);
        let (early, late, from) = copy_elsewhere(&mut fleet);
        assert_eq!(fleet.send(2, &acknowledgement(from, 1, early)), Some(early));
        let packet = marked(later_request(from, late));
        assert_eq!(fleet.send(2, &packet), Some(early));
        assert_eq!(fleet.send(number, &packet), Some(early), "instance {number}");
    }
}

/// Data was sent before this packet, so the token may come from a later answer than the first.
#[test]
fn instance_that_missed_the_first_packet_names_no_holder() {
    for number in [0, 1] {
        let mut fleet = Fleet::new(4, 0);
        let (early, late, from) = copy_elsewhere(&mut fleet);
        assert_eq!(fleet.send(2, &acknowledgement(from, 1, early)), Some(early));
        fleet.send(number, &marked(later_request(from, late)));
        let target = fleet.send(3, &later_request(from, early));
        assert_eq!(target, Some(early), "misled by instance {number}");
    }
}

/// The announcement of the holder waits behind a packet with the late answer's token.
#[test]
fn holder_that_is_told_of_later_gets_the_packets_that_follow() {
    let mut fleet = Fleet::new(2, 0);
    let (early, late, from) = copy_elsewhere(&mut fleet);
    let opens = marked(acknowledgement(from, 1, late));
    // The peer does not confirm the announcement in time.
    assert_eq!(fleet.harnesses[1].send(&opens), Verdict::Hold);
    fleet.harnesses[1].advance(150);
    assert_eq!(forwarded_to(fleet.harnesses[1].send(&opens)), Some(late));
    fleet.harnesses[0].send(&later_request(from, early));
    fleet.exchange();
    assert_eq!(fleet.send(0, &later_request(from, early)), Some(late));
}

/// An instance that did not run for a moment handles many copies at once.
#[test]
fn ten_contested_flows_at_once_are_told_of_at_once() {
    let mut fleet = Fleet::new(22, 0);
    fleet.advance(2_000);
    let mut early = Vec::new();
    for from in 1..=10 {
        early.push(fleet.send(0, &opening(from, 1, 0)).expect("the flow is placed"));
    }
    fleet.advance(200);
    let mut late = Vec::new();
    for from in 1..=10 {
        let target = fleet.send(0, &opening(from, 1, 1)).expect("the flow is placed");
        fleet.send_once(0, &marked(acknowledgement(from, 1, target)));
        late.push(target);
    }
    fleet.advance(50);
    for from in 1..=10 {
        let (early, late) = (early[usize::from(from) - 1], late[usize::from(from) - 1]);
        assert_eq!(fleet.send(1, &request(from, 1, early)), Some(late), "flow {from}");
    }
}

/// The peers' answers are on the way.
#[test]
fn started_instance_is_not_ready_before_it_knows_the_holders() {
    let mut fleet = Fleet::new(4, 0);
    let (early, late, from) = contest(&mut fleet, 1, 0, 0);
    let now = fleet.harnesses[3].now;
    fleet.harnesses[3] = start(instances(4).swap_remove(3));
    fleet.harnesses[3].now = now;
    fleet.harnesses[3].handle(Event::Confirmed(now));
    let names = instances(4);
    let (known, neighbours) = (names.clone(), names);
    fleet.harnesses[3].handle(Event::Peers { known, neighbours, relays: Vec::new() });
    let harness = &mut fleet.harnesses[3];
    harness.advance(50);
    if harness.front.is_ready() {
        assert_eq!(forwarded_to(harness.send(&request(from, 1, early))), Some(late));
    }
    fleet.exchange();
    fleet.advance(50);
    assert!(fleet.harnesses[3].front.is_ready());
    assert_eq!(fleet.send(3, &request(from, 1, early)), Some(late));
}

/// The instance that sees the flow open has not yet learned of the one that has started, which
/// has had an answer of another peer.
#[test]
fn flow_contested_while_a_peer_does_not_know_a_started_instance_reaches_that() {
    let mut fleet = Fleet::new(4, 0);
    fleet.stopped.push(3);
    fleet.update_peers();
    fleet.advance(500);
    let now = fleet.harnesses[0].now;
    fleet.harnesses[3] = start(instances(4).swap_remove(3));
    fleet.harnesses[3].now = now;
    fleet.harnesses[3].handle(Event::Confirmed(now));
    fleet.stopped.clear();
    fleet.unaware = vec![0];
    fleet.update_peers();
    fleet.advance(50);
    let (early, late, from) = contest(&mut fleet, 1, 0, 0);
    fleet.unaware.clear();
    fleet.update_peers();
    fleet.advance(2_000);
    assert_eq!(fleet.send(3, &request(from, 1, early)), Some(late));
}

/// Peers that do not yet know the instance that has started do not answer it.
#[test]
fn unanswered_questions_about_holders_are_asked_again() {
    let mut fleet = Fleet::new(6, 0);
    let (early, late, from) = contest(&mut fleet, 1, 0, 0);
    fleet.unaware = (0..5).collect();
    fleet.restart(5);
    for _ in 0..8 {
        fleet.advance(50);
    }
    fleet.unaware.clear();
    fleet.update_peers();
    for _ in 0..40 {
        fleet.advance(50);
    }
    assert_eq!(fleet.send(5, &request(from, 1, early)), Some(late));
}

/// The copy reaches an instance after a change of rotation. The targets elsewhere are down.
#[test]
fn copy_of_an_open_flow_is_not_reset_where_the_domain_is_evacuated() {
    let mut fleet = Fleet::new(2, 0);
    let target = fleet.send(0, &opening(1, 1, 0)).expect("the flow is placed");
    assert_eq!(fleet.send(0, &acknowledgement(1, 1, target)), Some(target));
    let home = HOME.parse().expect("well formed");
    fleet.harnesses[1].publish(Change::Put(Item::Evacuated(home)));
    let verdict = fleet.harnesses[1].send(&opening(1, 1, 1));
    assert!(!matches!(verdict, Verdict::Reset(_)), "{verdict:?}");
}

/// The data that follows the first acknowledgement carries the token of a later answer, and goes
/// through the instance that sent the copy.
#[test]
fn data_with_a_late_token_names_no_holder_before_the_acknowledgement() {
    let mut fleet = Fleet::new(4, 0);
    let (early, late, from) = copy_elsewhere(&mut fleet);
    assert_eq!(fleet.send(2, &acknowledgement(from, 1, early)), Some(early));
    fleet.send(1, &marked(request(from, 1, late)));
    for number in [0, 1, 2, 3] {
        let target = fleet.send(number, &marked(later_request(from, late)));
        assert_eq!(target, Some(early), "instance {number}");
    }
}
