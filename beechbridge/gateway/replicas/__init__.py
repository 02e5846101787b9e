"""Replicas: state from the store, selection and connections. Start at `store_updates`."""
