"""An entry instance, which passes requests of callers to backend servers.

* ``model``: an instance's view of the platform, decoded by an adapter.
* ``attempts``: requests, and the outcome of one attempt at a backend server.
* ``exchange``: HTTP/1.1 exchanges over persistent connections.
* ``routes``: maps host and path to a route, and a route to a service.
* ``servers``: a backend server and what this instance measured of it.
* ``server_registry``: the backend servers that this instance knows.
* ``notices``: what servers report about themselves in their answers.
* ``retry_budget``: limits retries over a sliding window, for all instances.
* ``dispatch``: handles a request from its arrival to its outcome.
* ``edge``: the listener towards callers.
* ``log``: the interface to the platform's log.
* ``cluster_state``: servers, configuration and key maps, read or relayed.
* ``leadership``: elects the instance that reads and coordinates for all.
* ``keymap``: which server owns which range of keys.
* ``load``, ``load_view``: the load of keys and servers, reported and summed.
* ``planner``: chooses which key ranges move.
* ``leases``: orders to servers about key ranges, and the leases on them.
* ``coordinator``: assigns the keys of a service to servers, on the leader.
* ``peers``: the messages between instances.
* ``journal``, ``metrics``: bounded structured logs, and metrics.
* ``listener``: HTTP listeners for callers and peers.
* ``caller_protocol``: connections of callers, which may pipeline requests.
* ``pipeline_order``: which of a connection's requests start, wait or end.
* ``pipeline_monitor``: metrics and log lines of pipelined connections.
* ``answer_bounds``: bounds what an exchange receives as an answer.
* ``memory_ledger``: counts the bytes held for callers and peers.
* ``memory_reservation``: reserves memory for a body that arrives in pieces.
* ``memory_gate``: reserves memory for the bodies of requests.
* ``send_buffers``: closes connections whose callers read too slowly.
* ``memory_limits``: assembles these parts if there is a memory limit.
* ``relay_choice``: which requests go to their server through a relay.
* ``relay_contacts``: checks whether the relays that are in use answer.
* ``relayed_requests``: sends requests through relays.
* ``crash_watch``: finds requests during which servers crashed.
* ``poison_broadcast``: shares those findings among the instances.
* ``cluster_tasks``: the background tasks of an instance for the cluster.
* ``tasks``: background tasks that are restarted after errors.
* ``follower``, ``feeds``, ``relaying``: reads topics, and relays them.
* ``server_list``: the platform's list of servers, and their runs.
* ``invalid_records``: counts and logs records that cannot be decoded.
* ``assembly``: builds an instance from its parts.
* ``runtime``: runs an instance with its listeners and signal handlers.
"""
