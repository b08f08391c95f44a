package router

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against chunks of an unusual shape that panic the merging, or that
// merge into a document which cannot be encoded.
func FuzzCompletion(f *testing.F) {
	for _, seed := range []string{
		`{"choices":[{"index":0,"delta":{"content":"a"}}]}` + "\n" + `{"choices":[{"index":0,"delta":{"content":"b"},"finish_reason":"stop"}]}`,
		`{"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"id":"c"}]}}]}` + "\n" + `{"choices":[{"index":0,"delta":{"tool_calls":"x"}}]}`,
		`{"choices":{"index":0}}` + "\n" + `{"choices":[1,null,{"index":{}},{"index":{},"delta":7}]}`,
		`{"usage":{"total_tokens":1}}` + "\n" + `{"usage":null,"choices":null}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, chunks []byte) {
		var c completion
		for chunk := range bytes.SplitSeq(chunks, []byte("\n")) {
			_ = c.add(chunk)
		}
		_, err := json.Marshal(c.document("id", "m", 1))
		require.NoError(t, err)
	})
}
