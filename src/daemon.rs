//! The command line of a daemon that runs one instance.

use std::path::PathBuf;
use std::process::ExitCode;

use crate::gateway;
use crate::kernel::{Kernel, KernelError};
use crate::logging;
use crate::settings::Settings;

const HELP: &str = "\
limpetstandd - runs one instance of the gateway

Usage: limpetstandd --settings FILE [--check]

  --settings FILE  the instance's settings, in TOML
  --check          only check the settings, start nothing
  --help           show this text
  --version        show the version

Exit codes:
  0  ended as asked, or the settings are good
  2  the command line is wrong
  3  the settings are wrong
  4  an address cannot be listened on
  5  neither the store nor another instance could be reached
  6  the log cannot be written
  7  another fault while running
";

const EXIT_USAGE: u8 = 2;
const EXIT_SETTINGS: u8 = 3;
const EXIT_ADDRESS: u8 = 4;
const EXIT_STORE: u8 = 5;
const EXIT_LOG: u8 = 6;
const EXIT_OTHER: u8 = 7;

/// The action that the command line selects.
enum Command {
    Print(String),
    Check(PathBuf),
    Run(PathBuf),
}

/// Runs the command line of the process.
pub fn main() -> ExitCode {
    let command = match parse(pico_args::Arguments::from_env()) {
        Ok(command) => command,
        Err(e) => return fail(EXIT_USAGE, &format!("{e}; see --help")),
    };
    match command {
        Command::Print(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Command::Check(path) => match Settings::read(&path) {
            Ok(_) => ExitCode::SUCCESS,
            Err(e) => fail(EXIT_SETTINGS, &e.to_string()),
        },
        Command::Run(path) => run(&path),
    }
}

fn parse(mut args: pico_args::Arguments) -> Result<Command, eyre::Report> {
    if args.contains("--help") {
        return Ok(Command::Print(HELP.to_owned()));
    }
    if args.contains("--version") {
        return Ok(Command::Print(format!(
            "limpetstandd {}\n",
            env!("CARGO_PKG_VERSION")
        )));
    }
    let check = args.contains("--check");
    let path: PathBuf = args.value_from_str("--settings")?;
    let rest = args.finish();
    if let Some(argument) = rest.first() {
        return Err(eyre::eyre!(
            "unknown argument `{}`",
            argument.to_string_lossy()
        ));
    }
    Ok(if check {
        Command::Check(path)
    } else {
        Command::Run(path)
    })
}

fn run(path: &std::path::Path) -> ExitCode {
    let settings = match Settings::read(path) {
        Ok(settings) => settings,
        Err(e) => return fail(EXIT_SETTINGS, &e.to_string()),
    };
    if let Err(e) = logging::start(&settings.log) {
        return fail(EXIT_LOG, &at_setting(path, "log", "file", &e.to_string()));
    }
    let runtime = match build_runtime(&settings) {
        Ok(runtime) => runtime,
        Err(e) => return fail(EXIT_OTHER, &e.to_string()),
    };
    let gateway = settings.gateway.clone();
    let result = runtime.block_on(async {
        match gateway {
            Some(gateway) => {
                gateway::run(settings, gateway, Some(path.to_owned()), stop_signal()).await
            }
            None => Kernel::run(settings, stop_signal()).await,
        }
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            let (section, key) = e.setting();
            fail(
                exit_code(&e),
                &at_setting(path, section, key, &e.to_string()),
            )
        }
    }
}

/// Builds the async runtime.
///
/// The gateway for general routes runs on a fraction of one core, where more threads would only
/// add wake-ups.
fn build_runtime(settings: &Settings) -> std::io::Result<tokio::runtime::Runtime> {
    let mut builder = if settings.gateway.is_some() {
        tokio::runtime::Builder::new_current_thread()
    } else {
        tokio::runtime::Builder::new_multi_thread()
    };
    builder.enable_all().build()
}

fn exit_code(e: &KernelError) -> u8 {
    match e {
        KernelError::Listen { .. } => EXIT_ADDRESS,
        KernelError::NoConfiguration(_) => EXIT_STORE,
        _ => EXIT_OTHER,
    }
}

/// Prefixes a message with the file, the position and the name of a setting.
fn at_setting(path: &std::path::Path, section: &str, key: &str, message: &str) -> String {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let (line, column) = crate::settings::locate(&text, section, key);
    format!(
        "{}:{line}:{column}: `{section}.{key}`: {message}",
        path.display()
    )
}

fn fail(code: u8, message: &str) -> ExitCode {
    eprintln!("limpetstandd: {message}");
    ExitCode::from(code)
}

/// Completes on SIGTERM or SIGINT; never, if the signal handlers cannot be installed.
async fn stop_signal() {
    use tokio::signal::unix::{SignalKind, signal};
    let (Ok(mut term), Ok(mut int)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}
