"""Conversion of state to and from Protocol Buffers messages for peers."""

import collections
from collections import abc
import math

from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import confirmations
from pistachioseam.forwarding import crash_evidence
from pistachioseam.forwarding import known_versions
from pistachioseam.forwarding import notices
from pistachioseam.forwarding import quotas
from pistachioseam.forwarding import rate_limits
from pistachioseam.forwarding import rate_permits
from pistachioseam.forwarding import store_clocks
from pistachioseam.forwarding import store_versions
from pistachioseam.forwarding import stream_origins
from pistachioseam_peer.generated import messages_pb2

MS_PER_SECOND = 1000.0


def measure_fields(
    status: messages_pb2.HostStatus,
) -> collections.Counter[str]:
    """Return the bytes of a status by field.

    Fields of relayed statuses are named `reports.FIELD` or `domains.FIELD`.
    """
    sizes: collections.Counter[str] = collections.Counter()
    for field in status.ListFields():
        name = field[0].name
        sizes[name] += messages_pb2.HostStatus(**{name: field[1]}).ByteSize()
    for name in ('reports', 'domains'):
        for relayed in getattr(status, name):
            nested = measure_fields(relayed.status)
            sizes[name] -= nested.total()
            sizes.update(
                {f'{name}.{inner}': nested[inner] for inner in nested}
            )
    return sizes


def add_part_reports(
    status: messages_pb2.HostStatus,
    reports: abc.Iterable[crash_evidence.PartReport],
) -> None:
    """Add the evidence about prompt parts that may crash targets."""
    for report in reports:
        message = status.part_evidence.add(
            model=report.model, name=report.name
        )
        for (target, born_ms), age in report.crash_ages.items():
            message.crashes.add(
                target=target,
                born_ms=born_ms,
                age_ms=int(age * MS_PER_SECOND),
            )
        if report.survival_age is not None:
            message.survival_age_ms = int(report.survival_age * MS_PER_SECOND)


def decode_part_reports(
    status: messages_pb2.HostStatus,
) -> tuple[crash_evidence.PartReport, ...]:
    """Return the evidence about prompt parts that a status carries."""
    return tuple(
        crash_evidence.PartReport(
            model=part.model,
            name=part.name,
            crash_ages={
                (crash.target, crash.born_ms): crash.age_ms / MS_PER_SECOND
                for crash in part.crashes
            },
            survival_age=part.survival_age_ms / MS_PER_SECOND
            if part.HasField('survival_age_ms')
            else None,
        )
        for part in status.part_evidence
    )


def encode_begun_streams(
    keys_by_origin: abc.Mapping[stream_origins.StreamOrigin, list[int]],
) -> list[messages_pb2.BegunStreams]:
    """Return streams as `BegunStreams` messages, one for each origin."""
    return [
        messages_pb2.BegunStreams(
            service=origin.service,
            software_version=origin.software_version,
            keys=keys,
        )
        for origin, keys in keys_by_origin.items()
    ]


def decode_origin(
    begun: messages_pb2.BegunStreams,
) -> stream_origins.StreamOrigin:
    """Return the origin of the streams of a `BegunStreams` message."""
    return stream_origins.StreamOrigin(begun.service, begun.software_version)


def add_limit(
    message: messages_pb2.TargetLimit, limit: rate_limits.LimitReport
) -> None:
    """Set the fields of a `TargetLimit` message.

    The age is rounded up, so that no report gets newer as hosts repeat it.
    """
    message.target, message.born_ms = limit.incarnation
    message.age_ms = math.ceil(limit.age_seconds * MS_PER_SECOND)
    if limit.rate is not None:
        message.requests_per_second = limit.rate


def decode_limit(message: messages_pb2.TargetLimit) -> rate_limits.LimitReport:
    """Return the limit that a `TargetLimit` message describes."""
    has_rate = message.HasField('requests_per_second')
    return rate_limits.LimitReport(
        incarnation=(message.target, message.born_ms),
        rate=message.requests_per_second if has_rate else None,
        age_seconds=message.age_ms / MS_PER_SECOND,
    )


