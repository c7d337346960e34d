//! Runs one case of the review: `stand-2 CASE ROOT`. TROUBLE=0 leaves the disruption out.

mod config;
mod fleet;
mod flood;
mod http;
mod length;
mod memory;
mod slow;
mod world;

use std::path::Path;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let root = std::fs::canonicalize(Path::new(&arguments[2])).expect("the repository's root");
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let code = match arguments[1].as_str() {
        "flood" => flood::run(&root, &arguments[3], trouble),
        "fleet" => fleet::run(&root, &arguments[3], trouble),
        "length" => length::run(&root, &arguments[3], trouble),
        "slow" => slow::run(&root, &arguments[3], trouble),
        "memory" => memory::run(&root, &arguments[3], trouble),
        _ => 2,
    };
    std::process::exit(code);
}
