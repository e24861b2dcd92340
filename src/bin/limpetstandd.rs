//! The daemon, which runs one instance.

fn main() -> std::process::ExitCode {
    limpetstand::daemon::main()
}
