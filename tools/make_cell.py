#!/usr/bin/env python3
"""Writes the files of a loopback cell: VM list, settings of six entries and a
configuration, at a share of DCDV Verdes' sizes."""
import json
import pathlib
import sys

DCS = ["quetzaltenango", "totonicapan", "solola"]
ENTRIES = 6


def vm(name, pool, rack, dc, cores, gigabytes, accelerators, worker_port):
    return {"name": name, "address": f"127.0.0.1:{worker_port}/w/{name}",
            "rack": rack, "dc": dc, "role": "worker", "labels": {"pool": pool},
            "capacity": {"cpu": cores * 1000, "memory": gigabytes * 1024,
                         "accelerators": accelerators}}


def workers(scale, port):
    vms = []
    pools = [("planning", 35, 16, 32, 0, 5), ("imagery", 13, 64, 256, 8, 3)]
    for pool, full, cores, gigabytes, accelerators, per_rack in pools:
        for i in range(max(3, round(full * scale))):
            rack_number = i // per_rack
            dc = DCS[rack_number % len(DCS)]
            vms.append(vm(f"{pool}-{i}", pool, f"{pool}-rack-{rack_number}",
                          dc, cores, gigabytes, accelerators, port))
    return vms


def config(scale):
    def service(pool, full, cpu, memory, accelerators, long_share):
        return {"instances": max(2, round(full * scale)), "slots": 8,
                "size": {"cpu": cpu, "memory": memory,
                         "accelerators": accelerators},
                "long_after_ms": 1000, "long_share": long_share}
    return {
        "policies": {"spread": {"placement": "spread"},
                     "pack": {"placement": "pack"}},
        "selectors": {
            "imagery-service": {"work": {"kind": "service", "name": "imagery"},
                                "vms": {"pool": "imagery"}, "policy": "spread"},
            "planning-service": {"work": {"kind": "service",
                                          "name": "planning"},
                                 "vms": {"pool": "planning"},
                                 "policy": "spread"},
            "batch": {"work": {"kind": ["batch", "gang"]}, "policy": "pack"}},
        "services": {"planning": service("planning", 35, 8000, 8192, 0, 0.25),
                     "imagery": service("imagery", 13, 16000, 65536, 2, 0.5)},
        "quotas": {"mowing": {"cpu": 200000, "memory": 800000,
                              "accelerators": 40}}}


def main():
    folder, scale, base = pathlib.Path(sys.argv[1]), float(sys.argv[2]), int(sys.argv[3])
    folder.mkdir(parents=True, exist_ok=True)
    log, vms, worker = base, base + 1, base + 2
    entries = []
    for i in range(ENTRIES):
        entry = {"name": f"e{i + 1}", "address": f"127.0.0.1:{base + 30 + i}",
                 "rack": "entry", "dc": DCS[i % len(DCS)], "role": "entry"}
        entries.append(entry)
        settings = {"name": entry["name"], "data_center": entry["dc"],
                    "caller_address": f"127.0.0.1:{base + 20 + i}",
                    "peer_address": entry["address"],
                    "log_url": f"http://127.0.0.1:{log}",
                    "vm_list_url": f"http://127.0.0.1:{vms}",
                    "log_retention": "1h"}
        text = "".join(f"{key}: {value}\n" for key, value in settings.items())
        (folder / f"{entry['name']}.yaml").write_text(text)
    listed = {"version": 1, "vms": entries + workers(scale, worker)}
    (folder / "vms.json").write_text(json.dumps(listed, indent=1))
    (folder / "config.json").write_text(json.dumps(config(scale), indent=1))


main()
