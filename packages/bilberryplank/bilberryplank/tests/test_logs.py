import asyncio
import io
import logging
import unittest

from loguru import logger

from bilberryplank.logs import configure_logs, format_pair, log_event
from bilberryplank_core.settings import LogSettings


class LogsTest(unittest.TestCase):
    def setUp(self):
        self.stream = io.StringIO()
        configure_logs(LogSettings(), "entry-a", self.stream)
        self.addCleanup(logger.remove)
        self.addCleanup(logging.basicConfig, force=True, handlers=[logging.NullHandler()])

    def lines(self):
        return self.stream.getvalue().splitlines()

    def test_an_event_is_one_line_of_pairs(self):
        log_event(logger.bind(request="r1"), "request_refused", reason="shed", wait=0.25, late=True)
        (line,) = self.lines()
        tail = "level=info process=entry-a event=request_refused "
        self.assertTrue(line.startswith("time="))
        self.assertIn(tail + "request=r1 reason=shed wait=0.25 late=true", line)

    def test_values_are_quoted_escaped_and_masked(self):
        cases = [
            ("reason", "queue full", 'reason="queue full"'),
            ("text", 'a"b\\c', 'text="a\\"b\\\\c"'),
            ("text", "a\nb=c\x1b\u2028", 'text="a\\nb=c\\u001b\\u2028"'),
            ("text", "", 'text=""'),
            ("text", "a=b", 'text="a=b"'),
            ("text", "{braces}", "text={braces}"),
            ("a b\n", "x", "a_b_=x"),
            ("key_id", "k7", "key_id=k7"),
            ("authorization", "anything", "authorization=***"),
            ("fleet_key", "anything", "fleet_key=***"),
            ("header", "Bearer sk-123", 'header="Bearer ***"'),
            ("header", "a: basic dXNlcjpr+w==, b", 'header="a: basic *** b"'),
            ("path", "/v1?key=bpk_abc-d_e", 'path="/v1?key=***"'),
        ]
        for name, value, expected in cases:
            with self.subTest(name=name, value=value):
                self.assertEqual(format_pair(name, value), expected)

    def test_an_exception_stays_on_its_line_and_shows_no_variables(self):
        try:
            hidden = "local-secret"
            raise ValueError(f"broken after {len(hidden)}\nparts")
        except ValueError:
            logger.exception("step_failed")
        (line,) = self.lines()
        self.assertIn("ValueError: broken after 12\\nparts", line)
        self.assertNotIn("local-secret'", line)

    def test_standard_logging_takes_the_same_way(self):
        logging.getLogger("aiohttp.server").error("bad {request} %s", "x\ny")
        logging.getLogger("mode.services").info("Starting...")
        loop = asyncio.new_event_loop()
        loop.call_exception_handler({"message": "task failed", "exception": KeyError("k")})
        loop.close()
        first, second = self.lines()
        self.assertIn(
            'event=library_log logger=aiohttp.server message="bad {request} x\\ny"', first
        )
        self.assertIn("level=error", first)
        self.assertIn("logger=asyncio", second)
        self.assertIn("KeyError", second)

    def test_the_level_holds_for_both_ways(self):
        configure_logs(LogSettings(level="ERROR"), "entry-a", self.stream)
        log_event(logger, "too_low", level="WARNING")
        logging.getLogger("aiohttp").warning("too low")
        self.assertEqual(self.lines(), [])
