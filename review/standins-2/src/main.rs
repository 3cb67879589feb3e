//! Stand-ins for the cases of the second review. `review-standins-2 CASE FOLDER` plays a case and
//! writes `record.txt` into its folder. The exit code is 1 if the rule was broken, 0 if it held and
//! 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod client;
mod config;
mod fleet;
mod quotes;
mod revoked_key;
mod slow_answer;
mod slow_crowd;
mod slow_stop;
mod stale_relay;
mod stale_version;
mod store;
mod wire;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::{env, fs, io};

/// What a case writes down, and where its temporary files lie.
pub struct Record {
    lines: Vec<String>,
    pub directory: PathBuf,
    pub has_trouble: bool,
}

impl Record {
    /// Adds a line.
    pub fn add(&mut self, line: impl Into<String>) {
        let line = line.into();
        println!("{line}");
        self.lines.push(line);
    }
}

fn play(case: &str, record: &mut Record) -> io::Result<bool> {
    match case {
        "slow-stop" => slow_stop::play(record),
        "slow-answer" => slow_answer::play(record),
        "slow-crowd" => slow_crowd::play(record),
        "stale-version" => stale_version::play(record),
        "revoked-key" => revoked_key::play(record),
        "stale-relay" => stale_relay::play(record),
        _ => Err(io::Error::other(format!("there is no case {case}"))),
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-standins-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let directory = env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    if let Err(error) = fs::create_dir_all(&directory) {
        eprintln!("{}: {error}", directory.display());
        return ExitCode::from(2);
    }
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let mut record = Record {
        lines: Vec::new(),
        directory: directory.clone(),
        has_trouble,
    };
    let result = play(case, &mut record);
    let code = match result {
        Ok(true) => {
            record.add("the rule was broken");
            1
        }
        Ok(false) => {
            record.add("the rule held");
            0
        }
        Err(error) => {
            record.add(format!("the case could not run: {error}"));
            2
        }
    };
    let text = record.lines.join("\n") + "\n";
    let written = fs::write(Path::new(folder).join("record.txt"), text);
    if env::var_os("KEEP").is_none() {
        let _ = fs::remove_dir_all(directory);
    }
    if written.is_err() {
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
