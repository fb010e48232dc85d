import asyncio
import json
import unittest

import aiohttp

from bilberryplank_testing.engine import EngineOptions, FakeEngine, answer_text
from bilberryplank_testing.faults import Fault, FaultKind
from bilberryplank_testing.run_log import RunEnd
from bilberryplank_testing.service import FakeService

FAST = EngineOptions(slots=2, step_seconds=0.002, prefill_rate=1e6, load_lag=0.0, event_lag=0.0)
ENDLESS = 50_000
HANG_LIMIT = 10.0
CHAT = "/v1/chat/completions"
PROMPT = "user: where is kit 7"


def chat(output=6, stream=False, **more):
    messages = [{"role": "user", "content": "where is kit 7"}]
    body = {"model": "m", "messages": messages, "stream": stream, "fake_output_tokens": output}
    return body | more


def parse_events(data):
    lines = [line.removeprefix("data: ") for line in data.decode().split("\n\n") if line]
    return lines.pop(), [json.loads(line) for line in lines]


def stream_text(events):
    parts = [choice["delta"].get("content", "") for item in events for choice in item["choices"]]
    return "".join(parts)


async def until(condition):
    async with asyncio.timeout(HANG_LIMIT):
        while not condition():  # noqa: ASYNC110 - the fakes have no event for it
            await asyncio.sleep(0.001)


class FakeCase(unittest.IsolatedAsyncioTestCase):
    def build(self):
        return FakeEngine(FAST)

    async def asyncSetUp(self):
        self.fake = self.build()
        self.url = await self.fake.start()
        timeout = aiohttp.ClientTimeout(total=HANG_LIMIT)
        self.session = aiohttp.ClientSession(timeout=timeout)

    async def asyncTearDown(self):
        await self.session.close()
        await self.fake.stop()

    async def post(self, path, body=None, **headers):
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        async with self.session.post(self.url + path, json=body, headers=names) as resp:
            return resp.status, await resp.read()

    async def begun(self, count=1):
        await until(lambda: len(self.fake.log.of("engine", effect=True)) >= count)
        return self.fake.log.of("engine", effect=True)[-1]


class EngineAnswerTest(FakeCase):
    async def test_streamed_and_whole_answers_are_the_same(self):
        _, data = await self.post(CHAT, chat())
        whole = json.loads(data)
        last, events = parse_events((await self.post(CHAT, chat(stream=True)))[1])
        text = whole["choices"][0]["message"]["content"]
        self.assertEqual(text, answer_text(PROMPT, 6))
        self.assertEqual((stream_text(events), last), (text, "[DONE]"))
        self.assertEqual(events[-1]["usage"]["completion_tokens"], 6)
        self.assertEqual(whole["usage"]["total_tokens"], 6 + whole["usage"]["prompt_tokens"])

    async def test_an_answer_resumes_after_any_token(self):
        for start in (0, 1, 5, 6):
            with self.subTest(start=start):
                data = (await self.post(CHAT, chat(stream=True), X_Resume_Tokens=str(start)))[1]
                last, events = parse_events(data)
                self.assertEqual(stream_text(events), answer_text(PROMPT, 6, start))
                self.assertEqual(events[-1]["usage"]["completion_tokens"], 6)
                entry = self.fake.log.entries[-1]
                self.assertEqual((entry.resumed_from, entry.tokens), (start, 6 - start))

    async def test_text_completions_and_models(self):
        body = {"model": "m", "prompt": "p", "fake_output_tokens": 3}
        data = (await self.post("/v1/completions", body))[1]
        self.assertEqual(json.loads(data)["choices"][0]["text"], answer_text("p", 3))

    async def test_bad_bodies_are_refused_and_never_begin(self):
        cases = [
            ("no prompt", {"model": "m"}, {}),
            ("no model", {"prompt": "p"}, {}),
            ("no object", [], {}),
            ("too long", chat(output=10**6), {}),
            ("past the end", chat(), {"X_Resume_Tokens": "7"}),
            ("bad rank", chat(), {"X_Priority": "high"}),
        ]
        for name, body, headers in cases:
            with self.subTest(name):
                self.assertEqual((await self.post(CHAT, body, **headers))[0], 400)
                entry = self.fake.log.entries[-1]
                self.assertEqual((entry.end, entry.effect), (RunEnd.REFUSED, False))


