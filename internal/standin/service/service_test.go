package service

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a lost answer or a refusal that counts effects wrongly.
func TestEffectsAreCountedByKey(t *testing.T) {
	s := New()
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	post := func(key string) (*http.Response, error) {
		request, err := http.NewRequest(http.MethodPost, server.URL+"/orders", strings.NewReader("{}"))
		require.NoError(t, err)
		request.Header.Set("Idempotency-Key", key)
		return http.DefaultClient.Do(request)
	}
	response, err := post("a")
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	s.SetFaults(Faults{LoseAnswers: 1})
	_, err = post("a")
	require.Error(t, err)
	require.Equal(t, 2, s.Effects()["a"])
	s.SetFaults(Faults{Refuse: true})
	response, err = post("b")
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, "not-run", response.Header.Get("Heatherbarrow-Outcome"))
	require.Zero(t, s.Effects()["b"])
}

// Guards against answers that do not state the process, or state that of an earlier start.
func TestAnswersStateTheProcess(t *testing.T) {
	var boots []string
	for range 2 {
		server := httptest.NewServer(New().Handler())
		defer server.Close()
		answer, err := http.Get(server.URL + "/stock")
		require.NoError(t, err)
		require.NoError(t, answer.Body.Close())
		process, err := http.Head(server.URL + "/heatherbarrow/boot")
		require.NoError(t, err)
		require.NoError(t, process.Body.Close())
		require.Equal(t, http.StatusOK, process.StatusCode)
		require.Equal(t, answer.Header.Get("Heatherbarrow-Boot"), process.Header.Get("Heatherbarrow-Boot"))
		boots = append(boots, process.Header.Get("Heatherbarrow-Boot"))
	}
	require.NotEmpty(t, boots[0])
	require.NotEqual(t, boots[0], boots[1])
}
