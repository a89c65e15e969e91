"""Catalogue of numbered log events.

A test compares docs/reference/events.md with this catalogue.
"""

import enum

import attrs


class Level(enum.Enum):
    """Level of an event, named as in the logging library."""

    DEBUG = 'DEBUG'
    INFO = 'INFO'
    WARNING = 'WARNING'
    ERROR = 'ERROR'


@attrs.frozen
class EventKind:
    """Number, level and message of an event."""

    number: int
    level: Level
    message: str


class Event(enum.Enum):
    """All events.

    1xx are process, 2xx configuration, 3xx requests, 4xx claims, 5xx targets,
    6xx peers, and 7xx the lease and rollout of weights.
    """

    PROCESS_STARTED = EventKind(101, Level.INFO, 'process started')
    PROCESS_READY = EventKind(102, Level.INFO, 'process ready to serve')
    PROCESS_DRAINING = EventKind(103, Level.INFO, 'graceful shutdown began')
    PROCESS_STOPPED = EventKind(104, Level.INFO, 'graceful shutdown ended')
    PROCESS_RELOADED = EventKind(105, Level.INFO, 'settings reloaded')
    LOG_LINES_OMITTED = EventKind(
        106,
        Level.WARNING,
        'log lines not written: over the rate limit, or the reader of the log'
        ' was too slow',
    )
    SETTINGS_REJECTED = EventKind(
        107, Level.ERROR, 'settings invalid; keeping the previous settings'
    )
    HOST_ACTIVITY = EventKind(
        108,
        Level.INFO,
        'messages sent to peers, their bytes by receivers and field, and'
        ' longest timer delay since the last such line',
    )
    LOOP_FAILED = EventKind(
        109, Level.ERROR, 'background loop failed; it is started again'
    )
    CONFIGURATION_IN_FORCE = EventKind(
        201, Level.INFO, 'configuration in force'
    )
    CONFIGURATION_FINDINGS = EventKind(
        202,
        Level.WARNING,
        'table rows have findings; those with errors keep their last content',
    )
    TABLES_NOT_READ = EventKind(203, Level.WARNING, 'tables could not be read')
    STORE_UNREACHABLE = EventKind(204, Level.WARNING, 'store unreachable')
    STORE_RECOVERED = EventKind(205, Level.INFO, 'store reachable again')
    HISTORY_LOST = EventKind(
        206,
        Level.WARNING,
        'change history of the store lost; rereading everything',
    )
    DOCUMENT_MALFORMED = EventKind(
        207, Level.WARNING, 'malformed document of the store ignored'
    )
    NEWER_WEIGHTS_DESIRED = EventKind(
        208, Level.INFO, 'newer weights version desired'
    )
    STORE_RESTORED = EventKind(
        209,
        Level.WARNING,
        'store restored from an older copy; everything is read again',
    )
    LEADER_NOT_CONFIRMING = EventKind(
        210,
        Level.INFO,
        'leader does not confirm the cache; the store is read directly',
    )
    SOFTWARE_VERSIONS_CHANGED = EventKind(
        211,
        Level.INFO,
        'software versions at which streams may begin changed in the store',
    )
    WEIGHTS_DATED = EventKind(
        212, Level.INFO, 'date of a weights version changed'
    )
    REQUEST_ENDED = EventKind(301, Level.INFO, 'request ended')
    REQUEST_REFUSED = EventKind(302, Level.INFO, 'request refused')
    REQUEST_RETRIED = EventKind(303, Level.WARNING, 'request retried')
    STREAM_RESUMED = EventKind(304, Level.WARNING, 'stream resumed')
    STREAM_NOT_RESUMED = EventKind(
        305, Level.WARNING, 'stream broke and was not resumed at its target'
    )
    STREAM_FAILED = EventKind(306, Level.ERROR, 'stream ended with an error')
    CALLER_LEFT = EventKind(307, Level.INFO, 'caller disconnected')
    REQUEST_QUARANTINED = EventKind(
        308,
        Level.ERROR,
        'quarantined request refused: it crashed the targets that ran it',
    )
    CALL_PLACED = EventKind(309, Level.INFO, 'call placed on a target')
    ATTEMPT_FAILED = EventKind(310, Level.WARNING, 'attempt failed')
    CALL_REFUSED_OVERLOADED = EventKind(
        311, Level.INFO, 'call refused: its first token is expected too late'
    )
    CALLER_SLOW = EventKind(
        312, Level.INFO, 'request not fully received in time; answered 408'
    )
    CALL_BEGAN_OUTDATED = EventKind(
        313,
        Level.WARNING,
        'call began on weights that had been replaced beyond the limit for'
        ' sending',
    )
    REQUEST_FOUND_CRASHING = EventKind(
        314,
        Level.ERROR,
        'request quarantined: targets crashed while they ran it',
    )
    PART_QUARANTINED = EventKind(
        315,
        Level.ERROR,
        'prompt part quarantined: targets crashed while they ran calls with'
        ' it',
    )
    STREAM_ORIGIN_UNKNOWN = EventKind(
        316,
        Level.WARNING,
        'stream not resumed: the software version that began it is not known',
    )
    INTERNAL_ERROR = EventKind(399, Level.ERROR, 'internal error')
    CALL_RELAYED = EventKind(317, Level.INFO, 'call sent through another host')
    RELAY_REFUSED = EventKind(
        318, Level.WARNING, 'another host does not relay a call'
    )
    CALL_SENT_FOR_PEER = EventKind(
        319, Level.INFO, 'call of another host sent to a target'
    )
    RESPONSE_DOUBTFUL = EventKind(
        320,
        Level.WARNING,
        'response to a call does not prove what its status says',
    )
    RESPONSE_PASSED_OVER = EventKind(
        321,
        Level.WARNING,
        'response to another request passed over',
    )
    RELAYED_CALL_FAILED = EventKind(
        322,
        Level.WARNING,
        'call of another host failed, or its target answered with an error',
    )
    CALL_OVER_QUOTA = EventKind(
        323,
        Level.INFO,
        "call refused: over its account's quota, or that cannot be checked",
    )
    QUOTA_UNANSWERED = EventKind(
        324,
        Level.WARNING,
        "no answer to a request for the cost of a call out of its account's"
        ' quota',
    )
    CALLERS_TURNED_AWAY = EventKind(
        325,
        Level.WARNING,
        'callers turned away that hold too much or are too slow',
    )
    CALL_GOES_ON = EventKind(
        326,
        Level.INFO,
        'caller disconnected; its call goes on, as it may have run',
    )
    CRASH_TRIAL_BEGUN = EventKind(
        327,
        Level.WARNING,
        'one call sent as a trial, though such calls have crashed targets',
    )
    CLAIM_DROPPED = EventKind(
        401,
        Level.WARNING,
        'claim dropped: the store did not confirm the insert',
    )
    CLAIM_WRITE_RETRIED = EventKind(
        402, Level.WARNING, 'outcome of a call not stored yet; will retry'
    )
    OUTCOME_UNKNOWN = EventKind(
        403, Level.ERROR, 'outcome of a non-idempotent call is unknown'
    )
    TARGET_SUSPECTED = EventKind(
        501, Level.WARNING, 'target suspected after a failed call'
    )
    TARGET_RECOVERED = EventKind(502, Level.INFO, 'target recovered')
    TARGET_RESTARTED = EventKind(
        503,
        Level.INFO,
        'target has a new incarnation; its cache records dropped',
    )
    TARGET_ADDED = EventKind(504, Level.INFO, 'target added')
    TARGET_LEAVING = EventKind(505, Level.INFO, 'target leaving')
    TARGET_REMOVED = EventKind(506, Level.INFO, 'target removed')
    CACHE_STORE_CHANGED = EventKind(
        507,
        Level.WARNING,
        'KV cache store restarted or down; its cache records dropped',
    )
    TARGET_SAID_LEAVING = EventKind(
        508, Level.INFO, 'target said in a response that it leaves'
    )
    RETRY_AFTER_ODD = EventKind(
        509,
        Level.WARNING,
        'target sent a malformed or very long Retry-After; it was ignored or'
        ' shortened',
    )
    TARGET_CRASHED = EventKind(
        510, Level.WARNING, 'target crashed while it ran a call'
    )
    CRASH_NOT_CONFIRMED = EventKind(
        511,
        Level.INFO,
        'target accepts connections after a call broke off; not a crash',
    )
    TARGET_LIMIT_CHANGED = EventKind(
        512,
        Level.WARNING,
        'target changed how many requests a second it takes from all hosts',
    )
    TARGET_LIMIT_ODD = EventKind(
        513,
        Level.WARNING,
        'target sent a malformed limit of requests a second; it was ignored',
    )
    PERMIT_UNANSWERED = EventKind(
        514,
        Level.WARNING,
        'no answer to a request for a permit; the limited target is left out',
    )
    COORDINATOR_UNANSWERED = EventKind(
        519,
        Level.WARNING,
        "an engine's coordinator did not answer; it is not asked for a while",
    )
    TARGET_PATHS_LOST = EventKind(
        515,
        Level.WARNING,
        'this host reaches no target; none of those probed accepts a'
        ' connection',
    )
    TARGET_PATHS_BACK = EventKind(
        516, Level.INFO, 'this host reaches targets again'
    )
    TARGETS_BRITTLE = EventKind(
        517,
        Level.WARNING,
        'targets of a service changed how many calls a second they can reject'
        ' before they crash',
    )
    TARGET_FULL = EventKind(
        518, Level.INFO, 'brittle target rejected a call; it gets a pause'
    )
    PEER_ALIVE = EventKind(
        601, Level.INFO, 'peer joined, returned or restarted'
    )
    PEER_LOST = EventKind(
        602, Level.WARNING, 'peer lost: no message within the timeout'
    )
    PEER_REJECTED = EventKind(603, Level.WARNING, 'peer message rejected')
    LEASE_ACQUIRED = EventKind(701, Level.INFO, 'lease acquired')
    LEASE_WRITE_FAILED = EventKind(702, Level.WARNING, 'lease write failed')
    WEIGHTS_ORDERED = EventKind(
        703, Level.INFO, 'engine ordered to load weights'
    )
    ORDER_FAILED = EventKind(
        704, Level.WARNING, 'engine did not accept a load order; will retry'
    )
    LEASE_LEFT = EventKind(
        705,
        Level.WARNING,
        'lease left to the standbys: engines do not answer this host',
    )