class EngineEndTest(FakeCase):
    async def ended(self, entry):
        await until(lambda: entry.end is not RunEnd.OPEN)
        return entry.end

    async def test_cancel_by_id_and_by_disconnect(self):
        for stream in (False, True):
            for by_id in (False, True):
                with self.subTest(stream=stream, by_id=by_id):
                    self.fake.log.entries.clear()
                    body = chat(ENDLESS, stream)
                    task = asyncio.create_task(self.post(CHAT, body, X_Request_Id="r1"))
                    entry = await self.begun()
                    if by_id:
                        await self.post("/v1/cancel/r1")
                        self.assertIn(b'"cancelled"', (await task)[1])
                    else:
                        task.cancel()
                    self.assertEqual(await self.ended(entry), RunEnd.CANCELLED)
                    self.assertEqual(self.fake.driver.model.running, [])

    async def test_a_crash_cuts_every_stream(self):
        await self.post("/_control", {"crash_after_tokens": 5})
        tasks = [self.post(CHAT, chat(ENDLESS, True)) for _ in range(3)]
        results = await asyncio.gather(*tasks, return_exceptions=True)
        for result in results:
            self.assertIsInstance(result, aiohttp.ClientError)
        ends = {entry.end for entry in self.fake.log.of("engine")}
        self.assertEqual(ends, {RunEnd.FAILED})
        self.assertEqual((await self.post(CHAT, chat()))[0], 200)

    async def test_draining_ends_what_runs_and_refuses_new(self):
        task = asyncio.create_task(self.post(CHAT, chat(60, True)))
        await self.begun()
        await self.post("/_drain")
        self.assertEqual((await self.post(CHAT, chat()))[0], 503)
        self.assertTrue((await task)[1].endswith(b"[DONE]\n\n"))
        self.assertEqual(
            [entry.end for entry in self.fake.log.of("engine")], [RunEnd.WHOLE, RunEnd.REFUSED]
        )

    async def test_a_hanging_engine_goes_on_later(self):
        await self.post("/_control", {"hang": True})
        task = asyncio.create_task(self.post(CHAT, chat()))
        done, _ = await asyncio.wait([task], timeout=0.05)
        self.assertFalse(done)
        self.assertEqual(self.fake.log.of("engine", effect=True), [])
        await self.post("/_control", {"hang": False})
        self.assertEqual((await task)[0], 200)

    async def test_a_lost_answer_was_generated_whole(self):
        self.fake.faults.set("engine", Fault(FaultKind.DROP_ANSWER, left=1))
        with self.assertRaises(aiohttp.ClientError):
            await self.post(CHAT, chat(stream=True))
        entry = self.fake.log.of("engine")[0]
        self.assertEqual((entry.tokens, entry.end), (6, RunEnd.ANSWER_LOST))


class ServiceTest(FakeCase):
    def build(self):
        return FakeService("tracing")

    async def test_the_log_holds_all_that_was_sent(self):
        status, data = await self.post("/kits/a%2Fb?x=1", {"n": 1}, X_Request_Id="r1")
        echo = json.loads(data)
        self.assertEqual((status, echo["path"], echo["effects"]), (200, "/kits/a%2Fb?x=1", 1))
        entry = self.fake.log.entries[0]
        self.assertEqual((entry.method, entry.body), ("POST", '{"n": 1}'))
        self.assertIn(("X-Request-Id", "r1"), entry.headers)

    async def test_effects_under_each_fault(self):
        cases = [
            (FaultKind.FAIL, 500, 0),
            (FaultKind.FAIL_AFTER_EFFECT, 500, 1),
            (FaultKind.REFUSE_CONNECTION, None, 0),
            (FaultKind.DROP_ANSWER, None, 1),
        ]
        for kind, expected, effects in cases:
            with self.subTest(kind=kind.value):
                fault = {"service": "service", "kind": kind.value, "count": 1}
                self.assertEqual((await self.post("/_faults", fault))[0], 200)
                request_id = f"r-{kind.value}"
                try:
                    status, _ = await self.post("/issue", {}, X_Request_Id=request_id)
                except aiohttp.ClientError:
                    status = None
                self.assertEqual(status, expected)
                self.assertEqual(self.fake.effects[request_id, "/issue"], effects)

    async def test_wrong_faults_are_refused(self):
        for fault in ({}, {"service": "moon", "kind": "fail"}, {"service": "service", "kind": "x"}):
            with self.subTest(fault=fault):
                self.assertEqual((await self.post("/_faults", fault))[0], 400)


if __name__ == "__main__":
    unittest.main()
