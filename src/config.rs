//! Settings files, and the options that name the key-value service.

use std::time::Duration;

use getopts::{Matches, Options};
use tanagerford_kv::etcd::Etcd;
use tanagerford_operator::check::settings::{self, Settings};

use crate::error::Error;
use crate::util;

/// Timeout of one call to the key-value service.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads and checks the settings file of a process.
pub fn load(path: &str) -> Result<Settings, Error> {
    let content = util::read_file(path)?;
    match settings::decode(&content) {
        Ok(settings) => Ok(settings),
        Err(findings) => {
            util::fail_on_findings(path, findings)?;
            Err(Error::failed(format!("{path}: invalid settings")))
        }
    }
}

/// Adds the options that name the key-value service.
pub fn add_key_value_options(options: &mut Options) {
    options.optmulti("", "kv", "address of the key-value service", "URL");
    options.optopt("", "settings", "settings of a process that name it", "FILE");
}

/// Returns a client of the key-value service that the options name; `None` if they name none.
pub fn key_value_service(matches: &Matches) -> Result<Option<Etcd>, Error> {
    let mut endpoints = matches.opt_strs("kv");
    if let Some(path) = matches.opt_str("settings") {
        endpoints.extend(load(&path)?.platform.kv_endpoints);
    }
    Ok(Some(endpoints)
        .filter(|list| !list.is_empty())
        .map(Etcd::new))
}

/// Returns a client of the key-value service, or a usage error if the options name none.
pub fn required_key_value_service(matches: &Matches, usage: &'static str) -> Result<Etcd, Error> {
    let service = key_value_service(matches)?;
    service.ok_or_else(|| {
        Error::usage(
            "the key-value service is missing: give --kv or --settings",
            usage,
        )
    })
}
