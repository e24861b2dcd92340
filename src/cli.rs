//! The operators' command `limpetstand`: its command line, its requests to an instance, and its
//! output.

use std::ffi::OsString;
use std::process::ExitCode;

use self::client::Client;
use self::command::{Command, Invocation, Parsed};

mod client;
mod command;
mod difference;
mod explain;
mod local;
mod run;
mod show;

/// The text of `--help`.
const HELP: &str = include_str!("cli/help.txt");

/// The result of the command, as its exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The request was refused, and nothing changed.
    Refused = 1,
    /// The command line is wrong, or a local file cannot be used; nothing was changed.
    Usage = 2,
    /// Another change to the document came first, and this change did not take effect.
    Conflict = 3,
    /// The change may or may not have taken effect.
    Unknown = 4,
    /// The instance was not reached, or the instance did not reach the store; nothing changed.
    NotReached = 5,
    /// The revision was not in force on all instances within the timeout.
    NotInForce = 6,
}

/// The reason why a command ended without the answer that the command asked for.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CliError {
    /// The command line is wrong.
    #[error("{0}\nRun `limpetstand --help` for usage.")]
    Usage(String),
    /// A local file cannot be read or written, or its name or content is not valid. The strings are
    /// the file's path and the reason.
    #[error("{0}: {1}")]
    File(String, String),
    /// The instance refused the request.
    #[error("refused: {0}")]
    Refused(String),
    /// The instance was not reached, or the instance did not reach the store.
    #[error("not reached: {0}")]
    NotReached(String),
    /// The instance's answer was lost or is malformed, so that the outcome of the request is
    /// unknown.
    #[error("unknown: {0}")]
    Unknown(String),
}

impl CliError {
    fn exit(&self) -> Exit {
        match self {
            Self::Usage(_) | Self::File(..) => Exit::Usage,
            Self::Refused(_) => Exit::Refused,
            Self::NotReached(_) => Exit::NotReached,
            Self::Unknown(_) => Exit::Unknown,
        }
    }
}

/// Runs the command with its arguments, without the name of the program.
pub fn main(args: Vec<OsString>) -> ExitCode {
    let invocation = match command::parse(args) {
        Ok(Parsed::Help) => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Ok(Parsed::Version) => {
            println!("limpetstand {}", env!("CARGO_PKG_VERSION"));
            return ExitCode::SUCCESS;
        }
        Ok(Parsed::Run(invocation)) => invocation,
        Err(e) => return print_error(&e),
    };
    match run(&invocation) {
        Ok(exit) => ExitCode::from(exit as u8),
        Err(e) => print_error(&e),
    }
}

fn run(invocation: &Invocation) -> Result<Exit, CliError> {
    match &invocation.command {
        Command::Check { paths } => return local::check(paths, invocation.json),
        Command::Explain { id, files } => return explain::explain(id, files, invocation.json),
        _ => {}
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| CliError::NotReached(e.to_string()))?;
    runtime.block_on(async {
        let client = Client::new(invocation)?;
        run::run(&client, invocation).await
    })
}

fn print_error(e: &CliError) -> ExitCode {
    eprintln!("limpetstand: {e}");
    ExitCode::from(e.exit() as u8)
}
