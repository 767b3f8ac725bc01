//! The rates at which callers send requests: their mean, periodic swings and bursts.

use crate::world::World;

/// A burst of requests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Burst {
    /// Class whose rate changes, or `None` for all classes.
    pub(crate) class: Option<usize>,
    /// Factor on the rate, which is 1 after the end of the burst.
    pub(crate) factor: f64,
}

impl World {
    /// Returns the current rate of a class of requests in a failure domain, per second.
    pub(crate) fn arrival_rate(&self, domain: usize, class: usize) -> f64 {
        let instances = &self.site.instances;
        let share = instances[domain] as f64 / instances.iter().sum::<usize>() as f64;
        let mut rate = self.site.classes[class].rate * self.scenario.load * share;
        if let Some(swing) = &self.site.swing {
            rate *= swing.factor(domain, self.now.since(self.traffic_start));
        }
        for burst in &self.bursts {
            if burst.class.is_none_or(|other| other == class) {
                rate *= burst.factor;
            }
        }
        rate
    }
}
