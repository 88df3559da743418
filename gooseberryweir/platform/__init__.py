"""The adapter to the users' platform: names, formats and calls.

Nothing here decides. Each module decodes what the platform says into types of
the project, or encodes the project's types in the platform's form:

- `settings`: the settings file of a process
- `records`: objects of the store
- `store`: calls to the store
- `headers`: headers and paths of callers, upstreams and look-ups
"""
