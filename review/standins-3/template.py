"""Renderer of the settings template, for the placeholders that it uses."""

import json
import re

TAG = re.compile(r'\{\{([#^/]?)([^}|]+)(\|json)?\}\}')


def render(text, context):
    """Return a template filled in from nested dicts and lists."""
    tokens = []
    position = 0
    for found in TAG.finditer(text):
        tokens.append(('text', text[position : found.start()], ''))
        tokens.append((found[1] or 'value', found[2], found[3] or ''))
        position = found.end()
    tokens.append(('text', text[position:], ''))
    output, _ = _render_tokens(tokens, 0, [context], '')
    return ''.join(output)


def _find(scopes, name):
    """Return the value of a dotted name, None if there is none."""
    if name == '.':
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in name.split('.'):
            if isinstance(value, list) and part.isdecimal():
                value = value[int(part)]
            elif isinstance(value, dict) and part in value:
                value = value[part]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def _write(value, form):
    if form:
        return json.dumps(value)
    if value is None:
        return ''
    if isinstance(value, list):
        return ','.join(map(str, value))
    if isinstance(value, bool):
        return str(value).lower()
    return str(value)


def _render_tokens(tokens, at, scopes, key):
    """Render until the end of a section; return the texts and the index."""
    output = []
    while at < len(tokens):
        kind, name, form = tokens[at]
        at += 1
        if kind == 'text':
            output.append(name)
        elif kind == '/':
            return output, at
        elif kind == 'value':
            value = key if name == '@' else _find(scopes, name)
            output.append(_write(value, form))
        else:
            value = _find(scopes, name)
            entries = _list_entries(value, is_inverted=kind == '^')
            end = at
            for entry_key, entry in entries:
                texts, end = _render_tokens(
                    tokens, at, [*scopes, entry], entry_key
                )
                output.extend(texts)
            if not entries:
                _, end = _render_tokens(tokens, at, [*scopes, {}], '')
            at = end
    return output, at


def _list_entries(value, is_inverted):
    if is_inverted:
        return [] if value else [('', {})]
    if isinstance(value, dict):
        return list(value.items())
    if isinstance(value, list):
        return [(str(n), entry) for n, entry in enumerate(value)]
    return [('', {})] if value else []
