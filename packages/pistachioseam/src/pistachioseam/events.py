"""Catalogue of numbered log events.

The reference page of events is held against this module by a test.
"""

import enum

import attrs


class Level(enum.Enum):
    """Severity of an event, by the names of the logging library."""

    DEBUG = 'DEBUG'
    INFO = 'INFO'
    WARNING = 'WARNING'
    ERROR = 'ERROR'


@attrs.frozen
class EventKind:
    """Number, severity and message of an event."""

    number: int
    level: Level
    message: str


class Event(enum.Enum):
    """All events; 1xx process, 2xx configuration, 3xx requests, 4xx claims.

    5xx are targets, 6xx peers and 7xx duties.
    """

    PROCESS_STARTED = EventKind(101, Level.INFO, 'process started')
    PROCESS_READY = EventKind(102, Level.INFO, 'process ready to serve')
    PROCESS_DRAINING = EventKind(103, Level.INFO, 'graceful shutdown began')
    PROCESS_STOPPED = EventKind(104, Level.INFO, 'graceful shutdown ended')
    PROCESS_RELOADED = EventKind(105, Level.INFO, 'settings read again')
    LOG_LINES_OMITTED = EventKind(
        106, Level.WARNING, 'log lines left out or dropped'
    )
    SETTINGS_REJECTED = EventKind(
        107, Level.ERROR, 'settings with a defect; the former stay in force'
    )
    CONFIGURATION_IN_FORCE = EventKind(
        201, Level.INFO, 'configuration in force'
    )
    CONFIGURATION_FINDINGS = EventKind(
        202, Level.WARNING, 'rows with findings keep their last accepted form'
    )
    STORE_UNAVAILABLE = EventKind(203, Level.WARNING, 'table service failed')
    STORE_LOST = EventKind(204, Level.WARNING, 'store out of reach')
    STORE_REGAINED = EventKind(205, Level.INFO, 'store within reach again')
    HISTORY_LOST = EventKind(
        206, Level.WARNING, 'history of the store lost; reading all again'
    )
    DOCUMENT_MALFORMED = EventKind(
        207, Level.WARNING, 'document of the store left out'
    )
    WEIGHTS_NAMED = EventKind(208, Level.INFO, 'newer weights named')
    REQUEST_ENDED = EventKind(301, Level.INFO, 'request ended')
    REQUEST_REFUSED = EventKind(302, Level.INFO, 'request refused')
    REQUEST_RETRIED = EventKind(303, Level.WARNING, 'request sent again')
    STREAM_RESUMED = EventKind(304, Level.WARNING, 'stream resumed')
    STREAM_CONTINUED = EventKind(
        305, Level.WARNING, 'stream continued on another target'
    )
    STREAM_FAILED = EventKind(306, Level.ERROR, 'stream ended with an error')
    CALLER_LEFT = EventKind(307, Level.INFO, 'caller disconnected')
    REQUEST_QUARANTINED = EventKind(
        308, Level.ERROR, 'request quarantined after crashing targets'
    )
    CALL_PLACED = EventKind(309, Level.INFO, 'call placed on a target')
    ATTEMPT_FAILED = EventKind(310, Level.WARNING, 'attempt failed')
    CALL_TURNED_AWAY = EventKind(
        311, Level.INFO, 'call turned away: its first token would come late'
    )
    CALLER_SLOW = EventKind(
        312, Level.INFO, 'request did not arrive whole in time; answered 408'
    )
    INTERNAL_ERROR = EventKind(399, Level.ERROR, 'internal error')
    CLAIM_UNRESOLVED = EventKind(
        401, Level.WARNING, 'claim dropped because the store did not confirm'
    )
    CLAIM_SETTLE_RETRIED = EventKind(
        402, Level.WARNING, 'answer not recorded yet; will retry'
    )
    OUTCOME_UNKNOWN = EventKind(
        403, Level.ERROR, 'outcome of a non-idempotent call is unknown'
    )
    TARGET_SUSPECTED = EventKind(501, Level.WARNING, 'target suspected')
    TARGET_RECOVERED = EventKind(502, Level.INFO, 'target recovered')
    TARGET_INCARNATION = EventKind(
        503, Level.INFO, 'target has a new incarnation; evidence dropped'
    )
    TARGET_LISTED = EventKind(504, Level.INFO, 'target listed')
    TARGET_LEAVING = EventKind(505, Level.INFO, 'target leaving')
    TARGET_GONE = EventKind(506, Level.INFO, 'target gone')
    CACHE_STORE_CHANGED = EventKind(
        507, Level.WARNING, 'store of cached parts restarted or down'
    )
    PEER_ALIVE = EventKind(601, Level.INFO, 'peer alive')
    PEER_LOST = EventKind(602, Level.WARNING, 'peer lost')
    PEER_REJECTED = EventKind(603, Level.WARNING, 'peer message rejected')
    DUTY_TAKEN = EventKind(701, Level.INFO, 'lease of a duty taken')
    DUTY_LOST = EventKind(702, Level.WARNING, 'lease of a duty lost')
    WEIGHTS_ORDERED = EventKind(703, Level.INFO, 'engine ordered to load')
    ORDER_FAILED = EventKind(704, Level.WARNING, 'order not accepted')
