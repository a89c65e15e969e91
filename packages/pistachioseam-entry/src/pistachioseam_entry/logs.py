"""Log of numbered events, as JSON lines or text."""

import json
import sys
import time
import typing

import loguru

from pistachioseam import events
from pistachioseam_entry import log_budget
from pistachioseam_entry import log_writer
from pistachioseam_entry import metrics
from pistachioseam_entry import setting_files

TEXT_FORMAT = '{time:HH:mm:ss.SSS} {level:<7} {message}'


def configure_logs(logs: setting_files.Logs) -> None:
    """Write the log to standard error with the configured level and format."""
    loguru.logger.remove()
    if logs.format == 'json':
        loguru.logger.add(_write_json, level=logs.level)
    else:
        loguru.logger.add(sys.stderr, level=logs.level, format=TEXT_FORMAT)


def configure_log_writer(
    logs: setting_files.Logs, writer: log_writer.LogWriter
) -> None:
    """Write the log as JSON lines to a non-blocking writer."""
    loguru.logger.remove()
    loguru.logger.add(
        lambda message: writer.write(_format_json(message)),
        level=logs.level,
        format=_get_format,
        catch=False,
    )


def _get_format(_: typing.Any) -> str:
    """Return the format.

    Loguru would append tracebacks to a format given as a string.
    """
    return '{message}'


def _write_json(message: typing.Any) -> None:
    sys.stderr.write(_format_json(message))


def _format_json(message: typing.Any) -> str:
    record = message.record
    line = {
        'time': record['time'].isoformat(),
        'level': record['level'].name,
        **record['extra'],
    }
    return json.dumps(line, default=str) + '\n'


class LogSink:
    """Event sink that writes rate-limited log lines and counts all events."""

    def __init__(self, host: str, process_metrics: metrics.Metrics) -> None:
        self._logger = loguru.logger.bind(host=host)
        self._metrics = process_metrics
        self._budget = log_budget.LineBudget()

    def emit(self, event: events.Event, **fields: object) -> None:
        """Count an event; log it with its fields within the rate limit."""
        event_kind = event.value
        self._metrics.count_event(event_kind.number)
        if not self._budget.take(event, time.monotonic()):
            return
        logger = self._logger.bind(
            event=event_kind.number, message=event_kind.message, **fields
        )
        details = ' '.join(f'{key}={value}' for key, value in fields.items())
        logger.log(
            event_kind.level.value,
            '{} {} {}',
            event_kind.number,
            event_kind.message,
            details,
        )

    def report_lost_lines(self, dropped: int = 0) -> None:
        """Count and log the lines lost since the last report.

        `dropped` is the number that the writer dropped because its reader was
        too slow. Lines omitted by the rate limit are counted by event.
        """
        omitted = self._budget.take_omitted()
        self._metrics.count_lost_lines('budget', sum(omitted.values()))
        self._metrics.count_lost_lines('reader', dropped)
        if omitted or dropped:
            self.emit(
                events.Event.LOG_LINES_OMITTED,
                by_event=omitted,
                dropped=dropped,
            )
