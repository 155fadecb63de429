"""The entry: routes callers' requests to workers and answers for their outcomes."""
