"""Failure domains, regions and the bandwidth budget between regions."""

import attrs

SAME_DOMAIN_LATENCY_SECONDS = 0.0005
SAME_REGION_LATENCY_SECONDS = 0.001
OTHER_REGION_LATENCY_SECONDS = 0.03


@attrs.frozen(kw_only=True)
class Region:
    """Region and the failure domains in it."""

    name: str
    domains: tuple[str, ...]


@attrs.frozen(kw_only=True)
class Topology:
    """Regions of the deployment and the failure domain of this host."""

    domain: str
    regions: tuple[Region, ...] = ()

    def find_region(self, domain: str) -> str:
        """Return the region of a domain, or the domain if it is in none."""
        for region in self.regions:
            if domain in region.domains:
                return region.name
        return domain

    def is_remote(self, domain: str) -> bool:
        """Return whether a domain is in another region than this host."""
        return self.find_region(domain) != self.find_region(self.domain)

    def share_region(self, domain: str, other_domain: str) -> bool:
        """Return whether two domains are in the same region."""
        return self.find_region(domain) == self.find_region(other_domain)

    def get_latency(self, domain: str) -> float:
        """Return the one-way latency to a domain in seconds."""
        if domain == self.domain:
            return SAME_DOMAIN_LATENCY_SECONDS
        if self.is_remote(domain):
            return OTHER_REGION_LATENCY_SECONDS
        return SAME_REGION_LATENCY_SECONDS


@attrs.define(kw_only=True)
class LinkBudget:
    """Token bucket, in bytes, for this host's traffic to other regions."""

    bytes_per_second: float
    burst_bytes: float
    tokens: float = 0.0
    updated_at: float = 0.0

    def try_spend(self, size: int, now: float) -> bool:
        """Spend `size` bytes; return False if too few are left."""
        refill = (now - self.updated_at) * self.bytes_per_second
        self.tokens = min(self.burst_bytes, self.tokens + refill)
        self.updated_at = now
        if self.tokens < size:
            return False
        self.tokens -= size
        return True
