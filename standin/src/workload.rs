//! Two synthetic workloads: organisations, routes and the configuration documents for them.

mod plan;

use std::time::Duration;

use eyre::{Result, bail};

use crate::fleet::sha256_hex;
pub use plan::{Arrival, LoadPattern, plan_arrivals};

/// Sum of the rates of all organisations, in tokens a second.
const TOTAL_TOKENS_PER_SECOND: f64 = 16_000.0;
/// Burst of an organisation, in seconds of its rate.
const BURST_SECONDS: f64 = 2.0;
/// Smallest burst; the largest request of both workloads fits into it.
const MIN_BURST_TOKENS: f64 = 2_000.0;
/// Tokens charged for a call to the plain service.
pub const TOKENS_PER_CALL: u64 = 20;

/// Route to the plain service.
pub const SERVICE_ROUTE: &str = "reserve";
/// Route to the plain service that needs no key.
pub const OPEN_ROUTE: &str = "notice-board";
/// Model that both workloads use.
pub const MODEL: &str = "house-8b";

/// A kind of workload.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Chats, chats with a long shared prompt, and bookings at the plain service.
    Bookings,
    /// Batches of short completions, chats, and calls to the plain service.
    Survey,
}

impl Kind {
    /// Returns the workload with this name.
    ///
    /// # Errors
    ///
    /// If no workload has this name.
    pub fn parse(name: &str) -> Result<Self> {
        match name {
            "bookings" => Ok(Self::Bookings),
            "survey" => Ok(Self::Survey),
            _ => bail!("no workload named `{name}`; there are bookings and survey"),
        }
    }

    /// Returns the name of the workload.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Bookings => "bookings",
            Self::Survey => "survey",
        }
    }

    fn regions(self) -> [&'static str; 3] {
        match self {
            Self::Bookings => ["gauteng", "western-cape", "kwazulu-natal"],
            Self::Survey => ["recife", "fortaleza", "salvador"],
        }
    }
}

/// An organisation, its limits and the API key of its callers.
#[derive(Debug, Clone, PartialEq)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: String,
    /// Rate limit in tokens a second.
    pub rate: f64,
    /// Burst in tokens.
    pub burst: f64,
    /// Indices of the regions in which its requests may run; `None` means all regions.
    pub regions: Option<Vec<usize>>,
    /// API key of its callers.
    pub key: String,
    /// Share of its callers in each region.
    pub callers: Vec<f64>,
}

impl Organisation {
    /// Returns whether its requests may run in the region with this index.
    pub fn allows(&self, region: usize) -> bool {
        self.regions.as_ref().is_none_or(|r| r.contains(&region))
    }
}

/// A workload with its organisations.
#[derive(Debug, Clone)]
pub struct Workload {
    /// Kind of the workload.
    pub kind: Kind,
    /// Names of the regions.
    pub regions: Vec<String>,
    /// Organisations in descending order of their rates.
    pub organisations: Vec<Organisation>,
}

impl Workload {
    /// Creates a workload in which the n-th organisation has 1/n^skew of the first one's rate.
    pub fn new(kind: Kind, organisations: usize, skew: f64) -> Self {
        let mut weights = Vec::with_capacity(organisations);
        for n in 0..organisations {
            weights.push(((n + 1) as f64).powf(-skew));
        }
        let sum: f64 = weights.iter().sum();
        let regions: Vec<String> = kind.regions().map(str::to_owned).to_vec();
        let mut all = Vec::with_capacity(organisations);
        for (n, weight) in weights.iter().enumerate() {
            all.push(organisation(n, TOTAL_TOKENS_PER_SECOND * weight / sum));
        }
        Self {
            kind,
            regions,
            organisations: all,
        }
    }

    /// Returns all API keys, which must never reach a target.
    pub fn secrets(&self) -> Vec<String> {
        let mut secrets = Vec::new();
        for organisation in &self.organisations {
            secrets.push(organisation.key.clone());
        }
        secrets
    }

    /// Returns the paths and texts of the configuration documents, in the order in which they
    /// can be written.
    pub fn documents(&self) -> Vec<(&'static str, String)> {
        vec![
            ("fleet/organisations", self.organisations_document()),
            ("fleet/routes", self.routes_document()),
            ("fleet/keys", self.keys_document()),
        ]
    }

    fn organisations_document(&self) -> String {
        let mut text = String::new();
        for organisation in &self.organisations {
            let Organisation {
                name, rate, burst, ..
            } = organisation;
            text.push_str(&format!(
                "[organisations.{name}]\nrate = {rate:.0}\nburst = {burst:.0}\n"
            ));
            if let Some(regions) = &organisation.regions {
                let mut names = Vec::new();
                for region in regions {
                    names.push(format!("\"{}\"", self.regions[*region]));
                }
                text.push_str(&format!("regions = [{}]\n", names.join(", ")));
            }
            text.push('\n');
        }
        text
    }

    fn routes_document(&self) -> String {
        format!(
            "[routes.chat]\nmodel = \"{MODEL}\"\n\n\
             [routes.{SERVICE_ROUTE}]\nservice = \"{SERVICE_ROUTE}\"\nrepeatable = false\n\
             tokens_per_call = {TOKENS_PER_CALL}\n\n\
             [routes.{OPEN_ROUTE}]\nservice = \"{SERVICE_ROUTE}\"\nopen = true\n"
        )
    }

    fn keys_document(&self) -> String {
        let mut text = String::new();
        for organisation in &self.organisations {
            text.push_str(&key_entry(&organisation.key, &organisation.name));
        }
        text
    }
}

/// Returns the entry of an API key in a configuration document.
pub fn key_entry(key: &str, organisation: &str) -> String {
    let id = key.split('.').next().unwrap_or(key);
    format!(
        "[keys.{id}]\norganisation = \"{organisation}\"\nhash = \"{}\"\n\n",
        sha256_hex(key)
    )
}

/// Returns how long an organisation's rate takes to refill its burst.
pub fn burst_time(organisation: &Organisation) -> Duration {
    Duration::from_secs_f64(organisation.burst / organisation.rate)
}

fn organisation(n: usize, rate: f64) -> Organisation {
    // Of five organisations, the second may use two regions and the fourth one region.
    let (regions, callers) = match n % 5 {
        1 => (Some(vec![0, 1]), vec![0.4, 0.4, 0.2]),
        3 => (Some(vec![2]), vec![0.1, 0.1, 0.8]),
        _ => (None, vec![0.4, 0.3, 0.3]),
    };
    let name = format!("org-{}", n + 1);
    Organisation {
        rate: rate.round().max(1.0),
        burst: (rate * BURST_SECONDS).round().max(MIN_BURST_TOKENS),
        regions,
        key: format!(
            "{name}-key.{}",
            &sha256_hex(&format!("secret of {name}"))[..32]
        ),
        callers,
        name,
    }
}
