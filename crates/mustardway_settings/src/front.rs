//! Settings of an instance of the packet front.
//!
//! The text is INI, as for the request interface. `examples/front.ini` has every
//! key.

use std::net::SocketAddr;

use mustardway_types::{domain, instance, time};
use mustardway_view::ini::{self, Document};
use mustardway_view::problem::{Choices, Kind, List, Problem};
use mustardway_view::value;

use crate::fields::{self, Fields};
use crate::parse;
use crate::settings::Log;

/// Every section with its keys.
const SECTIONS: [(&str, Choices); 5] = [
    ("instance", Choices(&["name", "domain", "packets", "ready", "peer", "advertise", "seeds"])),
    ("platform", Choices(&["address"])),
    ("timing", Choices(&["grace"])),
    ("metrics", Choices(&["address"])),
    ("log", Choices(&["level", "form"])),
];
/// Names of all sections.
const NAMES: Choices = Choices(&["[instance]", "[platform]", "[timing]", "[metrics]", "[log]"]);
/// Time from the order to stop until the process is killed, where none is stated.
const GRACE_DEFAULT: time::Span = time::Span::seconds(6);
/// Bounds of that time.
const GRACE_RANGE: (time::Span, time::Span) = (time::Span::seconds(1), time::Span::seconds(600));

/// Everything that an instance of the packet front is told at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct Front {
    /// Name, for logs.
    pub name: instance::Id,
    /// Failure domain that it lives in.
    pub domain: domain::Name,
    /// Where callers' packets come in.
    pub packets: SocketAddr,
    /// Where it tells whether it is ready.
    pub ready: SocketAddr,
    /// Where it listens for other instances.
    pub peer: SocketAddr,
    /// Where other instances reach it.
    pub advertise: SocketAddr,
    /// Where some other instances may be reached.
    pub seeds: Vec<SocketAddr>,
    /// The platform's store.
    pub platform: SocketAddr,
    /// Time from the order to stop until the process is killed.
    pub grace: time::Span,
    /// Where metrics are served, if anywhere.
    pub metrics: Option<SocketAddr>,
    /// What it logs.
    pub log: Log,
}

impl Front {
    /// The settings that `text` states, or every problem that it has.
    pub fn parse(text: &str) -> Result<Front, Vec<Problem>> {
        let mut problems = List::default();
        if text.len() > parse::BYTES_MAX {
            let kind = Kind::FileTooLarge { found: text.len(), allowed: parse::BYTES_MAX };
            return Err(vec![Problem::new(kind).in_file(fields::FILE)]);
        }
        let document = ini::read(fields::FILE, text, &mut problems);
        fields::check_names(&document, &SECTIONS, NAMES, &mut problems);
        match settings(&document, &mut problems) {
            Some(settings) if problems.is_empty() => Ok(settings),
            _ => Err(problems.into_vec()),
        }
    }
}

fn settings(document: &Document, problems: &mut List) -> Option<Front> {
    let mut fields = Fields::new(document, "instance", problems);
    let name = fields.required("name", value::parsed);
    let domain = fields.required("domain", value::parsed);
    let packets = fields.required("packets", value::unicast_address);
    let ready = fields.required("ready", value::unicast_address);
    let peer = fields.required("peer", value::unicast_address);
    let advertise = fields.optional("advertise", value::unicast_address);
    let seeds = fields.or("seeds", Vec::new(), seeds);
    let mut fields = Fields::new(document, "platform", problems);
    let platform = fields.required("address", value::unicast_address);
    let mut fields = Fields::new(document, "timing", problems);
    let grace = |text: &str| value::in_range(text, GRACE_RANGE.0, GRACE_RANGE.1);
    let grace = fields.or("grace", GRACE_DEFAULT, grace);
    let mut fields = Fields::new(document, "metrics", problems);
    let metrics = fields.optional("address", value::unicast_address);
    let log = parse::log(&mut Fields::new(document, "log", problems));
    Some(Front {
        name: name?,
        domain: domain?,
        packets: packets?,
        ready: ready?,
        peer: peer?,
        advertise: advertise?.or(peer)?,
        seeds: seeds?,
        platform: platform?,
        grace: grace?,
        metrics: metrics?,
        log: log?,
    })
}

/// Addresses parted by commas; an instance that is the first one has none.
fn seeds(text: &str) -> Result<Vec<SocketAddr>, Kind> {
    if text.is_empty() {
        return Ok(Vec::new());
    }
    value::unicast_address_list(text)
}
