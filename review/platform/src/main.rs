//! Cases of the independent review. `review_case CASE FOLDER` plays one, writes
//! `record.txt` to the folder, and exits with 1 if the rule was broken, 0 if it held and 2
//! if the case could not run. With `TROUBLE=0` the disruption is left out.

mod cases;
mod client;
mod deployment;
mod network;
mod packet;
mod record;
mod server;
mod store;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        println!("usage: review_case CASE FOLDER, in the repository's root");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(110));
        println!("could not run: out of time");
        deployment::end_started();
        std::process::exit(2);
    });
    std::process::exit(cases::play(case, folder, trouble));
}
