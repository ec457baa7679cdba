package main

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/oleanderspar/oleanderspar/platform/sparfake"
)

// route is a route of the operator's configuration with all fields that the pages name.
type route struct {
	Name     string `json:"name"`
	Host     string `json:"host"`
	Prefix   string `json:"prefix"`
	Kind     string `json:"type"`
	Timeout  int    `json:"timeout_ms"`
	Target   int    `json:"target_latency_ms"`
	Priority int    `json:"priority"`
	Service  string `json:"service"`
	Attempts int    `json:"attempts"`
}

// configuration returns the operator's configuration.
func configuration(version uint64, routes []sparfake.Route) []byte {
	list := make([]route, len(routes))
	for i, r := range routes {
		host, port, _ := strings.Cut(r.At.String(), ":")
		list[i] = route{
			Name: fmt.Sprintf("r-%07x", i), Host: host, Prefix: "/" + port + "/", Kind: "idempotent",
			Timeout: 600, Target: 120, Priority: 2, Service: r.Service, Attempts: 2,
		}
		if r.Once {
			list[i].Kind = "non_idempotent"
		}
	}
	var services []map[string]any
	for _, name := range []string{"booking", "sheets"} {
		services = append(services, map[string]any{"name": name, "health_path": "/healthz", "max_connections": 2000, "protocol": "h1", "tls": false})
	}
	text, err := json.Marshal(map[string]any{
		"version": version, "routes": list, "services": services,
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err) // plain values always encode
	}
	return text
}
