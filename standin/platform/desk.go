package platform

import "fmt"

// SampleHostname is the HTTP host name of the routes of SampleConfiguration.
const SampleHostname = "desk.example"

// SampleConfiguration returns a configuration with a plain service "app" and an engine
// service "llm" for the model "m". The routes are /post/ (non-idempotent), /look/
// (idempotent), /ask/ (resumable stream), /audit/ (stream that is not resumable) and the
// public route /cfg/N/, which exists only in version N. The team "open" has the API key
// key-1, the isolated team "walled" has key-2.
func SampleConfiguration(version int) map[string]any {
	route := func(name, prefix, kind, service string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": SampleHostname, "path_prefix": prefix, "route_type": kind, "service": service,
			"timeout_ms": 5000, "target_latency_ms": 400, "priority": 1, "max_attempts": attempts, "resumable": resumable,
		}
	}
	versionRoute := route("cfg", fmt.Sprintf("/cfg/%d/", version), "idempotent", "app", 2, false)
	versionRoute["public"] = true
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			route("post", "/post/", "non_idempotent", "app", 2, false),
			route("look", "/look/", "idempotent", "app", 2, false),
			route("ask", "/ask/", "stream", "llm", 2, true),
			route("audit", "/audit/", "stream", "llm", 2, false),
			versionRoute,
		},
		"services": []map[string]any{
			{"name": "app", "max_connections": 100},
			{"name": "llm", "max_connections": 100, "engine": map[string]any{
				"slots": 8, "kv_capacity_tokens": 100000, "kv_token_bytes": 1000, "models": []map[string]any{{"name": "m"}},
			}},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "open", "api_keys": []string{"key-1"}}, {"name": "walled", "api_keys": []string{"key-2"}, "isolated": true}},
	}
}
