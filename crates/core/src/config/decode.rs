//! Reads a configuration from JSON text and reports all findings together.

use super::check::{self, Draft};
use super::document::{Cursor, Fields, Node};
use super::finding::Findings;
use super::{Class, Configuration, LatencyTarget, Model, Route, Service, Tier, Workspace};

/// Reads and checks a configuration.
///
/// # Errors
///
/// Returns all findings if the text is not a valid configuration.
///
/// ```
/// use tanagerford_core::config::decode::decode;
///
/// let text = br#"{
///     "tiers": [{"name": "prompt", "weight": 1, "reserved_permille": 1001}],
///     "classes": [], "workspaces": [], "models": [], "services": []
/// }"#;
/// let findings = decode(text).unwrap_err();
/// assert_eq!(findings.list()[0].location.to_string(), "/tiers");
/// ```
pub fn decode(text: &[u8]) -> Result<Configuration, Findings> {
    let mut findings = Findings::default();
    let node = match Node::parse(text) {
        Ok(node) => node,
        Err(finding) => {
            findings.add(finding.location, finding.expected, finding.found);
            return Err(findings);
        }
    };
    let partial = Cursor::root(&node, &mut findings).object(partial_configuration);
    let Some(partial) = partial else {
        return Err(findings);
    };
    check::check_draft(&partial.draft(), &mut findings);
    match partial.into_complete() {
        Some(configuration) if findings.is_empty() => Ok(configuration),
        _ => Err(findings),
    }
}

/// Configuration as far as it could be read; unreadable items are `None`.
struct PartialConfiguration {
    generation: Option<u64>,
    tiers: Option<Vec<Option<Tier>>>,
    classes: Option<Vec<Option<Class>>>,
    workspaces: Option<Vec<Option<Workspace>>>,
    models: Option<Vec<Option<Model>>>,
    services: Option<Vec<Option<Service>>>,
}

impl PartialConfiguration {
    fn draft(&self) -> Draft<'_> {
        Draft {
            tiers: as_refs(self.tiers.as_ref()),
            classes: as_refs(self.classes.as_ref()),
            workspaces: as_refs(self.workspaces.as_ref()),
            models: as_refs(self.models.as_ref()),
            services: as_refs(self.services.as_ref()),
        }
    }

    fn into_complete(self) -> Option<Configuration> {
        Some(Configuration {
            generation: self.generation?,
            tiers: all_readable(self.tiers)?,
            classes: all_readable(self.classes)?,
            workspaces: all_readable(self.workspaces)?,
            models: all_readable(self.models)?,
            services: all_readable(self.services)?,
        })
    }
}

fn as_refs<T>(items: Option<&Vec<Option<T>>>) -> Option<Vec<Option<&T>>> {
    Some(items?.iter().map(Option::as_ref).collect())
}

fn all_readable<T>(items: Option<Vec<Option<T>>>) -> Option<Vec<T>> {
    items?.into_iter().collect()
}

fn partial_configuration(fields: &mut Fields<'_>) -> PartialConfiguration {
    PartialConfiguration {
        generation: match fields.optional("generation") {
            None => Some(0),
            Some(cursor) => cursor.integer(),
        },
        tiers: list(fields, "tiers", tier),
        classes: list(fields, "classes", class),
        workspaces: list(fields, "workspaces", workspace),
        models: list(fields, "models", model),
        services: list(fields, "services", service),
    }
}

fn list<T>(
    fields: &mut Fields<'_>,
    name: &'static str,
    read: impl Fn(&mut Fields<'_>) -> Option<T>,
) -> Option<Vec<Option<T>>> {
    fields.field(name)?.list(|cursor| cursor.object(&read)?)
}

// Each function below reads all fields before it returns `None` for a missing one, so that all findings are reported in
// one pass.

fn tier(fields: &mut Fields<'_>) -> Option<Tier> {
    let name = fields.text("name");
    let weight = fields.integer("weight");
    let reserved_permille = fields.integer("reserved_permille");
    Some(Tier {
        name: name?,
        weight: weight?,
        reserved_permille: reserved_permille?,
    })
}

fn class(fields: &mut Fields<'_>) -> Option<Class> {
    let name = fields.text("name");
    let target = fields
        .field("target")
        .and_then(|cursor| cursor.object(target)?);
    let priority = fields.integer("priority");
    let longest_wait_ms = fields.integer("longest_wait_ms");
    let max_in_flight = fields.integer("max_in_flight");
    Some(Class {
        name: name?,
        target: target?,
        priority: priority?,
        longest_wait_ms: longest_wait_ms?,
        max_in_flight: max_in_flight?,
    })
}

fn target(fields: &mut Fields<'_>) -> Option<LatencyTarget> {
    let (has_tokens, has_call) = (fields.has("tokens"), fields.has("call"));
    let tokens = fields
        .optional("tokens")
        .and_then(|cursor| cursor.object(tokens_target)?);
    let call = fields
        .optional("call")
        .and_then(|cursor| cursor.object(call_target)?);
    match (has_tokens, has_call) {
        (true, false) => tokens,
        (false, true) => call,
        (true, true) => fields.expected("one of the fields tokens, call", "both"),
        (false, false) => fields.expected("one of the fields tokens, call", "none"),
    }
}

fn tokens_target(fields: &mut Fields<'_>) -> Option<LatencyTarget> {
    let first_token_ms = fields.integer("first_token_ms");
    let token_gap_ms = fields.integer("token_gap_ms");
    Some(LatencyTarget::Tokens {
        first_token_ms: first_token_ms?,
        token_gap_ms: token_gap_ms?,
    })
}

fn call_target(fields: &mut Fields<'_>) -> Option<LatencyTarget> {
    let total_ms = fields.integer("total_ms")?;
    Some(LatencyTarget::Call { total_ms })
}

fn workspace(fields: &mut Fields<'_>) -> Option<Workspace> {
    let name = fields.text("name");
    let key_sha256 = fields.text_list("key_sha256");
    let tier = fields.text("tier");
    Some(Workspace {
        name: name?,
        key_sha256: key_sha256?,
        tier: tier?,
    })
}

fn model(fields: &mut Fields<'_>) -> Option<Model> {
    let name = fields.text("name");
    let pool = fields.text("pool");
    let class = fields.text("class");
    let resumable = fields.optional_boolean("resumable");
    let checks_fencing = fields.optional_boolean("checks_fencing");
    Some(Model {
        name: name?,
        pool: pool?,
        class: class?,
        resumable: resumable?,
        checks_fencing: checks_fencing?,
    })
}

fn service(fields: &mut Fields<'_>) -> Option<Service> {
    let name = fields.text("name");
    let pool = fields.text("pool");
    let class = fields.text("class");
    let concurrency = fields.integer("concurrency");
    let routes = match fields.optional("routes") {
        None => Some(Vec::new()),
        Some(cursor) => all_readable(cursor.list(|cursor| cursor.object(route)?)),
    };
    Some(Service {
        name: name?,
        pool: pool?,
        class: class?,
        concurrency: concurrency?,
        routes: routes?,
    })
}

fn route(fields: &mut Fields<'_>) -> Option<Route> {
    let method = fields.text("method");
    let path_prefix = fields.text("path_prefix");
    let class = fields.text("class");
    let repeatable = fields.boolean("repeatable");
    Some(Route {
        method: method?,
        path_prefix: path_prefix?,
        class: class?,
        repeatable: repeatable?,
    })
}
