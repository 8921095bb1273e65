//! Index over the active configuration for lookups on the request path.

use std::collections::HashMap;
use std::fmt;

use error_stack::Report;

use super::check::parse_key_hash;
use super::{Class, Configuration, Model, Service, Workspace};
use crate::ids::{Generation, TierId};

/// Binary SHA-256 hash of an API key.
pub type KeyHash = [u8; 32];

/// Configuration with indexes for the request path. Every lookup takes constant time, except that routes of a service
/// are searched in order. The default is the empty configuration of generation 0.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ActiveConfiguration {
    configuration: Configuration,
    workspace_by_key: HashMap<KeyHash, usize>,
    workspace_by_name: HashMap<String, usize>,
    tier_by_workspace: Vec<TierId>,
    class_by_name: HashMap<String, usize>,
    model_by_name: HashMap<String, usize>,
    service_by_name: HashMap<String, usize>,
}

/// Workspace with its tier, found by API key or by name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Customer<'a> {
    /// Name under which the workspace is configured.
    pub workspace: &'a str,
    /// Tier in which the requests of the workspace are scheduled.
    pub tier: TierId,
}

/// Settings that apply to one call of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceCall<'a> {
    /// Service that the first segment of the call's path names.
    pub service: &'a Service,
    /// Class of the matching route, or else of the service.
    pub class: &'a Class,
    /// Whether repeating the call has no further effect.
    pub repeatable: bool,
}

/// A workspace, model or service names a tier or class that does not exist, or a key hash is malformed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnresolvedReference;

impl fmt::Display for UnresolvedReference {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("unresolved reference in the configuration")
    }
}

impl std::error::Error for UnresolvedReference {}

impl ActiveConfiguration {
    /// Builds the index of a configuration.
    ///
    /// # Errors
    ///
    /// Fails if a reference cannot be resolved. Configurations that pass [`super::check::check`] have no such
    /// reference.
    ///
    /// ```
    /// use tanagerford_core::config::active::ActiveConfiguration;
    ///
    /// let hash = "0f".repeat(32);
    /// let text = format!(r#"{{"generation": 1,
    ///     "tiers": [{{"name": "prompt", "weight": 1, "reserved_permille": 500}}],
    ///     "classes": [],
    ///     "workspaces": [{{"name": "press", "key_sha256": ["{hash}"], "tier": "prompt"}}],
    ///     "models": [], "services": []}}"#);
    /// let active = ActiveConfiguration::new(serde_json::from_str(&text).unwrap()).unwrap();
    /// assert_eq!(active.customer_by_key(&[15; 32]).unwrap().workspace, "press");
    /// assert_eq!(active.customer_by_key(&[16; 32]), None);
    /// ```
    pub fn new(configuration: Configuration) -> Result<Self, Report<UnresolvedReference>> {
        let mut workspace_by_key = HashMap::new();
        let mut tier_by_workspace = Vec::with_capacity(configuration.workspaces.len());
        for (position, workspace) in configuration.workspaces.iter().enumerate() {
            let tier = configuration.tier_id(&workspace.tier);
            tier_by_workspace.push(resolve(tier, &workspace.tier)?);
            for key in &workspace.key_sha256 {
                let hash = resolve(parse_key_hash(key), &workspace.name)?;
                workspace_by_key.insert(hash, position);
            }
        }
        check_classes(&configuration)?;
        Ok(Self {
            workspace_by_key,
            workspace_by_name: index_by_name(&configuration.workspaces, |item| &item.name),
            tier_by_workspace,
            class_by_name: index_by_name(&configuration.classes, |item| &item.name),
            model_by_name: index_by_name(&configuration.models, |item| &item.name),
            service_by_name: index_by_name(&configuration.services, |item| &item.name),
            configuration,
        })
    }

    /// Returns the indexed configuration, for iteration over its items.
    #[must_use]
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns the generation under which the configuration was published; 0 for the empty default.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.configuration.generation
    }

    /// Returns the workspace whose API key has this hash, or `None` if the key is unknown.
    #[must_use]
    pub fn customer_by_key(&self, key: &KeyHash) -> Option<Customer<'_>> {
        self.customer_at(*self.workspace_by_key.get(key)?)
    }

    /// Returns the workspace called `workspace`, or `None` if there is none.
    #[must_use]
    pub fn customer(&self, workspace: &str) -> Option<Customer<'_>> {
        self.customer_at(*self.workspace_by_name.get(workspace)?)
    }

    fn customer_at(&self, position: usize) -> Option<Customer<'_>> {
        let workspace: &Workspace = self.configuration.workspaces.get(position)?;
        Some(Customer {
            workspace: &workspace.name,
            tier: *self.tier_by_workspace.get(position)?,
        })
    }

    /// Returns the class called `name`, or `None` if there is none.
    #[must_use]
    pub fn class(&self, name: &str) -> Option<&Class> {
        self.configuration
            .classes
            .get(*self.class_by_name.get(name)?)
    }

    /// Returns the model called `name`, or `None` if there is none.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.configuration
            .models
            .get(*self.model_by_name.get(name)?)
    }

    /// Returns the service called `name`, or `None` if there is none.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.configuration
            .services
            .get(*self.service_by_name.get(name)?)
    }

    /// Returns the settings for a call of a service, or `None` if the service is unknown. `path` is the part of the
    /// path that follows the service's name.
    ///
    /// The first matching route applies. A call without a matching route has the service's class and may be repeated
    /// only if its method is safe (RFC 9110, section 9.2.1).
    #[must_use]
    pub fn service_call(&self, service: &str, method: &str, path: &str) -> Option<ServiceCall<'_>> {
        let service = self.service(service)?;
        let mut routes = service.routes.iter();
        let route = routes.find(|route| {
            (route.method == "*" || route.method == method) && path.starts_with(&route.path_prefix)
        });
        let class = route.map_or(&service.class, |route| &route.class);
        let is_safe = matches!(method, "GET" | "HEAD" | "OPTIONS" | "TRACE");
        Some(ServiceCall {
            service,
            class: self.class(class)?,
            repeatable: route.map_or(is_safe, |route| route.repeatable),
        })
    }
}

fn index_by_name<T>(items: &[T], name: impl Fn(&T) -> &String) -> HashMap<String, usize> {
    let named = items.iter().enumerate();
    named
        .map(|(position, item)| (name(item).clone(), position))
        .collect()
}

fn check_classes(configuration: &Configuration) -> Result<(), Report<UnresolvedReference>> {
    let of_models = configuration.models.iter().map(|model| &model.class);
    let of_services = configuration.services.iter().map(|service| &service.class);
    let routes = configuration
        .services
        .iter()
        .flat_map(|service| &service.routes);
    let of_routes = routes.map(|route| &route.class);
    for class in of_models.chain(of_services).chain(of_routes) {
        resolve(configuration.class(class), class)?;
    }
    Ok(())
}

fn resolve<T>(found: Option<T>, name: &str) -> Result<T, Report<UnresolvedReference>> {
    found.ok_or_else(|| Report::new(UnresolvedReference).attach(name.to_owned()))
}
