//! Tests of the daemon's settings, exit codes and error output.

use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Command, Output};

use limpetstand::settings::{Settings, locate};
use proptest::prelude::*;
use tempfile::TempDir;

const DAEMON: &str = env!("CARGO_BIN_EXE_limpetstandd");

const GOOD: &str = r#"[instance]
id = "recife-1"
region = "recife"
data_centre = "recife-a"
front = "127.0.0.1:18080"
peer = "127.0.0.1:18081"
admin = "127.0.0.1:18082"

[store]
kind = "etcd"
address = "http://127.0.0.1:1"

[platform]
list = "http://127.0.0.1:1/instances"
"#;

struct SettingsFile {
    _dir: TempDir,
    path: PathBuf,
}

fn write_settings(text: &str) -> SettingsFile {
    let dir = tempfile::tempdir().expect("a directory");
    let path = dir.path().join("instance.toml");
    std::fs::write(&path, text).expect("written");
    SettingsFile { _dir: dir, path }
}

fn run_daemon(text: &str, check: bool) -> Output {
    let file = write_settings(text);
    let mut command = Command::new(DAEMON);
    command.arg("--settings").arg(&file.path);
    if check {
        command.arg("--check");
    }
    command.output().expect("run")
}

fn error_line(output: &Output) -> String {
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(text.lines().count(), 1, "one line: {text}");
    assert!(!text.contains("panicked"), "{text}");
    text
}

#[test]
fn valid_settings_pass_the_check() {
    let output = run_daemon(GOOD, true);
    assert_eq!(output.status.code(), Some(0));
    assert!(output.stderr.is_empty());
}

#[test]
fn errors_name_the_setting_and_its_position() {
    for (from, to, position, part) in [
        ("id = \"recife-1\"", "id = \"\"", ":2:1:", "instance.id"),
        ("region = \"recife\"", "", ":1:1:", "region"),
        ("region =", "regoin =", ":3:1:", "regoin"),
        ("127.0.0.1:18080", "127.0.0.1", ":5:9:", "socket address"),
        ("127.0.0.1:18081", "127.0.0.1:18080", ":5:1:", "differ"),
        (
            "http://127.0.0.1:1\"",
            "https://store\"",
            ":11:1:",
            "store.address",
        ),
        (
            "kind = \"etcd\"",
            "kind = \"etcd\"\ncalls_per_second = 0",
            ":11:1:",
            "calls_per_second",
        ),
        ("[store]", "[store", ":9:7", ""),
    ] {
        let text = GOOD.replace(from, to);
        assert_ne!(text, GOOD, "{from}");
        let output = run_daemon(&text, true);
        assert_eq!(output.status.code(), Some(3), "{to}");
        let line = error_line(&output);
        assert!(line.contains(position), "{position} in {line}");
        assert!(line.contains(part), "{part} in {line}");
    }
}

#[test]
fn a_missing_file_and_a_wrong_command_line_have_distinct_exit_codes() {
    let missing = Command::new(DAEMON)
        .args(["--settings", "/nowhere/x.toml"])
        .output();
    let missing = missing.expect("run");
    assert_eq!(missing.status.code(), Some(3));
    assert!(error_line(&missing).contains("/nowhere/x.toml"));
    for args in [
        &["--settings"][..],
        &[],
        &["--settings", "x", "--frobnicate"],
    ] {
        let wrong = Command::new(DAEMON).args(args).output().expect("run");
        assert_eq!(wrong.status.code(), Some(2), "{args:?}");
        assert!(error_line(&wrong).contains("--help"));
    }
    let help = Command::new(DAEMON).arg("--help").output().expect("run");
    assert_eq!(help.status.code(), Some(0));
}

#[test]
fn an_address_in_use_is_reported() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = taken.local_addr().expect("address").to_string();
    let text = GOOD
        .replace("127.0.0.1:18080", "127.0.0.1:0")
        .replace("127.0.0.1:18081", &address)
        .replace("127.0.0.1:18082", "127.0.0.1:0");
    // Port 0 selects a free port, but the settings check treats equal addresses as a conflict.
    let text = text.replacen("127.0.0.1:0", "127.0.0.2:0", 1);
    let output = run_daemon(&text, false);
    assert_eq!(output.status.code(), Some(4));
    let line = error_line(&output);
    assert!(
        line.contains(":6:1:") && line.contains("instance.peer"),
        "{line}"
    );
}

#[test]
fn an_unknown_plug_in_is_reported_with_and_without_check() {
    for (text, position) in [
        (format!("{GOOD}\n[policy]\nroute = \"guess\"\n"), ":17:1:"),
        (format!("{GOOD}\n[policy]\nlimit = \"guess\"\n"), ":17:1:"),
        (format!("{GOOD}\n[policy]\nattempt = \"guess\"\n"), ":17:1:"),
        (GOOD.replace("etcd", "guess"), ":10:1:"),
    ] {
        for check in [true, false] {
            let output = run_daemon(&text, check);
            assert_eq!(output.status.code(), Some(3));
            let line = error_line(&output);
            assert!(line.contains(position), "{line}");
        }
    }
}

#[test]
fn an_unwritable_log_file_is_reported() {
    let log = run_daemon(&format!("{GOOD}\n[log]\nfile = \"/dev/null/log\"\n"), false);
    assert_eq!(log.status.code(), Some(6));
    assert!(error_line(&log).contains("log.file"));
}

#[test]
fn an_unreachable_store_is_reported_after_a_bounded_wait() {
    let free = GOOD
        .replace("127.0.0.1:18080", "127.0.0.2:0")
        .replace("127.0.0.1:18081", "127.0.0.3:0")
        .replace("127.0.0.1:18082", "127.0.0.4:0")
        + "\n[log]\nlevel = \"error\"\n";
    let output = run_daemon(&free, false);
    assert_eq!(output.status.code(), Some(5));
    let line = error_line(&output);
    assert!(
        line.contains(":11:1:") && line.contains("store.address"),
        "{line}"
    );
}

#[test]
fn settings_are_located_by_section_and_key() {
    let text = "[a]\nkey = 1\n[b]\n  key = 2\n";
    assert_eq!(locate(text, "b", "key"), (4, 3));
    assert_eq!(locate(text, "c", "key"), (0, 0));
}

proptest! {
    #[test]
    fn any_text_parses_or_fails_with_a_position_in_the_text(cut in 0_usize..400, noise in "[ -~\n]{0,20}") {
        let cut = cut.min(GOOD.len());
        let text = format!("{}{noise}{}", &GOOD[..cut], &GOOD[cut..]);
        if let Err(e) = Settings::parse(&text) {
            prop_assert!(e.line() <= text.lines().count() + 1);
        }
    }
}