def add_leaving(
    message: messages_pb2.LeavingTarget, report: notices.LeavingReport
) -> None:
    """Set the fields of a `LeavingTarget` message, with the age rounded up."""
    message.target, message.born_ms = report.incarnation
    message.age_ms = math.ceil(report.age_seconds * MS_PER_SECOND)


def add_departure(
    message: messages_pb2.LeavingTarget, departure: catalog.Departure
) -> None:
    """Set the fields of a `LeavingTarget` message about an entry."""
    message.target, message.born_ms = departure.incarnation
    message.is_listed = True
    if departure.version is not None:
        message.store_version = departure.version.number
        message.store_era = departure.version.era


def decode_departure(
    message: messages_pb2.LeavingTarget,
) -> catalog.Departure:
    """Return the departure that a `LeavingTarget` message holds."""
    version = None
    if message.HasField('store_version'):
        version = store_versions.StoreVersion(
            message.store_era, message.store_version
        )
    return catalog.Departure((message.target, message.born_ms), version)


def decode_leaving(
    message: messages_pb2.LeavingTarget,
) -> notices.LeavingReport:
    """Return the report that a `LeavingTarget` message holds."""
    return notices.LeavingReport(
        incarnation=(message.target, message.born_ms),
        age_seconds=message.age_ms / MS_PER_SECOND,
    )


def add_named_weights(
    message: messages_pb2.NamedWeights, named: known_versions.NamedWeights
) -> None:
    """Set the fields of a `NamedWeights` message, with times rounded down."""
    message.model = named.model
    message.weights_version = named.version
    message.age_ms = int(named.age_seconds * MS_PER_SECOND)
    if named.after is not None:
        message.after_ms = int(named.after.seconds * MS_PER_SECOND)
        message.after_era = named.after.era
        message.predecessor = named.predecessor


def decode_named_weights(
    message: messages_pb2.NamedWeights,
) -> known_versions.NamedWeights:
    """Return the date that a `NamedWeights` message describes."""
    after = None
    if message.HasField('after_ms'):
        after = store_clocks.StoreTime(
            message.after_era, message.after_ms / MS_PER_SECOND
        )
    return known_versions.NamedWeights(
        message.model,
        message.weights_version,
        message.age_ms / MS_PER_SECOND,
        after,
        message.predecessor,
    )


def add_permit_request(
    message: messages_pb2.Message,
    request: rate_permits.PermitRequest,
    hops: int,
) -> None:
    """Add a `PermitQuestion` that has been passed on `hops` times."""
    question = message.permit_question
    question.asker = request.asker
    question.hops = hops
    add_limit(question.limit, request.limit)


def decode_permit_request(
    question: messages_pb2.PermitQuestion,
) -> rate_permits.PermitRequest:
    """Return the request of a `PermitQuestion` message."""
    return rate_permits.PermitRequest(
        asker=question.asker, limit=decode_limit(question.limit)
    )


def add_permit_decision(
    message: messages_pb2.Message, decision: rate_permits.PermitDecision
) -> None:
    """Add a `PermitWord` with the decision of the issuer."""
    message.permit_word.is_granted = decision.is_granted
    message.permit_word.wait_ms = int(decision.wait_seconds * MS_PER_SECOND)


def decode_permit_decision(
    message: messages_pb2.Message,
) -> rate_permits.PermitDecision | None:
    """Return the decision that a response holds, None if it holds none."""
    if message.WhichOneof('content') != 'permit_word':
        return None
    word = message.permit_word
    return rate_permits.PermitDecision(
        word.is_granted, word.wait_ms / MS_PER_SECOND
    )


def add_quota_request(
    message: messages_pb2.Message, request: quotas.QuotaRequest, hops: int
) -> None:
    """Add a `QuotaQuestion` that has been passed on `hops` times."""
    # All that hosts of earlier builds see is a partial status.
    message.host_status.is_partial = True
    question = message.host_status.quota_question
    question.asker = request.asker
    question.account = request.account
    question.cost = request.cost
    question.returned = request.returned
    question.hops = hops


