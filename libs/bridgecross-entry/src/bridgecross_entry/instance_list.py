"""The entry instances that are listed in the platform's log."""

from typing import NamedTuple

from bridgecross_core import codec as codecs
from bridgecross_entry import model


class ListedInstance(NamedTuple):
    """What an instance publishes about itself."""

    name: str
    # Whether its machine is too weak to lead many others.
    is_weak: bool
    # The failure domain that it runs in; empty if it published none.
    failure_domain: str = ""


INSTANCES = codecs.Codec(ListedInstance)
"""Encodes the records of instances."""


class InstanceList:
    """The listed instances, by address, failure domain and name."""

    def __init__(self) -> None:
        """Starts without instances."""
        # The peer addresses of all instances, and those of weak machines.
        self.addresses: set[model.Address] = set()
        self.weak: set[model.Address] = set()
        # The others, by failure domain. A tuple is replaced when an instance is
        # added or removed.
        self._strong: dict[str, tuple[model.Address, ...]] = {}
        # The addresses of instances by name; those of removed ones are kept
        # until the list is read anew.
        self._address_of_name: dict[str, model.Address] = {}
        self._domain_of: dict[model.Address, str] = {}

    def clear(self) -> None:
        """Removes all instances."""
        self.addresses.clear()
        self.weak.clear()
        self._strong.clear()
        self._address_of_name.clear()
        self._domain_of.clear()

    def add(
        self, address: model.Address, listed: ListedInstance | None
    ) -> None:
        """Adds an instance.

        Args:
            address: Its peer address.
            listed: What it published; None if that is invalid.
        """
        self._set_strong(address, None)
        self.addresses.add(address)
        if listed is not None:
            self._address_of_name[listed.name] = address
            self._domain_of[address] = listed.failure_domain
        if listed is not None and listed.is_weak:
            self.weak.add(address)
            return
        self.weak.discard(address)
        if listed is not None and listed.failure_domain:
            self._set_strong(address, listed.failure_domain)

    def remove(self, address: model.Address) -> None:
        """Removes an instance."""
        self._set_strong(address, None)
        self.addresses.discard(address)

    def find(self, name: str) -> model.Address | None:
        """Returns the address of an instance; None if it is not listed."""
        address = self._address_of_name.get(name)
        return address if address in self.addresses else None

    def domain_of(self, address: model.Address) -> str:
        """Returns the failure domain of an instance; empty if unknown."""
        return self._domain_of.get(address, "")

    def list_strong(self, domain: str) -> tuple[model.Address, ...]:
        """Returns the instances of a failure domain that are not weak.

        Returns the same object until one of them is added or removed.
        """
        return self._strong.get(domain, ())

    def _set_strong(self, address: model.Address, domain: str | None) -> None:
        """Stores a strong instance's failure domain; None removes it."""
        for known, addresses in self._strong.items():
            if address in addresses and known != domain:
                kept = tuple(each for each in addresses if each != address)
                self._strong[known] = kept
        if domain is not None:
            others = self._strong.get(domain, ())
            if address not in others:
                self._strong[domain] = (*others, address)
