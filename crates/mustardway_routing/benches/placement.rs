//! Benchmarks of [`Tree::pick`] and of [`Tree::rank`] for two members, over 14,
//! 1,000 and 17,000 targets.

use criterion::{Criterion, criterion_group, criterion_main};
use mustardway_routing::tree::{Member, Tree};
use mustardway_types::hash;

fn tree(targets: u32) -> Tree {
    let member =
        |index| Member { key: hash::seeded(1, &u32::to_le_bytes(index)), weight: 1.0, index };
    Tree::new((0..targets).map(member).collect())
}

fn placement(criterion: &mut Criterion) {
    for targets in [14, 1_000, 17_000] {
        let tree = tree(targets);
        let mut flow = 0u64;
        criterion.bench_function(&format!("pick of {targets}"), |bencher| {
            bencher.iter(|| {
                flow += 1;
                tree.pick(flow, 0)
            });
        });
        criterion.bench_function(&format!("rank 2 of {targets}"), |bencher| {
            bencher.iter(|| {
                flow += 1;
                tree.rank(flow, 2)
            });
        });
    }
}

criterion_group!(benches, placement);
criterion_main!(benches);
