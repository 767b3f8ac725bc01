//! Flows that requests go over.

use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// A flow of one caller; one request at a time goes over it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Flow {
    /// Id, chosen at random.
    pub id: u64,
    /// Whether a packet of it has been answered.
    pub established: bool,
    /// Requests sent so far.
    pub requests: u32,
}

/// The flows of one kind of request.
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
    /// A pool that opens flows until `desired` are open, and more when all are
    /// in use.
    pub fn new(seed: u64, desired: usize) -> Pool {
        let random = Pcg64::seed_from_u64(seed);
        Pool { inner: Mutex::new(Inner { idle: Vec::new(), open: 0, opened: 0, random }), desired }
    }

    /// Takes an idle flow, or a new one.
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

    /// Takes a new flow in place of one that has ended.
    pub fn replace(&self) -> Flow {
        self.inner.lock().new_flow()
    }

    /// Gives an open flow back.
    pub fn release(&self, flow: Flow) {
        self.inner.lock().idle.push(flow);
    }

    /// Forgets a flow that was closed or has ended.
    pub fn discard(&self) {
        self.inner.lock().open -= 1;
    }

    /// Flows opened so far.
    pub fn opened_count(&self) -> u64 {
        self.inner.lock().opened
    }

    /// Flows that are open.
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
