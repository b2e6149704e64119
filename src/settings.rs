//! Parses the settings of a deployment (JSON), as they arrive in the simulator's first message and in a
//! node's configuration file. Owns the mapping from the names of the JSON keys to [`Settings`].

use serde::Deserialize;

use crate::interface::{Class, DedupScope, Idempotency, LoadField, Micros, Settings, Tenant};

/// Settings of a deployment: those of the decision module, and those that only the node needs.
#[derive(Debug, Clone, PartialEq)]
pub struct Deployment {
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names of the classes, in the order of [`Settings::classes`].
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of [`Settings::tenants`].
    pub tenants: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the machine types.
    pub machine_types: Vec<String>,
    /// Names of the load report fields, in the order of [`Settings::load_fields`].
    pub load_field_names: Vec<String>,
    /// Time after which servers close an idle connection.
    pub idle_timeout: Micros,
    /// Maximum number of open requests at a node.
    pub max_open_requests: usize,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct RawSettings {
    balancers: u32,
    me: u32,
    zone: u8,
    classes: Vec<RawClass>,
    realms: Vec<RawTenant>,
    zones: Vec<String>,
    machine_types: Vec<String>,
    discovery: String,
    specifics: RawOrigin,
    limits: RawLimits,
    guarantees: RawGuarantees,
    prices: RawPrices,
    report: RawReport,
    weight_source: String,
    period_us: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct RawClass {
    name: String,
    goal_time_us: f64,
    deadline_us: f64,
    gain: f64,
    late_value: f64,
    effect: String,
    dedup_scope: String,
    dedup_window_us: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct RawTenant {
    name: String,
    quota_per_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct RawOrigin {
    mode: String,
    origin_kind: i64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct RawLimits {
    max_attempts: u32,
    may_duplicate: bool,
    may_cancel: bool,
    probes: bool,
    peers: bool,
    retry_after: bool,
    max_retry_after_us: f64,
    connect_timeout_us: f64,
    idle_close_us: f64,
    max_open: usize,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct RawGuarantees {
    ask_within_us: f64,
    cold_share: f64,
    cold_us: f64,
    drain_grace_us: f64,
    fall_multiple: f64,
    tip_after_us: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawPrices {
    connection: f64,
    handshake: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct RawReport {
    fields: Vec<String>,
}

impl Default for RawSettings {
    fn default() -> Self {
        let defaults = Settings::default();
        RawSettings {
            balancers: defaults.balancer_count,
            me: defaults.balancer_index,
            zone: defaults.zone,
            classes: Vec::new(),
            realms: Vec::new(),
            zones: Vec::new(),
            machine_types: Vec::new(),
            discovery: "push".into(),
            specifics: RawOrigin::default(),
            limits: RawLimits::default(),
            guarantees: RawGuarantees::default(),
            prices: RawPrices::default(),
            report: RawReport::default(),
            weight_source: "silent".into(),
            period_us: defaults.tick as f64,
        }
    }
}

impl Default for RawClass {
    fn default() -> Self {
        let defaults = Class::default();
        RawClass {
            name: String::new(),
            goal_time_us: defaults.latency_target as f64,
            deadline_us: defaults.deadline as f64,
            gain: defaults.on_time_value,
            late_value: defaults.late_value_fraction,
            effect: "side_effect".into(),
            dedup_scope: "cell".into(),
            dedup_window_us: 0.0,
        }
    }
}

impl Default for RawOrigin {
    fn default() -> Self {
        RawOrigin { mode: "through".into(), origin_kind: -1 }
    }
}

impl Default for RawLimits {
    fn default() -> Self {
        RawLimits {
            max_attempts: Settings::default().max_attempts,
            may_duplicate: false,
            may_cancel: false,
            probes: false,
            peers: false,
            retry_after: false,
            max_retry_after_us: 0.0,
            connect_timeout_us: Settings::default().connect_timeout as f64,
            idle_close_us: 15_000_000.0,
            max_open: 20_000,
        }
    }
}

impl Default for RawGuarantees {
    fn default() -> Self {
        let defaults = Settings::default();
        RawGuarantees {
            ask_within_us: defaults.notified_after as f64,
            cold_share: defaults.initial_capacity_share,
            cold_us: defaults.warm_up_time as f64,
            drain_grace_us: defaults.drain_grace_time as f64,
            fall_multiple: defaults.crash_load_multiple,
            tip_after_us: defaults.crash_load_time as f64,
        }
    }
}

/// Parses the settings; the error is a single line of text.
pub fn parse(text: &[u8]) -> Result<Deployment, String> {
    let raw: RawSettings = serde_json::from_slice(text).map_err(|e| format!("unreadable settings: {e}"))?;
    let mut classes = Vec::with_capacity(raw.classes.len());
    for raw_class in &raw.classes {
        classes.push(parse_class(raw_class)?);
    }
    let origin_machine_type =
        (raw.specifics.mode == "aside").then(|| u16::try_from(raw.specifics.origin_kind).ok());
    let limits = raw.limits;
    let settings = Settings {
        balancer_count: raw.balancers,
        balancer_index: raw.me,
        zone: raw.zone,
        classes,
        tenants: raw.realms.iter().map(|realm| Tenant { quota_per_s: realm.quota_per_s }).collect(),
        pull_discovery: raw.discovery == "ask",
        notified_after: micros(raw.guarantees.ask_within_us),
        origin_machine_type: origin_machine_type.flatten(),
        weights_are_capacities: matches!(raw.weight_source.as_str(), "nominal" | "rough"),
        weights_follow_load: raw.weight_source == "live",
        load_fields: raw.report.fields.iter().map(|name| parse_load_field(name)).collect(),
        max_attempts: limits.max_attempts,
        may_duplicate: limits.may_duplicate,
        may_cancel: limits.may_cancel,
        may_probe: limits.probes,
        may_message_peers: limits.peers,
        connection_price: raw.prices.connection,
        handshake_price: raw.prices.handshake,
        max_retry_after: if limits.retry_after { micros(limits.max_retry_after_us) } else { 0 },
        tick: micros(raw.period_us),
        initial_capacity_share: raw.guarantees.cold_share,
        warm_up_time: micros(raw.guarantees.cold_us),
        crash_load_multiple: raw.guarantees.fall_multiple,
        crash_load_time: micros(raw.guarantees.tip_after_us),
        drain_grace_time: micros(raw.guarantees.drain_grace_us),
        connect_timeout: micros(limits.connect_timeout_us),
    };
    Ok(Deployment {
        settings,
        classes: raw.classes.into_iter().map(|class| class.name).collect(),
        tenants: raw.realms.into_iter().map(|realm| realm.name).collect(),
        zones: raw.zones,
        machine_types: raw.machine_types,
        load_field_names: raw.report.fields,
        idle_timeout: micros(limits.idle_close_us),
        max_open_requests: limits.max_open,
    })
}

fn parse_class(raw: &RawClass) -> Result<Class, String> {
    let scope = match raw.dedup_scope.as_str() {
        "all" => DedupScope::All,
        "zone" => DedupScope::Zone,
        _ => DedupScope::Cell,
    };
    let idempotency = match raw.effect.as_str() {
        "pure" => Idempotency::Idempotent,
        "token" => Idempotency::Deduplicated { scope, window: micros(raw.dedup_window_us) },
        "side_effect" => Idempotency::NonIdempotent,
        other => {
            return Err(format!("unreadable settings: class has unknown effect {other:?}"));
        }
    };
    Ok(Class {
        latency_target: micros(raw.goal_time_us),
        deadline: micros(raw.deadline_us),
        on_time_value: raw.gain,
        late_value_fraction: raw.late_value,
        idempotency,
    })
}

fn parse_load_field(name: &str) -> LoadField {
    match name {
        "rif" => LoadField::InFlight,
        "q" => LoadField::Queued,
        "busy" => LoadField::CpuUtilization,
        "lat_ms" => LoadField::ServiceTimeMs,
        "rate" => LoadField::RequestRate,
        "fail_rate" => LoadField::ErrorRate,
        _ => LoadField::Other,
    }
}

/// Converts with saturation: negative values become 0.
fn micros(value: f64) -> Micros {
    value as Micros
}
