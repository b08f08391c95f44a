package peers

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/gateway/netio"
)

// Guards against a configuration of thousands of routes that, sent uncompressed over the links
// of the two hosts that follow the store, does not reach all hosts in the time within which it must
// be in force.
func TestLargeConfigurationIsCompressed(t *testing.T) {
	var raw strings.Builder
	for i := range 3000 {
		_, _ = fmt.Fprintf(&raw, `{"name":"r-%x","host":"shop.example","pathPrefix":"/p%x/","routeKind":"idempotent","timeoutMs":4000,"service":"pool"},`, i*7919, i*104729)
	}
	var c configCache
	data, compressed, err := c.pack(7, []byte(raw.String()))
	require.NoError(t, err)
	assert.True(t, compressed)
	assert.Less(t, len(data), raw.Len()/5)
	got, err := unpackConfig(data, compressed)
	require.NoError(t, err)
	assert.Equal(t, raw.String(), string(got))
	again, _, err := c.pack(7, []byte(raw.String()))
	require.NoError(t, err)
	assert.Same(t, &data[0], &again[0], "the compressed form is cached")
	small, compressed, err := c.pack(8, []byte("{}"))
	require.NoError(t, err)
	assert.False(t, compressed)
	assert.Equal(t, "{}", string(small))
}

// Guards against a response of a peer that exhausts memory when it is decompressed.
func TestDecompressedConfigurationIsBounded(t *testing.T) {
	var bomb bytes.Buffer
	w := gzip.NewWriter(&bomb)
	for range maxPullBytes/(1<<20) + 1 {
		_, err := w.Write(make([]byte, 1<<20))
		require.NoError(t, err)
	}
	require.NoError(t, w.Close())
	_, err := unpackConfig(bomb.Bytes(), true)
	assert.ErrorIs(t, err, netio.ErrTooLarge)
	_, err = unpackConfig([]byte("garbled"), true)
	assert.Error(t, err)
}
