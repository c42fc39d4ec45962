"""What answers, progress notes and load reports teach about classes and engines."""

import math
from dataclasses import dataclass

from query_gateway.model.events import AttemptOutcome
from query_gateway.model.records import AttemptState, EngineState, QueryState
from query_gateway.model.request_classes import ClassState
from query_gateway.model.state import SchedulerState


@dataclass(slots=True, frozen=True)
class FleetEstimator:
    """Estimators of load, slowdown, work and memory; the fields are their weights and decay times.

    A slowdown is a run time over the uncontended one; it is averaged as a logarithm.
    """

    load_decay_ns: int  # of the usual threads and of trust in a load report
    slowdown_decay_ns: int  # of an engine's slowdown
    slowdown_decay_answers: int  # and it lasts for so many answers where they come seldom
    prior_samples: float  # as many samples count the peers' slowdown in that of one engine
    sample_weight: float  # least weight of a new sample in a class mean
    learned_samples: int  # samples from which a spread is trusted as much as the prior one
    min_log_slowdown: float  # bounds of one sample
    max_log_slowdown: float
    max_class_slowdown: float  # bound of one sample in the mean of its class
    full_threads_per_core: float  # reported threads for each core that fill an engine
    max_uncontended_load: float  # busy share of the cores up to which run times are uncontended

    def record_load_report(
        self, state: SchedulerState, engine: EngineState, report: tuple[float, ...]
    ) -> None:
        """Take over what an engine reports of its load, if any field of it is known and above zero."""
        named = dict(zip(state.settings.load_report_fields, report, strict=False))
        load = self.reported_load(state, engine, named)
        if load:
            engine.reported_load, engine.reported_at = load, state.now
            state.fleet.load_reports.add(load, state.now, self.load_decay_ns)

    def reported_load(self, state: SchedulerState, engine: EngineState, report: dict[str, float]) -> float:
        """What is in use of an engine, 1 when that is all of it, from whatever it reports."""
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
        """Learn from a query that was served: its true work and memory where reported, and its run time.

        `is_saturated` is whether the engine that answered is.
        """
        request_class = query.request_class
        # Where no answer has the true work, run times on engines that are not full stand in for it: otherwise
        # estimates that are too low for all of a class would show as slowdown, and its engines as saturated
        infers_work = engine.snapshot.load <= self.max_uncontended_load
        uncontended = not is_saturated or request_class.work.count < self.learned_samples
        slowdown = self._learn_class(query, outcome, infers_work, uncontended)
        self.record_slowdown(state, engine, request_class, slowdown)

    def _learn_class(
        self, query: QueryState, outcome: AttemptOutcome, infers_work: bool, uncontended: bool
    ) -> float:
        """Learn a query's work, memory and run time in its class; return its slowdown.

        With `infers_work` the run time stands in for a true work that is not reported. Without `uncontended`
        only a known or estimated work counts.
        """
        request_class, weight = query.request_class, self.sample_weight
        threads, estimate = request_class.settings.threads, query.request.estimated_work
        run_time = max(1.0, float(outcome.duration))
        if estimate and (outcome.work or infers_work):
            error = math.log((outcome.work or run_time * threads) / estimate)
            request_class.estimate_error.add(error, weight)
        corrected = (
            estimate * math.exp(request_class.estimate_error.value) if estimate else run_time * threads
        )
        work = float(outcome.work or corrected)
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
        """Learn the slowdown from the first note of progress, where this gateway sends an engine little.

        Of an engine that sees few queries of one gateway, the short runs end first. Learned from answers
        alone it would look fast until the slow runs end, and would be sent more meanwhile.
        """
        engine, query = attempt.engine, attempt.query
        if engine.cores < state.settings.instance_count and attempt.progress <= 0 < progress:
            expected = progress * query.work / query.settings.threads
            slowdown = (state.now - attempt.sent_at) / max(1.0, expected)
            self.record_slowdown(state, engine, query.request_class, slowdown)

    def learn_memory(self, query: QueryState, memory_mb: float) -> None:
        """Learn the true memory of a query whose estimate is known."""
        query.request_class.memory_error.add(
            math.log(memory_mb / query.request.estimated_memory_mb), self.sample_weight
        )

    def record_slowdown(
        self, state: SchedulerState, engine: EngineState, request_class: ClassState, slowdown: float
    ) -> None:
        """Add the slowdown of one run; few answers from an engine leave it like its peers."""
        request_class.slowdown.add(min(slowdown, self.max_class_slowdown), state.now, self.slowdown_decay_ns)
        sample = min(max(math.log(max(slowdown, 0.01)), self.min_log_slowdown), self.max_log_slowdown)
        engine.log_slowdown.add(sample, state.now, self._engine_decay(state))
        if not engine.snapshot.in_slow_start:  # its start slows it, which does not concern its peers
            state.fleet.slowdown_samples.add(sample, state.now, self.slowdown_decay_ns)

    def class_slowdown(self, state: SchedulerState, request_class: ClassState) -> float:
        """Slowdown of a class; without answers, that of the fleet.

        A class that is rejected for a past congestion gets no answers that would show its end; what no new
        answer confirms therefore decays.
        """
        prior = math.exp(state.fleet.snapshot.slowdown)
        return request_class.slowdown.mean(state.now, self.slowdown_decay_ns, prior, self.prior_samples)

    def _engine_decay(self, state: SchedulerState) -> float:
        return self.slowdown_decay_ns + self.slowdown_decay_answers * state.fleet.snapshot.answer_interval

    def refresh(self, state: SchedulerState, elapsed: int) -> None:
        """Bring the load and the slowdown of the fleet and of each engine up to date.

        `elapsed` are the nanoseconds since the last time.
        """
        fleet, snapshot, now = state.fleet, state.fleet.snapshot, state.now
        in_use, samples = state.workload.threads_in_use.total(), fleet.slowdown_samples
        past = math.exp(-elapsed / self.load_decay_ns)
        fleet.mean_threads_in_use = in_use + past * (fleet.mean_threads_in_use - in_use)
        # Without load reports, the other gateways are taken to have as many threads in use as this one
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
        trust = math.exp(-age / self.load_decay_ns) if engine.reported_at else 0.0
        snapshot.load = fleet_snapshot.load + trust * (engine.reported_load - fleet_snapshot.load)
        own_load = trust * engine.workload.threads_in_use.total() / engine.cores
        snapshot.load_of_others = (1 - 1 / state.settings.instance_count) * (snapshot.load - own_load)
