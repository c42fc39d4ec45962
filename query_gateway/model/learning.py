"""What answers, progress notes and load reports teach about classes and engines."""

import math
from dataclasses import dataclass

from query_gateway.model.events import AttemptOutcome
from query_gateway.model.records import AttemptState, ClassState, EngineState, QueryState
from query_gateway.model.state import SchedulerState


@dataclass(slots=True, frozen=True)
class FleetEstimator:
    """Estimators of load, slowdown, work and memory; the fields are their weights and decay times.

    A slowdown is a run time over the uncontended one; it is averaged as a logarithm.
    """

    load_decay_ns: int  # of our usual threads and of trust in a load report
    slowdown_decay_ns: int  # of an engine's slowdown
    slowdown_decay_answers: int  # and it lasts for so many answers where they come seldom
    prior_samples: float  # samples' worth of trust that an engine is like its peers
    sample_weight: float  # least weight of a new sample in a class mean
    learned_samples: int  # samples from which a spread is trusted as much as the one to start from
    min_log_slowdown: float  # bounds of one sample
    max_log_slowdown: float
    max_class_slowdown: float  # bound of one sample in the mean of its class
    full_threads: float  # reported threads for each core that fill an engine
    full_load: float  # busy share of the cores up to which run times are uncontended

    def record_load_report(
        self, state: SchedulerState, engine: EngineState, report: tuple[float, ...]
    ) -> None:
        """Take over what an engine reports of its load, if anything of it is known and above zero."""
        named = dict(zip(state.settings.load_report_fields, report, strict=False))
        load = self.reported_load(state, engine, named)
        if load:
            engine.reported_load, engine.reported_at = load, state.now
            state.load_reports.add(load, state.now, self.load_decay_ns)

    def reported_load(self, state: SchedulerState, engine: EngineState, report: dict[str, float]) -> float:
        """What is in use of an engine, 1 when that is all of it, from whatever it reports."""
        threads = report.get("active", 0.0) * state.threads_per_query / engine.cores / self.full_threads
        return max(threads, *(report.get(name, 0.0) for name in ("cpu", "x0", "x1")))

    def learn_from_answer(
        self, state: SchedulerState, engine: EngineState, query: QueryState, outcome: AttemptOutcome
    ) -> None:
        """Learn from a query that was served: its true work and memory where reported, and its run time."""
        known = query.request_class
        # Guards against wrong estimates of a class being taken for saturation: where no answer tells the true
        # work, run times on engines that are not full stand in for it
        infers_work = engine.load <= self.full_load
        uncontended = not engine.is_saturated() or known.work.count < self.learned_samples
        ratio = known.learn_from_answer(query, outcome, self.sample_weight, infers_work, uncontended)
        self.record_slowdown(state, engine, known, ratio)

    def learn_from_progress(
        self, state: SchedulerState, query: QueryState, attempt: AttemptState, progress: float
    ) -> None:
        """Learn the slowdown from the first note of progress, where our share of an engine is small.

        Guards against hearing of slow runs only when they end.
        """
        if attempt.engine.cores < state.settings.instance_count and attempt.progress <= 0 < progress:
            expected = progress * query.work / query.settings.threads
            ratio = (state.now - attempt.sent_at) / max(1.0, expected)
            self.record_slowdown(state, attempt.engine, query.request_class, ratio)

    def learn_memory(self, query: QueryState, memory_mb: float) -> None:
        """Learn the true memory of a query whose estimate is known."""
        query.request_class.memory_error.add(
            math.log(memory_mb / query.request.estimated_memory_mb), self.sample_weight
        )

    def record_slowdown(
        self, state: SchedulerState, engine: EngineState, known: ClassState, ratio: float
    ) -> None:
        """Add the slowdown of one run; few answers from an engine leave it like its peers."""
        known.slowdown.add(min(ratio, self.max_class_slowdown), state.now, self.slowdown_decay_ns)
        sample = min(max(math.log(max(ratio, 0.01)), self.min_log_slowdown), self.max_log_slowdown)
        engine.log_slowdown.add(sample, state.now, self._engine_decay(state))
        if not engine.in_slow_start:  # slow by its start, which says nothing of its peers
            state.slowdown_samples.add(sample, state.now, self.slowdown_decay_ns)

    def class_slowdown(self, state: SchedulerState, known: ClassState) -> float:
        """Slowdown of a class; without answers, that of the fleet.

        Guards against rejecting for past congestion: what no new answer confirms is forgotten.
        """
        prior = math.exp(state.fleet_slowdown)
        return known.slowdown.mean(state.now, self.slowdown_decay_ns, prior, self.prior_samples)

    def _engine_decay(self, state: SchedulerState) -> float:
        return self.slowdown_decay_ns + self.slowdown_decay_answers * state.answer_interval

    def refresh(self, state: SchedulerState, elapsed: int) -> None:
        """Bring the load and the slowdown of the fleet and of each engine up to date.

        `elapsed` are the nanoseconds since the last time.
        """
        in_use, now, samples = sum(state.threads_in_use), state.now, state.slowdown_samples
        past = math.exp(-elapsed / self.load_decay_ns)
        state.usual_threads = in_use + past * (state.usual_threads - in_use)
        # Other gateways like us have each about what we have; load reports say it better
        prior = state.settings.instance_count * state.usual_threads / state.cores
        state.fleet_load = state.load_reports.mean(now, self.load_decay_ns, prior, self.prior_samples)
        answers = max(1.0, samples.weight_at(now, self.slowdown_decay_ns))
        state.answer_interval = len(state.up) * self.slowdown_decay_ns / answers
        state.fleet_slowdown = samples.mean(now, self.slowdown_decay_ns, 0.0, self.prior_samples)
        for engine in state.up:
            self._refresh_engine(state, engine)
        slowdowns = sorted(engine.slowdown for engine in state.up if not engine.in_slow_start)
        state.median_slowdown = slowdowns[(len(slowdowns) - 1) // 2] if slowdowns else 0.0

    def _refresh_engine(self, state: SchedulerState, engine: EngineState) -> None:
        engine.slowdown = engine.log_slowdown.mean(
            state.now, self._engine_decay(state), state.fleet_slowdown, self.prior_samples
        )
        age = state.now - engine.reported_at
        trust = math.exp(-age / self.load_decay_ns) if engine.reported_at else 0.0
        engine.load = state.fleet_load + trust * (engine.reported_load - state.fleet_load)
        own_load = trust * sum(engine.threads_in_use) / engine.cores
        engine.load_of_others = (1 - 1 / state.settings.instance_count) * (engine.load - own_load)
