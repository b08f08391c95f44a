package netio

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a faulty store or host that sends an endless header or body and exhausts
// this host's memory.
func TestOversizedResponsesAreCutOff(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/short":
			_, _ = io.WriteString(w, "short")
		case "/head":
			w.Header().Set("Filler", strings.Repeat("a", 2*MaxHeaderBytes))
		default:
			for r.Context().Err() == nil {
				if _, err := io.WriteString(w, strings.Repeat("a", 4096)); err != nil {
					return
				}
			}
		}
	}))
	t.Cleanup(s.Close)
	const limit = 1 << 20
	transport := &http.Transport{MaxResponseHeaderBytes: MaxHeaderBytes}
	client := &http.Client{Transport: BoundBodies(transport, limit)}
	response, err := client.Get(s.URL + "/body")
	require.NoError(t, err)
	data, err := io.ReadAll(response.Body)
	require.NoError(t, response.Body.Close())
	assert.ErrorIs(t, err, ErrTooLarge)
	assert.Len(t, data, limit)
	_, err = client.Get(s.URL + "/head")
	assert.Error(t, err)
	response, err = client.Get(s.URL + "/short")
	require.NoError(t, err)
	data, err = io.ReadAll(response.Body)
	require.NoError(t, response.Body.Close())
	assert.NoError(t, err)
	assert.Equal(t, "short", string(data))
}
