"""The subset of HTTP/1.1 over asyncio streams that the soak uses."""

import asyncio
import json
import os
import socket

FIRST_PORT, LAST_PORT = 10000, 32000


class ConnectionFailed(Exception):
    """The peer closed or reset the connection or sent a malformed message."""


async def read_message(reader, with_body=True):
    """Returns the first line, the lower-case header fields and the body, which
    is None if it is left to the caller, also when it ends with the connection.
    """
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head[:-4].split("\r\n")
        fields = {}
        for line in lines:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        if not with_body or (first.startswith("HTTP/") and
                             "content-length" not in fields):
            return first, fields, None
        size = int(fields.get("content-length", "0"))
        return first, fields, await reader.readexactly(size) if size else b""
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError,
            ConnectionError, OSError, ValueError) as failure:
        raise ConnectionFailed(str(failure)) from failure


def message(first, fields, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + f"\r\nContent-Length: {len(body)}\r\n\r\n"
            ).encode() + body


def response(status, fields=None, body=b""):
    return message(f"HTTP/1.1 {status} Status", fields or {}, body)


def json_response(status, value, fields=None):
    return response(status, {"Content-Type": "application/json",
                             **(fields or {})}, json.dumps(value).encode())


def reset(writer):
    """Resets a connection instead of closing it."""
    writer.transport.abort()


def free_ports(count):
    """Returns free ports below the kernel's range for outgoing connections."""
    first = FIRST_PORT + os.getpid() * count % (LAST_PORT - FIRST_PORT - count)
    ports = []
    while len(ports) < count:
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", first))
                ports.append(first)
            except OSError:
                pass
        first = first + 1 if first < LAST_PORT else FIRST_PORT
    return ports
