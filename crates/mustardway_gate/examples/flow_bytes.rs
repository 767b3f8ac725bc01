//! Memory that a gate takes for each open flow, measured with a counting
//! allocator.
#![allow(unsafe_code)]

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

use mustardway_gate::flow_table;
use mustardway_types::{flow, hash, time};

/// Bytes that are currently allocated.
static ALLOCATED: AtomicUsize = AtomicUsize::new(0);

struct CountingAllocator;

// SAFETY: every call is passed on unchanged to the system's allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        ALLOCATED.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn main() {
    println!("{:>10} {:>14} {:>14}", "flows", "bytes", "bytes a flow");
    for count in [2_000u64, 10_000, 100_000, 1_000_000] {
        let before = ALLOCATED.load(Ordering::Relaxed);
        let mut table = flow_table::Table::new(1);
        for number in 0..count {
            table.open(time::Instant(number), flow::Id(hash::mix(3, number)), true);
        }
        let bytes = ALLOCATED.load(Ordering::Relaxed) - before;
        println!("{count:>10} {bytes:>14} {:>14.1}", bytes as f64 / table.len() as f64);
    }
}
