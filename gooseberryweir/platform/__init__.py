"""Adapter to the platform that runs the hosts: names, data formats, API calls.

The modules only translate between the platform's formats and the types of this
project; they hold no routing or admission logic:

- `settings`: decodes the settings file of a process
- `records`: decodes the objects of the store
- `store`: HTTP client of the store
- `headers`: headers and paths of requests, responses and look-ups
- `units`: durations and version numbers
"""
