//! Turns a caller's request into a [`Call`], or refuses it.

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;

use crate::call::{Call, Operation};
use crate::config::{Organisation, Route, Snapshot};
use crate::front::body::ModelBody;
use crate::front::headers::RequestOptions;
use crate::id::{ModelId, OrganisationId, RegionId, RequestId, RouteId};
use crate::key::{self, KeyError, KeyIdentity};
use crate::member::Fleet;
use crate::refusal::{Code, Refusal};
use crate::settings::FrontSettings;

/// The state that admission decisions depend on.
#[derive(Debug, Clone, Copy)]
pub struct Admission<'a> {
    /// The configuration in force.
    pub snapshot: &'a Snapshot,
    /// The fleet as this instance knows it.
    pub fleet: &'a Fleet,
    /// The time since the configuration in force was last known to be the newest.
    pub config_age: Duration,
    /// Limits and defaults for requests.
    pub settings: &'a FrontSettings,
}

/// The authenticated key of a caller and the settings of its organisation.
#[derive(Debug)]
struct Caller<'a> {
    identity: KeyIdentity,
    organisation: &'a Organisation,
}

impl Admission<'_> {
    /// Admits a chat or completion request for a model.
    ///
    /// # Errors
    ///
    /// A refusal with [`Ran::No`](crate::refusal::Ran::No).
    pub fn model(
        &self,
        id: RequestId,
        path: &str,
        options: &RequestOptions,
        body: Bytes,
    ) -> Result<Call, Refusal> {
        let parsed = ModelBody::parse(&body, path.ends_with("/chat/completions"))?;
        let (route_id, route) = self.model_route(options, &parsed.model)?;
        let caller = self.caller(options, route)?;
        let max_tokens = parsed
            .max_tokens
            .unwrap_or(self.settings.default_max_tokens);
        let tokens = parsed.prompt_tokens.saturating_add(max_tokens);
        let operation = Operation::Model {
            model: parsed.model,
            path: path.to_owned(),
            stream: parsed.stream,
        };
        let mut call = self.call(
            id,
            route_id,
            route,
            caller.as_ref(),
            options,
            operation,
            body,
        )?;
        call.tokens = tokens;
        call.prompt_tokens = parsed.prompt_tokens;
        Ok(call)
    }

    /// Admits a request to a plain service.
    ///
    /// # Errors
    ///
    /// A refusal with [`Ran::No`](crate::refusal::Ran::No).
    pub fn service(
        &self,
        id: RequestId,
        route_name: &str,
        operation: Operation,
        options: &RequestOptions,
        body: Bytes,
    ) -> Result<Call, Refusal> {
        self.check_ready()?;
        let found = self
            .snapshot
            .merged
            .routes
            .get_key_value(&RouteId::from(route_name));
        let Some((route_id, route)) = found.filter(|(_, route)| route.service.is_some()) else {
            // Callers without a valid key must not learn which routes exist.
            self.authenticate(options)?;
            return Err(Refusal::not_run(Code::NoSuchRoute, "no such service"));
        };
        let caller = self.caller(options, route)?;
        let mut call = self.call(
            id,
            route_id,
            route,
            caller.as_ref(),
            options,
            operation,
            body,
        )?;
        call.tokens = route.tokens_per_call;
        Ok(call)
    }

    /// Returns the models that the caller may use.
    ///
    /// # Errors
    ///
    /// A refusal if the caller sent an invalid key.
    pub fn models(&self, options: &RequestOptions) -> Result<Vec<ModelId>, Refusal> {
        self.check_ready()?;
        let caller = match options.bearer {
            Some(_) => Some(self.authenticate(options)?),
            None => None,
        };
        let mut models = BTreeSet::new();
        for route in self.snapshot.merged.routes.values() {
            let Some(model) = &route.model else {
                continue;
            };
            let allowed = match &caller {
                Some(caller) => route.open || is_allowed(route, &caller.identity.organisation),
                None => route.open,
            };
            if allowed {
                models.insert(model.clone());
            }
        }
        Ok(models.into_iter().collect())
    }

    fn check_ready(&self) -> Result<(), Refusal> {
        if self.snapshot.revision.0 > 0 {
            return Ok(());
        }
        Err(
            Refusal::not_run(Code::NotReady, "this instance has no configuration yet")
                .retry_after(Duration::from_secs(1)),
        )
    }

    fn model_route(
        &self,
        options: &RequestOptions,
        model: &ModelId,
    ) -> Result<(&RouteId, &Route), Refusal> {
        self.check_ready()?;
        if let Some(found) = self.snapshot.route_of_model(model) {
            return Ok(found);
        }
        self.authenticate(options)?;
        Err(Refusal::not_run(
            Code::NoSuchRoute,
            format!("no such model: `{model}`"),
        ))
    }

    /// Authenticates and authorises the caller of a route.
    ///
    /// Returns `None` for a request without a key on an open route.
    fn caller(
        &self,
        options: &RequestOptions,
        route: &Route,
    ) -> Result<Option<Caller<'_>>, Refusal> {
        if route.open && options.bearer.is_none() {
            return Ok(None);
        }
        let caller = self.authenticate(options)?;
        if !route.open && !is_allowed(route, &caller.identity.organisation) {
            return Err(Refusal::not_run(
                Code::Forbidden,
                "the key's organisation may not use this route",
            ));
        }
        Ok(Some(caller))
    }

    fn authenticate(&self, options: &RequestOptions) -> Result<Caller<'_>, Refusal> {
        let no_key = || Refusal::not_run(Code::BadKey, "an API key is required");
        let bearer = options.bearer.as_ref().ok_or_else(no_key)?;
        let identity = key::check_key(self.snapshot, self.config_age, bearer)?;
        let organisation = self
            .snapshot
            .merged
            .organisations
            .get(&identity.organisation)
            .ok_or(KeyError::Unknown)?;
        Ok(Caller {
            identity,
            organisation,
        })
    }

    #[expect(clippy::too_many_arguments, reason = "each is one part of the request")]
    fn call(
        &self,
        id: RequestId,
        route_id: &RouteId,
        route: &Route,
        caller: Option<&Caller<'_>>,
        options: &RequestOptions,
        operation: Operation,
        body: Bytes,
    ) -> Result<Call, Refusal> {
        let regions = self.regions(route, caller, options)?;
        let time_left = options
            .deadline
            .unwrap_or(Duration::from_millis(self.settings.default_deadline_ms));
        Ok(Call {
            id,
            organisation: caller.map(|c| c.identity.organisation.clone()),
            key: caller.map(|c| c.identity.key.clone()),
            route: route_id.clone(),
            operation,
            body,
            repeatable: route.repeatable && !options.not_repeatable,
            idempotency_key: options.idempotency_key.clone(),
            regions,
            tokens: 0,
            prompt_tokens: 0,
            priority: options.priority.unwrap_or(route.priority),
            time_left,
            hops: 0,
        })
    }

    /// Returns the known regions that the organisation, the route and the caller all allow.
    fn regions(
        &self,
        route: &Route,
        caller: Option<&Caller<'_>>,
        options: &RequestOptions,
    ) -> Result<Vec<RegionId>, Refusal> {
        let organisation_rule = caller.and_then(|c| c.organisation.regions.as_ref());
        let rules = [
            organisation_rule,
            route.regions.as_ref(),
            options.residency.as_ref(),
        ];
        let mut allowed = Vec::new();
        for region in known_regions(self.fleet) {
            let excluded = rules.iter().flatten().any(|rule| !rule.contains(region));
            if excluded {
                continue;
            }
            allowed.push(region.clone());
        }
        if allowed.is_empty() {
            return Err(Refusal::not_run(
                Code::NoAllowedRegion,
                "residency rules leave no region for the request",
            ));
        }
        Ok(allowed)
    }
}

fn known_regions(fleet: &Fleet) -> BTreeSet<&RegionId> {
    let mut regions = BTreeSet::new();
    for member in &fleet.members {
        regions.insert(&member.region);
    }
    for target in &fleet.targets {
        regions.insert(&target.region);
    }
    regions
}

fn is_allowed(route: &Route, organisation: &OrganisationId) -> bool {
    route
        .organisations
        .as_ref()
        .is_none_or(|allowed| allowed.contains(organisation))
}
