//! The merge of random files agrees with a simple model of the merge rules.

use std::fmt::Write;

use mustardway_types::revision;
use mustardway_view::folder::{self, Files};
use mustardway_view::model::View;
use proptest::prelude::*;

use crate::fixed_cases::check;

const TARGETS: usize = 3;
const BASE: &str = "\
[domain rosario]
region = ar-centro
[service reservas]
addresses = 10.0.0.1:443
[defaults target]
service = reservas
domain = rosario
[target always]
endpoint = 10.1.1.1:7000
";

/// What a file does with one key.
#[derive(Debug, Clone, Copy)]
enum Edit {
    Keep,
    Set(u32),
    TakeBack,
}

/// What a file does with one target.
#[derive(Debug, Clone, Copy)]
enum Step {
    Skip,
    Set { endpoint: bool, weight: Edit, queue: Edit },
    Remove,
}

/// The state of one target according to the merge rules.
#[derive(Debug, Default, Clone, Copy)]
struct Model {
    is_set: bool,
    was_removed: bool,
    is_invalid: bool,
    endpoint: bool,
    weight: Option<u32>,
    queue: Option<u32>,
}

impl Model {
    fn apply(&mut self, step: Step) {
        match step {
            Step::Skip => {}
            Step::Set { endpoint, weight, queue } => {
                self.is_set = true;
                self.endpoint |= endpoint;
                self.is_invalid |= !apply_edit(&mut self.weight, weight);
                self.is_invalid |= !apply_edit(&mut self.queue, queue);
            }
            Step::Remove => {
                let is_invalid = self.is_invalid || !self.is_set || self.was_removed;
                *self = Model { was_removed: true, is_invalid, ..Model::default() };
            }
        }
    }

    fn is_valid(&self) -> bool {
        !self.is_invalid && (!self.is_set || self.endpoint)
    }
}

/// Applies an edit. Returns false if there is nothing to take back.
fn apply_edit(value: &mut Option<u32>, edit: Edit) -> bool {
    match edit {
        Edit::Keep => true,
        Edit::Set(number) => {
            *value = Some(number);
            true
        }
        Edit::TakeBack => value.take().is_some(),
    }
}

fn edits() -> impl Strategy<Value = Edit> {
    prop_oneof![
        4 => Just(Edit::Keep),
        4 => (1..1_000u32).prop_map(Edit::Set),
        1 => Just(Edit::TakeBack),
    ]
}

fn steps() -> impl Strategy<Value = Step> {
    let set = (prop::bool::weighted(0.8), edits(), edits());
    prop_oneof![
        3 => Just(Step::Skip),
        4 => set.prop_map(|(endpoint, weight, queue)| Step::Set { endpoint, weight, queue }),
        1 => Just(Step::Remove),
    ]
}

fn file_text(file: &[Step; TARGETS]) -> String {
    let mut text = String::new();
    for (index, step) in file.iter().enumerate() {
        match step {
            Step::Skip => {}
            Step::Remove => writeln!(text, "[remove target t{index}]").expect("text"),
            Step::Set { endpoint, weight, queue } => {
                writeln!(text, "[target t{index}]").expect("text");
                if *endpoint {
                    writeln!(text, "endpoint = 10.1.0.1{index}:7000").expect("text");
                }
                for (key, edit) in [("weight", weight), ("queue", queue)] {
                    match edit {
                        Edit::Keep => {}
                        Edit::Set(number) => writeln!(text, "{key} = {number}").expect("text"),
                        Edit::TakeBack => writeln!(text, "{key} =").expect("text"),
                    }
                }
            }
        }
    }
    text
}

fn weight_and_queue(view: &View, index: usize) -> Option<(u32, u32)> {
    let target = view.targets.get(&format!("t{index}").parse().expect("name"))?;
    Some((target.weight, target.limits.queue))
}

#[test]
fn merge_agrees_with_the_model() {
    check(prop::collection::vec(prop::array::uniform3(steps()), 1..5), |steps| {
        let mut files: Files = [("00.ini", BASE.as_bytes())].into_iter().collect();
        let mut models = [Model::default(); TARGETS];
        for (number, file) in steps.iter().enumerate() {
            files.insert(&format!("1{number}.ini"), file_text(file).into_bytes());
            for (model, step) in models.iter_mut().zip(file) {
                model.apply(*step);
            }
        }
        let result = folder::parse(revision::Number(1), &files);
        let is_valid = models.iter().all(Model::is_valid);
        prop_assert_eq!(result.is_ok(), is_valid, "{:?}", result);
        let Ok(view) = result else {
            return Ok(());
        };
        for (index, model) in models.iter().enumerate() {
            let values = (model.weight.unwrap_or(100), model.queue.unwrap_or(4));
            prop_assert_eq!(weight_and_queue(&view, index), model.is_set.then_some(values));
        }
        Ok(())
    });
}
