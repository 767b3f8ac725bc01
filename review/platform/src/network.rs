//! Links that lose packets: those of one zone to the others.

use std::sync::{Arc, Mutex};

use crate::packet::Random;

#[derive(Debug, Clone)]
pub struct Network {
    shared: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    /// The zone whose links to the others lose a share of the packets.
    lossy: Option<(usize, f64)>,
    random: Random,
}

impl Network {
    pub fn new(seed: u64) -> Self {
        let state = State { lossy: None, random: Random(seed) };
        Network { shared: Arc::new(Mutex::new(state)) }
    }

    pub fn set_lossy(&self, lossy: Option<(usize, f64)>) {
        self.shared.lock().unwrap().lossy = lossy;
    }

    /// Returns whether a packet between two zones is lost.
    pub fn loses(&self, first: usize, second: usize) -> bool {
        let mut state = self.shared.lock().unwrap();
        let Some((zone, share)) = state.lossy else { return false };
        let passes = first != second && (first == zone || second == zone);
        passes && state.random.unit() < share
    }
}
