//! Stand-ins and scenarios for the cases of this folder. Standard library only.
//!
//! One process plays the platform's store, the operator, the servers and the clients, as the users'
//! pages describe them, and starts the entry daemon as separate processes.

mod cases;
mod http;
mod json;
mod platform;

use std::process::ExitCode;

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(dir)) = (args.next(), args.next()) else {
        eprintln!("usage: review-rig CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    ExitCode::from(cases::run(&case, &dir, has_trouble))
}
