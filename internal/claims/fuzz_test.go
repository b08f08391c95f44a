package claims

import (
	"testing"

	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/objectstore"
)

// Guards against stored segments that make a writer panic, that are accepted although
// their format differs, or whose records name no claim.
func FuzzSegment(f *testing.F) {
	keyJSON := `"AAAAAAAAAAAAAAAAAAAAAA"`
	segmentStart := `{"format":1,"shards":8,"opened_unix_ms":1,"last_unix_ms":2,"records":[`
	for _, seed := range []string{
		segmentStart + `{"k":` + keyJSON + `,"c":"a.1","b":"AAAAAAAAAAA","h":"h"}]}`,
		segmentStart + `{"k":` + keyJSON + `,"c":"a.1"},{"k":` + keyJSON + `,"c":"a","o":"completed","s":200}]}`,
		segmentStart + `{"k":` + keyJSON + `,"c":"a.1"},{"k":` + keyJSON + `,"c":"a.1","o":"not-run"}],"sealed":true}`,
		segmentStart + `null]}`, segmentStart + `{"k":"AA"}]}`, segmentStart + `{"k":` + keyJSON + `,"c":"a.1","o":"later","s":4294967295}]}`,
		segmentStart, "null", "[]", `{"format":2}`,
	} {
		f.Add([]byte(seed), segmentName(0, 1))
	}
	f.Add([]byte("{}"), "00.x")
	f.Fuzz(func(t *testing.T, value []byte, name string) {
		number, err := segmentNumber(name)
		if err != nil {
			number = 0
		}
		l := &shardLog{index: newIndex()}
		if l.addSegment(&objectstore.Object{Name: name, Value: value}, number) != nil {
			return
		}
		require.Equal(t, segmentFormat, l.newest.Format)
		records, err := decodeRecords(l.newest.Records)
		require.NoError(t, err)
		for i := range records {
			require.NotEmpty(t, records[i].Claim)
			l.index.decide(&records[i])
			l.index.outcomeHasEffect(&records[i])
		}
		encoded, err := encodeRecords(records)
		require.NoError(t, err)
		decoded, err := decodeRecords(encoded)
		require.NoError(t, err)
		require.Equal(t, records, decoded)
		l.index.removeBelow(uint32(number) + 1)
	})
}
