"""Failure domains, regions and the narrow link between regions."""

import attrs

SAME_DOMAIN_SECONDS = 0.0005
SAME_REGION_SECONDS = 0.001
OTHER_REGION_SECONDS = 0.03


@attrs.frozen(kw_only=True)
class Region:
    """Region and its failure domains."""

    name: str
    domains: tuple[str, ...]


@attrs.frozen(kw_only=True)
class Topology:
    """Place of this host among the regions."""

    domain: str
    regions: tuple[Region, ...] = ()

    def find_region(self, domain: str) -> str:
        """Return the region of a domain; a lone domain is its own region."""
        for region in self.regions:
            if domain in region.domains:
                return region.name
        return domain

    def is_remote(self, domain: str) -> bool:
        """Tell whether a domain lies across the regions' link."""
        return self.find_region(domain) != self.find_region(self.domain)

    def get_latency(self, domain: str) -> float:
        """Return the one-way latency to a domain in seconds."""
        if domain == self.domain:
            return SAME_DOMAIN_SECONDS
        if self.is_remote(domain):
            return OTHER_REGION_SECONDS
        return SAME_REGION_SECONDS


@attrs.define(kw_only=True)
class LinkBudget:
    """Token bucket of this host's part of the regions' link, in bytes."""

    bytes_per_second: float
    burst_bytes: float
    tokens: float = 0.0
    updated_at: float = 0.0

    def take(self, size: int, now: float) -> bool:
        """Spend bytes on a crossing; False when the budget is too low."""
        earned = (now - self.updated_at) * self.bytes_per_second
        self.tokens = min(self.burst_bytes, self.tokens + earned)
        self.updated_at = now
        if self.tokens < size:
            return False
        self.tokens -= size
        return True
