"""Finds the batch jobs whose route the operator has removed. Performs no I/O."""

from __future__ import annotations

from collections.abc import Iterable

from heronstall.batch.jobs import Job
from heronstall.routing.routes import Routes


class RemovedRoutes:
    """Decides for one batch shard which jobs have lost their route for certain.

    A view of the control state may be behind: it may lack a route that was added, or added again, just before
    a job was accepted. A route is gone only if a view that contains all that was committed until some moment
    at which the job existed already lacks it.
    """

    def __init__(self) -> None:
        self._missing_since: dict[str, float] = {}  # by job: steady time at which its route was first missed

    def jobs_without_route(
        self, now: float, jobs: Iterable[Job], routes: Routes, complete_until: float
    ) -> list[Job]:
        """Returns the open jobs whose route is gone.

        `routes` contain all changes committed until `complete_until`, a steady time in seconds.
        """
        missing = [
            job
            for job in jobs
            if not job.is_finished and routes.batch_route(job.record.host, job.record.route) is None
        ]
        self._missing_since = {job.record.id: self._missing_since.get(job.record.id, now) for job in missing}
        return [job for job in missing if self._missing_since[job.record.id] <= complete_until]
