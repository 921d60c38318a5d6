"""cedarthread: the decisions of a gateway for functions that workers load on demand."""
