//! The cases.

mod large_changes;

pub fn play(case: &str, folder: &str, trouble: bool) -> i32 {
    match case {
        "large-changes" => large_changes::play(folder, trouble),
        _ => {
            println!("no such case: {case}");
            2
        }
    }
}
