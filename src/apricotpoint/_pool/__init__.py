"""Pool scheduling: entry processes lease backend servers and start tasks on them one by one."""
