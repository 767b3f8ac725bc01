//! Fair shares of the callers of one route.

use std::net::{Ipv4Addr, SocketAddrV4};

use mustardway_admission::callers::{Callers, RETRIES, Verdict};
use mustardway_load::key;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

/// Number of callers that are counted at most.
const CALLERS_MAX: u32 = 4_096;

fn route() -> key::Route {
    key::Route::of(SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443))
}

fn caller(number: u32) -> Ipv4Addr {
    Ipv4Addr::from(0x6440_0000 + number)
}

/// The flows of one epoch.
#[derive(Debug, Clone, Copy, Default)]
struct Epoch {
    wanted: u32,
    admitted: u32,
}

impl Epoch {
    fn share(self) -> f64 {
        f64::from(self.admitted) / f64::from(self.wanted)
    }
}

/// Lets a caller open a flow, with retries at once. Returns the verdict, which is the same
/// for all attempts.
fn open(callers: &mut Callers, number: u32, epoch: u64) -> Verdict {
    let first = callers.decide(route(), caller(number), epoch);
    let mut verdict = first;
    for _ in 0..RETRIES {
        if verdict == Verdict::Admit {
            break;
        }
        verdict = callers.decide(route(), caller(number), epoch);
        assert_eq!(verdict == Verdict::Admit, first == Verdict::Admit, "a retry is admitted");
    }
    first
}

/// Lets callers open flows in turn: caller n opens `demands[n]` flows.
fn play(callers: &mut Callers, demands: &[u32], epoch: u64) -> Vec<Epoch> {
    let mut epochs = vec![Epoch::default(); demands.len()];
    for round in 0..demands.iter().copied().max().unwrap_or_default() {
        for (number, demand) in demands.iter().enumerate() {
            if round >= *demand {
                continue;
            }
            let is_admitted = open(callers, number as u32, epoch) == Verdict::Admit;
            epochs[number].wanted += 1;
            epochs[number].admitted += u32::from(is_admitted);
        }
    }
    epochs
}

fn sum(epochs: &[Epoch]) -> Epoch {
    let mut sum = Epoch::default();
    for epoch in epochs {
        sum.wanted += epoch.wanted;
        sum.admitted += epoch.admitted;
    }
    sum
}

fn refusing(share: f64) -> Callers {
    let mut callers = Callers::default();
    callers.set_share(share);
    callers
}

/// Guards against refusals where nothing exceeds the capacity.
#[test]
fn full_share_admits_everything() {
    let mut callers = refusing(1.0);
    for epoch in 1..4 {
        let epochs = play(&mut callers, &[1, 50, 3], epoch);
        assert_eq!(sum(&epochs).admitted, 54);
    }
}

/// Guards against a share that is missed although each caller opens one flow, as on a large
/// site.
#[test]
fn share_is_met_with_one_flow_per_caller() {
    for share in [0.1, 0.5, 0.9] {
        let mut callers = refusing(share);
        for epoch in 1..6 {
            let admitted = sum(&play(&mut callers, &[1; 2_000], epoch)).share();
            assert!((admitted - share).abs() < 0.05, "{admitted} of {share}, epoch {epoch}");
        }
    }
}

/// Guards against a share that is missed because callers open many flows at one instance, as
/// on a small site. In the first epoch nothing is known about them.
#[test]
fn share_is_met_with_many_flows_per_caller() {
    let mut callers = refusing(0.5);
    let demands: Vec<u32> = (0..400).map(|number| 4 + number % 13).collect();
    for epoch in 1..6 {
        let admitted = sum(&play(&mut callers, &demands, epoch)).share();
        assert!((admitted - 0.5).abs() < 0.1, "{admitted} in epoch {epoch}");
    }
}

/// Guards against an allowance for a whole epoch that is taken from the rest of one: refusing
/// begins at any time.
#[test]
fn share_is_met_after_an_epoch_that_was_seen_in_part() {
    let mut callers = refusing(0.5);
    play(&mut callers, &[2; 400], 1);
    for epoch in 2..6 {
        let admitted = sum(&play(&mut callers, &[10; 400], epoch)).share();
        assert!((admitted - 0.5).abs() < 0.1, "{admitted} in epoch {epoch}");
    }
}

