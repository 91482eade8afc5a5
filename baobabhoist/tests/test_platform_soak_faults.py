"""Test how the platform's soak injects faults."""

import asyncio
from types import SimpleNamespace

from baobabhoist.platform.testing.soak_faults import inject_fault
from baobabhoist.testing.soak_faults import ScheduledFault

WAIT_TIMEOUT_S = 10.0


class FakeDeployment:
    """Record the modes of relays; the owner is not known."""

    def __init__(self, instances):
        self.instances = instances
        self.modes = []

    async def find_owner(self):
        return ""

    async def set_relay_mode(self, name, mode, **options):
        self.modes.append((name, mode))


def test_a_fault_of_an_instance_waits_while_another_fault_has_stopped_all():
    """Guard against a soak that fails because no instance is left to pick (seed 709)."""

    async def main():
        deployment = FakeDeployment(["edge-1", "edge-2"])
        soak = SimpleNamespace(
            deployment=deployment,
            down_instances={*deployment.instances},
            log_event=lambda name, **fields: fields,
        )
        fault = ScheduledFault(0.0, "cut_peer", 0.0, 1)
        injecting = asyncio.create_task(inject_fault(soak, fault))
        await asyncio.sleep(0.05)
        assert not deployment.modes
        soak.down_instances.discard("edge-2")
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            await injecting
        assert {name for name, _ in deployment.modes} == {"peer:edge-2"}

    asyncio.run(main())
