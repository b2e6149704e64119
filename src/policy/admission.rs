//! Admission of requests per tenant by token buckets, whose fill rate follows the overload signal of the
//! attempts. Owns the admission level, a multiple of the quotas at which the buckets fill; must not know
//! where requests are sent.
#![deny(clippy::too_many_lines, clippy::cognitive_complexity)]

use crate::interface::*;
use crate::state::*;

/// Overload signals per attempt above which the admission level falls, at most down to the quotas. An attempt
/// that is rejected or nearly late is one signal, a slow attempt is half.
const MODERATE_OVERLOAD_SIGNALS_PER_ATTEMPT: f64 = 0.06;
/// Overload signals per attempt above which the admission level may fall below the quotas.
const SEVERE_OVERLOAD_SIGNALS_PER_ATTEMPT: f64 = 0.55;
/// Mean CPU utilization in the load reports below which the fleet has capacity for more than the quotas; slow
/// attempts then show that single servers are slow, and not the fleet.
const SPARE_CAPACITY_MAX_UTILIZATION: f64 = 0.7;
/// Least admission level. A severely overloaded fleet recovers when it is half idle.
const MIN_ADMISSION_LEVEL: f64 = 0.25;
/// Admission level at the start: the buckets fill at the rate of the quotas.
pub(super) const INITIAL_ADMISSION_LEVEL: f64 = 1.0;
/// Greatest admission level. At this level no tenant is limited.
pub(super) const MAX_ADMISSION_LEVEL: f64 = 4.0;
/// Factor of a full step that lowers the admission level at a review.
const LEVEL_DECREASE_FACTOR: f64 = 0.92;
/// Factor of a full step that raises the admission level at a review.
const LEVEL_INCREASE_FACTOR: f64 = 1.04;
/// Number of attempts in a review period from which the level moves by a full step; with fewer the step is
/// smaller, since one of many balancers observes few attempts.
const FULL_STEP_MIN_ATTEMPTS: f64 = 5.0;
/// Tokens that a bucket holds in addition to those of one latency target. Allows for random variation in
/// how a tenant's requests are spread over the balancers.
const BURST_TOKENS: f64 = 5.0;
/// Fill rate of the shared bucket as a fraction of the quotas of all tenants. Tenants within their quotas
/// leave about the remaining fraction unused.
const SHARED_BUCKET_FRACTION_OF_QUOTAS: f64 = 0.8;
/// Fraction of the earlier counts that a review keeps.
const COUNTS_KEPT_FRACTION_PER_REVIEW: f64 = 0.85;
/// Counts decay at a review only while their total exceeds this number, so that enough remain to judge by.
const MIN_COUNTS_TO_DECAY: f64 = 10.0;
/// Shortest time between two log lines on shedding. The level may cross its limit many times a minute, and a
/// line for each would hide all others.
const SHEDDING_LOG_PERIOD_US: Micros = 30_000_000;

impl Policy {
    /// Whether a request of a tenant is admitted; charges its token bucket if so. The bucket fills at this
    /// balancer's part of the tenant's quota times the admission level, so the tenants furthest over their
    /// quotas are shed first. A limit from measured rates would shed tenants within their quotas, because one
    /// of many balancers observes only a few of their requests.
    pub(super) fn admit(&mut self, request_state: &mut RequestState, tenant: usize) -> bool {
        let Some(tenant_bucket) = self.tenant_buckets.get_mut(tenant) else { return true };
        // While all tenants together are below their quotas, the shared bucket prevents a request from being
        // shed because a small tenant bucket happens to be empty. A falling level reduces the depth of the
        // buckets too: tokens that have accumulated in many buckets would prolong an overload.
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

    /// Logs that shedding of tenants over their quotas has begun.
    fn log_shedding_start(&mut self, level_before: f64, actions: &mut Vec<Action>) {
        let begins = level_before >= MAX_ADMISSION_LEVEL && self.admission_level < MAX_ADMISSION_LEVEL;
        if begins && self.now >= self.shedding_log_muted_until {
            self.shedding_log_muted_until = self.now + SHEDDING_LOG_PERIOD_US;
            actions.push(Action::Log("shedding over quota has begun".into()));
        }
    }

    /// Adjusts the admission level by the recent overload signal. Each balancer assumes that it receives an
    /// equal part of a tenant's requests, but some of many balancers receive several times the mean. So no
    /// tenant is limited to that part of its quota while the fleet has spare capacity.
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
        // The level moves by full steps during a severe overload, because such an overload is
        // self-reinforcing, and when there are few or no requests to base the step on: below the quotas,
        // with sparse traffic and spare capacity, or with neither reads in flight nor recent overload
        // signals.
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
