package gateway

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/gateway/origin"
	"heatherbarrow/internal/scheduling/poisonpart"
)

// Guards against objects in the store that hosts of the build of b6fae82 have written and that are read as something else
// since, or that such hosts cannot read: they do so while a deployment is upgraded, or goes back.
func TestStoredObjectsOfEarlierBuild(t *testing.T) {
	written := func(record any, earlier string) {
		t.Helper()
		data, err := json.Marshal(record)
		require.NoError(t, err)
		assert.JSONEq(t, earlier, string(data))
	}
	read := func(earlier string, record any) {
		t.Helper()
		require.NoError(t, json.Unmarshal([]byte(earlier), record))
	}

	host, hostText := hostRecord{PeerAddress: "10.1.0.1:8748", AvailabilityZone: "a"}, `{"peer_address":"10.1.0.1:8748","availability_zone":"a"}`
	written(host, hostText)
	var hostRead hostRecord
	read(hostText, &hostRead)
	assert.Equal(t, host, hostRead)

	versions, versionsText := versionRecord{Versions: []string{"v1", "v2"}}, `{"versions":["v1","v2"]}`
	written(versions, versionsText)
	var versionsRead versionRecord
	read(versionsText, &versionsRead)
	assert.Equal(t, versions, versionsRead)

	// A process that is assumed to have begun a stream is part of the version.
	assumed := origin.AssumedVersion("r1", 1700000000000)
	streams := []origin.Entry{
		{Stream: 1, Origin: origin.Origin{Upstream: "pool", Version: "v1"}},
		{Stream: 2, Origin: origin.Origin{Upstream: "pool", Version: "v1"}},
		{Stream: 3, Origin: origin.Origin{Upstream: "pool", Version: assumed}},
	}
	streamsText := `{"origins":[{"upstream":"pool","version":"v1","streams":"AAAAAAAAAAEAAAAAAAAAAg=="},` +
		`{"upstream":"pool","version":"\u0000?1700000000000/r1","streams":"AAAAAAAAAAM="}]}`
	written(newStreamsRecord(streams), streamsText)
	var streamsRead streamsRecord
	read(streamsText, &streamsRead)
	assert.Equal(t, streams, streamsRead.entries())
	assert.Equal(t, uint64(0x1c410857d5cc9bfe), origin.StreamID("attempt-1"))

	entry := poisonpart.Entry{
		Part: 0x5c1e07a2, Released: 2, Quarantined: true, Expires: time.UnixMilli(1700000060000),
		Crashes: []poisonpart.Crash{{Replica: 7, At: time.UnixMilli(1700000000000), Waiting: true, Retried: true}},
	}
	entryText := `{"part":"5c1e07a2","released":2,"quarantined":true,"expires_unix_ms":1700000060000,` +
		`"crashes":[{"replica":"7","at_unix_ms":1700000000000,"waiting":true,"retried":true}]}`
	written(poisonpart.NewRecord(&entry), entryText)
	var entryRead poisonpart.Record
	read(entryText, &entryRead)
	decoded, err := entryRead.Entry()
	require.NoError(t, err)
	assert.Equal(t, entry, decoded)
	written(poisonpart.NewSuspectsRecord([]poisonpart.Entry{entry}), `{"suspects":[`+entryText+`]}`)
}
