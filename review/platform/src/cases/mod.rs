//! The cases.

mod cold_again;
mod failback;
mod large_changes;
mod late_answer;
mod reader_lost;
mod same_token;

pub fn play(case: &str, folder: &str, trouble: bool) -> i32 {
    match case {
        "cold-again" => cold_again::play(folder, trouble),
        "large-changes" => large_changes::play(folder, trouble),
        "reader-lost" => reader_lost::play(folder, trouble),
        "same-token" => same_token::play(folder, trouble),
        "late-answer" => late_answer::play(folder, trouble),
        _ => {
            println!("no such case: {case}");
            2
        }
    }
}
