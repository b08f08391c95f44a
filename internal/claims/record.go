package claims

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"heatherbarrow/internal/objectstore"
)

const (
	keyBytes      = 16
	bodyHashBytes = 8
	// segmentFormat is the version of the segment format. Increase it when the
	// meaning of stored segments changes.
	segmentFormat = 1
)

// key consists of the first 16 bytes of the SHA-256 hash that identifies a call.
type key [keyBytes]byte

// MarshalText implements encoding.TextMarshaler.
func (k key) MarshalText() ([]byte, error) { return encodeText(k[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *key) UnmarshalText(text []byte) error { return decodeText(k[:], text) }

// bodyHash consists of the first 8 bytes of the SHA-256 hash of a call's method, path
// and body.
type bodyHash [bodyHashBytes]byte

// MarshalText implements encoding.TextMarshaler.
func (b bodyHash) MarshalText() ([]byte, error) { return encodeText(b[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (b *bodyHash) UnmarshalText(text []byte) error { return decodeText(b[:], text) }

func encodeText(raw []byte) []byte {
	return base64.RawURLEncoding.AppendEncode(nil, raw)
}

func decodeText(out, text []byte) error {
	raw, err := base64.RawURLEncoding.DecodeString(string(text))
	if err != nil || len(raw) != len(out) {
		return eris.Errorf("%q is not the base64 of %d bytes", text, len(out))
	}
	copy(out, raw)
	return nil
}

// record is one entry of the log. It is a granted claim if Outcome is empty,
// otherwise the outcome of a claim.
type record struct {
	Key key `json:"k"`
	// Claim identifies one call of Claimer.Claim in the form ATTEMPT.NONCE. In an
	// outcome that a router reported it is the attempt without a nonce.
	Claim   string   `json:"c"`
	Body    bodyHash `json:"b,omitzero"`
	Host    string   `json:"h,omitempty"`
	Outcome string   `json:"o,omitempty"`
	Status  uint32   `json:"s,omitempty"`
}

const nonceSeparator = "."

// newClaimID returns an identifier for one call of Claim. A random nonce makes it
// different for each call, also when a router calls Claim twice for one attempt:
// releasing the first claim must not release the second.
func newClaimID(attempt string) string {
	return attempt + nonceSeparator + strconv.FormatUint(uint64(rand.Uint32()), 36)
}

// attemptOf returns the attempt of a claim identifier. An attempt is returned as is.
func attemptOf(claim string) string {
	if i := strings.LastIndex(claim, nonceSeparator); i >= 0 {
		return claim[:i]
	}
	return claim
}

// isClaimID reports whether text is a claim identifier, not an attempt.
func isClaimID(text string) bool { return strings.Contains(text, nonceSeparator) }

// segment is the value of one platform object of the log. Records are only added to
// a segment, and a sealed segment never changes.
type segment struct {
	Format       int   `json:"format"`
	Shards       int   `json:"shards"`
	OpenedUnixMS int64 `json:"opened_unix_ms"`
	LastUnixMS   int64 `json:"last_unix_ms"` // time of the newest record by the clock of its writer
	Sealed       bool  `json:"sealed,omitempty"`
	// Records stay encoded, because each write sends all records of the segment
	// again and a reader decodes only those that were added since its last read.
	Records []json.RawMessage `json:"records"`
}

func encodeRecords(records []record) ([]json.RawMessage, error) {
	out := make([]json.RawMessage, len(records))
	for i := range records {
		encoded, err := json.Marshal(&records[i])
		if err != nil {
			return nil, eris.Wrap(err, "encode claim record")
		}
		out[i] = encoded
	}
	return out, nil
}

func decodeRecords(encoded []json.RawMessage) ([]record, error) {
	out := make([]record, len(encoded))
	for i := range encoded {
		if err := json.Unmarshal(encoded[i], &out[i]); err != nil {
			return nil, eris.Wrapf(errFormat, "claim record: %v", err)
		}
		// A JSON null decodes without an error and would be applied as a claim on
		// the zero key.
		if out[i].Claim == "" {
			return nil, eris.Wrap(errFormat, "claim record names no claim")
		}
	}
	return out, nil
}

func decodeSegment(o *objectstore.Object) (*segment, error) {
	var s segment
	if err := json.Unmarshal(o.Value, &s); err != nil {
		return nil, eris.Wrapf(errFormat, "%s: %v", o.Name, err)
	}
	if s.Format != segmentFormat || s.Shards != ShardCount {
		return nil, eris.Wrap(errFormat, o.Name)
	}
	return &s, nil
}

// segmentName returns the object name of a segment. The names of a shard's segments
// sort by number.
func segmentName(shard int, number uint64) string {
	return fmt.Sprintf("%s%010d", segmentPrefix(shard), number)
}

func segmentPrefix(shard int) string { return fmt.Sprintf("%02d.", shard) }

func segmentNumber(name string) (uint64, error) {
	_, digits, _ := strings.Cut(name, ".")
	n, err := strconv.ParseUint(digits, 10, 64)
	return n, eris.Wrapf(err, "claim segment %q", name)
}
