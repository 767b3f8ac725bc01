//! Open reads that get neither an answer nor an error, as after a failover of the
//! platform's network, do not count as confirmations for long.

mod common;

use common::Fleet;
use mustardway_types::time::Span;

/// Time within which a revision has to be in force.
const LIMIT: Span = Span::seconds(6);

/// The platform answers new reads, but all instances took the open ones of the readers
/// for confirmations.
#[test]
fn revision_is_in_force_although_open_reads_are_silent() {
    for (count, domains) in [(9, 3), (60, 6)] {
        let mut fleet = Fleet::settled(count, domains, 1);
        for index in 0..count {
            fleet.platform.drop_calls(index);
        }
        fleet.publish(2);
        let spread = fleet.run_until(LIMIT, |fleet| fleet.all_at(2));
        assert!(spread.is_some(), "{count} instances");
    }
}
