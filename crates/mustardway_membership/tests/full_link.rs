//! An instance whose own inbound link is full hears its peers late. That says nothing
//! about the peers.

mod common;

use common::{Fleet, FullLink};
use mustardway_types::time::Span;

/// Data that reach a full link, as multiples of what it carries.
const LOADS: [u64; 4] = [2, 4, 8, 16];
/// Time for which they do.
const FILL: Span = Span::seconds(1);
/// Time after which the link has carried them, with a margin.
const DRAINED: Span = Span::seconds(18);
/// Host whose link is full.
const HOST: usize = 4;

/// Returns the first time at which another host than [`HOST`] takes a third one for dead.
fn first_loss(count: usize, seed: u64, load: u64) -> Option<Span> {
    let mut fleet = Fleet::warm(count, 3, seed);
    fleet.full_link = Some(FullLink { host: HOST, start: fleet.now, fill: FILL, load });
    let others = || (0..count).filter(|number| *number != HOST);
    fleet.run_until(DRAINED, |fleet| {
        others().any(|viewer| others().any(|subject| !fleet.sees_live(viewer, subject)))
    })
}

/// The instance declared peers dead that it heard late, and the others believed it.
#[test]
fn full_link_gets_no_peer_declared_dead() {
    for (count, seeds) in [(9, 4), (85, 1)] {
        for seed in 0..seeds {
            for load in LOADS {
                let lost = first_loss(count, seed, load);
                assert_eq!(lost, None, "{count} instances, seed {seed}, load {load}");
            }
        }
    }
}
