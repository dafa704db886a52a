package main

const host = "desk.example"

// route returns a route of the configuration.
func route(name, kind, service string, fields map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "hostname": host, "path_prefix": "/" + name + "/", "route_kind": kind, "timeout_ms": 3000, "slo_ms": 300,
		"priority": 2, "service": service, "max_attempts": 1, "anonymous": false, "session_affinity": false, "stream_resume": false,
	}
	for field, value := range fields {
		r[field] = value
	}
	return r
}

// plainService and engineService return services of the configuration.
func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false}
}

func engineService(name string, capacity int) map[string]any {
	s := plainService(name)
	s["max_connections"] = 252
	s["engine"] = map[string]any{
		"slots": 24, "kv_capacity": capacity, "kv_bytes": 163840, "link_mbps": 24000.0, "moves": true, "backups": true, "stride": 4, "most": 12,
		"pin_ms": 4000.0, "hold_ms": 2000.0, "handle_ttl_s": 5.0, "models": []any{map[string]any{"name": "m"}},
	}
	return s
}

// configuration returns a version of the configuration.
func configuration(version int, keys []string, services []any, routes ...any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "acme", "api_keys": keys, "priority": 1}},
	}
}
