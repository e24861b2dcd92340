//! Parsing of the command line.

use std::ffi::OsString;
use std::path::PathBuf;
use std::time::Duration;

use pico_args::Arguments;

use super::CliError;

const DEFAULT_ADMIN: &str = "http://127.0.0.1:8082";
const DEFAULT_FRONT: &str = "http://127.0.0.1:8080";

/// The timeout of `config wait` without `--timeout`.
const DEFAULT_WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// The maximum timeout of `config wait`; an instance waits at most as long.
const MAX_WAIT_TIMEOUT_S: u64 = 60;

/// A valid command line.
pub(super) enum Parsed {
    Help,
    Version,
    Run(Invocation),
}

/// A command with the addresses, the token and the output format to use.
#[derive(Debug)]
pub(super) struct Invocation {
    pub(super) admin: String,
    pub(super) front: String,
    pub(super) token_file: Option<PathBuf>,
    pub(super) json: bool,
    pub(super) command: Command,
}

/// The options of a change.
#[derive(Debug)]
pub(super) struct ChangeOptions {
    pub(super) if_match: Option<u64>,
    pub(super) change_id: Option<String>,
    pub(super) dry_run: bool,
    pub(super) wait: bool,
}

/// A command of the operator.
#[derive(Debug)]
pub(super) enum Command {
    List,
    Get {
        path: String,
    },
    Put {
        path: String,
        file: PathBuf,
        options: ChangeOptions,
    },
    Delete {
        path: String,
        options: ChangeOptions,
    },
    Log {
        limit: Option<usize>,
    },
    Diff {
        from: u64,
        to: Option<u64>,
    },
    Rollback {
        to: u64,
        options: ChangeOptions,
    },
    Wait {
        revision: u64,
        timeout: Duration,
    },
    Check {
        paths: Vec<PathBuf>,
    },
    Explain {
        id: String,
        files: Vec<PathBuf>,
    },
    Status,
    Entries,
    Burn {
        html: Option<PathBuf>,
    },
}

/// Parses a command line.
pub(super) fn parse(args: Vec<OsString>) -> Result<Parsed, CliError> {
    let mut args = Arguments::from_vec(args);
    if args.contains(["-h", "--help"]) {
        return Ok(Parsed::Help);
    }
    if args.contains(["-V", "--version"]) {
        return Ok(Parsed::Version);
    }
    let admin = address(&mut args, "--admin", "LIMPETSTAND_ADMIN", DEFAULT_ADMIN)?;
    let front = address(&mut args, "--front", "LIMPETSTAND_FRONT", DEFAULT_FRONT)?;
    let token_file: Option<PathBuf> = args
        .opt_value_from_str("--token-file")
        .map_err(usage_error)?;
    let token_file =
        token_file.or_else(|| std::env::var_os("LIMPETSTAND_TOKEN_FILE").map(PathBuf::from));
    let json = args.contains("--json");
    let command = command(&mut args)?;
    if let Some(left) = args.finish().first() {
        let left = left.to_string_lossy();
        return Err(CliError::Usage(format!("unexpected argument `{left}`")));
    }
    Ok(Parsed::Run(Invocation {
        admin,
        front,
        token_file,
        json,
        command,
    }))
}

fn usage_error(e: pico_args::Error) -> CliError {
    CliError::Usage(e.to_string())
}

fn address(
    args: &mut Arguments,
    option: &'static str,
    variable: &str,
    default: &str,
) -> Result<String, CliError> {
    let given: Option<String> = args.opt_value_from_str(option).map_err(usage_error)?;
    let address = given
        .or_else(|| std::env::var(variable).ok())
        .unwrap_or_else(|| default.to_owned());
    if !address.starts_with("http://") {
        return Err(CliError::Usage(format!(
            "{option}: `{address}` does not start with http://"
        )));
    }
    Ok(address.trim_end_matches('/').to_owned())
}

fn command(args: &mut Arguments) -> Result<Command, CliError> {
    let name = args.subcommand().map_err(usage_error)?;
    match name.as_deref() {
        Some("config") => config_command(args),
        Some("explain") => explain_command(args),
        Some("status") => Ok(Command::Status),
        Some("entries") => Ok(Command::Entries),
        Some("report") => report_command(args),
        Some(other) => Err(CliError::Usage(format!("unknown command `{other}`"))),
        None => Err(CliError::Usage("a command is required".into())),
    }
}

