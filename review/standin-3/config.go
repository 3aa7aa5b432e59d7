package main

// route returns a route of the config.
func route(name, kind, service string, attempts int, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": "h.example", "path-prefix": "/" + name + "/", "kind": kind, "timeout-ms": 12000, "target-latency-ms": 1500,
		"priority": 1, "service": service, "max-attempts": attempts, "public": false, "sticky": false, "resumable": false,
	}
	for key, value := range more {
		r[key] = value
	}
	return r
}

// plainService and engineService return services of the config.
func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health-path": "/health", "max-connections": 110, "protocol": "h1", "tls": false}
}

func engineService(name string, slots int) map[string]any {
	return map[string]any{
		"name": name, "health-path": "/health", "max-connections": 370, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": slots, "kv-capacity": 674009, "kv-token-bytes": 327680, "bandwidth-mbps": 350000, "moves": true, "backups": true,
			"stride": 6, "most": 12, "pin-ms": 4000, "hold-ms": 2000, "handle-s": 5, "models": []map[string]any{{"name": "m"}},
		},
	}
}

// putConfig writes a version of the config, with the keys of the only tenant.
func (w *world) putConfig(version int, routes, services []map[string]any, keys ...string) {
	w.store.put("op", "config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []map[string]any{{"name": "team", "api-keys": keys}},
	})
	w.note("config %d is confirmed", version)
}
