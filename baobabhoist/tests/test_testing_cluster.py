"""Test the choice of ports for test processes."""

from baobabhoist.testing import cluster


def test_a_long_run_of_tests_goes_on_to_further_ports(monkeypatch):
    """Guard against a run that never ends because all ports of its block are chosen."""
    monkeypatch.setattr(cluster, "_chosen_ports", set())
    ports = [cluster.free_port() for _ in range(cluster.PORTS_PER_BLOCK + 50)]
    assert len(set(ports)) == len(ports)
    assert set(ports) <= set(cluster.PORT_RANGE)
