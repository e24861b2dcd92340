//! The cases of the review that are scripts. Usage: `cases NAME RECORD`.

mod fleet;
mod http;
mod json;
mod net;
mod order;
mod quota;
mod store;
mod worker;

use std::process::ExitCode;

/// What a case has shown.
pub enum Outcome {
    Held,
    Broken(String),
    CouldNotRun(String),
}

/// Whether the disruption is played: not with `TROUBLE=0`.
pub fn is_troubled() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(name), Some(path)) = (args.next(), args.next()) else {
        eprintln!("usage: cases NAME RECORD");
        return ExitCode::from(2);
    };
    let dir = std::env::temp_dir().join(format!("limpetstand-review-{}", std::process::id()));
    if let Err(e) = std::fs::create_dir_all(&dir) {
        eprintln!("no temporary folder: {e}");
        return ExitCode::from(2);
    }
    let mut record = String::new();
    let outcome = match name.as_str() {
        "order" => order::run(&dir, &mut record),
        "quota" => quota::run(&dir, &mut record),
        _ => Outcome::CouldNotRun(format!("there is no case `{name}`")),
    };
    let (text, code) = match outcome {
        Outcome::Held => ("held".to_owned(), 0),
        Outcome::Broken(what) => (format!("broken: {what}"), 1),
        Outcome::CouldNotRun(why) => (format!("could not run: {why}"), 2),
    };
    record.push_str(&text);
    record.push('\n');
    println!("{text}");
    if let Err(e) = std::fs::write(&path, &record) {
        eprintln!("{path}: {e}");
        return ExitCode::from(2);
    }
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&dir);
    }
    ExitCode::from(code)
}
