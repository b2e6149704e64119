//! Reads the configuration file that `ROUTER_CONFIG` names, and the environment variables that override it.

use std::net::SocketAddr;

use pondproxy::settings::{self, Deployment};
use serde::Deserialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::discovery::ListUpdate;

/// The configuration of a node.
#[derive(Debug)]
pub struct NodeConfig {
    /// Address that the node listens on for clients.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Seed for the random numbers of the decision module. The file gives it as a hexadecimal number; any
    /// other text is hashed.
    pub seed: u64,
    /// Maximum number of sockets that the node may hold, of every kind.
    pub sockets: usize,
    /// Maximum memory of the whole process, in megabytes.
    pub memory_mb: usize,
    /// The server list that this node had before its restart.
    pub known: ListUpdate,
    pub deployment: Deployment,
}

/// Why a configuration is unusable.
#[derive(Debug)]
pub enum ConfigError {
    /// A required environment variable is not set.
    Unset(&'static str),
    /// The file cannot be read.
    File(String, std::io::Error),
    /// The file is not valid JSON, or a field has the wrong type.
    Json(serde_json::Error),
    /// A field is missing or has an invalid value.
    Field(&'static str, String),
    /// The settings are invalid.
    Settings(String),
}

impl std::fmt::Display for ConfigError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ConfigError::Unset(name) => write!(f, "environment variable {name} is not set"),
            ConfigError::File(path, e) => write!(f, "cannot read {path}: {e}"),
            ConfigError::Json(e) => write!(f, "cannot parse the configuration: {e}"),
            ConfigError::Field(name, value) => write!(f, "invalid {name} in the configuration: {value:?}"),
            ConfigError::Settings(e) => write!(f, "{e}"),
        }
    }
}

#[derive(Deserialize)]
#[serde(default)]
struct ConfigFile {
    listen: String,
    discovery: String,
    seed: String,
    limits: Limits,
    known: Option<ListUpdate>,
    settings: Option<Box<serde_json::value::RawValue>>,
}

impl Default for ConfigFile {
    fn default() -> Self {
        let (listen, discovery, seed) = (String::new(), String::new(), String::new());
        ConfigFile { listen, discovery, seed, limits: Limits::default(), known: None, settings: None }
    }
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
    memory_mb: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1024, memory_mb: 192 }
    }
}

/// With fewer sockets, nothing is left for clients and servers after those that the node itself needs.
const MIN_SOCKETS: usize = 32;

/// With less memory, nothing is left after what the program itself needs.
const MIN_MEMORY_MB: usize = 16;

impl NodeConfig {
    /// Reads the configuration at the start of the process.
    pub fn from_env() -> Result<NodeConfig, ConfigError> {
        Self::read(false)
    }

    /// Reads the configuration again. Here `discovery` in the file takes precedence over `ROUTER_DISCOVERY`:
    /// the environment cannot change after the start, so a reload would otherwise have no effect.
    pub fn reload() -> Result<NodeConfig, ConfigError> {
        Self::read(true)
    }

    fn read(reloading: bool) -> Result<NodeConfig, ConfigError> {
        let env_var = |name| std::env::var(name).ok().filter(|value| !value.is_empty());
        let path = env_var("ROUTER_CONFIG").ok_or(ConfigError::Unset("ROUTER_CONFIG"))?;
        let contents = std::fs::read(&path).map_err(|e| ConfigError::File(path, e))?;
        let file: ConfigFile = serde_json::from_slice(&contents).map_err(ConfigError::Json)?;
        let parse_address = |name, value: String| value.parse().map_err(|_| ConfigError::Field(name, value));
        let settings = file.settings.ok_or_else(|| ConfigError::Field("settings", String::new()))?;
        let deployment = settings::parse(settings.get().as_bytes()).map_err(ConfigError::Settings)?;
        if deployment.classes.is_empty() {
            return Err(ConfigError::Settings("settings define no request class".into()));
        }
        if file.limits.sockets < MIN_SOCKETS {
            return Err(ConfigError::Field("limits.sockets", file.limits.sockets.to_string()));
        }
        if file.limits.memory_mb < MIN_MEMORY_MB {
            return Err(ConfigError::Field("limits.memory_mb", file.limits.memory_mb.to_string()));
        }
        let discovery = match env_var("ROUTER_DISCOVERY") {
            Some(env_address) if !reloading || file.discovery.is_empty() => env_address,
            _ => file.discovery,
        };
        let seed = u64::from_str_radix(&file.seed, 16);
        Ok(NodeConfig {
            listen: parse_address("listen", env_var("ROUTER_LISTEN").unwrap_or(file.listen))?,
            discovery: parse_address("discovery", discovery)?,
            seed: seed.unwrap_or_else(|_| xxh3_64(file.seed.as_bytes())),
            sockets: file.limits.sockets.min(1024),
            memory_mb: file.limits.memory_mb,
            known: file.known.unwrap_or_default(),
            deployment,
        })
    }
}
