//! Settings of an instance of the packet front.
//!
//! The text has the same INI form as the settings of the request interface.
//! `examples/front.ini` shows every key.

use std::net::SocketAddr;

use mustardway_types::{domain, instance, time};
use mustardway_view::ini::{self, Document};
use mustardway_view::problem::{Choices, Kind, List, Problem};
use mustardway_view::value;

use crate::fields::{self, Fields};
use crate::parse;
use crate::settings::Log;

/// Keys of each section.
const SECTION_KEYS: [(&str, Choices); 6] = [
    ("instance", Choices(&["name", "domain", "packets", "ready", "peer", "advertise", "seeds"])),
    ("platform", Choices(&["address"])),
    ("timing", Choices(&["grace"])),
    ("load", Choices(&["placement", "admission"])),
    ("metrics", Choices(&["address"])),
    ("log", Choices(&["level", "form"])),
];
/// Names of all sections, as listed in problems.
const SECTION_NAMES: Choices =
    Choices(&["[instance]", "[platform]", "[timing]", "[load]", "[metrics]", "[log]"]);
/// Default time from the order to stop until the process is killed.
const GRACE_DEFAULT: time::Span = time::Span::seconds(6);
/// Least and greatest time from the order to stop until the process is killed.
const GRACE_RANGE: (time::Span, time::Span) = (time::Span::seconds(1), time::Span::seconds(600));

const PLACEMENT_WORDS: &[&str] = &["outstanding", "expected-time"];
const PLACEMENTS: [(&str, Placement); 2] =
    [("outstanding", Placement::Outstanding), ("expected-time", Placement::ExpectedTime)];
const ADMISSION_WORDS: &[&str] = &["off", "priority"];
const ADMISSIONS: [(&str, Admission); 2] =
    [("off", Admission::Off), ("priority", Admission::Priority)];

/// How new flows are placed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Placement {
    /// By outstanding requests per slot.
    #[default]
    Outstanding,
    /// By the expected time until an answer.
    ExpectedTime,
}

/// Whether new flows are refused while a service is full.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Admission {
    /// All flows are admitted.
    #[default]
    Off,
    /// The least urgent flows are refused first.
    Priority,
}

/// All settings of an instance of the packet front.
#[derive(Debug, Clone, PartialEq)]
pub struct Front {
    /// Name of the instance, for logs.
    pub name: instance::Id,
    /// Failure domain of the instance.
    pub domain: domain::Name,
    /// Address on which the packets of callers arrive.
    pub packets: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    /// Address on which the instance listens for other instances.
    pub peer: SocketAddr,
    /// Address at which other instances reach this instance.
    pub advertise: SocketAddr,
    /// Addresses of some other instances, used to join.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub platform: SocketAddr,
    /// Time from the order to stop until the process is killed.
    pub grace: time::Span,
    /// How new flows are placed.
    pub placement: Placement,
    /// Whether new flows are refused while a service is full.
    pub admission: Admission,
    /// Address on which metrics are served, if any.
    pub metrics: Option<SocketAddr>,
    /// What the instance logs.
    pub log: Log,
}

impl Front {
    /// Parses settings.
    ///
    /// # Errors
    /// All problems of `text`, if there are any.
    pub fn parse(text: &str) -> Result<Front, Vec<Problem>> {
        let mut problems = List::default();
        if text.len() > parse::BYTES_MAX {
            let kind = Kind::FileTooLarge { found: text.len(), allowed: parse::BYTES_MAX };
            return Err(vec![Problem::new(kind).in_file(fields::FILE)]);
        }
        let document = ini::read(fields::FILE, text, &mut problems);
        fields::check_names(&document, &SECTION_KEYS, SECTION_NAMES, &mut problems);
        match parse_document(&document, &mut problems) {
            Some(settings) if problems.is_empty() => Ok(settings),
            _ => Err(problems.into_vec()),
        }
    }
}

fn parse_document(document: &Document, problems: &mut List) -> Option<Front> {
    let mut fields = Fields::new(document, "instance", problems);
    let name = fields.required("name", value::parsed);
    let domain = fields.required("domain", value::parsed);
    let packets = fields.required("packets", value::unicast_address);
    let ready = fields.required("ready", value::unicast_address);
    let peer = fields.required("peer", value::unicast_address);
    let advertise = fields.optional("advertise", value::unicast_address);
    let seeds = fields.with_default("seeds", Vec::new(), parse_seeds);
    let mut fields = Fields::new(document, "platform", problems);
    let platform = fields.required("address", value::unicast_address);
    let mut fields = Fields::new(document, "timing", problems);
    let grace = |text: &str| value::in_range(text, GRACE_RANGE.0, GRACE_RANGE.1);
    let grace = fields.with_default("grace", GRACE_DEFAULT, grace);
    let mut fields = Fields::new(document, "load", problems);
    let placement = |text: &str| value::choice(text, &PLACEMENTS, PLACEMENT_WORDS);
    let admission = |text: &str| value::choice(text, &ADMISSIONS, ADMISSION_WORDS);
    let placement = fields.with_default("placement", Placement::default(), placement);
    let admission = fields.with_default("admission", Admission::default(), admission);
    let mut fields = Fields::new(document, "metrics", problems);
    let metrics = fields.optional("address", value::unicast_address);
    let log = parse::parse_log(&mut Fields::new(document, "log", problems));
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
        placement: placement?,
        admission: admission?,
        metrics: metrics?,
        log: log?,
    })
}

/// Parses addresses separated by commas. The list may be empty: the first instance has no seeds.
fn parse_seeds(text: &str) -> Result<Vec<SocketAddr>, Kind> {
    if text.is_empty() {
        return Ok(Vec::new());
    }
    value::unicast_address_list(text)
}
