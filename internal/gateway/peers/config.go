package peers

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/rotisserie/eris"

	"heatherbarrow/internal/gateway/netio"
)

// minCompressBytes is the size from which a configuration is compressed for other hosts. All
// hosts of a zone pull a configuration of up to 1 MB from the two hosts that follow the store,
// over links of 24 Mbit/s that are shared with other pulls.
const minCompressBytes = 32 << 10

// configCache caches the compressed form of one version of the configuration.
type configCache struct {
	mu      sync.Mutex
	version int64
	gzipped []byte
}

// pack returns a configuration as it is sent to other hosts: gzip-compressed if it has at least
// minCompressBytes, unchanged otherwise.
func (c *configCache) pack(version int64, raw []byte) (data []byte, compressed bool, err error) {
	if len(raw) < minCompressBytes {
		return raw, false, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version == version {
		return c.gzipped, true, nil
	}
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, false, eris.Wrap(err, "compress configuration")
	}
	if _, err := w.Write(raw); err != nil {
		return nil, false, eris.Wrap(err, "compress configuration")
	}
	if err := w.Close(); err != nil {
		return nil, false, eris.Wrap(err, "compress configuration")
	}
	c.version, c.gzipped = version, out.Bytes()
	return c.gzipped, true, nil
}

// unpackConfig returns the configuration that pack encoded, in the form that the store holds. It
// fails if the result is larger than maxPullBytes.
func unpackConfig(data []byte, compressed bool) ([]byte, error) {
	if !compressed {
		return data, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, eris.Wrap(err, "decompress configuration of peer")
	}
	raw, err := io.ReadAll(io.LimitReader(r, maxPullBytes+1))
	switch {
	case err != nil:
		return nil, eris.Wrap(err, "decompress configuration of peer")
	case len(raw) > maxPullBytes:
		return nil, eris.Wrap(netio.ErrTooLarge, "decompress configuration of peer")
	}
	return raw, nil
}