def decode_quota_request(
    question: messages_pb2.QuotaQuestion,
) -> quotas.QuotaRequest:
    """Return the request of a `QuotaQuestion` message."""
    return quotas.QuotaRequest(
        asker=question.asker,
        account=question.account,
        cost=question.cost,
        returned=question.returned,
    )


def add_quota_decision(
    message: messages_pb2.Message, decision: quotas.QuotaDecision
) -> None:
    """Add a `QuotaWord`; a wait is rounded up, as 0 stands for an unknown."""
    message.quota_word.is_granted = decision.is_granted
    message.quota_word.wait_ms = math.ceil(
        decision.wait_seconds * MS_PER_SECOND
    )


def decode_quota_decision(
    message: messages_pb2.Message,
) -> quotas.QuotaDecision | None:
    """Return the decision that a response holds, None if it holds none."""
    if message.WhichOneof('content') != 'quota_word':
        return None
    word = message.quota_word
    return quotas.QuotaDecision(word.is_granted, word.wait_ms / MS_PER_SECOND)


def add_store_query(
    message: messages_pb2.Message, query: confirmations.StoreQuery
) -> None:
    """Add a `StoreQuestion` with the cursors of a query."""
    question = message.store_question
    question.desired_cursor = query.desired_cursor.number
    question.desired_era = query.desired_cursor.era
    question.targets_cursor = query.targets_cursor.number
    question.targets_era = query.targets_cursor.era
    question.desired_age_ms = int(query.desired_age_seconds * MS_PER_SECOND)
    question.targets_age_ms = int(query.targets_age_seconds * MS_PER_SECOND)


def decode_store_query(
    question: messages_pb2.StoreQuestion,
) -> confirmations.StoreQuery:
    """Return the query of a `StoreQuestion` message."""
    return confirmations.StoreQuery(
        desired_cursor=store_versions.StoreVersion(
            question.desired_era, question.desired_cursor
        ),
        targets_cursor=store_versions.StoreVersion(
            question.targets_era, question.targets_cursor
        ),
        desired_age_seconds=question.desired_age_ms / MS_PER_SECOND,
        targets_age_seconds=question.targets_age_ms / MS_PER_SECOND,
    )


def encode_store_status(
    status: confirmations.StoreStatus,
) -> messages_pb2.StoreWord:
    """Return a store status as a `StoreWord` message.

    Ages are rounded up, so that a status never appears fresher than it is.
    """
    return messages_pb2.StoreWord(
        desired=_encode_table_status(status.desired),
        targets=_encode_table_status(status.targets),
        held_ms=int(status.held_seconds * MS_PER_SECOND),
    )


def _encode_table_status(
    status: confirmations.TableStatus,
) -> messages_pb2.TableWord:
    return messages_pb2.TableWord(
        cursor=status.cursor.number,
        era=status.cursor.era,
        changed=status.last_change_cursor.number,
        changed_era=status.last_change_cursor.era,
        age_ms=int(status.age_seconds * MS_PER_SECOND) + 1,
    )


def decode_store_status(
    message: messages_pb2.StoreWord,
) -> confirmations.StoreStatus:
    """Return the store status of a `StoreWord` message."""
    return confirmations.StoreStatus(
        desired=_decode_table_status(message.desired),
        targets=_decode_table_status(message.targets),
        held_seconds=message.held_ms / MS_PER_SECOND,
    )


def _decode_table_status(
    message: messages_pb2.TableWord,
) -> confirmations.TableStatus:
    return confirmations.TableStatus(
        cursor=store_versions.StoreVersion(message.era, message.cursor),
        last_change_cursor=store_versions.StoreVersion(
            message.changed_era, message.changed
        ),
        age_seconds=message.age_ms / MS_PER_SECOND,
    )
