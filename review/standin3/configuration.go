package main

// route is one route of the operator's configuration.
type route struct {
	name, host, prefix, service string
	idempotent                  bool
	timeoutMs                   int
}

// configuration returns the operator's configuration as the pages spell it.
func configuration(version int, services []string, routes ...route) map[string]any {
	listed := []map[string]any{}
	for _, r := range routes {
		kind := "non_idempotent"
		if r.idempotent {
			kind = "idempotent"
		}
		listed = append(listed, map[string]any{
			"name": r.name, "host": r.host, "prefix": r.prefix, "service": r.service, wire("routeType"): kind,
			"timeout_ms": r.timeoutMs, wire("goal"): 250, "max_attempts": 3, "priority": 0,
		})
	}
	declared := []map[string]any{}
	for _, name := range services {
		declared = append(declared, map[string]any{"name": name, "health_path": "/health", "max_conns": 110, "warmup_s": 0, "cold_per_s": 0})
	}
	return map[string]any{
		"version": version, "routes": listed, "services": declared,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
	}
}