/// Guards against the demand of an earlier time of refusing that is used in a later one.
#[test]
fn demand_before_a_gap_is_forgotten() {
    let mut callers = refusing(0.5);
    for epoch in 1..4 {
        play(&mut callers, &[1; 400], epoch);
    }
    let admitted = sum(&play(&mut callers, &[10; 400], 90)).share();
    assert!((admitted - 0.5).abs() < 0.1, "{admitted}");
}

/// Guards against a caller with exploding demand that takes the share of the others.
#[test]
fn exploding_caller_leaves_the_others_their_share() {
    let mut demands = vec![2; 50];
    demands[7] = 1_000;
    let mut callers = refusing(0.5);
    play(&mut callers, &demands, 1);
    for epoch in 2..8 {
        let before = play(&mut callers, &demands, epoch);
        if epoch < 3 {
            continue;
        }
        // Half of 1,098 flows: the others' 98 and 451 of the exploding caller.
        let hog = before[7];
        let others = sum(&before).admitted - hog.admitted;
        assert_eq!(others, 98, "epoch {epoch}");
        assert!((430..=470).contains(&hog.admitted), "{} in epoch {epoch}", hog.admitted);
    }
}

/// Guards against a wrong reason: only the caller that exceeds its share is told so.
#[test]
fn exploding_caller_is_told_the_reason() {
    let mut demands = vec![2; 50];
    demands[7] = 1_000;
    let mut callers = refusing(0.2);
    for epoch in 1..4 {
        play(&mut callers, &demands, epoch);
    }
    for _ in 0..300 {
        callers.decide(route(), caller(7), 4);
    }
    assert_eq!(callers.decide(route(), caller(7), 4), Verdict::ExceedsShare);
    for number in 0..7 {
        assert_ne!(callers.decide(route(), caller(number), 4), Verdict::ExceedsShare);
    }
}

/// Guards against retries that succeed at another instance, so that refusing would only
/// multiply the opening packets.
#[test]
fn retries_get_the_same_verdict_at_another_instance() {
    let (mut first, mut second) = (refusing(0.4), refusing(0.4));
    for epoch in 1..6 {
        for number in 0..1_000 {
            let verdict = open(&mut first, number, epoch);
            assert_eq!(open(&mut second, number, epoch), verdict, "caller {number}");
        }
    }
}

/// Guards against callers that are refused for ever.
#[test]
fn refused_callers_differ_from_epoch_to_epoch() {
    let mut callers = refusing(0.5);
    let mut refused = vec![0; 200];
    for epoch in 1..21 {
        for (number, played) in play(&mut callers, &[1; 200], epoch).iter().enumerate() {
            refused[number] += 1 - played.admitted;
        }
    }
    // With probability one half, 19 of 20 epochs have a chance of 2 in 100,000.
    assert!(refused.iter().all(|count| (1..20).contains(count)), "{refused:?}");
}

/// Guards against unbounded memory, and against callers that are admitted because they are
/// not counted.
#[test]
fn callers_beyond_the_bound_share_by_the_hash() {
    let mut callers = refusing(0.5);
    let demands = vec![4; 3 * CALLERS_MAX as usize];
    for epoch in 1..5 {
        let epochs = play(&mut callers, &demands, epoch);
        let admitted = sum(&epochs).share();
        assert!((admitted - 0.5).abs() < 0.05, "{admitted} in epoch {epoch}");
        // Callers that are not counted get one verdict for the whole epoch.
        for played in epochs.iter().skip(CALLERS_MAX as usize) {
            assert!(played.admitted == 0 || played.admitted == played.wanted);
        }
    }
}

/// Guards against a share that is used up in the first part of each epoch, so that targets are
/// full then and idle in the rest, with few callers and with many.
#[test]
fn share_is_spread_over_the_epoch() {
    for demands in [vec![10; 20], vec![10; 400]] {
        let mut callers = refusing(0.5);
        for epoch in 1..8 {
            let first = sum(&play(&mut callers, &demands, epoch)).share();
            let second = sum(&play(&mut callers, &demands, epoch)).share();
            if epoch > 2 {
                assert!((first - 0.5).abs() < 0.1, "{first} in the first half of epoch {epoch}");
                assert!((second - 0.5).abs() < 0.1, "{second} in the second half of {epoch}");
            }
        }
    }
}

