package router

import (
	"encoding/json"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
)

// Guards against a body that makes the parser panic, and against prompt hashes
// that depend on how a JSON string is escaped: the text is the one that a full
// decoding gives.
func FuzzChatBody(f *testing.F) {
	for _, seed := range []string{
		chatBody("m", true), "{}", "null", "[]", `{"model":"m","messages":[{"role":"user","content":"\u00e9\n"}]}`,
		`{"model":"m","messages":[{"content":[{"type":"text","text":"x"}]}],"max_tokens":5}`, `{"model":"m","messages":[null]}`,
		`{"model":"m","messages":[{"content":"`, `{"model":"m","messages":[{"content":"a"}],"max_tokens":1e99}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		request, err := parseChatRequest(body)
		if err != nil {
			return
		}
		request.summary()
		for i := range request.Messages {
			var text string
			if json.Unmarshal(request.Messages[i].Content, &text) != nil || !utf8.Valid(body) {
				continue
			}
			if raw := string(request.Messages[i].Content); raw != "null" {
				require.Equal(t, text, string(request.Messages[i].text()))
			}
		}
	})
}

// Guards against prefix hashes that differ from those of the engines' cache events.
func TestPrefixHashes(t *testing.T) {
	text := strings.Repeat("0123456789", 60)
	body, err := json.Marshal(chatRequest{Model: "m", Messages: []chatMessage{
		{Role: "system", Content: json.RawMessage(`"` + text[:300] + `"`)}, {Role: "user", Content: json.RawMessage(`"` + text[300:] + `"`)},
	}})
	require.NoError(t, err)
	request, err := parseChatRequest(body)
	require.NoError(t, err)
	want := []uint64{xxhash.Sum64String(text[:256]), xxhash.Sum64String(text[:512]), xxhash.Sum64String(text)}
	require.Equal(t, want, request.summary().prefixes)
	require.Equal(t, 151, request.summary().tokens)
}
