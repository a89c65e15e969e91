"""Numbered events on the log, for machines (JSON) or for people."""

import json
import sys
import time
import typing

import loguru

from pistachioseam import events
from pistachioseam_entry import log_budget
from pistachioseam_entry import log_writer
from pistachioseam_entry import metrics
from pistachioseam_entry import settings

TEXT_FORMAT = '{time:HH:mm:ss.SSS} {level:<7} {message}'


def configure_logs(logs: settings.Logs) -> None:
    """Send the log to standard error at the level of the settings."""
    loguru.logger.remove()
    if logs.format == 'json':
        loguru.logger.add(_write_json, level=logs.level)
    else:
        loguru.logger.add(sys.stderr, level=logs.level, format=TEXT_FORMAT)


def configure_output(
    logs: settings.Logs, writer: log_writer.LogWriter
) -> None:
    """Send the log as JSON lines to a writer that never blocks."""
    loguru.logger.remove()
    loguru.logger.add(
        lambda message: writer.write(_format_json(message)),
        level=logs.level,
        format=_keep_message,
        catch=False,
    )


def _keep_message(_: typing.Any) -> str:
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
    """Event sink that writes the log within a budget and counts events."""

    def __init__(self, host: str, measures: metrics.Metrics) -> None:
        self._logger = loguru.logger.bind(host=host)
        self._metrics = measures
        self._budget = log_budget.LineBudget()

    def emit(self, event: events.Event, **fields: object) -> None:
        """Record one event with its fields."""
        kind = event.value
        self._metrics.count_event(kind.number)
        if not self._budget.take(event, time.monotonic()):
            return
        logger = self._logger.bind(
            event=kind.number, message=kind.message, **fields
        )
        details = ' '.join(f'{key}={value}' for key, value in fields.items())
        logger.log(
            kind.level.value, '{} {} {}', kind.number, kind.message, details
        )

    def report_omitted(self, dropped: int = 0) -> None:
        """Say how many lines were left out or dropped since the last time."""
        omitted = self._budget.take_omitted()
        self._metrics.count_lost_lines('budget', sum(omitted.values()))
        self._metrics.count_lost_lines('reader', dropped)
        if omitted or dropped:
            self.emit(
                events.Event.LOG_LINES_OMITTED,
                by_event=omitted,
                dropped=dropped,
            )