/// Guards against refusals of nearly all flows in an epoch that takes longer, since summaries
/// are late by up to 3 s.
#[test]
fn share_is_met_in_a_long_epoch() {
    for demands in [vec![10; 20], vec![10; 400]] {
        let mut callers = refusing(0.5);
        for epoch in 1..5 {
            play(&mut callers, &demands, epoch);
        }
        for second in 1..4 {
            let admitted = sum(&play(&mut callers, &demands, 5)).share();
            assert!((admitted - 0.5).abs() < 0.1, "{admitted} in second {second}");
        }
    }
}

/// Guards against a single caller with exploding demand that makes an epoch look longer.
#[test]
fn caller_whose_demand_explodes_within_an_epoch_gets_no_more_than_before() {
    let mut callers = refusing(0.5);
    for epoch in 1..5 {
        play(&mut callers, &[10; 50], epoch);
    }
    let mut demands = vec![10; 50];
    demands[7] = 2_000;
    let epochs = play(&mut callers, &demands, 5);
    assert!(epochs[7].admitted <= 6, "{} of 2,000", epochs[7].admitted);
    let others = sum(&epochs).admitted - epochs[7].admitted;
    assert!((220..=270).contains(&others), "{others} of 490");
}

/// Plays one epoch at `instances`: flows and their retries go to random ones. Returns the
/// admitted flows of each caller.
fn play_fleet(
    instances: &mut [Callers],
    demands: &[u32],
    epoch: u64,
    rng: &mut Pcg32,
) -> Vec<Epoch> {
    let mut epochs = vec![Epoch::default(); demands.len()];
    for round in 0..demands.iter().copied().max().unwrap_or_default() {
        for (number, demand) in demands.iter().enumerate() {
            if round >= *demand {
                continue;
            }
            epochs[number].wanted += 1;
            for _ in 0..=RETRIES {
                let instance = rng.random_range(0..instances.len());
                let verdict = instances[instance].decide(route(), caller(number as u32), epoch);
                if verdict == Verdict::Admit {
                    epochs[number].admitted += 1;
                    break;
                }
            }
        }
    }
    epochs
}

/// Returns the admitted shares of all flows, and of the flows of all callers but the first,
/// in epochs 4 to 11 at 40 instances.
fn fleet_shares(share: f64, demands: &[u32]) -> (f64, f64) {
    let mut rng = Pcg32::seed_from_u64(1);
    let mut instances: Vec<Callers> = (0..40).map(|_| refusing(share)).collect();
    let (mut all, mut others) = (Epoch::default(), Epoch::default());
    for epoch in 1..12 {
        let epochs = play_fleet(&mut instances, demands, epoch, &mut rng);
        if epoch < 4 {
            continue;
        }
        for (number, played) in epochs.iter().enumerate() {
            all.wanted += played.wanted;
            all.admitted += played.admitted;
            if number > 0 {
                others.wanted += played.wanted;
                others.admitted += played.admitted;
            }
        }
    }
    (all.share(), others.share())
}

/// Guards against retries through other instances that undo the refusals. Instances see from
/// one flow of a caller in 40 epochs to four in each.
#[test]
fn fleet_meets_the_share() {
    for share in [0.3, 0.5, 0.8] {
        for demand in [1, 4, 40, 160] {
            let (all, _) = fleet_shares(share, &[demand; 500]);
            assert!((all - share).abs() < 0.05, "{all} of {share} at {demand} flows");
        }
    }
}

/// Guards against a caller with exploding demand that takes the share of the others by its
/// retries through other instances.
#[test]
fn exploding_caller_leaves_the_others_their_share_in_a_fleet() {
    let mut demands = vec![4; 500];
    demands[0] = 2_000;
    let (all, others) = fleet_shares(0.5, &demands);
    assert!((all - 0.5).abs() < 0.05, "{all}");
    assert!(others > 0.95, "{others}");
}
