"""Adapter to the formats and APIs of the platform that runs the hosts.

The modules only translate between the platform's formats and the types of this
project; they hold no routing or admission logic:

- `settings`: decodes the settings file of a process
- `records`: decodes the objects of the store
- `store`: HTTP client of the platform's store of configuration, upstreams and
  hosts
- `headers`: decodes and encodes headers and look-ups (callers ask which hosts
  to use)
- `units`: parses and formats durations, and parses version numbers
"""
