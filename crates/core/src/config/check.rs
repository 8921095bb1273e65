//! Semantic checks of a configuration: names, references, reserved shares and latency targets.

use std::collections::{BTreeMap, BTreeSet};

use super::finding::{Findings, quote};
use super::{Class, Configuration, LatencyTarget, Model, Route, Service, Tier, Workspace};

/// Maximum number of tiers; each is a queue with a reserved share in every sidecar.
pub const MAX_TIERS: usize = 16;

/// Class names are labels of metrics, and the number of time series must be bounded.
pub(crate) const MAX_CLASSES: usize = 64;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// One hour; a longer target or wait is most likely given in the wrong unit.
pub(crate) const MAX_DURATION_MS: u64 = 3_600_000;

/// First path segment of the OpenAI-style API, which cannot be a service name.
const RESERVED_SERVICE_NAME: &str = "v1";

/// Configuration as far as it could be read; unreadable items are `None`.
#[derive(Debug)]
pub(crate) struct Draft<'a> {
    pub(super) tiers: Items<'a, Tier>,
    pub(super) classes: Items<'a, Class>,
    pub(super) workspaces: Items<'a, Workspace>,
    pub(super) models: Items<'a, Model>,
    pub(super) services: Items<'a, Service>,
}

type Items<'a, T> = Option<Vec<Option<&'a T>>>;

/// Names against which references are resolved; `None` if some could not be read, since a reference to one of those
/// would be reported wrongly.
type Names<'a> = Option<BTreeSet<&'a str>>;

/// Checks a configuration and returns all findings in the order of the checks.
///
/// ```
/// use tanagerford_core::config::Configuration;
/// use tanagerford_core::config::check::check;
///
/// let empty = Configuration {
///     generation: 0,
///     tiers: vec![],
///     classes: vec![],
///     workspaces: vec![],
///     models: vec![],
///     services: vec![],
/// };
/// assert_eq!(check(&empty).list().len(), 2);
/// ```
#[must_use]
pub fn check(configuration: &Configuration) -> Findings {
    let mut findings = Findings::default();
    let draft = Draft {
        tiers: Some(configuration.tiers.iter().map(Some).collect()),
        classes: Some(configuration.classes.iter().map(Some).collect()),
        workspaces: Some(configuration.workspaces.iter().map(Some).collect()),
        models: Some(configuration.models.iter().map(Some).collect()),
        services: Some(configuration.services.iter().map(Some).collect()),
    };
    check_draft(&draft, &mut findings);
    findings
}

/// Returns whether a name consists of characters that are allowed in headers, paths, metric labels and tier sheets.
///
/// ```
/// use tanagerford_core::config::check::is_valid_name;
///
/// assert!(is_valid_name("plate-orders.v2"));
/// assert!(!is_valid_name("plate orders"));
/// ```
#[must_use]
pub fn is_valid_name(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(allowed)
}

/// Decodes an API key hash of 64 lowercase hexadecimal digits; returns `None` for any other text.
///
/// ```
/// use tanagerford_core::config::check::parse_key_hash;
///
/// assert_eq!(parse_key_hash(&"0f".repeat(32)), Some([15; 32]));
/// assert_eq!(parse_key_hash("0F"), None);
/// ```
#[must_use]
pub fn parse_key_hash(text: &str) -> Option<[u8; 32]> {
    let digit = |byte: u8| match byte {
        b'0'..=b'9' => Some(byte - b'0'),
        b'a'..=b'f' => Some(byte - b'a' + 10),
        _ => None,
    };
    let mut hash = [0; 32];
    if text.len() != 2 * hash.len() {
        return None;
    }
    for (byte, pair) in hash.iter_mut().zip(text.as_bytes().chunks_exact(2)) {
        *byte = digit(pair[0])? << 4 | digit(pair[1])?;
    }
    Some(hash)
}

