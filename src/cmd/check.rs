//! Checks settings, configurations and tier sheets.

use getopts::Options;
use tanagerford_operator::check::{File, check, kind_of};

use crate::cmd::gateway;
use crate::error::Error;
use crate::util;

const USAGE: &str = "\
Usage: tanagerford check FILE...

Checks settings, settings of the users' platform (*.toml), configurations and
tier sheets (*.csv), and prints all findings.
If exactly one of the files is a configuration, the settings and sheets are also
checked against it.
";

/// File name suffix of settings of the users' platform.
const PLATFORM_SUFFIX: &str = ".toml";

struct Args {
    paths: Vec<String>,
}

impl Args {
    fn parse(arguments: &[String]) -> Result<Self, Error> {
        let matches = util::parse_options(&mut Options::new(), arguments, USAGE)?;
        if matches.free.is_empty() {
            return Err(Error::usage("no file given", USAGE));
        }
        Ok(Self {
            paths: matches.free,
        })
    }
}

pub fn run(arguments: &[String]) -> Result<(), Error> {
    let args = Args::parse(arguments)?;
    let (platform_paths, paths): (Vec<_>, Vec<_>) = args
        .paths
        .into_iter()
        .partition(|path| path.ends_with(PLATFORM_SUFFIX));
    let mut faulty_platform = Vec::new();
    for path in platform_paths {
        match gateway::load(&path) {
            Ok(_) => util::print_line(&format!("{path}: correct settings of the platform"))?,
            Err(Error::Findings(findings)) => faulty_platform.extend(findings),
            Err(error) => return Err(error),
        }
    }
    let mut contents = Vec::new();
    for path in &paths {
        contents.push(util::read_file(path)?);
    }
    let named = paths.iter().zip(&contents);
    let files: Vec<File> = named
        .map(|(name, content)| File { name, content })
        .collect();
    let mut faulty = check(&files);
    for (file, findings) in files.iter().zip(&faulty) {
        if findings.findings.is_empty() {
            util::print_line(&format!("{}: correct {}", file.name, kind_of(*file)))?;
        }
    }
    faulty.retain(|file| !file.findings.is_empty());
    faulty.extend(faulty_platform);
    if faulty.is_empty() {
        return Ok(());
    }
    Err(Error::Findings(faulty))
}
