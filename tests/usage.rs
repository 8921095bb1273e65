//! Tests of usage errors and help of the command line.

mod workdir;

use workdir::Workdir;

/// Guards against usage errors and help that exit like failures of a command.
#[test]
fn usage_errors_exit_2_and_help_exits_0() {
    let workdir = Workdir::new("usage");
    workdir.write("sheet.csv", "workspace,tier\n");
    let wrong: [&[&str]; 12] = [
        &[],
        &["unknown"],
        &["check"],
        &["check", "--unknown", "sheet.csv"],
        &["sheet", "load", "sheet.csv"],
        &[
            "sheet",
            "load",
            "--kv",
            "http://127.0.0.1:1",
            "--base",
            "x",
            "sheet.csv",
        ],
        &["gateway", "--hedge-share", "0.06"],
        &["gateway", "--hedge-share", "-0.01"],
        &["gateway", "--hedge-share", "2%"],
        &["config", "status"],
        &["config", "apply"],
        &[
            "config",
            "apply",
            "--above",
            "9007199254740993",
            "--kv",
            "http://127.0.0.1:1",
            "x",
        ],
    ];
    for arguments in wrong {
        let run = workdir.run(arguments);
        assert_eq!(
            (run.code, run.stdout.as_str()),
            (Some(2), ""),
            "{arguments:?}"
        );
        assert!(run.stderr.contains("Usage: tanagerford"), "{arguments:?}");
    }
    for arguments in [
        &["--help"][..],
        &["check", "-h"],
        &["sheet", "--help"],
        &["config", "-h"],
    ] {
        let run = workdir.run(arguments);
        assert_eq!(
            (run.code, run.stderr.as_str()),
            (Some(0), ""),
            "{arguments:?}"
        );
        assert!(
            run.stdout.starts_with("Usage: tanagerford"),
            "{arguments:?}"
        );
    }
}
