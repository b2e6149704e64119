//! The cases of the second review. `cases NAME FOLDER` plays one and writes `record.txt` into its folder; it
//! exits with 0 if the rule held, 1 if it was broken, and 2 if the case couldn't run.

mod foreign;
mod nolength;
mod shutdown;
mod stage;

use std::process::ExitCode;
use std::time::Duration;

/// Time after which a case is given up (a script may run for 120 s).
const GIVE_UP_AFTER: Duration = Duration::from_secs(112);

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().collect();
    let [_, name, folder] = arguments.as_slice() else { return ExitCode::from(2) };
    let play = match name.as_str() {
        "foreign" => foreign::play,
        "nolength" => nolength::play,
        "shutdown" => shutdown::play,
        _ => return ExitCode::from(2),
    };
    stage::open_record(folder);
    std::thread::spawn(|| {
        std::thread::sleep(GIVE_UP_AFTER);
        stage::tell("given up");
        stage::kill_node();
        std::process::exit(2);
    });
    match std::panic::catch_unwind(play) {
        Ok(true) => {
            stage::tell("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            stage::tell("the rule was broken");
            ExitCode::FAILURE
        }
        Err(_) => ExitCode::from(2),
    }
}
