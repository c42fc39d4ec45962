"""Updates the estimates of classes and engines from answers, progress notes and load reports."""

import math
from dataclasses import dataclass

from query_gateway.model.events import AttemptOutcome
from query_gateway.model.records import AttemptState, EngineState, QueryState
from query_gateway.model.request_classes import ClassState
from query_gateway.model.state import SchedulerState


@dataclass(slots=True, frozen=True)
class FleetEstimator:
    """Estimates load, slowdown, work and memory; the fields are weights, bounds and decay times.

    A slowdown is the ratio of a run time to the uncontended run time; for engines and the fleet its logarithm
    is averaged.
    """

    load_decay_ns: int  # of the mean threads in use and of the weight of a load report
    slowdown_decay_ns: int  # of the slowdowns of classes, engines and the fleet
    # Added to `slowdown_decay_ns` for an engine's slowdown, in mean times between two answers of an engine
    slowdown_decay_answers: int
    # Weight of the prior of a decayed mean, in samples; the fleet's slowdown is the prior of an engine's
    prior_samples: float
    sample_weight: float  # minimum weight of a new sample in a class mean
    # Samples from which the estimates of a class are trusted; its learned deviation then weighs as much as
    # the prior one
    learned_samples: int
    min_log_slowdown: float  # lower bound of one log slowdown sample
    max_log_slowdown: float  # upper bound of one log slowdown sample
    max_class_slowdown: float  # upper bound of one sample in the mean of its class
    full_threads_per_core: float  # reported threads per core at which an engine is fully loaded
    max_uncontended_load: float  # busy share of the cores up to which a run is uncontended

    def record_load_report(
        self, state: SchedulerState, engine: EngineState, report: tuple[float, ...]
    ) -> None:
        """Record the load that an engine reports, if a known field of the report is above zero."""
        values_by_field = dict(zip(state.settings.load_report_fields, report, strict=False))
        load = self.reported_load(state, engine, values_by_field)
        if load:
            engine.reported_load, engine.reported_at = load, state.now
            state.fleet.load_reports.add(load, state.now, self.load_decay_ns)

    def reported_load(self, state: SchedulerState, engine: EngineState, report: dict[str, float]) -> float:
        """The load that an engine reports, 1 at full load.

        It is the highest of `cpu`, `x0`, `x1` and the load due to its `active` queries.
        """
        queries = report.get("active", 0.0)
        threads = queries * state.classes.threads_per_query / engine.cores / self.full_threads_per_core
        return max(threads, *(report.get(name, 0.0) for name in ("cpu", "x0", "x1")))

    def learn_from_answer(
        self,
        state: SchedulerState,
        engine: EngineState,
        query: QueryState,
        outcome: AttemptOutcome,
        is_saturated: bool,
    ) -> None:
        """Learn from a served query: its measured work and memory, if reported, and its run time.

        `is_saturated` says whether the engine that answered is saturated.
        """
        request_class = query.request_class
        # If answers do not report the measured work, run times on engines that are not fully loaded replace
        # it. Without this, a class whose estimates are all too low would raise the slowdown of its engines,
        # and they would count as saturated.
        infers_work = engine.snapshot.load <= self.max_uncontended_load
        uncontended = not is_saturated or request_class.work.count < self.learned_samples
        slowdown = self._learn_class(query, outcome, infers_work, uncontended)
        self.record_slowdown(state, engine, request_class, slowdown)

    def _learn_class(
        self, query: QueryState, outcome: AttemptOutcome, infers_work: bool, uncontended: bool
    ) -> float:
        """Update the class means with a query's work, memory and run time; return its slowdown.

        With `infers_work`, the error of the estimate is learned from the run time if the answer reports no
        work. Without `uncontended`, only measured or estimated work is added to the mean work.
        """
        request_class, weight = query.request_class, self.sample_weight
        threads, estimate = request_class.settings.threads, query.request.estimated_work
        run_time = max(1.0, float(outcome.duration))
        if estimate and (outcome.work or infers_work):
            error = math.log((outcome.work or run_time * threads) / estimate)
            request_class.estimate_error.add(error, weight)
        inferred_work = (
            estimate * math.exp(request_class.estimate_error.value) if estimate else run_time * threads
        )
        work = float(outcome.work or inferred_work)
        has_work = bool(outcome.work or estimate)
        if has_work or uncontended:
            request_class.work.add(work, weight)
            request_class.log_work.add(math.log(max(1.0, work)), weight)
        if outcome.memory_mb and query.request.estimated_memory_mb:
            self.learn_memory(query, outcome.memory_mb)
        expected = (work if has_work else request_class.mean_work()) / threads
        request_class.run_time_error.add(math.log(run_time / query.run_time), weight)
        return run_time / max(1.0, expected)

    def learn_from_progress(self, state: SchedulerState, attempt: AttemptState, progress: float) -> None:
        """Learn the slowdown from the first progress note, if this gateway's share is below one core.

        With few queries of this gateway at an engine, the short runs end first. Learned from answers alone,
        the engine would appear fast until its slow runs end, and would be sent more queries until then.
        """
        engine, query = attempt.engine, attempt.query
        if engine.cores < state.settings.instance_count and attempt.progress <= 0 < progress:
            expected = progress * query.work / query.settings.threads
            slowdown = (state.now - attempt.sent_at) / max(1.0, expected)
            self.record_slowdown(state, engine, query.request_class, slowdown)

    def learn_memory(self, query: QueryState, memory_mb: float) -> None:
        """Learn from the measured memory of a query that has a memory estimate."""
        query.request_class.memory_error.add(
            math.log(memory_mb / query.request.estimated_memory_mb), self.sample_weight
        )

    def record_slowdown(
        self, state: SchedulerState, engine: EngineState, request_class: ClassState, slowdown: float
    ) -> None:
        """Add the slowdown of one run to the means of its class, engine and fleet.

        An engine with few answers keeps a slowdown close to that of the fleet, the prior of its mean.
        """
        request_class.slowdown.add(min(slowdown, self.max_class_slowdown), state.now, self.slowdown_decay_ns)
        sample = min(max(math.log(max(slowdown, 0.01)), self.min_log_slowdown), self.max_log_slowdown)
        engine.log_slowdown.add(sample, state.now, self._engine_decay(state))
        if not engine.snapshot.in_slow_start:  # slow start slows this engine only
            state.fleet.slowdown_samples.add(sample, state.now, self.slowdown_decay_ns)

    def class_slowdown(self, state: SchedulerState, request_class: ClassState) -> float:
        """The slowdown of a class; without answers, the slowdown of the fleet.

        Without new answers it decays towards the slowdown of the fleet: a class that is rejected because of
        past congestion gets no answers that would show the end of the congestion.
        """
        prior = math.exp(state.fleet.snapshot.slowdown)
        return request_class.slowdown.mean(state.now, self.slowdown_decay_ns, prior, self.prior_samples)

    def _engine_decay(self, state: SchedulerState) -> float:
        return self.slowdown_decay_ns + self.slowdown_decay_answers * state.fleet.snapshot.answer_interval

    def refresh(self, state: SchedulerState, elapsed: int) -> None:
        """Refresh the load and the slowdown of the fleet and of each engine.

        `elapsed` is the time since the last refresh, in nanoseconds.
        """
        fleet, snapshot, now = state.fleet, state.fleet.snapshot, state.now
        in_use, samples = state.workload.threads_in_use.total(), fleet.slowdown_samples
        decay_factor = math.exp(-elapsed / self.load_decay_ns)
        fleet.mean_threads_in_use = in_use + decay_factor * (fleet.mean_threads_in_use - in_use)
        # Without load reports, each other gateway is assumed to have as many threads in use as this one
        prior = state.settings.instance_count * fleet.mean_threads_in_use / snapshot.cores
        snapshot.load = fleet.load_reports.mean(now, self.load_decay_ns, prior, self.prior_samples)
        answers = max(1.0, samples.weight_at(now, self.slowdown_decay_ns))
        snapshot.answer_interval = len(snapshot.up) * self.slowdown_decay_ns / answers
        snapshot.slowdown = samples.mean(now, self.slowdown_decay_ns, 0.0, self.prior_samples)
        for engine in snapshot.up:
            self._refresh_engine(state, engine)
        slowdowns = sorted(
            engine.snapshot.slowdown for engine in snapshot.up if not engine.snapshot.in_slow_start
        )
        snapshot.median_slowdown = slowdowns[(len(slowdowns) - 1) // 2] if slowdowns else 0.0

    def _refresh_engine(self, state: SchedulerState, engine: EngineState) -> None:
        fleet_snapshot, snapshot = state.fleet.snapshot, engine.snapshot
        snapshot.slowdown = engine.log_slowdown.mean(
            state.now, self._engine_decay(state), fleet_snapshot.slowdown, self.prior_samples
        )
        age = state.now - engine.reported_at
        report_weight = math.exp(-age / self.load_decay_ns) if engine.reported_at else 0.0
        snapshot.load = fleet_snapshot.load + report_weight * (engine.reported_load - fleet_snapshot.load)
        own_load = report_weight * engine.workload.threads_in_use.total() / engine.cores
        snapshot.load_of_others = (1 - 1 / state.settings.instance_count) * (snapshot.load - own_load)
