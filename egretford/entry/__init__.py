"""The entry: routes callers' requests to workers and reports a verdict on failed ones."""
