//! The command-line tool for operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    limpetstand::cli::main(std::env::args_os().skip(1).collect())
}