pub(super) fn check_draft(draft: &Draft<'_>, findings: &mut Findings) {
    let tier_names = names(draft.tiers.as_deref(), |tier| &tier.name);
    check_tiers(draft.tiers.as_deref().unwrap_or_default(), findings);
    check_count("/tiers", draft.tiers.as_deref(), MAX_TIERS, findings);
    check_count("/classes", draft.classes.as_deref(), MAX_CLASSES, findings);
    check_classes(draft.classes.as_deref().unwrap_or_default(), findings);
    check_workspaces(
        draft.workspaces.as_deref().unwrap_or_default(),
        &tier_names,
        findings,
    );
    let classes = ClassTargets::new(draft.classes.as_deref());
    check_models(
        draft.models.as_deref().unwrap_or_default(),
        &classes,
        findings,
    );
    let model_pools = readable(draft.models.as_deref().unwrap_or_default());
    let model_pools = model_pools.map(|(_, model)| model.pool.as_str()).collect();
    check_services(
        draft.services.as_deref().unwrap_or_default(),
        &classes,
        &model_pools,
        findings,
    );
}

fn readable<'a, T>(items: &[Option<&'a T>]) -> impl Iterator<Item = (usize, &'a T)> {
    let numbered = items.iter().enumerate();
    numbered.filter_map(|(position, item)| Some((position, (*item)?)))
}

fn names<'a, T>(items: Option<&[Option<&'a T>]>, name: impl Fn(&'a T) -> &'a String) -> Names<'a> {
    let items = items?.iter().copied();
    items
        .map(|item| item.map(|item| name(item).as_str()))
        .collect()
}

fn check_count<T>(pointer: &str, items: Option<&[T]>, limit: usize, findings: &mut Findings) {
    let Some(items) = items else { return };
    if items.is_empty() || items.len() > limit {
        findings.add_at(
            pointer,
            format!("1 to {limit} items"),
            items.len().to_string(),
        );
    }
}

/// Collects the names of one list and reports malformed and duplicate ones.
struct UniqueNames<'a> {
    /// JSON pointer of the first use of each name.
    pointer_by_name: BTreeMap<&'a str, String>,
}

impl<'a> UniqueNames<'a> {
    fn new() -> Self {
        let pointer_by_name = BTreeMap::new();
        Self { pointer_by_name }
    }

    fn add(&mut self, pointer: String, name: &'a str, findings: &mut Findings) {
        check_name(&pointer, name, findings);
        if let Some(first) = self.pointer_by_name.get(name) {
            let expected = format!("a name other than that at {first}");
            findings.add_at(&pointer, expected, quote(name));
        } else {
            self.pointer_by_name.insert(name, pointer);
        }
    }
}

fn check_name(pointer: &str, name: &str, findings: &mut Findings) {
    if !is_valid_name(name) {
        let expected = format!("a name of 1 to {MAX_NAME_BYTES} letters, digits, '.', '_' or '-'");
        findings.add_at(pointer, expected, quote(name));
    }
}

fn check_at_least_one(pointer: &str, value: u64, findings: &mut Findings) {
    if value == 0 {
        findings.add_at(pointer, "at least 1", "0");
    }
}

fn check_duration(pointer: &str, value_ms: u64, findings: &mut Findings) {
    if !(1..=MAX_DURATION_MS).contains(&value_ms) {
        let expected = format!("1 to {MAX_DURATION_MS} ms");
        findings.add_at(pointer, expected, value_ms.to_string());
    }
}

fn check_reference(
    pointer: &str,
    kind: &str,
    name: &str,
    known: &Names<'_>,
    findings: &mut Findings,
) {
    let Some(known) = known else { return };
    if !known.contains(name) {
        findings.add_at(pointer, format!("the name of a {kind}"), quote(name));
    }
}

