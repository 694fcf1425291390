#!/usr/bin/env python3
"""Nothing reads the time of day: bounds count on the boot-time clock, so that a machine
whose time is set forth or back keeps them (design section 3)."""
import os
import re
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__)))))
TIME_OF_DAY = re.compile(r"system_clock|system_timer|CLOCK_REALTIME|gettimeofday|\bstd::time\(|[^_\w.:>]time\((nullptr|NULL|0)\)|high_resolution_clock")


def readings(text):
    """Places of a text that read the time of day."""
    return [match.group(0) for match in TIME_OF_DAY.finditer(text)]


class Clocks(unittest.TestCase):
    def test_each_way_to_read_it_is_seen(self):
        for line in ("std::chrono::system_clock::now()", "clock_gettime(CLOCK_REALTIME, &reading)", "gettimeofday(&now, nullptr)",
                     "std::time(nullptr)", " time(nullptr)", "asio::system_timer timer(context);"):
            self.assertNotEqual(readings(line), [], line)
        self.assertEqual(readings("clock_gettime(CLOCK_BOOTTIME, &reading); asio::steady_timer timer; first_time(0)"), [])

    def test_no_source_reads_it(self):
        found = {}
        for folder, _, names in os.walk(os.path.join(ROOT, "source")):
            for name in names:
                if name.endswith((".cpp", ".hpp")):
                    with open(os.path.join(folder, name), encoding="utf-8") as stream:
                        seen = readings(stream.read())
                    if seen:
                        found[name] = seen
        self.assertEqual(found, {})


if __name__ == "__main__":
    unittest.main()
