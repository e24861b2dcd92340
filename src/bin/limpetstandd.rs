//! Runs one instance.

fn main() -> std::process::ExitCode {
    limpetstand::daemon::main()
}