fn check_tiers(tiers: &[Option<&Tier>], findings: &mut Findings) {
    let mut unique = UniqueNames::new();
    let mut reserved: u64 = 0;
    for (position, tier) in readable(tiers) {
        let pointer = format!("/tiers/{position}");
        unique.add(format!("{pointer}/name"), &tier.name, findings);
        check_at_least_one(&format!("{pointer}/weight"), tier.weight.into(), findings);
        // A tier without a reserved share could starve behind the others.
        check_at_least_one(
            &format!("{pointer}/reserved_permille"),
            tier.reserved_permille.into(),
            findings,
        );
        reserved += u64::from(tier.reserved_permille);
    }
    if reserved > 1000 {
        let expected = "reserved shares of at most 1000 permille in total";
        findings.add_at("/tiers", expected, reserved.to_string());
    }
}

fn check_classes(classes: &[Option<&Class>], findings: &mut Findings) {
    let mut unique = UniqueNames::new();
    for (position, class) in readable(classes) {
        let pointer = format!("/classes/{position}");
        unique.add(format!("{pointer}/name"), &class.name, findings);
        check_target(&format!("{pointer}/target"), class.target, findings);
        check_duration(
            &format!("{pointer}/longest_wait_ms"),
            class.longest_wait_ms,
            findings,
        );
        check_at_least_one(
            &format!("{pointer}/max_in_flight"),
            class.max_in_flight.into(),
            findings,
        );
    }
}

fn check_target(pointer: &str, target: LatencyTarget, findings: &mut Findings) {
    match target {
        LatencyTarget::Call { total_ms } => {
            check_duration(&format!("{pointer}/call/total_ms"), total_ms, findings);
        }
        LatencyTarget::Tokens {
            first_token_ms,
            token_gap_ms,
        } => {
            let pointer = format!("{pointer}/tokens");
            check_duration(
                &format!("{pointer}/first_token_ms"),
                first_token_ms,
                findings,
            );
            check_duration(&format!("{pointer}/token_gap_ms"), token_gap_ms, findings);
        }
    }
}

fn check_workspaces(
    workspaces: &[Option<&Workspace>],
    tier_names: &Names<'_>,
    findings: &mut Findings,
) {
    let mut unique = UniqueNames::new();
    let mut pointer_by_key = BTreeMap::new();
    for (position, workspace) in readable(workspaces) {
        let pointer = format!("/workspaces/{position}");
        unique.add(format!("{pointer}/name"), &workspace.name, findings);
        check_reference(
            &format!("{pointer}/tier"),
            "tier",
            &workspace.tier,
            tier_names,
            findings,
        );
        for (number, key) in workspace.key_sha256.iter().enumerate() {
            let pointer = format!("{pointer}/key_sha256/{number}");
            check_key(&pointer, key, &mut pointer_by_key, findings);
        }
    }
}

fn check_key<'a>(
    pointer: &str,
    key: &'a str,
    pointer_by_key: &mut BTreeMap<&'a str, String>,
    findings: &mut Findings,
) {
    if parse_key_hash(key).is_none() {
        // The value may be an API key entered instead of its hash, so the finding must not repeat it.
        let found = format!("{} bytes", key.len());
        findings.add_at(
            pointer,
            "a SHA-256 hash of 64 lower-case hexadecimal digits",
            found,
        );
        return;
    }
    // With a key of two workspaces, requests of one customer would be attributed to another.
    if let Some(first) = pointer_by_key.get(key) {
        findings.add_at(
            pointer,
            format!("a key other than that at {first}"),
            "the same key",
        );
        return;
    }
    pointer_by_key.insert(key, pointer.to_owned());
}

/// Kind of latency target of each class.
struct ClassTargets<'a> {
    /// Whether the class of a name has a target for streamed tokens; `None` if some class could not be read.
    is_streamed_by_name: Option<BTreeMap<&'a str, bool>>,
}

