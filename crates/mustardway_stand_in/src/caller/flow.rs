//! Pool of the flows that carry requests.

use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// A flow of one caller; it carries one request at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Flow {
    /// Random id of the flow.
    pub id: u64,
    /// Whether a packet of the flow has been answered.
    pub established: bool,
    /// Requests sent over the flow so far.
    pub requests: u32,
}

/// The flows of one kind of request; idle flows are reused at random.
#[derive(Debug)]
pub struct Pool {
    inner: Mutex<Inner>,
    desired: usize,
}

#[derive(Debug)]
struct Inner {
    idle: Vec<Flow>,
    open: usize,
    opened: u64,
    random: Pcg64,
}

impl Pool {
    /// Creates a pool that opens flows until `desired` are open, and more only
    /// when all are in use.
    pub fn new(seed: u64, desired: usize) -> Pool {
        let random = Pcg64::seed_from_u64(seed);
        Pool { inner: Mutex::new(Inner { idle: Vec::new(), open: 0, opened: 0, random }), desired }
    }

    /// Takes an idle flow, or opens one when fewer than desired are open or none is idle.
    pub fn take(&self) -> Flow {
        let mut inner = self.inner.lock();
        let count = inner.idle.len();
        if inner.open < self.desired || count == 0 {
            inner.open += 1;
            return inner.new_flow();
        }
        let index = inner.random.random_range(0..count);
        inner.idle.swap_remove(index)
    }

    /// Opens a flow in place of one that has ended; the number of open flows stays.
    pub fn replace(&self) -> Flow {
        self.inner.lock().new_flow()
    }

    /// Returns an open flow to the pool.
    pub fn release(&self, flow: Flow) {
        self.inner.lock().idle.push(flow);
    }

    /// Removes a closed or ended flow from the number of open flows.
    pub fn discard(&self) {
        self.inner.lock().open -= 1;
    }

    /// Returns the number of flows opened so far.
    pub fn opened_count(&self) -> u64 {
        self.inner.lock().opened
    }

    /// Returns the number of open flows.
    pub fn open_count(&self) -> usize {
        self.inner.lock().open
    }
}

impl Inner {
    fn new_flow(&mut self) -> Flow {
        self.opened += 1;
        Flow { id: self.random.random(), established: false, requests: 0 }
    }
}
