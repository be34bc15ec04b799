#!/usr/bin/env python3
"""Measures the control overhead of a node at several fleet sizes and how it grows with the VMs.

Usage: scripts/capacity.py [--release DIR] [--seconds N] [--sizes VMS:POOLS,...]

For each size, starts stand-ins and 7 nodes on 127.0.0.1, without requests of callers. Bytes are
counted on the loopback interface, including TCP and IP headers, so nothing else may use it during the
run. A byte between two nodes counts for both, a byte between a node and a stand-in for one. The
traffic between nodes is derived from two runs with one VM, one with 1 node and one with 7. Prints a
table and does not judge the results.
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
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
DEFAULT_SIZES = "50:5,275:55,550:110,1100:218"
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
    """Stand-ins and nodes of one measurement."""

    def __init__(self, release, directory, vms, nodes):
        self.release = release
        self.directory = directory
        self.processes = []
        self.platform = self.start("examples/platform", "--address", "127.0.0.1:0", "--list-lag", "2s")
        self.platform_address = self.read_line(self.platform, "listening")[0]
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
            addresses = dict(part.split("=") for part in self.read_line(node, "listening"))
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
    def read_line(process, first_word):
        words = process.stdout.readline().split()
        if not words or words[0] != first_word:
            raise RuntimeError(f"unexpected output: {words}")
        return words[1:]

    def stop(self):
        for process in self.processes:
            process.kill()
            process.wait()

    def read_version(self, admin):
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

    def wait_for_version(self, version):
        while any(self.read_version(admin) < version for admin in self.admins):
            time.sleep(0.05)

    def read_store_stats(self):
        with urllib.request.urlopen(f"http://{self.platform_address}/stats", timeout=10) as response:
            return json.load(response)

    def cpu_seconds(self):
        ticks = 0
        for node in self.nodes:
            with open(f"/proc/{node.pid}/stat", encoding="utf-8") as file:
                fields = file.read().rsplit(")", 1)[1].split()
            ticks += int(fields[11]) + int(fields[12])
        return ticks / CLOCK_TICKS_PER_SECOND

    def largest_memory_mib(self):
        pages = []
        for node in self.nodes:
            with open(f"/proc/{node.pid}/statm", encoding="utf-8") as file:
                pages.append(int(file.read().split()[1]))
        return max(pages) * os.sysconf("SC_PAGE_SIZE") / 1024 / 1024


def read_loopback_bytes():
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


def measure_size(release, vms, pools, seconds, nodes=NODES, changes=20):
    with tempfile.TemporaryDirectory() as directory:
        site = Site(release, directory, vms, nodes)
        try:
            time.sleep(3)
            document = build_document(site.endpoints, pools)
            version = site.apply(document, 0)
            site.wait_for_version(version)
            time.sleep(5)
            row = {"vms": vms, "pools": pools, "document": len(json.dumps(document))}
            start_cpu, start_bytes, start_stats, start_time = (
                site.cpu_seconds(),
                read_loopback_bytes(),
                site.read_store_stats(),
                time.monotonic(),
            )
            time.sleep(seconds)
            elapsed = time.monotonic() - start_time
            end_stats = site.read_store_stats()
            row["cpu"] = 100 * (site.cpu_seconds() - start_cpu) / elapsed / nodes
            row["loopback"] = (read_loopback_bytes() - start_bytes) / elapsed
            row["reads"] = (end_stats["reads"] - start_stats["reads"]) / elapsed
            row["writes"] = (end_stats["writes"] - start_stats["writes"]) / elapsed
            row["memory"] = site.largest_memory_mib()
            if changes == 0:
                return row
            start_cpu, start_bytes = site.cpu_seconds(), read_loopback_bytes()
            start_time = time.monotonic()
            slowest_change = 0.0
            for change in range(changes):
                document["pools"]["pool-0"]["floor"] = change % 2
                change_start = time.monotonic()
                version = site.apply(document, version)
                site.wait_for_version(version)
                slowest_change = max(slowest_change, time.monotonic() - change_start)
            elapsed = time.monotonic() - start_time
            idle_cpu = row["cpu"] / 100 * nodes * elapsed
            row["change_cpu"] = (
                1000 * max(0.0, site.cpu_seconds() - start_cpu - idle_cpu) / changes / nodes
            )
            idle_bytes = row["loopback"] * elapsed
            # Includes the upload of the document to one node.
            row["change_bytes"] = (
                max(0.0, read_loopback_bytes() - start_bytes - idle_bytes) / changes / 1000
            )
            row["in_force"] = slowest_change
            row["memory_after"] = site.largest_memory_mib()
            return row
        finally:
            site.stop()


def fit_line(rows, key):
    """Fits a column over the number of VMs by least squares.

    Returns the value at 0 VMs and the increase per 100 VMs.
    """
    count = len(rows)
    mean_x = sum(row["vms"] for row in rows) / count
    mean_y = sum(row[key] for row in rows) / count
    squared_deviations = sum((row["vms"] - mean_x) ** 2 for row in rows)
    slope = (
        sum((row["vms"] - mean_x) * (row[key] - mean_y) for row in rows) / squared_deviations
        if squared_deviations
        else 0.0
    )
    return mean_y - slope * mean_x, 100 * slope


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
    parser.add_argument("--sizes", default=DEFAULT_SIZES)
    arguments = parser.parse_args()
    single_node_bytes = measure_size(arguments.release, 1, 1, 10, nodes=1, changes=0)["loopback"]
    inter_node_bytes = (
        measure_size(arguments.release, 1, 1, 10, changes=0)["loopback"] - NODES * single_node_bytes
    )
    rows = []
    for size in arguments.sizes.split(","):
        vms, pools = (int(part) for part in size.split(":"))
        rows.append(measure_size(arguments.release, vms, pools, arguments.seconds))
        rows[-1]["bytes"] = (rows[-1]["loopback"] + inter_node_bytes) / NODES / 1000
        print(f"measured {vms} VMs in {pools} pools", file=sys.stderr)
    print(f"between nodes: {2 * inter_node_bytes / NODES / 1000:.2f} KB/s per node; ", end="")
    print(f"a node and the platform: {single_node_bytes / 1000:.2f} KB/s")
    header = [f"{row['vms']} VMs, {row['pools']} pools" for row in rows]
    print("| figure | " + " | ".join(header) + " | at 0 VMs | per 100 VMs |")
    print("|---|" + "---|" * (len(rows) + 2))
    for key, title in COLUMNS:
        base, increase = fit_line(rows, key)
        cells = " | ".join(f"{row[key]:.2f}" for row in rows)
        print(f"| {title} | {cells} | {base:.2f} | {increase:.3f} |")


if __name__ == "__main__":
    main()
