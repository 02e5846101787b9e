"""Codecs of the messages between VMs. The package `peer` is generated from `peer.thrift`."""
