# Stand-ins of the platform and the load tool.
