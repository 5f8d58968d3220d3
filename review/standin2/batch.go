package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/currantloft/currantloft/platform/fake"
)

// maxBodyBytes is max_body_bytes of the configuration that the pages show.
const maxBodyBytes = 33554432

// poolConfig returns a configuration with a route for batches and an engine pool, as the pages
// show it.
func poolConfig(models ...string) map[string]any {
	var list []map[string]any
	for _, m := range models {
		list = append(list, map[string]any{"name": m})
	}
	return map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "rollout", "hostname": hostname, "path_prefix": batchPath, "route_type": "rollout",
			"timeout_ms": 10000, "target_latency_ms": 400, "priority": 1, "max_attempts": 3, "max_queue_s": 40,
			"result_deadline_ms": 7500, "sticky": true, "resumable": true, "service": enginePool,
		}},
		"services": []map[string]any{{
			"name": enginePool, "health_path": "/healthz", "max_conns": 180,
			"engine": map[string]any{"slots": 16, "kv_capacity_tokens": 102355, "stride": 1, "models": list},
		}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	}
}

// engineOptions returns samplers whose streams have 60 events at the given interval.
func engineOptions(samplers int, interval time.Duration, models ...string) []fake.EngineOptions {
	var engines []fake.EngineOptions
	for i := range samplers {
		engines = append(engines, fake.EngineOptions{
			ID: fmt.Sprintf("i-%d", i), Service: enginePool, Models: models, Slots: 16, EventInterval: interval, LoadTime: time.Second,
		})
	}
	return engines
}

// batchBody returns a submission of items whose bodies have the given size.
func batchBody(id, model string, items, bodyBytes int) []byte {
	body := make([]byte, bodyBytes)
	for i := range body {
		body[i] = byte('a' + i%26)
	}
	text := base64.StdEncoding.EncodeToString(body)
	var list []map[string]any
	for i := range items {
		item := itemID(id, i)
		list = append(list, map[string]any{
			"id": item, "path": batchPath + item, "group": "g" + strconv.Itoa(i/4), "tokens": 80,
			"headers": map[string]string{"Model": model, "Token-Usage": "20,60", "Length-Hint": "60"}, "body": text,
		})
	}
	raw, err := json.Marshal(map[string]any{"step": 1, "model": model, "min_version": 1, "desired_count": items / 4, "items": list})
	if err != nil {
		panic(err)
	}
	return raw
}

func itemID(batch string, i int) string { return fmt.Sprintf("%s%s-%d", fake.LongPrefix, batch, i) }

// submit submits a batch to a machine and returns whether it was accepted.
func (s *site) submit(m *machine, id string, raw []byte) bool {
	start := time.Now()
	status, _ := s.call(http.MethodPost, m.address(callersPort), batchPath+id, map[string]string{"Attempt-Id": id}, raw)
	s.record.printf("batch %s of %d bytes to %s: status %d after %v", id, len(raw), m.name, status, time.Since(start).Round(time.Millisecond))
	return status == http.StatusAccepted
}
