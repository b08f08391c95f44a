package router

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// chatWith sends a chat with the given messages before its own.
func (h *host) chatWith(t *testing.T, last string, before ...string) (*http.Response, string) {
	var messages []string
	for _, text := range append(before, last) {
		messages = append(messages, fmt.Sprintf(`{"role":"user","content":%q}`, text))
	}
	body := `{"model":"m","messages":[` + strings.Join(messages, ",") + `]}`
	return h.send(t, h.request(t, context.Background(), http.MethodPost, "/v1/chat/completions", body))
}

// Guards against chats that share one message, differ in all else, and crash one engine after the other:
// they are refused after a few crashes, other chats with the same first message are served.
func TestMessageThatCrashesEnginesIsRefused(t *testing.T) {
	const poison = "POISON"
	h := newHost(t, hostOptions{})
	crashes := 0
	h.play(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if strings.Contains(string(body), poison) {
			crashes++
			breakAfter(1)(w, r)
		}
		whole(w, r)
	})
	refused := false
	for i := 0; i < 40 && !refused; i++ {
		response, _ := h.chatWith(t, fmt.Sprintf("poisoned %d", i), "system", poison, fmt.Sprintf("session %d", i))
		refused = response.StatusCode == http.StatusUnprocessableEntity
		time.Sleep(150 * time.Millisecond)
		_, _ = h.chatWith(t, fmt.Sprintf("sound %d", i), "system", fmt.Sprintf("other %d", i))
	}
	require.True(t, refused, "%d crashes", crashes)
	before := crashes
	for i := range 10 {
		response, body := h.chatWith(t, fmt.Sprintf("later %d", i), fmt.Sprintf("another %d", i), poison)
		assert.Equal(t, http.StatusUnprocessableEntity, response.StatusCode)
		assert.Contains(t, body, "quarantined_part")
		assert.NotEmpty(t, response.Header.Get("Retry-After"))
	}
	assert.Equal(t, before, crashes)
	require.Eventually(t, func() bool {
		response, _ := h.chatWith(t, "sound", "system", "other")
		return response.StatusCode == http.StatusOK
	}, patience, 50*time.Millisecond, "the engines are used again")
	response, _ := h.chatWith(t, poison)
	assert.NotEqual(t, http.StatusUnprocessableEntity, response.StatusCode, "the last message belongs to the chat alone")
}
