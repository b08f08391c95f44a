package lease

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// Guards against a lease object that makes a candidate panic or take over a lease
// that may not have expired, for example because its TTL is missing, negative or
// overflows a time.Duration.
func FuzzLease(f *testing.F) {
	for _, seed := range []string{
		`{"holder":"a","acquisition":"x","beat":1,"ttl_ms":10000}`, `{"holder":"a","released":true}`,
		`{"holder":"a","acquisition":"x","ttl_ms":0}`, `{"holder":"a","ttl_ms":-1}`,
		`{"ttl_ms":9223372036854775807}`, `{"ttl_ms":9300000000000}`, `null`, `{}`, `[]`, `{"ttl_ms":"1s"}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if !json.Valid(data) {
			return
		}
		var v record
		ok := json.Unmarshal(data, &v) == nil
		store, clock := newStore(), clockwork.NewFakeClock()
		_, err := store.Create(context.Background(), kindLease, "z", json.RawMessage(data))
		require.NoError(t, err)
		h := New(Options{Store: store, Name: "z", Host: "b", Clock: clock, Logger: zerolog.Nop()})
		for range 2 {
			_ = h.Step(context.Background())
			_, held := h.Grant()
			require.Equal(t, ok && v.Released, held)
			clock.Advance(defaultTTL - 1)
		}
	})
}