fn report_command(args: &mut Arguments) -> Result<Command, CliError> {
    let name = args.subcommand().map_err(usage_error)?;
    match name.as_deref() {
        Some("burn") => Ok(Command::Burn {
            html: args.opt_value_from_str("--html").map_err(usage_error)?,
        }),
        Some(other) => Err(CliError::Usage(format!("unknown command `report {other}`"))),
        None => Err(CliError::Usage(
            "`report` needs a subcommand, such as `report burn`".into(),
        )),
    }
}

fn config_command(args: &mut Arguments) -> Result<Command, CliError> {
    let name = args.subcommand().map_err(usage_error)?;
    match name.as_deref() {
        Some("list") => Ok(Command::List),
        Some("get") => Ok(Command::Get {
            path: positional(args, "PATH")?,
        }),
        Some("put") => {
            let options = change_options(args)?;
            Ok(Command::Put {
                path: positional(args, "PATH")?,
                file: positional(args, "FILE")?,
                options,
            })
        }
        Some("delete") => {
            let options = change_options(args)?;
            let path = positional(args, "PATH")?;
            Ok(Command::Delete { path, options })
        }
        Some("log") => Ok(Command::Log {
            limit: args.opt_value_from_str("--limit").map_err(usage_error)?,
        }),
        Some("diff") => Ok(Command::Diff {
            from: positional(args, "FROM")?,
            to: args.opt_free_from_str().map_err(usage_error)?,
        }),
        Some("rollback") => {
            let options = change_options(args)?;
            if options.dry_run {
                let message =
                    "rollback does not support --dry-run; compare revisions with `config diff`";
                return Err(CliError::Usage(message.into()));
            }
            let to = positional(args, "REVISION")?;
            Ok(Command::Rollback { to, options })
        }
        Some("wait") => {
            let timeout = wait_timeout(args)?;
            let revision = positional(args, "REVISION")?;
            Ok(Command::Wait { revision, timeout })
        }
        Some("check") => check_command(args),
        Some(other) => Err(CliError::Usage(format!("unknown command `config {other}`"))),
        None => Err(CliError::Usage(
            "`config` needs a subcommand, such as `config list`".into(),
        )),
    }
}

fn check_command(args: &mut Arguments) -> Result<Command, CliError> {
    let mut paths = vec![positional(args, "FILE_OR_DIR")?];
    while let Some(path) = args.opt_free_from_str().map_err(usage_error)? {
        paths.push(path);
    }
    Ok(Command::Check { paths })
}

fn explain_command(args: &mut Arguments) -> Result<Command, CliError> {
    let id = positional(args, "ID")?;
    let mut files = Vec::new();
    while let Some(file) = args.opt_free_from_str().map_err(usage_error)? {
        files.push(file);
    }
    Ok(Command::Explain { id, files })
}

fn change_options(args: &mut Arguments) -> Result<ChangeOptions, CliError> {
    Ok(ChangeOptions {
        if_match: args.opt_value_from_str("--if-match").map_err(usage_error)?,
        change_id: args
            .opt_value_from_str("--change-id")
            .map_err(usage_error)?,
        dry_run: args.contains("--dry-run"),
        wait: args.contains("--wait"),
    })
}

fn wait_timeout(args: &mut Arguments) -> Result<Duration, CliError> {
    let seconds: Option<u64> = args.opt_value_from_str("--timeout").map_err(usage_error)?;
    match seconds {
        None => Ok(DEFAULT_WAIT_TIMEOUT),
        Some(s) if s <= MAX_WAIT_TIMEOUT_S => Ok(Duration::from_secs(s)),
        Some(_) => Err(CliError::Usage(
            "--timeout must be at most 60 seconds".into(),
        )),
    }
}

fn positional<T>(args: &mut Arguments, name: &str) -> Result<T, CliError>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    match args.opt_free_from_str() {
        Ok(Some(value)) => Ok(value),
        Ok(None) => Err(CliError::Usage(format!("{name} is missing"))),
        Err(e) => Err(CliError::Usage(format!("{name}: {e}"))),
    }
}
