#!/usr/bin/env python3
"""Measures what control costs a node at several fleet sizes, and the slopes between them.

Usage: scripts/capacity.py [--release DIR] [--seconds N] [--sizes VMS:POOLS,...]

Starts stand-ins and 7 nodes for each size, all on 127.0.0.1, without requests of callers. Bytes are
those of the loopback interface, with the headers of TCP and IP, so nothing else may use it during the
run. A byte between two nodes counts for both, a byte between a node and a stand-in for one; two runs
with one VM, of one node and of 7, tell how much passes between nodes. Prints a table; gives no
verdict.
"""

import argparse
import json
import os
import subprocess
import sys
import tempfile
import time
import urllib.request

NODES = 7
TOKEN = "0123456789abcdef-capacity"
TICKS = os.sysconf("SC_CLK_TCK")
SIZES = "50:5,275:55,550:110,1100:218"
SETTINGS = """[node]
name = entry-{number}
region = region-1
zone = zone-1
caller_address = 127.0.0.1:0
peer_address = 127.0.0.1:0
admin_address = 127.0.0.1:0
stop_delay = 0s
[platform]
address = {platform}
[admin]
root_token = {token}
"""


class Site:
    """Processes of one size."""

    def __init__(self, release, directory, vms, nodes):
        self.release = release
        self.directory = directory
        self.processes = []
        self.platform = self.start("examples/platform", "--address", "127.0.0.1:0", "--list-lag", "2s")
        self.platform_address = self.read(self.platform, "listening")[0]
        endpoint = self.start("examples/endpoint", "--address", "127.0.0.1:0", "--count", str(vms))
        self.endpoints = []
        while True:
            words = endpoint.stdout.readline().split()
            if words[0] == "ready":
                break
            if words[0] == "endpoint":
                self.endpoints.append((words[1], words[2]))
        self.nodes = []
        self.admins = []
        for number in range(1, nodes + 1):
            path = os.path.join(directory, f"entry-{number}.ini")
            with open(path, "w", encoding="utf-8") as file:
                file.write(SETTINGS.format(number=number, platform=self.platform_address, token=TOKEN))
            node = self.start("tanagerladderd", "--config", path)
            addresses = dict(part.split("=") for part in self.read(node, "listening"))
            self.nodes.append(node)
            self.admins.append(addresses["admin"])

    def start(self, program, *arguments):
        process = subprocess.Popen(
            [os.path.join(self.release, program), *arguments],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        self.processes.append(process)
        return process

    @staticmethod
    def read(process, word):
        words = process.stdout.readline().split()
        if not words or words[0] != word:
            raise RuntimeError(f"unexpected output: {words}")
        return words[1:]

    def stop(self):
        for process in self.processes:
            process.kill()
            process.wait()

    def version(self, admin):
        request = urllib.request.Request(
            f"http://{admin}/v1/nodes", headers={"Authorization": f"Bearer {TOKEN}"}
        )
        with urllib.request.urlopen(request, timeout=10) as response:
            return json.load(response)["version"]

    def apply(self, document, expected):
        body = json.dumps({"expected": expected, "document": document}).encode()
        request = urllib.request.Request(
            f"http://{self.admins[0]}/v1/config",
            data=body,
            method="PUT",
            headers={"Authorization": f"Bearer {TOKEN}"},
        )
        with urllib.request.urlopen(request, timeout=30) as response:
            return json.load(response)["version"]

    def wait(self, version):
        while any(self.version(admin) < version for admin in self.admins):
            time.sleep(0.05)

    def stats(self):
        with urllib.request.urlopen(f"http://{self.platform_address}/stats", timeout=10) as response:
            return json.load(response)

    def cpu(self):
        total = 0
        for node in self.nodes:
            with open(f"/proc/{node.pid}/stat", encoding="utf-8") as file:
                fields = file.read().rsplit(")", 1)[1].split()
            total += int(fields[11]) + int(fields[12])
        return total / TICKS

    def memory(self):
        pages = []
        for node in self.nodes:
            with open(f"/proc/{node.pid}/statm", encoding="utf-8") as file:
                pages.append(int(file.read().split()[1]))
        return max(pages) * os.sysconf("SC_PAGE_SIZE") / 1024 / 1024


def loopback_bytes():
    with open("/proc/net/dev", encoding="utf-8") as file:
        for line in file:
            name, _, counts = line.partition(":")
            if name.strip() == "lo":
                return int(counts.split()[0])
    return 0


def build_document(endpoints, pools):
    teams = max(1, pools * 190 // 218)
    document = {"site": "capacity", "teams": {}, "pools": {}, "vms": {}}
    for team in range(teams):
        document["teams"][f"team-{team}"] = {}
    for pool in range(pools):
        quotas = {
            f"team-{(pool + step) % teams}": {"rate": 100, "burst": 500, "weight": 1}
            for step in range(min(10, teams))
        }
        document["pools"][f"pool-{pool}"] = {"floor": 2, "quotas": quotas}
    for number, (name, address) in enumerate(endpoints):
        document["vms"][name] = {
            "address": address,
            "pool": f"pool-{number % pools}",
            "zone": f"zone-{number // 4 % 8}",
            "rack": f"rack-{number // 4}",
            "slots": 8,
        }
    return document


def measure(release, vms, pools, seconds, nodes=NODES, changes=20):
    with tempfile.TemporaryDirectory() as directory:
        site = Site(release, directory, vms, nodes)
        try:
            time.sleep(3)
            document = build_document(site.endpoints, pools)
            version = site.apply(document, 0)
            site.wait(version)
            time.sleep(5)
            row = {"vms": vms, "pools": pools, "document": len(json.dumps(document))}
            cpu, sent, stats, start = site.cpu(), loopback_bytes(), site.stats(), time.monotonic()
            time.sleep(seconds)
            elapsed = time.monotonic() - start
            after = site.stats()
            row["cpu"] = 100 * (site.cpu() - cpu) / elapsed / nodes
            row["loopback"] = (loopback_bytes() - sent) / elapsed
            row["reads"] = (after["reads"] - stats["reads"]) / elapsed
            row["writes"] = (after["writes"] - stats["writes"]) / elapsed
            row["memory"] = site.memory()
            if changes == 0:
                return row
            cpu, sent = site.cpu(), loopback_bytes()
            start = time.monotonic()
            slowest = 0.0
            for change in range(changes):
                document["pools"]["pool-0"]["floor"] = change % 2
                began = time.monotonic()
                version = site.apply(document, version)
                site.wait(version)
                slowest = max(slowest, time.monotonic() - began)
            elapsed = time.monotonic() - start
            idle_cpu = row["cpu"] / 100 * nodes * elapsed
            row["change_cpu"] = 1000 * max(0.0, site.cpu() - cpu - idle_cpu) / changes / nodes
            idle_bytes = row["loopback"] * elapsed
            # Includes the document that the script sends to one node.
            row["change_bytes"] = max(0.0, loopback_bytes() - sent - idle_bytes) / changes / 1000
            row["in_force"] = slowest
            row["memory_after"] = site.memory()
            return row
        finally:
            site.stop()


def slope(rows, key):
    """Least squares of a column over the number of VMs: value at 0, increase per 100 VMs."""
    count = len(rows)
    mean_x = sum(row["vms"] for row in rows) / count
    mean_y = sum(row[key] for row in rows) / count
    spread = sum((row["vms"] - mean_x) ** 2 for row in rows)
    rise = sum((row["vms"] - mean_x) * (row[key] - mean_y) for row in rows) / spread if spread else 0.0
    return mean_y - rise * mean_x, 100 * rise


COLUMNS = [
    ("cpu", "% of a core per node, idle"),
    ("bytes", "KB/s per node, idle"),
    ("memory", "MiB resident, largest node"),
    ("reads", "store reads/s, all nodes"),
    ("writes", "store writes/s, all nodes"),
    ("change_cpu", "CPU ms per node and configuration change"),
    ("change_bytes", "KB of all nodes per configuration change, with the upload"),
    ("in_force", "s from apply to the last node, slowest of 20"),
    ("memory_after", "MiB resident after 20 changes"),
]


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--release", default="target/release")
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--sizes", default=SIZES)
    arguments = parser.parse_args()
    single = measure(arguments.release, 1, 1, 10, nodes=1, changes=0)["loopback"]
    between = measure(arguments.release, 1, 1, 10, changes=0)["loopback"] - NODES * single
    rows = []
    for size in arguments.sizes.split(","):
        vms, pools = (int(part) for part in size.split(":"))
        rows.append(measure(arguments.release, vms, pools, arguments.seconds))
        rows[-1]["bytes"] = (rows[-1]["loopback"] + between) / NODES / 1000
        print(f"measured {vms} VMs in {pools} pools", file=sys.stderr)
    print(f"between nodes: {2 * between / NODES / 1000:.2f} KB/s per node; ", end="")
    print(f"a node and the platform: {single / 1000:.2f} KB/s")
    header = [f"{row['vms']} VMs, {row['pools']} pools" for row in rows]
    print("| figure | " + " | ".join(header) + " | at 0 VMs | per 100 VMs |")
    print("|---|" + "---|" * (len(rows) + 2))
    for key, title in COLUMNS:
        base, rise = slope(rows, key)
        cells = " | ".join(f"{row[key]:.2f}" for row in rows)
        print(f"| {title} | {cells} | {base:.2f} | {rise:.3f} |")


if __name__ == "__main__":
    main()
