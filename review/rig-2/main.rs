//! Stand-ins and checks of the cases in this folder's neighbours. Usage: rig CASE RECORD. The variable
//! TROUBLE is 0 for a run without the disruption. Exit codes: 0 the rule held, 1 it was broken, 2 the
//! case could not run.

mod crowd;
mod fleet;
mod holder_turns;
mod http;
mod json;
mod lost;
mod memory;
mod model_names;
mod record;
mod servers;
mod store;
mod versions;

use std::process::ExitCode;

use record::Record;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args().collect();
    let [_, case, path] = args.as_slice() else {
        eprintln!("usage: rig CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let Ok(mut record) = Record::create(path) else {
        eprintln!("the record cannot be written: {path}");
        return ExitCode::from(2);
    };
    let verdict = match case.as_str() {
        "holder-turns" => holder_turns::run(has_trouble, &mut record),
        "crowd" => crowd::run(has_trouble, &mut record),
        "memory" => memory::run(has_trouble, &mut record),
        "versions" => {
            let trouble = match std::env::var("TROUBLE").as_deref() {
                Ok("0") => versions::Trouble::None,
                Ok("kill") => versions::Trouble::KillOnly,
                _ => versions::Trouble::FreezeAndKill,
            };
            versions::run(trouble, &mut record)
        }
        "model-names" => model_names::run(has_trouble, &mut record),
        "lost" => lost::run(has_trouble, &mut record),
        _ => Err(format!("no case is called {case}")),
    };
    match verdict {
        Ok(Verdict::Held) => {
            record.line("verdict: the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.line("verdict: the rule was broken");
            ExitCode::from(1)
        }
        Err(reason) => {
            record.line(&format!("the case could not run: {reason}"));
            ExitCode::from(2)
        }
    }
}
