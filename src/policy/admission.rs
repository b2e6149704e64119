//! Admission by tenant: how many requests of each tenant are taken in, from token buckets whose rate follows
//! the overload signal of the attempts. Owns the level of those buckets; must not know where requests go.

use crate::interface::*;
use crate::state::*;

/// Overload signals in each attempt (turned away or nearly late is one, slow a half) from which tenants are
/// held closer to their quotas.
const MODERATE_OVERLOAD_SIGNALS_PER_ATTEMPT: f64 = 0.06;
/// Overload signals in each attempt from which tenants are held even below their quotas.
const SEVERE_OVERLOAD_SIGNALS_PER_ATTEMPT: f64 = 0.55;
/// Servers that report to be busy for less than this part of their time, all in all, have room for what
/// quotas allow and more: what is slow then is slow at single servers.
const SPARE_CAPACITY_MAX_UTILIZATION: f64 = 0.7;
/// Least multiple of the quotas that fills the buckets: a jammed fleet heals half idle.
const MIN_ADMISSION_LEVEL: f64 = 0.25;
/// Multiple of the quotas that fills the buckets at the start.
pub(super) const INITIAL_ADMISSION_LEVEL: f64 = 1.0;
/// Greatest multiple of the quotas that fills the buckets; at this level nobody is held back.
pub(super) const MAX_ADMISSION_LEVEL: f64 = 4.0;
/// Factor of a full step that lowers the admission level at a review.
const LEVEL_DECREASE_FACTOR: f64 = 0.92;
/// Factor of a full step that raises the admission level at a review.
const LEVEL_INCREASE_FACTOR: f64 = 1.04;
/// A step is whole from so many attempts judged: one of many balancers sees few.
const FULL_STEP_MIN_ATTEMPTS: f64 = 5.0;
/// Tokens that a bucket holds beyond an aim's worth, against chance in who reaches which balancer.
const BURST_TOKENS: f64 = 5.0;
/// Part of the quotas that tenants may use in common: those within their quotas leave about the rest unused.
const SHARED_BUCKET_FRACTION_OF_QUOTAS: f64 = 0.8;
/// Fraction of the earlier counts that a review keeps.
const COUNTS_KEPT_FRACTION_PER_REVIEW: f64 = 0.85;
/// Counts decay at a review only while their total exceeds this number, so that enough remain to judge by.
const MIN_COUNTS_TO_DECAY: f64 = 10.0;
/// Shedding is logged no more often than this. Around its mark the level may cross many times a minute, and a
/// line for each would hide all others.
const SHEDDING_LOG_PERIOD_US: Micros = 30_000_000;

impl Policy {
    /// A tenant's token bucket fills with this balancer's part of its quota, times the level, so that those
    /// furthest over are turned away first. A rate measured from the handful that one of many balancers sees
    /// would turn away those within their quotas.
    pub(super) fn admit(&mut self, request_state: &mut RequestState, tenant: usize) -> bool {
        let Some(tenant_bucket) = self.tenant_buckets.get_mut(tenant) else { return true };
        // While all together ask for less than their quotas, chance in a small bucket turns none away.
        // A falling level empties the buckets too: what many hold back would keep a jam going for long.
        let burst = (BURST_TOKENS * self.admission_level).clamp(1.0, BURST_TOKENS);
        let shared_token = self.shared_bucket.refill(
            self.now,
            SHARED_BUCKET_FRACTION_OF_QUOTAS * self.quota_share * self.admission_level,
            burst,
        );
        let quota = self.settings.tenants.get(tenant).map_or(f64::INFINITY, |tenant| tenant.quota_per_s);
        let fill_rate = self.admission_level * quota / f64::from(self.settings.balancer_count.max(1));
        let own_token =
            tenant_bucket.refill(self.now, fill_rate, burst + fill_rate * self.latency_target as f64 / 1e6);
        let admitted = own_token || shared_token || self.admission_level >= MAX_ADMISSION_LEVEL;
        if admitted {
            tenant_bucket.take();
            self.shared_bucket.take();
            request_state.charged_tenant = Some(tenant);
        }
        admitted
    }

    /// Logs that shedding over quota has begun.
    fn log_shedding_start(&mut self, level_before: f64, actions: &mut Vec<Action>) {
        let begins = level_before >= MAX_ADMISSION_LEVEL && self.admission_level < MAX_ADMISSION_LEVEL;
        if begins && self.now >= self.shedding_log_muted_until {
            self.shedding_log_muted_until = self.now + SHEDDING_LOG_PERIOD_US;
            actions.push(Action::Log("shedding over quota has begun".into()));
        }
    }

    /// Moves the level that tenants are held to, by the overload seen lately. An equal part of a quota is a
    /// guess, and some of many balancers see several times the mean: none is held to it while there is room.
    pub(super) fn review_admission_level(&mut self, actions: &mut Vec<Action>) {
        let period = (self.latency_target / 8).max(self.settings.tick).max(1);
        let previous_level = self.admission_level;
        let overload = self.overload_signal.value();
        let severe_overload = overload > SEVERE_OVERLOAD_SIGNALS_PER_ATTEMPT;
        let has_spare_capacity = self.has_sparse_traffic()
            && !severe_overload
            && self.server_utilization.value() < SPARE_CAPACITY_MAX_UTILIZATION;
        let hold_to_quotas =
            overload > MODERATE_OVERLOAD_SIGNALS_PER_ATTEMPT && !severe_overload && !has_spare_capacity;
        let min_level = if severe_overload { MIN_ADMISSION_LEVEL } else { INITIAL_ADMISSION_LEVEL };
        // It hastens in a jam, which grows by itself, and where few or no requests are left to judge by.
        let full_step = severe_overload
            || previous_level < INITIAL_ADMISSION_LEVEL
            || has_spare_capacity
            || (self.cache_in_flight == 0 && overload <= 0.0);
        let step_fraction =
            if full_step { 1.0 } else { (self.overload_signal.recent / FULL_STEP_MIN_ATTEMPTS).min(1.0) };
        self.admission_level = match severe_overload
            || (hold_to_quotas && previous_level > INITIAL_ADMISSION_LEVEL)
        {
            true => (previous_level * LEVEL_DECREASE_FACTOR.powf(step_fraction)).max(min_level),
            false => {
                let max_level = if hold_to_quotas { INITIAL_ADMISSION_LEVEL } else { MAX_ADMISSION_LEVEL };
                (previous_level * LEVEL_INCREASE_FACTOR.powf(step_fraction)).min(max_level)
            }
        };
        self.log_shedding_start(previous_level, actions);
        self.overload_signal.decay(COUNTS_KEPT_FRACTION_PER_REVIEW, MIN_COUNTS_TO_DECAY);
        self.gate.blocked_ratio.decay(COUNTS_KEPT_FRACTION_PER_REVIEW, MIN_COUNTS_TO_DECAY);
        self.server_utilization.decay(COUNTS_KEPT_FRACTION_PER_REVIEW, MIN_COUNTS_TO_DECAY);
        self.admitted_rate.end_period(period);
        self.schedule_after(period, TimerTask::AdmissionReview);
    }
}
