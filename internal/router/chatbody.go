package router

import (
	"bytes"
	"encoding/json"
	"errors"

	"github.com/cespare/xxhash/v2"
)

const (
	// charactersPerToken is a coarse ratio used to estimate a prompt's length.
	charactersPerToken = 4
	// shortestPrefix is the length in bytes of the shortest prompt prefix that
	// engines cache; each further prefix is twice as long.
	shortestPrefix = 256
)

var (
	errNoModel    = errors.New("model must be given")
	errNoMessages = errors.New("messages must be given")
	errMaxTokens  = errors.New("max_tokens must not be negative")
	errChoices    = errors.New("n must be 1: several choices cannot be resumed")
)

// chatMessage is one message of the prompt.
type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// chatRequest is the part of a chat completion request that routing needs.
type chatRequest struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Choices   *int          `json:"n"`
}

func parseChatRequest(body []byte) (*chatRequest, error) {
	var request chatRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	switch {
	case request.Model == "":
		return nil, errNoModel
	case len(request.Messages) == 0:
		return nil, errNoMessages
	case request.MaxTokens < 0:
		return nil, errMaxTokens
	case request.Choices != nil && *request.Choices != 1:
		return nil, errChoices
	}
	return &request, nil
}

// prompt is what scheduling needs to know of a prompt.
type prompt struct {
	fingerprint uint64   // of model and messages
	parts       []uint64 // hashes of the messages but the last, which other chats may contain too
	prefixes    []uint64
	tokens      int
}

// summary hashes the prompt. The prefixes are those of the concatenated message
// contents at 256, 512, 1,024, ... bytes and at the whole length, as in the
// engines' cache events.
func (r *chatRequest) summary() prompt {
	identity := xxhash.New()
	_, _ = identity.WriteString(r.Model)
	separator := []byte{0}
	hasher := prefixHasher{digest: xxhash.New(), next: shortestPrefix}
	var parts []uint64
	for i := range r.Messages {
		content := r.Messages[i].text()
		if i < len(r.Messages)-1 && len(content) > 0 {
			parts = append(parts, xxhash.Sum64(content))
		}
		_, _ = identity.Write(separator)
		_, _ = identity.WriteString(r.Messages[i].Role)
		_, _ = identity.Write(separator)
		_, _ = identity.Write(content)
		hasher.add(content)
	}
	return prompt{
		fingerprint: identity.Sum64(),
		parts:       parts,
		prefixes:    hasher.finish(),
		tokens:      hasher.length/charactersPerToken + 1,
	}
}

// text returns a message's content: the text of a string, or else the JSON
// document, for example a list of parts.
func (m *chatMessage) text() []byte {
	raw := bytes.TrimSpace(m.Content)
	if len(raw) < 2 || raw[0] != '"' {
		return raw
	}
	if inner := raw[1 : len(raw)-1]; bytes.IndexByte(inner, '\\') < 0 {
		return inner
	}
	var text string
	if json.Unmarshal(raw, &text) != nil {
		return raw
	}
	return []byte(text)
}

// prefixHasher hashes the doubling prefixes of a text in one pass.
type prefixHasher struct {
	digest *xxhash.Digest
	length int
	next   int // length of the next prefix
	out    []uint64
}

func (h *prefixHasher) add(text []byte) {
	for len(text) > 0 {
		if h.length == h.next {
			h.out = append(h.out, h.digest.Sum64())
			h.next *= 2
		}
		n := min(len(text), h.next-h.length)
		_, _ = h.digest.Write(text[:n])
		h.length += n
		text = text[n:]
	}
}

func (h *prefixHasher) finish() []uint64 {
	if h.length > 0 {
		h.out = append(h.out, h.digest.Sum64())
	}
	return h.out
}
