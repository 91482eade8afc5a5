"""Schedule heterogeneous workloads of many teams on one fleet of workers."""

__version__ = "0.1.0"
