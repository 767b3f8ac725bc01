//! The load of each route that a full service admits: the most urgent routes first, with a
//! floor for each route, and max-min fairness among routes of equal urgency.

use crate::service::Route;

/// Share of the capacity that each route may use whatever its urgency, so that none is
/// starved.
const FLOOR_SHARE: f64 = 0.05;

/// Returns the admitted load of each of `routes`, in their order. The sum is at most
/// `capacity`.
pub fn allocate(capacity: f64, routes: &[Route]) -> Vec<f64> {
    let capacity = capacity.max(0.0);
    let offered: Vec<f64> = routes.iter().map(|route| route.offered.max(0.0)).collect();
    let floor = (capacity * FLOOR_SHARE).min(capacity / routes.len().max(1) as f64);
    let mut admitted: Vec<f64> = offered.iter().map(|offered| offered.min(floor)).collect();
    let mut left = capacity - admitted.iter().sum::<f64>();
    let mut urgencies: Vec<u32> = routes.iter().map(|route| route.urgency).collect();
    urgencies.sort_unstable();
    urgencies.dedup();
    for urgency in urgencies {
        let mut members = Vec::new();
        for (index, route) in routes.iter().enumerate() {
            if route.urgency == urgency {
                members.push(index);
            }
        }
        let wanted: Vec<f64> = members.iter().map(|index| offered[*index]).collect();
        let granted: f64 = members.iter().map(|index| admitted[*index]).sum();
        let level = water_level(left + granted, &wanted);
        for index in members {
            let share = offered[index].min(level).max(admitted[index]);
            left -= share - admitted[index];
            admitted[index] = share;
        }
        left = left.max(0.0);
    }
    admitted
}

/// Returns the level up to which each of `demands` is met so that all together use
/// `capacity`, or infinity if all demands can be met.
pub fn water_level(capacity: f64, demands: &[f64]) -> f64 {
    if demands.iter().sum::<f64>() <= capacity {
        return f64::INFINITY;
    }
    let mut sorted = demands.to_vec();
    sorted.sort_unstable_by(f64::total_cmp);
    let mut left = capacity.max(0.0);
    let mut count = sorted.len();
    for demand in sorted {
        let level = left / count as f64;
        if demand > level {
            return level;
        }
        left -= demand;
        count -= 1;
    }
    f64::INFINITY
}
