package main

// routeSpec is a route of a configuration.
func routeSpec(name, prefix, kind, service string, timeoutMS, objectiveMS, attempts int) map[string]any {
	return map[string]any{
		"name": name, "hostname": "shop.example", "path_prefix": prefix, "route_kind": kind, "timeout_ms": timeoutMS, "slo_ms": objectiveMS,
		"priority": 1, "service": service, "max_attempts": attempts, "anonymous": false, "session_affinity": false, "stream_resume": false, "gap_target_ms": 180,
	}
}

// configSpec is a configuration with the keys of one tenant each.
func configSpec(version int, routes []map[string]any, services []map[string]any, keys map[string][]string) map[string]any {
	tenants := []any{}
	for name, held := range keys {
		tenants = append(tenants, map[string]any{"name": name, "api_keys": held})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 10000},
	}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_connections": 252}
}