impl<'a> ClassTargets<'a> {
    fn new(classes: Option<&[Option<&'a Class>]>) -> Self {
        let is_streamed = |class: &Class| matches!(class.target, LatencyTarget::Tokens { .. });
        let known = classes.and_then(|classes| {
            let classes = classes.iter().copied();
            classes
                .map(|class| class.map(|class| (class.name.as_str(), is_streamed(class))))
                .collect()
        });
        Self {
            is_streamed_by_name: known,
        }
    }

    /// Reports an unknown class; returns whether a known one has a target for streamed tokens.
    fn check(&self, pointer: &str, name: &str, findings: &mut Findings) -> Option<bool> {
        let known = self.is_streamed_by_name.as_ref()?;
        let is_streamed = known.get(name).copied();
        if is_streamed.is_none() {
            findings.add_at(pointer, "the name of a class", quote(name));
        }
        is_streamed
    }

    /// Checks the class of service calls. Services send no tokens, so a target for tokens could never be met.
    fn check_call(&self, pointer: &str, name: &str, findings: &mut Findings) {
        if self.check(pointer, name, findings) == Some(true) {
            findings.add_at(
                pointer,
                "a class with a latency target for calls",
                quote(name),
            );
        }
    }
}

fn check_models(models: &[Option<&Model>], classes: &ClassTargets<'_>, findings: &mut Findings) {
    let mut unique = UniqueNames::new();
    for (position, model) in readable(models) {
        let pointer = format!("/models/{position}");
        unique.add(format!("{pointer}/name"), &model.name, findings);
        check_name(&format!("{pointer}/pool"), &model.pool, findings);
        classes.check(&format!("{pointer}/class"), &model.class, findings);
    }
}

fn check_services(
    services: &[Option<&Service>],
    classes: &ClassTargets<'_>,
    model_pools: &BTreeSet<&str>,
    findings: &mut Findings,
) {
    let mut unique = UniqueNames::new();
    for (position, service) in readable(services) {
        let pointer = format!("/services/{position}");
        unique.add(format!("{pointer}/name"), &service.name, findings);
        if service.name == RESERVED_SERVICE_NAME {
            let expected = "a name other than that of the model interface";
            findings.add_at(&format!("{pointer}/name"), expected, quote(&service.name));
        }
        check_name(&format!("{pointer}/pool"), &service.pool, findings);
        if model_pools.contains(service.pool.as_str()) {
            let expected = "a pool that serves no model";
            findings.add_at(&format!("{pointer}/pool"), expected, quote(&service.pool));
        }
        classes.check_call(&format!("{pointer}/class"), &service.class, findings);
        check_at_least_one(
            &format!("{pointer}/concurrency"),
            service.concurrency.into(),
            findings,
        );
        check_routes(&pointer, &service.routes, classes, findings);
    }
}

fn check_routes(
    service: &str,
    routes: &[Route],
    classes: &ClassTargets<'_>,
    findings: &mut Findings,
) {
    for (position, route) in routes.iter().enumerate() {
        let pointer = format!("{service}/routes/{position}");
        let is_method = route.method == "*" || route.method.bytes().all(|b| b.is_ascii_uppercase());
        if route.method.is_empty() || !is_method {
            let expected = "an HTTP method in upper case or \"*\"";
            findings.add_at(&format!("{pointer}/method"), expected, quote(&route.method));
        }
        if !route.path_prefix.starts_with('/') {
            let found = quote(&route.path_prefix);
            findings.add_at(
                &format!("{pointer}/path_prefix"),
                "a path that begins with '/'",
                found,
            );
        }
        classes.check_call(&format!("{pointer}/class"), &route.class, findings);
        let earlier = routes[..position]
            .iter()
            .position(|earlier| covers(earlier, route));
        if let Some(earlier) = earlier {
            let expected = format!("calls not matched by the earlier {service}/routes/{earlier}");
            findings.add_at(&pointer, expected, "none");
        }
    }
}

/// Returns whether every call that matches `later` also matches `earlier`.
fn covers(earlier: &Route, later: &Route) -> bool {
    let covers_method = earlier.method == "*" || earlier.method == later.method;
    covers_method && later.path_prefix.starts_with(&earlier.path_prefix)
}
