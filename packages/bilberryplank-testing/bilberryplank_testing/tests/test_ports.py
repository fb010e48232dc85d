import subprocess
import sys
import unittest

DRAW = """
import os, sys
os.getpid = lambda: 1000
from bilberryplank_testing.ports import free_port
print(*[free_port() for _ in range(20)], flush=True)
sys.stdin.read()
"""


class PortsTest(unittest.TestCase):
    def test_processes_that_begin_with_the_same_block_get_different_ports(self):
        """Process ids that differ by 50 begin with the same port."""
        drawn = []
        for _ in range(3):
            process = subprocess.Popen(
                [sys.executable, "-c", DRAW],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            self.addCleanup(process.communicate)
            drawn += process.stdout.readline().split()
        self.assertEqual(len(set(drawn)), 60)


if __name__ == "__main__":
    unittest.main()
