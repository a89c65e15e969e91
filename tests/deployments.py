"""Fixtures of running processes."""

import pathlib

import fixtures

from pistachioseam_standins import deployment


class LocalDeployment(fixtures.Fixture):
    """Stand-ins and entry processes on loopback."""

    def __init__(self, shape: deployment.Shape | None = None) -> None:
        super().__init__()
        self._shape = shape or deployment.Shape()

    def _setUp(self) -> None:  # noqa: N802
        folder = pathlib.Path(self.useFixture(fixtures.TempDir()).path)
        local = deployment.Deployment(self._shape, folder)
        self.local = local.__enter__()
        self.addCleanup(local.__exit__)
