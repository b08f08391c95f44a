package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"heatherbarrow/platform"
)

// invalidPrefix is a route of documents that must not come into force.
const invalidPrefix = "/invalid/"

// invalidDocuments are ways to make a document invalid. It has the version that follows the last one, and a route that
// no valid one has.
var invalidDocuments = map[string]func(d map[string]any, last int64){
	"no version":            func(d map[string]any, _ int64) { delete(d, "version") },
	"no routes":             func(d map[string]any, _ int64) { delete(d, "routes") },
	"routes are null":       func(d map[string]any, _ int64) { d["routes"] = nil },
	"routes are an object":  func(d map[string]any, _ int64) { d["routes"] = map[string]any{"a": 1} },
	"a route is a list":     func(d map[string]any, _ int64) { d["routes"] = append(d["routes"].([]any), []any{1}) },
	"version is text":       func(d map[string]any, last int64) { d["version"] = fmt.Sprint(last + 1) },
	"version is a fraction": func(d map[string]any, last int64) { d["version"] = float64(last) + 1.5 },
	"version is too large":  func(d map[string]any, _ int64) { d["version"] = json.RawMessage("9223372036854775808") },
	"version stays":         func(d map[string]any, last int64) { d["version"] = last },
	"version falls":         func(d map[string]any, last int64) { d["version"] = last - 1 },
	"version is zero":       func(d map[string]any, _ int64) { d["version"] = 0 },
	"version is negative":   func(d map[string]any, last int64) { d["version"] = -last },
	"timeout is text":       func(d map[string]any, _ int64) { lastRoute(d)["timeoutMs"] = "4000" },
	"timeout is too large":  func(d map[string]any, _ int64) { lastRoute(d)["timeoutMs"] = json.RawMessage("1e999") },
	"attempts are too many": func(d map[string]any, _ int64) { lastRoute(d)["maxAttempts"] = json.RawMessage("1e30") },
	"host is a number":      func(d map[string]any, _ int64) { lastRoute(d)["host"] = 7 },
	"keys are text":         func(d map[string]any, _ int64) { d["tenants"] = []any{map[string]any{"name": "a", "apiKeys": "key"}} },
	"limits are a list":     func(d map[string]any, _ int64) { d["limits"] = []any{} },
	"nested deeply": func(d map[string]any, _ int64) {
		d["routes"] = json.RawMessage(strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000))
	},
}

func lastRoute(d map[string]any) map[string]any {
	routes := d["routes"].([]any)
	return routes[len(routes)-1].(map[string]any)
}

// invalidDocument returns an invalid document that follows a version.
func (rig *configRig) invalidDocument(last *configWrite, random *rand.Rand) (document any, name string) {
	text, _ := json.Marshal(rig.document(last))
	switch random.IntN(len(invalidDocuments) + 3) {
	case 0:
		return nil, "null"
	case 1:
		return string(text[:random.IntN(len(text))]), "truncated"
	case 2:
		return []any{json.RawMessage(text)}, "in a list"
	}
	next := configWrite{version: last.version + 1, routes: maps.Clone(last.routes), keys: last.keys}
	next.routes[invalidPrefix] = configRoute{"pool", 4 * time.Second}
	d := rig.document(&next)
	name = slices.Sorted(maps.Keys(invalidDocuments))[random.IntN(len(invalidDocuments))]
	invalidDocuments[name](d, last.version)
	return d, name
}

// writeInvalid writes invalid documents between valid ones until ctx ends. The last valid one is in force by then, as a
// list returns only the last document. A valid one follows before a host that was disturbed until now has to know it.
func (rig *configRig) writeInvalid(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
		rig.writing.Lock()
		last := rig.last()
		time.Sleep(max(0, testBounds.within+testBounds.late-time.Since(last.confirmed)))
		document, name := rig.invalidDocument(&last, random)
		rig.t.Logf("%s invalid document after version %d: %s", clock(time.Now()), last.version, name)
		rig.store.Put(platform.KindConfig, platform.NameConfig, document)
		rig.mu.Lock()
		rig.gone = append(rig.gone, invalidPrefix)
		rig.mu.Unlock()
		time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
		rig.writeNext(random, random.Int64N(6), random.IntN(6))
		rig.writing.Unlock()
	}
}
