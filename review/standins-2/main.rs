//! Cases of the second review: `review-2 NUMBER DIRECTORY` runs one and writes `record.txt` in its directory. It ends with 1 if
//! the rule was broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0` it does without the disruption.

mod early_use;
mod held_answer;
mod kit;
mod restored_store;
mod split_route;
mod spoiled_event;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use kit::Record;

/// What a case found.
pub enum Outcome {
    Held,
    Broken,
    CannotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().collect();
    let [_, number, directory] = &arguments[..] else {
        eprintln!("usage: review-2 NUMBER DIRECTORY");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let Ok(record) = Record::create(&Path::new(directory).join("record.txt")) else {
        eprintln!("cannot write {directory}/record.txt");
        return ExitCode::from(2);
    };
    let run: fn(&Arc<Record>, bool) -> Outcome = match number.as_str() {
        "6" => split_route::run,
        "7" => held_answer::run,
        "8" => early_use::run,
        "9" => restored_store::run,
        "10" => spoiled_event::run,
        _ => {
            eprintln!("no case {number}");
            return ExitCode::from(2);
        }
    };
    let outcome = run(&record, has_trouble);
    let (text, code) = match outcome {
        Outcome::Held => ("the rule held".to_owned(), 0),
        Outcome::Broken => ("the rule was broken".to_owned(), 1),
        Outcome::CannotRun(reason) => (format!("the case could not run: {reason}"), 2),
    };
    record.note(&text);
    println!("{text}");
    ExitCode::from(code)
}
