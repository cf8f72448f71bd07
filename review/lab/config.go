package lab

import (
	"encoding/json"
	"time"
)

// Hosts, paths and keys of the deployment's configuration.
const (
	Host       = "hulo84.example"
	PathLookup = "/lookup/"
	PathRecord = "/record/"
	Key        = "key-one"
)

// Config returns a desired state with an idempotent route to the service quota and a
// non-idempotent one to the service landings.
func Config(version int, rate, burst float64) []byte {
	return ConfigOf(version, "pulo780", rate, burst)
}

// ConfigOf is Config with another name of the tenant.
func ConfigOf(version int, tenant string, rate, burst float64) []byte {
	return config(version, tenant, rate, burst, "quota")
}

// MovedConfig is Config with the idempotent route moved to another service.
func MovedConfig(version int, service string) []byte {
	return config(version, "pulo780", 0, 0, service)
}

func config(version int, tenant string, rate, burst float64, lookup string) []byte {
	data, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "r-lookup", "host": Host, "path_prefix": PathLookup, "kind": "idempotent", "timeout_ms": 1500, "target_latency_ms": 1200, "priority": 2, "service": lookup, "max_attempts": 2, "public": false},
			{"name": "r-record", "host": Host, "path_prefix": PathRecord, "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 1000, "priority": 0, "service": "landings", "max_attempts": 2, "public": false},
		},
		"services": []map[string]any{
			{"name": "quota", "health_path": "/health", "max_conns": 694, "protocol": "h1", "tls": false},
			{"name": "landings", "health_path": "/health", "max_conns": 694, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": tenant, "api_keys": []string{Key}, "priority": 1, "rate_per_s": rate, "burst": burst}},
	})
	return data
}

// RecordRequest is a request that must not run twice, of the service landings.
func RecordRequest() Request {
	return Request{Method: "POST", Host: Host, Path: PathRecord + "1", Key: Key, Body: []byte("landing"), Deadline: 3 * time.Second}
}

// LookupRequest is an idempotent request, of the service quota.
func LookupRequest() Request {
	return Request{Method: "GET", Host: Host, Path: PathLookup + "1", Key: Key, Deadline: 3 * time.Second}
}
