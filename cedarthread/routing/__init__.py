"""Routing decisions of one router: worker selection, admission, retries, preloading, and their estimators.

The code refers to the operators' rules by number:

1. Each request gets exactly one final answer, by its deadline.
2. A request is executed again only as its class permits (idempotency, or a key within its scope and window).
3. A draining worker gets no new call or preload.
4. A worker in slow start gets no more calls, from all routers together, than a multiple of its capacity.
5. The preloads in a window are limited to an allowance plus a fraction of the requests in that window.
"""
