"""An entry instance: between callers and backend servers of a platform.

* ``model``: what an instance believes, decoded by an adapter.
* ``attempts``: requests, and how one attempt at a backend server ends.
* ``exchange``: HTTP/1.1 exchanges over kept connections.
* ``routes``: host and path to route, route to service.
* ``servers``: backend servers with what this instance saw of them.
* ``notices``: what servers say of themselves in their answers.
* ``retry_budget``: retries over a sliding window, shared by all instances.
* ``dispatch``: the life of a request.
* ``edge``: the listener towards callers.
* ``log``: the platform's log, and how its topics are followed.
* ``cluster_state``: servers, configuration and key maps, read or told.
* ``leadership``: which instance reads and coordinates for all.
* ``keymap``: which server owns which range of keys.
* ``load``, ``load_view``: the load of keys and servers, told and summed up.
* ``planner``: chooses which ranges move.
* ``leases``: orders about ranges to servers, and how long they last.
* ``coordinator``: who owns which keys of a service, decided by one instance.
* ``peers``: what instances tell one another.
* ``journal``, ``metrics``: bounded structured logs, and figures.
* ``listener``: HTTP towards callers and peers.
* ``crash_watch``: finds out which requests servers ended under.
* ``poison_broadcast``: tells all instances of that.
* ``cluster_tasks``: what instances do for one another.
* ``tasks``: tasks of the background that outlive their faults.
* ``follower``, ``feeds``, ``relaying``: topics read, and told to others.
* ``server_list``: the platform's list of servers, and their runs.
* ``invalid_records``: records that make no sense.
* ``assembly``: puts the parts of an instance together.
* ``runtime``: runs them with listeners and signals.
"""
