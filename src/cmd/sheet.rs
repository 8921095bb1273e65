//! Loads a tier sheet.

use getopts::Options;
use tanagerford_kv::etcd::Etcd;
use tanagerford_node::config_feed::publish::{Publication, PublishTiming, publish};
use tanagerford_node::config_feed::store;
use tanagerford_operator::check::sheet;

use crate::cmd::config::check_base;
use crate::config::{self, CALL_TIMEOUT};
use crate::error::Error;
use crate::util;

const USAGE: &str = "\
Usage: tanagerford sheet load [OPTIONS] FILE

Assigns the workspaces to the tiers of a sheet, a CSV file with the columns
workspace,tier and a row for each workspace. The command succeeds only when the
sheet is known to be in force.

Options:
  --kv URL             address of the key-value service; may be repeated
  --settings FILE      settings of a process that name the key-value service
  --base GENERATION    refuse if another generation is in force
  --partial            leave workspaces without a row in their tier
  -h, --help           print this text
";

struct Args {
    path: String,
    service: Etcd,
    base: Option<u64>,
    is_partial: bool,
}

impl Args {
    fn parse(arguments: &[String]) -> Result<Self, Error> {
        let mut options = Options::new();
        config::add_key_value_options(&mut options);
        options.optopt("", "base", "generation in force", "GENERATION");
        options.optflag("", "partial", "accept a sheet without some workspaces");
        let matches = util::parse_options(&mut options, arguments, USAGE)?;
        let [action, path] = matches.free.as_slice() else {
            return Err(Error::usage("expected load and one file", USAGE));
        };
        if action != "load" {
            return Err(Error::usage(format!("unknown action: {action}"), USAGE));
        }
        Ok(Self {
            path: path.clone(),
            service: config::required_key_value_service(&matches, USAGE)?,
            base: util::numeric_option(&matches, "base", USAGE)?,
            is_partial: matches.opt_present("partial"),
        })
    }
}

pub fn run(arguments: &[String]) -> Result<(), Error> {
    let args = Args::parse(arguments)?;
    let (sheet, mut findings) = sheet::read(&util::read_file(&args.path)?);
    let stored = check_base(store::read(&args.service, CALL_TIMEOUT)?, args.base)?;
    let Some(sections) = &stored.sections else {
        // Findings of the sheet are reported first: they help its author more than the missing configuration does.
        util::fail_on_findings(&args.path, findings)?;
        return Err(Error::failed(
            "no configuration is published; see config apply",
        ));
    };
    let merged = sections.merge();
    let current = merged.map_err(|report| Error::failed(report.current_context().to_string()))?;
    sheet.check_against(&current, &mut findings);
    if !args.is_partial {
        sheet.check_complete(&current, &mut findings);
    }
    util::fail_on_findings(&args.path, findings)?;
    let (configuration, changed) = sheet.apply(&current);
    let publication = Publication {
        base: &stored,
        configuration: &configuration,
        write_id: rand::random(),
        floor: 0,
    };
    let generation = publish(&args.service, &publication, PublishTiming::default())?;
    util::print_line(&format!(
        "generation {generation}: {changed} workspaces changed their tier"
    ))
}
