package bundle

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func sampleDocument(t testing.TB) []byte {
	t.Helper()
	data, err := os.ReadFile("../../examples/caceres/bundle.json")
	require.NoError(t, err)
	return data
}

// Guards against sample bundles that an operator could not roll out.
func TestSamplesAreValid(t *testing.T) {
	paths, err := filepath.Glob("../../examples/*/bundle.json")
	require.NoError(t, err)
	require.Len(t, paths, 3)
	for _, path := range paths {
		data, err := os.ReadFile(path)
		require.NoError(t, err)
		_, err = Parse(data)
		require.NoError(t, err, path)
	}
}

// Guards against two documents with one meaning having two hashes, and against
// the canonical form not being a fixed point.
func TestCanonicalForm(t *testing.T) {
	first, err := Parse(sampleDocument(t))
	require.NoError(t, err)
	content, hash, err := first.Canonical()
	require.NoError(t, err)
	second, err := Parse(content)
	require.NoError(t, err)
	again, hashAgain, err := second.Canonical()
	require.NoError(t, err)
	require.Equal(t, string(content), string(again))
	require.Equal(t, hash, hashAgain)
	require.Equal(t, hash, Hash(content))
}

// change sets a field of the sample, given by path, to a JSON value.
func change(t *testing.T, path, value string) []byte {
	t.Helper()
	var document any
	require.NoError(t, json.Unmarshal(sampleDocument(t), &document))
	var replacement any
	require.NoError(t, json.Unmarshal([]byte(value), &replacement))
	steps := strings.Split(path, ".")
	node := document
	for i, step := range steps {
		last := i == len(steps)-1
		switch n := node.(type) {
		case map[string]any:
			if last {
				n[step] = replacement
			}
			node = n[step]
		case []any:
			index := int(step[0] - '0')
			if last {
				n[index] = replacement
			}
			node = n[index]
		}
	}
	out, err := json.Marshal(document)
	require.NoError(t, err)
	return out
}

// Guards against bundles that contradict themselves being accepted, or refused
// without the field's path.
func TestInvalidBundles(t *testing.T) {
	cases := []struct{ path, value, want string }{
		{"format", `2`, "format: is 2, this version reads 1"},
		{"classes", `[]`, "classes: must have at least one class"},
		{"classes.0.name", `"Quote"`, `classes[0].name: "Quote" may only have the characters a-z, 0-9, '-', '_' and '.'`},
		{"classes.1.name", `"quote"`, `classes[1].name: "quote" appears twice`},
		{"classes.0.tier", `5`, "classes[0].tier: is 5, must be 1 to 4"},
		{"classes.0.deadline", `"100ms"`, "classes[0].deadline: is shorter than the class's latency target"},
		{"classes.0.share", `0.45`, "classes: the shares add up to 0.65, at most 0.50 is allowed"},
		{"classes.0.preemptible", `true`, "classes[0].preemptible: a class of tier 1 cannot be preempted"},
		{"classes.0.retry_budget", `2`, "classes[0].retry_budget: is 2, must be 0 to 1"},
		{"teams.0.key_hashes.0", `"abc"`, "teams[0].key_hashes[0]: must be a SHA-256 in lower-case hex"},
		{"teams.0.classes.0", `"gold"`, `teams[0].classes[0]: no class is named "gold"`},
		{"teams.0.tokens_per_second", `0`, "teams[0].tokens_per_second: must be positive"},
		{"upstreams.0.kind", `"queue"`, `upstreams[0].kind: is "queue", must be "engine" or "service"`},
		{"upstreams.0.models", `[]`, "upstreams[0].models: an engine must serve at least one model"},
		{"upstreams.1.resumable", `true`, "upstreams[1]: resumable and checks_fencing apply to engines only"},
		{"upstreams.0.replicas.0.address", `"engine:80"`, `upstreams[0].replicas[0].address: "engine:80" is not an IP address with a port`},
		{"routes.0.upstream", `"models"`, `routes[0].upstream: "models" is not a service`},
		{"routes.0.path_prefix", `"stock"`, "routes[0].path_prefix: must begin with a slash"},
		{"upstreams.0.replicas.0.role", `"draft"`, `upstreams[0].replicas[0].role: is "draft", must be one of mixed, prefill, decode`},
		{"upstreams.0.replicas.0.pinned_models", `["none"]`, `upstreams[0].replicas[0].pinned_models[0]: "none" is no model of the upstream`},
		{"limits", `{"max_body_bytes":-1}`, "limits.max_body_bytes: must not be negative"},
	}
	for _, c := range cases {
		t.Run(c.path, func(t *testing.T) {
			_, err := Parse(change(t, c.path, c.value))
			require.EqualError(t, err, c.want)
		})
	}
}

// Guards against one key naming two teams.
func TestKeysAreUnique(t *testing.T) {
	hash, err := json.Marshal(HashKey("workshops-key"))
	require.NoError(t, err)
	_, err = Parse(change(t, "teams.0.key_hashes.0", string(hash)))
	require.EqualError(t, err, "teams[1].key_hashes[0]: is also a key of teams[0]")
}

// Guards against a call being routed by a prefix that is not whole segments, or
// by a shorter prefix than another that matches; a wrong route could make a
// non-repeatable call repeatable.
func TestRoutes(t *testing.T) {
	b, err := Parse(sampleDocument(t))
	require.NoError(t, err)
	b.Routes = append(b.Routes, Route{Upstream: "warehouse", Method: "POST", PathPrefix: "/orders/quotes", Repeatable: true, Timeout: 1})
	s := Compile(b, 1, "")
	route, ok := s.Route("warehouse", "POST", "/orders/7")
	require.True(t, ok)
	require.False(t, route.Repeatable)
	route, ok = s.Route("warehouse", "POST", "/orders/quotes/7")
	require.True(t, ok)
	require.True(t, route.Repeatable)
	for _, path := range []string{"/orders-archive", "/order", "/"} {
		_, ok = s.Route("warehouse", "POST", path)
		require.False(t, ok, path)
	}
	_, ok = s.Route("warehouse", "GET", "/orders")
	require.False(t, ok)
}

// Guards against a snapshot that lets a team or an upstream serve a class that
// the bundle does not give it.
func TestSnapshot(t *testing.T) {
	b, err := Parse(sampleDocument(t))
	require.NoError(t, err)
	s := Compile(b, 7, "hash")
	team, index, ok := s.TeamByKey("workshops-key")
	require.True(t, ok)
	require.Equal(t, "workshops", team.Name)
	_, quote, ok := s.Class("quote")
	require.True(t, ok)
	require.False(t, s.TeamMayUse(index, quote))
	_, order, _ := s.Class("order")
	require.Empty(t, s.Engines("glue-13b", order))
	require.Len(t, s.Engines("glue-13b", quote), 1)
	_, _, ok = s.TeamByKey("no-such-key")
	require.False(t, ok)
}

func FuzzParse(f *testing.F) {
	f.Add(sampleDocument(f))
	f.Add([]byte(`{"format":1,"classes":[{"name":"a","tier":1}]}`))
	f.Add([]byte(`{"routes":[{}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := Parse(data)
		if err != nil {
			return
		}
		content, _, err := b.Canonical()
		if err != nil {
			t.Fatalf("a valid bundle has no canonical form: %v", err)
		}
		if _, err := Parse(content); err != nil {
			t.Fatalf("the canonical form is invalid: %v", err)
		}
		Compile(b, 1, "")
	})
}
