package settings

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type listener struct {
	Address string   `json:"address"`
	Timeout Duration `json:"timeout"`
}

type sample struct {
	Host      string         `json:"host"`
	Listeners []listener     `json:"listeners"`
	Weights   map[string]int `json:"weights"`
	Limit     uint16         `json:"limit"`
	TLS       *listener      `json:"tls"`
}

func (s *sample) Validate() error {
	if s.Host == "" {
		return Errorf("host", "must not be empty")
	}
	return nil
}

// Guards against settings that a person mistyped being accepted or reported
// without the field's path.
func TestDecodeReportsTheFieldsPath(t *testing.T) {
	cases := []struct{ name, document, want string }{
		{"unknown field", `{"hots":"a"}`, "hots: unknown field"},
		{"nested unknown field", `{"listeners":[{"address":"a"},{"adress":"b"}]}`, "listeners[1].adress: unknown field"},
		{"wrong type", `{"listeners":[{"address":5}]}`, "listeners[0].address: value 5 is not a string"},
		{"object for array", `{"listeners":{}}`, "listeners: value is an object, want an array"},
		{"bad duration", `{"tls":{"timeout":"5 parsecs"}}`, `tls.timeout: "5 parsecs" is not a duration such as "250ms"`},
		{"duration as number", `{"tls":{"timeout":5}}`, `tls.timeout: a duration is a string such as "250ms"`},
		{"out of range", `{"limit":70000}`, "limit: value 70000 is not a whole number in range"},
		{"map value", `{"weights":{"ate":"x"}}`, `weights.ate: value "x" is not a whole number in range`},
		{"repeated field", `{"host":"a","host":"b"}`, "host: field appears twice"},
		{"null", `{"host":null}`, "host: null is not allowed; leave the field out"},
		{"trailing data", `{"host":"a"} {}`, "data follows the JSON document"},
		{"truncated", `{"host":"a"`, "the JSON document ends early"},
		{"other case of a name", `{"Host":"a"}`, "Host: unknown field"},
		{"validation", `{}`, "host: must not be empty"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.EqualError(t, Decode([]byte(c.document), &sample{}), c.want)
		})
	}
}

func TestDecodeFillsTheTarget(t *testing.T) {
	var s sample
	require.NoError(t, Decode([]byte(`{"host":"a","weights":{"ate":2},"tls":{"timeout":"1.5s"}}`), &s))
	require.Equal(t, 1500*time.Millisecond, s.TLS.Timeout.Std())
	require.Equal(t, 2, s.Weights["ate"])
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"host":"a","listeners":[{"address":"x","timeout":"1s"}]}`))
	f.Add([]byte(`{"weights":{"a":1},"limit":3}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var s sample
		if err := Decode(data, &s); err == nil && s.Host == "" {
			t.Fatal("validation was skipped")
		}
	})
}
