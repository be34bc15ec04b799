"""Guards against printing an invalid job, and against errors that do not name the field."""

import io
import json
import unittest

import tanagerladder as ladder


class JobTest(unittest.TestCase):
    def test_job_has_the_fields_of_the_service(self):
        job = ladder.new_job("work", repetitions=2, first_run_ms=5, interval_ms=900)
        first = ladder.add_step(job, 4, cpu=500, memory_mb=256, estimated_ms=900)
        ladder.add_step(job, 2, cpu=2_000, memory_mb=1_024, after=[first], gang=True)
        text = io.StringIO()
        ladder.print_job(job, text)
        expected = {
            "specification": "work",
            "repetitions": 2,
            "first_run_ms": 5,
            "interval_ms": 900,
            "steps": [
                {
                    "count": 4,
                    "request": {"cpu": 500, "memory_mb": 256, "gpu": 0},
                    "estimated_ms": 900,
                },
                {
                    "count": 2,
                    "request": {"cpu": 2_000, "memory_mb": 1_024, "gpu": 0},
                    "estimated_ms": 0,
                    "after": [0],
                    "gang": True,
                },
            ],
        }
        self.assertEqual(json.loads(text.getvalue()), expected)

    def test_invalid_steps_are_rejected(self):
        invalid_options = [
            ({"count": 0}, "step 0, count"),
            ({"count": 20_001}, "step 0, count"),
            ({"cpu": -1}, "step 0, cpu"),
            ({"after": [0]}, "step 0 is after step 0"),
            ({"gang": 1}, "step 0, gang"),
            ({"affinity": ""}, "step 0, affinity"),
            ({"may_miss": "1"}, "step 0, may_miss"),
            ({"stepps": 1}, "'stepps' is not a known field"),
        ]
        for change, message in invalid_options:
            with self.subTest(change):
                job = ladder.new_job("work")
                options = {"count": 1, "cpu": 1, "memory_mb": 1, **change}
                with self.assertRaisesRegex(ladder.DocumentError, message):
                    ladder.add_step(job, **options)
                self.assertEqual(job["steps"], [])

    def test_empty_job_is_not_printed(self):
        with self.assertRaisesRegex(ladder.DocumentError, "at least one step"):
            ladder.print_job(ladder.new_job("work"), io.StringIO())


if __name__ == "__main__":
    unittest.main()
